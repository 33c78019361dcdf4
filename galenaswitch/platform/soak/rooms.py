"""Room of a fake target for requests: its slots and those that may wait.

A brittle target ends when it turns too many requests away in a second.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

from aiohttp import web

from galenaswitch.platform.soak.answers import check_instance, refuse

# Seconds after which a target that has ended because of refusals starts again.
FALL_SECONDS = 3.0
WINDOW_SECONDS = 1.0
UNAVAILABLE = 503
# Paths of requests that need no slot.
FREE_PATHS = ('/health', '/api/report', '/api/stage-free')


class Room:
    """Slots of a target, of which any number is free at first.

    :ivar slots: most requests that run at one time, 0 for any number.
    :ivar queue: most requests that wait for a slot.
    :ivar run_seconds: time that each request runs before it is answered.
    :ivar limit: refusals in a second that the target survives, ``None`` if it
        isn't brittle.
    :ivar fragile: whether it ends after more refusals than the limit.
    :ivar refused: number of refusals since the start.
    :ivar falls: times at which the target ended because of refusals.
    """

    def __init__(
        self,
        now: Callable[[], float],
        crash: Callable[[float], Coroutine[Any, Any, None]],
        find_name: Callable[[], str],
    ) -> None:
        """Build the room of a target that refuses nothing.

        :param now: returns the seconds since the start of the soak.
        :param crash: ends the target and starts it again after a time.
        :param find_name: returns the name of the target.
        """
        self.slots = 0
        self.queue = 0
        self.run_seconds = 0.0
        self.limit: int | None = None
        self.fragile = False
        self.refused = 0
        self.falls: list[float] = []
        self._now = now
        self._crash = crash
        self._find_name = find_name
        self._restart: asyncio.Task[None] | None = None
        self._inside = 0
        self._freed = asyncio.Condition()
        self._running = 0
        self._refused_at: deque[float] = deque()

    def admits(self) -> bool:
        """Tell whether there is room for a request, which else is refused."""
        if not self.slots or self._inside < self.slots + self.queue:
            return True
        self.refused += 1
        now = self._now()
        self._refused_at.append(now)
        while self._refused_at[0] < now - WINDOW_SECONDS:
            self._refused_at.popleft()
        is_over = len(self._refused_at) > (self.limit or 0)
        if self.fragile and self.limit is not None and is_over:
            self._refused_at.clear()
            self.falls.append(now)
            self._restart = asyncio.create_task(self._crash(FALL_SECONDS))
        return False

    @web.middleware
    async def let_in(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Handle a request when it has a slot, or refuse it."""
        rejection = check_instance(request, self._find_name())
        if rejection or request.path in FREE_PATHS:
            return rejection or await handler(request)
        if not self.admits():
            return refuse(request, UNAVAILABLE)
        async with self.enter():
            return await handler(request)

    @contextlib.asynccontextmanager
    async def enter(self) -> AsyncIterator[None]:
        """Wait for a slot, and hold it while the request runs."""
        if not self.slots:
            yield
            return
        self._inside += 1
        try:
            async with self._hold_slot():
                await asyncio.sleep(self.run_seconds)
                yield
        finally:
            self._inside -= 1

    def make_header(self) -> dict[str, str]:
        """Return the header that says that the target is brittle, if it is."""
        if self.limit is None:
            return {}
        return {'Server-Brittle': str(self.limit)}

    @contextlib.asynccontextmanager
    async def _hold_slot(self) -> AsyncIterator[None]:
        async with self._freed:
            await self._freed.wait_for(lambda: self._running < self.slots)
            self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            async with self._freed:
                self._freed.notify()
