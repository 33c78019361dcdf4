"""Connections to targets: each request is sent once, on one connection.

Nothing is repeated here. Bytes that belong to no request end the
connection, and an answer is whole only when its length, its last chunk or
an orderly close says so.
"""

import asyncio
from collections import deque
from typing import Any

import httptools

from galenaswitch.connections.heads import (
    AnswerHead,
    Header,
    RequestHead,
    encode_request,
    find_header_text,
    find_header_values,
)
from galenaswitch.connections.sockets import watch_silence
from galenaswitch.errors import TargetBrokenError, TargetUnreachableError

# Longest time in seconds to open a connection inside the platform's network.
CONNECT_SECONDS = 0.6
# Bytes of an answer that may wait for its reader.
MAX_UNREAD_BYTES = 262_144
# Seconds that an idle connection is kept where the target names no time.
DEFAULT_IDLE_SECONDS = 4.0
# Part of the target's idle time after which a connection isn't used again.
IDLE_PART = 0.7
# Connections kept idle to one target.
MAX_IDLE = 64
FIRST_FINAL_STATUS = 200
_BODILESS = frozenset((204, 304))


class Exchange:
    """One request and its answer."""

    def __init__(self) -> None:
        """Start before the answer."""
        self.head: AnswerHead | None = None
        self.complete = False
        self.failure = ''
        self.unread = 0
        self._chunks: deque[bytes] = deque()
        self._news = asyncio.Event()

    def take_head(self, head: AnswerHead) -> None:
        """Keep the head of the answer."""
        self.head = head
        self._news.set()

    def take_body(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._chunks.append(chunk)
        self.unread += len(chunk)
        self._news.set()

    def end(self, failure: str = '') -> None:
        """End the answer, as complete unless a failure is given."""
        if not self.complete and not self.failure:
            self.complete = not failure
            self.failure = failure
        self._news.set()

    async def read_head(self) -> AnswerHead:
        """Wait for the head.

        :raises TargetBrokenError: when the connection ended first.
        """
        while self.head is None:
            await self._wait()
        return self.head

    async def read(self) -> bytes:
        """Return the next part of the body, nothing at its whole end.

        :raises TargetBrokenError: when the answer is not whole.
        """
        while not self._chunks:
            if self.complete:
                return b''
            await self._wait()
        chunk = self._chunks.popleft()
        self.unread -= len(chunk)
        return chunk

    async def _wait(self) -> None:
        if self.failure:
            raise TargetBrokenError(self.failure)
        self._news.clear()
        await self._news.wait()


class TargetConnection(asyncio.Protocol):
    """A connection to a target, used by one request at a time."""

    def __init__(self, address: str) -> None:
        """Connect to ``address``, an IP number and port."""
        self.address = address
        self.idle_since = 0.0
        self.idle_timeout_seconds = DEFAULT_IDLE_SECONDS
        self.used = False
        self._transport: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._headers: list[Header] = []
        self._keep = True
        self._until_close = False
        self._ended = False
        self._paused = False

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return not self._ended and self._keep and self._exchange is None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport
        watch_silence(transport)

    def data_received(self, chunk: bytes) -> None:
        """Parse a part of an answer."""
        if self._exchange is None:
            self.close()
            return
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('bytes that are no answer')
        exchange = self._exchange
        if exchange and exchange.unread > MAX_UNREAD_BYTES:
            self._paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Take an orderly close; it may end an answer without length."""
        self._ended = True
        if self._exchange and self._until_close and self._exchange.head:
            self._exchange.end()
        self._fail('the target closed the connection')
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in progress."""
        self._ended = True
        self._fail('the connection was lost')

    def on_message_begin(self) -> None:
        """Start an answer; called by the parser."""
        self._headers = []
        if self._exchange is None or self._exchange.head:
            self._fail('a second answer')
            self.close()

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header; called by the parser."""
        self._headers.append((name, field))

    def on_headers_complete(self) -> None:
        """Keep the head; called by the parser."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS or self._exchange is None:
            return
        self._keep = self._keep and self._parser.should_keep_alive()
        self._note_idle_time()
        framed = find_header_values(
            self._headers, b'content-length'
        ) or find_header_values(
            self._headers,
            b'transfer-encoding',
        )
        self._until_close = not framed and status not in _BODILESS
        self._exchange.take_head(AnswerHead(status, tuple(self._headers)))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        if self._exchange:
            self._exchange.take_body(body)

    def on_message_complete(self) -> None:
        """End the answer; called by the parser."""
        exchange = self._exchange
        if exchange is None or exchange.head is None:
            return
        if self._until_close and not self._ended:
            return
        self._exchange = None
        exchange.end()

    def send(self, head: RequestHead, body: bytes) -> Exchange:
        """Send a request.

        :raises TargetUnreachableError: when nothing could be sent.
        """
        if not self.reusable:
            raise TargetUnreachableError(f'{self.address} has closed')
        self._exchange = Exchange()
        self.used = True
        self._transport.write(encode_request(head, body))
        return self._exchange

    def resume_reading(self) -> None:
        """Read on after the reader has caught up."""
        if self._paused and not self._ended:
            self._paused = False
            self._transport.resume_reading()

    def close(self) -> None:
        """End the connection at once; the target drops its request."""
        self._ended = True
        if self._transport:
            self._transport.abort()

    def _note_idle_time(self) -> None:
        told = find_header_text(self._headers, b'keep-alive')
        for part in told.split(','):
            name, _, seconds = part.strip().partition('=')
            if name == 'timeout' and seconds.isdigit():
                self.idle_timeout_seconds = int(seconds) * IDLE_PART

    def _fail(self, reason: str) -> None:
        self._keep = False
        exchange = self._exchange
        self._exchange = None
        if exchange:
            exchange.end(reason)


class ConnectionPool:
    """Idle connections to all targets."""

    def __init__(self, source: str = '') -> None:
        """Connect from the IP number ``source``, any when empty."""
        self._source = (source, 0) if source else None
        self._idle: dict[str, deque[TargetConnection]] = {}
        self.opened = 0

    async def acquire(
        self,
        address: str,
        max_idle: float,
    ) -> TargetConnection:
        """Return a connection, opening one where none is fresh enough.

        :param max_idle: longest time in seconds that it may have been idle.
        :raises TargetUnreachableError: when none can be opened in time.
        """
        connection = self._take_idle(address, max_idle)
        return connection or await self._open(address)

    def release(self, connection: TargetConnection) -> None:
        """Give a connection back after its exchange."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        while len(idle) > MAX_IDLE:
            idle.popleft().close()

    def close_expired(self) -> None:
        """Close what has been idle for too long."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            while (
                idle and now - idle[0].idle_since > idle[0].idle_timeout_seconds
            ):
                idle.popleft().close()
            if not idle:
                self._idle.pop(address)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _take_idle(
        self,
        address: str,
        max_idle: float,
    ) -> TargetConnection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address, deque())
        while idle:
            connection = idle.pop()
            limit = min(max_idle, connection.idle_timeout_seconds)
            if connection.reusable and now - connection.idle_since < limit:
                return connection
            connection.close()
        return None

    async def _open(self, address: str) -> TargetConnection:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, protocol = await loop.create_connection(
                    lambda: TargetConnection(address),
                    host,
                    int(port),
                    local_addr=self._source,
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise TargetUnreachableError(
                f'cannot connect to {address}: {type(error).__name__}',
            ) from error
        return protocol
