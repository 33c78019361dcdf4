"""Weighted fair queue of the requests that wait for a pool."""

import asyncio
from bisect import insort
from collections.abc import Callable
from typing import NamedTuple

MAX_SCANNED_TICKETS = 16


class Ticket(NamedTuple):
    """A place in a fair queue.

    :param finish: virtual finish time of the request.
    :param number: order of arrival among equals.
    """

    finish: float
    number: int


class FairQueue:
    """Weighted fair queue over workspaces for one pool.

    Virtual time advances with the work released; a workspace that waits in
    a burst can't put off the others beyond its weight. Requests of a pool
    may need different targets, so one whose targets are full doesn't keep
    back those behind it: the first that can go goes.

    Reference: A. Demers, S. Keshav, S. Shenker, "Analysis and Simulation of
    a Fair Queueing Algorithm", ACM SIGCOMM 1989.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._last_finish: dict[str, float] = {}
        self._tickets: list[Ticket] = []
        self._is_ready: dict[Ticket, Callable[[], bool]] = {}
        self._released: dict[Ticket, asyncio.Event] = {}
        self._last_number = 0
        self._virtual_time = 0.0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._tickets)

    def join(
        self,
        workspace: str,
        cost: float,
        weight: float,
        is_ready: Callable[[], bool],
    ) -> Ticket:
        """Take a place for work of a workspace.

        :param is_ready: tells whether a target of the work has room now.

        >>> queue = FairQueue()
        >>> first = queue.join('big', 10, 1, lambda: True)
        >>> second = queue.join('big', 10, 1, lambda: True)
        >>> queue.join('small', 10, 1, lambda: True) < second
        True
        """
        start = max(self._virtual_time, self._last_finish.get(workspace, 0))
        finish = start + cost / weight
        self._last_finish[workspace] = finish
        self._last_number += 1
        ticket = Ticket(finish, self._last_number)
        insort(self._tickets, ticket)
        self._is_ready[ticket] = is_ready
        self._released[ticket] = asyncio.Event()
        return ticket

    def release(self) -> Ticket | None:
        """Let the first request go that can, and return its place.

        One at a time: what it adds to a target has to be seen before the
        next one is let go. Only the first
        :data:`MAX_SCANNED_TICKETS` places are
        looked at.

        >>> queue = FairQueue()
        >>> blocked = queue.join('big', 10, 1, lambda: False)
        >>> free = queue.join('big', 10, 1, lambda: True)
        >>> last = queue.join('big', 10, 1, lambda: True)
        >>> queue.release() == free, queue.release()
        (True, None)
        >>> queue.leave(free, served=True)
        >>> queue.release() == last
        True
        """
        if any(event.is_set() for event in self._released.values()):
            return None
        for ticket in self._tickets[:MAX_SCANNED_TICKETS]:
            if self._is_ready[ticket]():
                self._released[ticket].set()
                return ticket
        return None

    async def wait(self, ticket: Ticket, seconds: float) -> bool:
        """Wait for some time; return whether the request may go."""
        released = self._released[ticket]
        try:
            async with asyncio.timeout(seconds):
                await released.wait()
        except TimeoutError:
            return released.is_set()
        return True

    def leave(self, ticket: Ticket, *, served: bool) -> None:
        """Give up a place, whether or not the work was released."""
        self._tickets.remove(ticket)
        self._is_ready.pop(ticket)
        self._released.pop(ticket)
        if served:
            self._virtual_time = max(self._virtual_time, ticket.finish)
        if not self._tickets:
            self._last_finish = {}
            self._virtual_time = 0
