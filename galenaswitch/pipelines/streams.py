"""Puts the tokens of one stream in order and checks that none is missing.

A stream that stalls is left only when it goes on elsewhere: its target may be
silent for a while and go on.
"""

import asyncio
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Coroutine,
    Iterable,
)
from typing import Any, TypeVar

from galenaswitch.errors import TargetBrokenError, TargetLateError
from galenaswitch.operations.timeouts import READING_TURNS
from galenaswitch.targets.messages import StreamEnd, Token
from galenaswitch.targets.sequence import TokenSequence

STALL_SECONDS = 1.0
# Seconds between two looks for a better target while a stream stalls.
RECHECK_SECONDS = 0.25

Part = TypeVar('Part')


def _ignore() -> None:
    """Ignore that a stream goes on."""


class StallWatch:
    """Watches one stream, whose read ends when the stream goes on elsewhere.

    One timer watches all reads, which costs less than a timeout for each.
    """

    def __init__(
        self,
        may_leave: Callable[[], bool],
        go_on: Callable[[], None] = _ignore,
    ) -> None:
        """Build a watch over a stream that is not read yet.

        :param may_leave: called while the stream stalls; tells whether it goes
            on elsewhere now. If that is found out later, :meth:`leave` tells.
        :param go_on: called when the stream goes on after a stall, and at its
            first part.
        """
        self._may_leave = may_leave
        self._go_on = go_on
        self._task: asyncio.Task[Any] | None = None
        self._read_at = 0.0
        self._is_left = False
        self._has_stalled = False
        self._timer: asyncio.Handle | None = None
        self._began_at: float | None = None

    @property
    def answered_seconds(self) -> float:
        """Seconds since the first part of the stream, 0 before it."""
        if self._began_at is None:
            return 0
        return asyncio.get_running_loop().time() - self._began_at

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last read of the stream began."""
        return asyncio.get_running_loop().time() - self._read_at

    async def read_first(self, first: Coroutine[Any, Any, Part]) -> Part:
        """Return the first part of a stream.

        :param first: reads it, with timeouts of its own.
        :raises TargetLateError: when the stream goes on elsewhere.
        """
        part = await self._read(first)
        self._go_on()
        return part

    async def read(
        self, stream: AsyncGenerator[list[Token] | StreamEnd, None]
    ) -> list[Token] | StreamEnd:
        """Return the next part of a stream.

        :raises TargetLateError: when the stream goes on elsewhere.
        """
        loop = asyncio.get_running_loop()
        if self._timer is None:
            self._timer = loop.call_later(
                STALL_SECONDS, self._check, READING_TURNS
            )
        part = await self._read(anext(stream))
        if self._has_stalled:
            self._has_stalled = False
            self._go_on()
        if self._began_at is None:
            self._began_at = loop.time()
        return part

    def leave(self) -> None:
        """End the read of the stream, which goes on elsewhere."""
        if self._task:
            self._is_left = True
            self._task.cancel()

    def close(self) -> None:
        """End the watch."""
        if self._timer:
            self._timer.cancel()

    async def _read(self, reading: Awaitable[Part]) -> Part:
        self._read_at = asyncio.get_running_loop().time()
        self._task = asyncio.current_task()
        try:
            return await reading
        except asyncio.CancelledError:
            if self._is_left and self._task and not self._task.uncancel():
                raise TargetLateError('the stream stalled') from None
            raise
        finally:
            self._task = None

    def _check(self, turns: int) -> None:
        loop = asyncio.get_running_loop()
        self._timer = None
        if self._task is None:
            return
        stall_left = self._read_at + STALL_SECONDS - loop.time()
        if stall_left <= 0 and turns:
            # What has arrived while the loop was held up is read first.
            self._timer = loop.call_soon(self._check, turns - 1)
            return
        if stall_left <= 0:
            self._has_stalled = True
            if self._may_leave():
                self.leave()
                return
        wait = stall_left if stall_left > 0 else RECHECK_SECONDS
        self._timer = loop.call_later(wait, self._check, READING_TURNS)


async def order_tokens(
    stream: AsyncGenerator[list[Token] | StreamEnd, None],
    waits: Iterable[float],
    sequence: TokenSequence,
    watch: StallWatch,
) -> AsyncIterator[list[Token]]:
    """Yield tokens in order until the answer is complete.

    :param stream: groups of tokens.
    :param waits: timeouts in seconds of successive waits for the first group.
    :param watch: ends the read when the stream goes on elsewhere.
    :raises TargetBrokenError: when the answer is incomplete.
    :raises TargetLateError: when the stream goes on elsewhere.
    """
    received = await watch.read_first(_wait_first_tokens(stream, waits))
    try:
        while not isinstance(received, StreamEnd):
            ready = sequence.accept(received)
            if ready:
                yield ready
            received = await watch.read(stream)
    finally:
        watch.close()
    _check_complete(sequence, received)


async def _wait_first_tokens(
    stream: AsyncGenerator[list[Token] | StreamEnd, None],
    waits: Iterable[float],
) -> list[Token] | StreamEnd:
    first = asyncio.ensure_future(anext(stream))
    try:
        for seconds in waits:
            await asyncio.wait((first,), timeout=seconds)
            if first.done():
                return first.result()
    finally:
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
    raise TargetBrokenError('no token arrived in time')


def _check_complete(sequence: TokenSequence, end: StreamEnd) -> None:
    if not sequence.is_complete(end.tokens):
        raise TargetBrokenError('the stream ended with missing tokens')
