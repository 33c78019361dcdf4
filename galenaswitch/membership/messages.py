"""Messages about member lists, loads and prefix caches.

Control processes exchange them, and a control process sends them to the entry
process on its VM.
"""

from collections.abc import Iterable
from typing import NamedTuple

from galenaswitch.configuration.catalog import Item
from galenaswitch.membership.lists import LeavingSign, MemberList


class ListNotice(NamedTuple):
    """Notifies a peer of the revision of the sender's member list.

    :param revision: revision of the sender's member list.
    """

    revision: int


class ListQuestion(NamedTuple):
    """Query for a peer's full member list."""


class Subscribe(NamedTuple):
    """Request of an entry process for a snapshot and for later updates.

    :param digest: digest of the entry's configuration.
    :param revision: revision of the entry's member list.
    """

    digest: str
    revision: int = 0


class Snapshot(NamedTuple):
    """State that an entry process needs to serve callers.

    :param items: configuration, empty when the entry's digest is equal.
    :param members: newest member list, ``None`` when the entry has it.
    :param signs: all recorded leaving notices.
    :param ready: whether the control process has the configuration.
    """

    items: tuple[Item, ...]
    members: MemberList | None
    signs: tuple[LeavingSign, ...]
    ready: bool


class LoadReport(NamedTuple):
    """Full load report of a target.

    :param target: name of the target.
    :param incarnation: incarnation of the target that made the report.
    :param running: number of requests in progress.
    :param waiting: number of requests in the target's queue.
    :param pending_prompt_tokens: prompt tokens that are not prefilled yet.
    :param prompt_tokens_per_second: prompt tokens prefilled per second.
    :param tokens_per_second: tokens generated per second by a full batch.
    :param leaving: whether the target is leaving.
    :param models: models that the target has loaded, ``None`` when the target
        doesn't report models.
    """

    target: str
    incarnation: str
    running: int = 0
    waiting: int = 0
    pending_prompt_tokens: float = 0
    prompt_tokens_per_second: float = 0
    tokens_per_second: float = 0
    leaving: bool = False
    models: tuple[str, ...] | None = None


class LoadTick(NamedTuple):
    """Load delta: the volatile fields of a target's load report.

    The message is short because it is sent often.

    :param key: hash of the report's stable fields, see
        :func:`galenaswitch.membership.reports.hash_stable_fields`.
    :param running: number of requests in progress.
    :param waiting: number of requests in the target's queue.
    :param pending_prompt_tokens: prompt tokens that are not prefilled yet.
    """

    key: int
    running: int = 0
    waiting: int = 0
    pending_prompt_tokens: int = 0


class CacheChange(NamedTuple):
    """A change of one engine's prefix cache.

    The block hashes are sampled and truncated, see
    :mod:`galenaswitch.membership.blocks`.

    :param target: name of the engine.
    :param sequence: sequence number of the event, growing by one.
    :param added: sampled hashes of the blocks that were cached.
    :param removed: sampled hashes of the blocks that were evicted.
    """

    target: str
    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class Loads(NamedTuple):
    """Load reports and prefix cache changes of some targets.

    :param reports: full reports.
    :param ticks: load deltas of targets without a full report.
    :param changes: changes of prefix caches.
    """

    reports: tuple[LoadReport, ...] = ()
    ticks: tuple[LoadTick, ...] = ()
    changes: tuple[CacheChange, ...] = ()


def merge_loads(parts: Iterable[Loads]) -> Loads:
    """Merge several messages into one.

    >>> tick = LoadTick(1)
    >>> len(merge_loads([Loads(ticks=(tick,)), Loads(ticks=(tick,))]).ticks)
    2
    """
    messages = list(parts)
    return Loads(
        tuple(report for loads in messages for report in loads.reports),
        tuple(delta for loads in messages for delta in loads.ticks),
        tuple(change for loads in messages for change in loads.changes),
    )
