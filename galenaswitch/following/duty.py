"""Which VMs follow the store.

All VMs rank the listed ones alike, the first of each zone before the second of
any. A VM follows while it hears fewer than :data:`FOLLOWERS` others, and stops
when as many before it in the ranking follow. Nobody is elected: revisions of
the store order what followers say, so one too many costs some calls.

Answers the load of hundreds of VMs that each watch the store for themselves,
whose calls grow with VMs times changes.
"""

from collections.abc import Iterable, Sequence

from galenaswitch.membership.lists import Machine
from galenaswitch.membership.ranking import rank_nodes

# VMs that follow the store at a time: while one fails, another one goes on.
FOLLOWERS = 2
RANK_KEY = 'followers'
# Seconds without a sign of life after which a follower no longer counts.
SILENT_SECONDS = 1.3
# Pause in seconds for each VM of the zone that ranks before, when no follower
# is heard, and for each VM of the deployment, when one is missing.
URGENT_STEP_SECONDS = 0.3
MISSING_STEP_SECONDS = 0.3
# Seconds after the start of a process in which it waits for followers. Until
# then it has what the store listed at its start.
START_SECONDS = 2.5


def rank_followers(machines: Iterable[Machine]) -> tuple[str, ...]:
    """Return the names of VMs in the order in which they follow the store.

    >>> zones = {'a': 'north', 'b': 'north', 'c': 'south'}
    >>> ranked = rank_followers(
    ...     Machine(name, zone, '127.0.0.1', 1) for name, zone in zones.items()
    ... )
    >>> len({zones[name] for name in ranked[:2]})
    2
    """
    zones: dict[str, list[str]] = {}
    for machine in machines:
        zones.setdefault(machine.zone, []).append(machine.name)
    places = {
        name: place
        for names in zones.values()
        for place, name in enumerate(rank_nodes(RANK_KEY, names))
    }
    ranked = rank_nodes(RANK_KEY, places)
    return tuple(sorted(ranked, key=places.__getitem__))


class FollowingDuty:
    """Decides whether this VM follows the store; it has no clock of its own.

    :ivar is_active: whether this VM follows the store.
    """

    def __init__(
        self,
        node: str,
        started_at: float,
        start_seconds: float = START_SECONDS,
    ) -> None:
        """Build the duty of VM ``node``, which doesn't follow yet.

        :param started_at: monotonic time in seconds.
        :param start_seconds: time for which the VM waits for followers.
        """
        self.is_active = False
        self._node = node
        self._heard: dict[str, float] = {}
        self._missing_since = started_at
        self._waits_until = started_at + start_seconds

    def observe(self, node: str, now: float, *, counts: bool) -> None:
        """Record a sign of life of another VM that follows the store.

        :param counts: whether that VM is current and isn't about to stop.
        """
        if counts:
            self._heard[node] = now
        else:
            self._heard.pop(node, None)

    def find_live(self, now: float) -> tuple[str, ...]:
        """Return the other VMs that follow the store, as far as heard."""
        return tuple(
            node
            for node, at in self._heard.items()
            if now - at < SILENT_SECONDS
        )

    def should_begin(
        self, now: float, ranked: Sequence[str], reached: Sequence[str]
    ) -> bool:
        """Tell whether this VM should begin to follow the store.

        :param ranked: names of all listed VMs by rank, this one among them.
        :param reached: names of the reachable VMs of this zone by rank, this
            one among them.
        """
        live = self.find_live(now)
        if len(live) >= min(FOLLOWERS, len(ranked) - 1 or 1):
            self._missing_since = now
            return False
        if self.is_active:
            return False
        pause = (
            ranked.index(self._node) * MISSING_STEP_SECONDS
            if live
            else reached.index(self._node) * URGENT_STEP_SECONDS
        )
        begin = max(self._missing_since, self._waits_until)
        return now >= begin + pause

    def should_end(
        self, now: float, ranked: Sequence[str], *, is_current: bool
    ) -> bool:
        """Tell whether this VM should no longer follow the store.

        :param is_current: whether the store answers this VM.
        """
        live = self.find_live(now)
        before = set(ranked[: ranked.index(self._node)])
        counted = before.intersection(live) if is_current else live
        return self.is_active and len(counted) >= FOLLOWERS
