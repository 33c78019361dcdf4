"""Weighted fair queue of requests that wait for a pool of targets."""

import asyncio
from bisect import insort
from collections.abc import Callable
from typing import NamedTuple

MAX_SCANNED_TICKETS = 16


class Ticket(NamedTuple):
    """Position of a request in a fair queue.

    :param finish: virtual finish time of the request.
    :param number: arrival number, which orders requests of equal finish time.
    """

    finish: float
    number: int


class FairQueue:
    """Weighted fair queue over workspaces for one pool.

    Virtual time advances as requests are served, so a workspace in a burst
    can't delay the others beyond its weight. Requests of a pool may need
    different targets. So a request whose targets are full doesn't block later
    requests: the first request that is ready is released.

    Reference: A. Demers, S. Keshav, S. Shenker, "Analysis and Simulation of
    a Fair Queueing Algorithm", ACM SIGCOMM 1989.
    """

    def __init__(self) -> None:
        """Build a queue without waiting requests."""
        self._last_finish: dict[str, float] = {}
        self._tickets: list[Ticket] = []
        self._is_ready: dict[Ticket, Callable[[], bool]] = {}
        self._released: dict[Ticket, asyncio.Event] = {}
        self._last_number = 0
        self._virtual_time = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    def join(
        self,
        workspace: str,
        cost: float,
        weight: float,
        is_ready: Callable[[], bool],
    ) -> Ticket:
        """Add a request of a workspace and return its ticket.

        :param cost: amount of work in the request, in tokens.
        :param weight: weight of the workspace.
        :param is_ready: tells whether a target can take the request now.

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
        """Release the first request that is ready and return its ticket.

        Only one request is released at a time, because its load on a target
        must be counted before the next release. Only the first
        :data:`MAX_SCANNED_TICKETS` requests are checked.

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
        """Wait for a limited time; return whether the request is released."""
        released = self._released[ticket]
        try:
            async with asyncio.timeout(seconds):
                await released.wait()
        except TimeoutError:
            return released.is_set()
        return True

    def leave(self, ticket: Ticket, *, served: bool) -> None:
        """Remove a request from the queue.

        :param served: whether the request runs, so that virtual time advances.
        """
        self._tickets.remove(ticket)
        self._is_ready.pop(ticket)
        self._released.pop(ticket)
        if served:
            self._virtual_time = max(self._virtual_time, ticket.finish)
        if not self._tickets:
            self._last_finish = {}
            self._virtual_time = 0
