"""Bytes that were written to a caller who doesn't read them."""

import asyncio
from collections.abc import Callable
from typing import Any

from galenaswitch.connections.errors import CallerGoneError
from galenaswitch.connections.memory import HeldKind, Holding, MemoryAccount
from galenaswitch.operations.timeouts import Timeout

# Unsent response bytes on one connection above which writers wait for the
# slow caller, and from which the bytes are accounted for.
MAX_UNSENT_BYTES = 16_384
# Longest time in seconds in which a caller takes nothing of its response. The
# deadline of its request bounds the whole time.
STALLED_READER_TIMEOUT_SECONDS = 20


class UnsentProtocol(asyncio.Protocol):
    """Protocol that accounts for what the kernel hasn't taken of its writes."""

    def __init__(
        self, memory: MemoryAccount, give_up: Callable[[], None]
    ) -> None:
        """Build the protocol of a connection that isn't open yet.

        :param give_up: resets the connection and drops its bytes.
        """
        self._memory = memory
        self._give_up = give_up
        self._transport: Any = None
        self._closed = False
        self._unsent: Holding | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def is_full(self) -> bool:
        """Whether the caller has too much of its responses to read."""
        return not self._writable.is_set()

    def connection_made(self, transport: Any) -> None:
        """Limit the write buffer of the new connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def send(self, chunk: bytes) -> None:
        """Write bytes to the connection unless it is closed."""
        if not self._closed:
            self._transport.write(chunk)
            self._count_unsent()

    def pause_writing(self) -> None:
        """Make writers wait, as the buffer is full."""
        self._writable.clear()
        if self._unsent is None:
            self._unsent = self._memory.open(self._give_up, HeldKind.unsent)
        self._count_unsent()

    def resume_writing(self) -> None:
        """Let writers continue, as the caller has read enough."""
        self._writable.set()
        holding = self._unsent
        self._unsent = None
        if holding:
            holding.close()

    async def drain(self) -> None:
        """Wait until the buffer can take bytes.

        :raises CallerGoneError: when the caller reads nothing for too long.
        """
        while not self._writable.is_set():
            unsent = self._transport.get_write_buffer_size()
            try:
                async with Timeout(STALLED_READER_TIMEOUT_SECONDS):
                    await self._writable.wait()
            except TimeoutError as error:
                self._count_unsent()
                if self._transport.get_write_buffer_size() < unsent:
                    continue
                raise CallerGoneError(
                    'the caller stopped reading its response'
                ) from error

    def _count_unsent(self) -> None:
        if self._unsent:
            self._unsent.resize(self._transport.get_write_buffer_size())
