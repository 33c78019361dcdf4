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
from galenaswitch.connections.sockets import enable_dead_peer_detection
from galenaswitch.errors import TargetBrokenError, TargetUnreachableError

# Longest time in seconds to open a connection inside the platform's network.
CONNECT_TIMEOUT_SECONDS = 0.6
# Bytes of an answer that may wait for its reader.
MAX_UNREAD_BYTES = 262_144
# Seconds that an idle connection is kept where the target names no time.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# Part of the target's idle time after which a connection isn't used again.
IDLE_TIMEOUT_SHARE = 0.7
# Connections kept idle to one target.
MAX_IDLE_PER_TARGET = 64
FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))


class Exchange:
    """One request and its answer."""

    def __init__(self) -> None:
        """Start before the answer."""
        self.head: AnswerHead | None = None
        self.complete = False
        self.failure = ''
        self.unread_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._changed = asyncio.Event()

    def receive_head(self, head: AnswerHead) -> None:
        """Keep the head of the answer."""
        self.head = head
        self._changed.set()

    def receive_body(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._chunks.append(chunk)
        self.unread_bytes += len(chunk)
        self._changed.set()

    def end(self, failure: str = '') -> None:
        """End the answer, as complete unless a failure is given."""
        if not self.complete and not self.failure:
            self.complete = not failure
            self.failure = failure
        self._changed.set()

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
        self.unread_bytes -= len(chunk)
        return chunk

    async def _wait(self) -> None:
        if self.failure:
            raise TargetBrokenError(self.failure)
        self._changed.clear()
        await self._changed.wait()


class TargetConnection(asyncio.Protocol):
    """A connection to a target, used by one request at a time."""

    def __init__(self, address: str) -> None:
        """Connect to ``address``, an IP number and port."""
        self.address = address
        self.idle_since = 0.0
        self.idle_timeout_seconds = DEFAULT_IDLE_TIMEOUT_SECONDS
        self.was_used = False
        self._transport: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._headers: list[Header] = []
        self._keep_alive = True
        self._ends_at_close = False
        self._closed = False
        self._reading_paused = False

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return not self._closed and self._keep_alive and self._exchange is None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport
        enable_dead_peer_detection(transport)

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
        if exchange and exchange.unread_bytes > MAX_UNREAD_BYTES:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Take an orderly close; it may end an answer without length."""
        self._closed = True
        if self._exchange and self._ends_at_close and self._exchange.head:
            self._exchange.end()
        self._fail('the target closed the connection')
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in progress."""
        self._closed = True
        self._fail('the connection was lost')

    def on_message_begin(self) -> None:
        """Start an answer; called by the parser."""
        self._headers = []
        if self._exchange is None or self._exchange.head:
            self._fail('a second answer')
            self.close()

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Take a header; called by the parser."""
        self._headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Keep the head; called by the parser."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS or self._exchange is None:
            return
        self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
        self._read_idle_timeout()
        has_length = find_header_values(
            self._headers, b'content-length'
        ) or find_header_values(
            self._headers,
            b'transfer-encoding',
        )
        self._ends_at_close = (
            not has_length and status not in _BODILESS_STATUSES
        )
        self._exchange.receive_head(AnswerHead(status, tuple(self._headers)))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        if self._exchange:
            self._exchange.receive_body(body)

    def on_message_complete(self) -> None:
        """End the answer; called by the parser."""
        exchange = self._exchange
        if exchange is None or exchange.head is None:
            return
        if self._ends_at_close and not self._closed:
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
        self.was_used = True
        self._transport.write(encode_request(head, body))
        return self._exchange

    def resume_reading(self) -> None:
        """Read on after the reader has caught up."""
        if self._reading_paused and not self._closed:
            self._reading_paused = False
            self._transport.resume_reading()

    def close(self) -> None:
        """End the connection at once; the target drops its request."""
        self._closed = True
        if self._transport:
            self._transport.abort()

    def _read_idle_timeout(self) -> None:
        keep_alive = find_header_text(self._headers, b'keep-alive')
        for part in keep_alive.split(','):
            name, _, seconds = part.strip().partition('=')
            if name == 'timeout' and seconds.isdigit():
                self.idle_timeout_seconds = int(seconds) * IDLE_TIMEOUT_SHARE

    def _fail(self, reason: str) -> None:
        self._keep_alive = False
        exchange = self._exchange
        self._exchange = None
        if exchange:
            exchange.end(reason)


class ConnectionPool:
    """Idle connections to all targets."""

    def __init__(self, source_ip: str = '') -> None:
        """Connect from the IP number ``source``, any when empty."""
        self._local_address = (source_ip, 0) if source_ip else None
        self._idle: dict[str, deque[TargetConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self,
        address: str,
        max_idle_seconds: float,
    ) -> TargetConnection:
        """Return a connection, opening one where none is fresh enough.

        :param max_idle: longest time in seconds that it may have been idle.
        :raises TargetUnreachableError: when none can be opened in time.
        """
        connection = self._acquire_idle(address, max_idle_seconds)
        return connection or await self._open(address)

    def release(self, connection: TargetConnection) -> None:
        """Give a connection back after its exchange."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        while len(idle) > MAX_IDLE_PER_TARGET:
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

    def _acquire_idle(
        self,
        address: str,
        max_idle_seconds: float,
    ) -> TargetConnection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address, deque())
        while idle:
            connection = idle.pop()
            limit_seconds = min(
                max_idle_seconds, connection.idle_timeout_seconds
            )
            if (
                connection.reusable
                and now - connection.idle_since < limit_seconds
            ):
                return connection
            connection.close()
        return None

    async def _open(self, address: str) -> TargetConnection:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(address),
                    host,
                    int(port),
                    local_addr=self._local_address,
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise TargetUnreachableError(
                f'cannot connect to {address}: {type(error).__name__}',
            ) from error
        return connection
