"""Connects the paths of a VM to what it knows about the targets."""

from collections.abc import Sequence
from functools import partial

from galenaswitch.gateway.calls import Wire
from galenaswitch.gateway.notices import TargetNotices
from galenaswitch.gateway.turns import Turns
from galenaswitch.membership.lists import Members, Target
from galenaswitch.paths.service import Paths
from galenaswitch.paths.silence_watch import Probes


def connect_paths(
    paths: Paths, notices: TargetNotices, turns: Turns, wire: Wire
) -> None:
    """Share pauses between the ends of tunnels, and allow probes of targets.

    A probe goes to no target that takes none, or that has a limit on requests
    of any kind.
    """

    notices.on_pause = paths.pauses.share
    paths.pauses.apply = notices.apply_pause
    paths.dialer.silences.probes = Probes(
        wire.make_free_bytes_query,
        partial(_select_probed, paths.members, notices, turns),
    )


def _select_probed(
    members: Members,
    notices: TargetNotices,
    turns: Turns,
    targets: Sequence[Target],
) -> Sequence[Target]:
    """Return the targets that may be sent a probe now."""
    return [
        target
        for target in notices.select(targets)
        if not members.is_leaving(target)
        and not members.is_evacuated(target)
        and not turns.cold.is_cold(target)
        and not turns.seats.is_brittle(target.pool)
    ]
