"""Timeouts that don't take a pause of the own loop for one of a peer."""

import asyncio
import math
import time
from types import TracebackType
from typing import Self

from galenaswitch.operations.lag import LoopClock, find_clock

# Turns of the loop after a timeout is due. In the first one the loop reads what
# has arrived, in the others tasks pass it on to the one that waits.
READING_TURNS = 8
# Resolution of the timers of uvloop, which may run early by as much.
MIN_WAIT_SECONDS = 0.001


class Timeout:
    """Ends a block with ``TimeoutError`` when a peer sent nothing in time.

    Time in which the loop was held up doesn't count, and what has arrived by
    then is read first. The peer gets at most as much time again.

    :ivar waited_seconds: time from the begin of the block to its end.
    :ivar held_seconds: time in it for which the loop was held up.
    """

    def __init__(
        self,
        seconds: float,
        limit_seconds: float = math.inf,
        *,
        is_measured: bool = True,
    ) -> None:
        """Build a timeout for one ``async with`` block.

        :param seconds: longest wait on a loop that isn't held up.
        :param limit_seconds: longest wait at any odds.
        :param is_measured: whether the clock of the loop ticks meanwhile. It
            needn't beside a wait that nobody waits for, and an idle process
            isn't woken up then.
        """
        self.waited_seconds = 0.0
        self.held_seconds = 0.0
        self._seconds = seconds
        self._limit_seconds = limit_seconds
        self._is_measured = is_measured
        self._left_extension = seconds
        self._began_at = 0.0
        self._held_before = 0.0
        self._clock: LoopClock | None = None
        self._handle: asyncio.Handle | None = None
        self._inner = asyncio.timeout(None)

    async def __aenter__(self) -> Self:
        """Start the timeout."""
        self._clock = find_clock()
        if self._is_measured:
            self._clock.start()
        self._held_before = self._clock.read()
        self._began_at = time.monotonic()
        await self._inner.__aenter__()
        self._schedule(min(self._seconds, self._limit_seconds))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the timeout.

        :raises TimeoutError: when the block was ended by it.
        """
        self._measure()
        if self._clock and self._is_measured:
            self._clock.stop()
        if self._handle:
            self._handle.cancel()
        await self._inner.__aexit__(kind, error, trace)

    def __str__(self) -> str:
        """Return the durations for a log line."""
        return (
            f'waited {self.waited_seconds:.2f} s, '
            f'held up for {self.held_seconds:.2f} s'
        )

    def _schedule(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(
            max(seconds, MIN_WAIT_SECONDS), self._check, READING_TURNS
        )

    def _check(self, turns: int) -> None:
        """End the block when the time is up and nothing is left to read."""
        left = self._find_left()
        if left > 0:
            self._left_extension -= left
            self._schedule(left)
        elif turns:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_soon(self._check, turns - 1)
        else:
            self._inner.reschedule(0)

    def _find_left(self) -> float:
        self._measure()
        return min(
            self._seconds + self.held_seconds - self.waited_seconds,
            self._limit_seconds - self.waited_seconds,
            self._left_extension,
        )

    def _measure(self) -> None:
        self.waited_seconds = time.monotonic() - self._began_at
        if self._clock:
            self.held_seconds = self._clock.read() - self._held_before
