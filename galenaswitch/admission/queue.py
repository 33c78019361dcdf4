"""Requests that wait for an engine, in the order in which they are placed.

A request that can be on time is placed before one that can't, then the more
urgent before the less urgent, then a caller that returns after a rejection
before new ones, then the one whose latest start comes first.
"""

import bisect
from collections.abc import Iterator, Set
from typing import NamedTuple, Protocol

# Most placements in one pass. The next pass follows in the next iteration of
# the event loop, so that messages are read in between.
MAX_PLACEMENTS = 64
# Most requests without a fitting engine that one pass tries, and most that it
# passes over since all their engines are reserved.
MAX_MISSES = 16
MAX_SKIPPED = 512


# Lateness, priority, newness, latest start, and order of arrival.
Rank = tuple[bool, int, bool, float, int]


class Waiting(NamedTuple):
    """A request that waits for an engine.

    :param ident: id of the placement.
    :param late: whether it is not expected to be on time any more.
    :param priority: priority of the request; 0 is the most urgent.
    :param is_new: whether its caller doesn't return after a rejection, and it
        was not at an engine before.
    :param start_by: monotonic time of its latest start that is on time.
    :param number: position in the order of arrival.
    """

    ident: str
    late: bool
    priority: int
    is_new: bool
    start_by: float
    number: int

    @property
    def rank(self) -> Rank:
        """Order in which waiting requests are placed, the lowest first."""
        return (
            self.late,
            self.priority,
            self.is_new,
            self.start_by,
            self.number,
        )


class Placer(Protocol):
    """Places waiting requests in one pass."""

    @property
    def engines(self) -> Set[str]:
        """All engines of the service."""

    def find_wanted(self, ident: str) -> Set[str]:
        """Return the engines that a request may use."""

    def place(self, ident: str, names: Set[str]) -> bool:
        """Place a request on one of some engines if it fits there."""


class PlacementQueue:
    """Waiting requests in the order of their ranks.

    >>> queue = PlacementQueue()
    >>> for number, start_by in enumerate((3.0, 1.0, 2.0)):
    ...     queue.add(Waiting(f'r{number}', False, 1, True, start_by, number))
    >>> queue.demote_late(1.5)
    >>> [one.ident for one in queue]
    ['r2', 'r0', 'r1']
    """

    def __init__(self) -> None:
        """Build a queue in which no request waits."""
        self._ordered: list[tuple[Rank, str]] = []
        self._timely: list[tuple[float, str]] = []
        self._by_ident: dict[str, Waiting] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._ordered)

    def __iter__(self) -> Iterator[Waiting]:
        """Iterate over the waiting requests, the first to be placed first."""
        return (self._by_ident[ident] for _, ident in self._ordered)

    def __contains__(self, ident: object) -> bool:
        """Tell whether a request waits."""
        return ident in self._by_ident

    def add(self, waiting: Waiting) -> None:
        """Add a request; it replaces one with the same id."""
        self.remove(waiting.ident)
        self._by_ident[waiting.ident] = waiting
        bisect.insort(self._ordered, (waiting.rank, waiting.ident))
        if not waiting.late:
            bisect.insort(self._timely, (waiting.start_by, waiting.ident))

    def remove(self, ident: str) -> None:
        """Remove a request if it waits."""
        waiting = self._by_ident.pop(ident, None)
        if waiting is None:
            return
        self._ordered.pop(self.count_ahead(waiting))
        if not waiting.late:
            entry = (waiting.start_by, ident)
            self._timely.pop(bisect.bisect_left(self._timely, entry))

    def demote(self, ident: str) -> None:
        """Rank a request with those that can't be on time."""
        waiting = self._by_ident[ident]
        self.add(waiting._replace(late=True))

    def demote_late(self, now: float) -> None:
        """Demote the requests whose latest start has passed."""
        while self._timely and self._timely[0][0] < now:
            self.demote(self._timely[0][1])

    def find(self, ident: str) -> Waiting:
        """Return the record of a request that waits."""
        return self._by_ident[ident]

    def count_ahead(self, waiting: Waiting) -> int:
        """Return the number of requests that rank before one."""
        return bisect.bisect_left(self._ordered, (waiting.rank, ''))

    def run_pass(self, placer: Placer) -> bool:
        """Place requests in their order until nothing more fits.

        A request that doesn't fit reserves the engines that it may use, so
        that no request behind it takes them.

        :returns: whether the pass was ended early, and another one is needed.
        """
        engines = placer.engines
        reserved: set[str] = set()
        placed = 0
        misses = 0
        index = 0
        while index < len(self._ordered) and not reserved >= engines:
            ident = self._ordered[index][1]
            wanted = placer.find_wanted(ident) - reserved
            if wanted and placer.place(ident, wanted):
                self.remove(ident)
                placed += 1
            else:
                misses += bool(wanted)
                reserved |= wanted
                index += 1
            if placed >= MAX_PLACEMENTS:
                return True
            if misses >= MAX_MISSES or index >= MAX_SKIPPED:
                break
        return False
