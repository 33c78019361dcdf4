"""Response of a target to one request, as far as it has arrived."""

import asyncio
from collections import deque

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.memory import Holding
from galenaswitch.errors import TargetBrokenError

# Unread response bytes above which reading from the target is paused, unless
# the reader wants them all.
MAX_UNREAD_BYTES = 262_144


class Exchange:
    """The response to one request, as far as it has arrived.

    ``failure`` says why the response can't be completed. ``unread_bytes``
    counts body bytes that have arrived and were not read; reading from the
    target is paused above ``max_unread_bytes``.
    """

    def __init__(self, holding: Holding) -> None:
        """Build an exchange whose response has not begun.

        :param holding: accounts for the bytes that were not read.
        """
        self.head: AnswerHead | None = None
        self.complete = False
        self.failure = ''
        self.unread_bytes = 0
        self.max_unread_bytes = MAX_UNREAD_BYTES
        self.holding = holding
        self._kept_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._changed = asyncio.Event()

    def receive_head(self, head: AnswerHead) -> None:
        """Store the response head and wake the reader."""
        self.head = head
        self._changed.set()

    def receive_body(self, chunk: bytes) -> None:
        """Store a part of the response body and wake the reader."""
        self._chunks.append(chunk)
        self._count(len(chunk))
        self._changed.set()

    def end(self, failure: str = '') -> None:
        """End the response, as complete when ``failure`` is empty."""
        if not self.complete and not self.failure:
            self.complete = not failure
            self.failure = failure
        self._changed.set()

    async def read_head(self) -> AnswerHead:
        """Wait for the response head and return it.

        :raises TargetBrokenError: when the connection ends before the head.
        """
        while self.head is None:
            await self._wait()
        return self.head

    async def read(self) -> bytes:
        """Return the next part of the body, empty after a complete body.

        :raises TargetBrokenError: when the response ends incomplete.
        """
        while not self._chunks:
            if self.complete:
                return b''
            await self._wait()
        chunk = self._chunks.popleft()
        self._count(-len(chunk))
        return chunk

    async def read_all(self, limit_bytes: int) -> bytes:
        """Return the rest of the body, which stays accounted for.

        :raises TargetBrokenError: when the response ends incomplete, or is
            larger than the limit.
        """
        while not self.complete:
            if self.unread_bytes > limit_bytes:
                raise TargetBrokenError('the answer is too large')
            await self._wait()
        content = b''.join(self._chunks)
        self._chunks.clear()
        if len(content) > limit_bytes:
            raise TargetBrokenError('the answer is too large')
        return content

    def keep(self, count: int) -> None:
        """Account for bytes that the reader keeps after it has read them."""
        self._kept_bytes = count
        self._count(0)

    def discard(self) -> None:
        """Drop all bytes, as nobody reads them any more.

        Whoever still refers to the exchange, such as the traceback of an
        error, keeps nothing of the body in memory.
        """
        self._chunks.clear()
        self.unread_bytes = 0
        self.holding.close()

    def _count(self, growth: int) -> None:
        self.unread_bytes += growth
        self.holding.resize(self.unread_bytes + self._kept_bytes)

    async def _wait(self) -> None:
        if self.failure:
            raise TargetBrokenError(self.failure)
        self._changed.clear()
        await self._changed.wait()
