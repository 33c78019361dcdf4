"""HTTP connections to targets, one request at a time on each.

Each request is sent once, on one connection; this module never retries. A
response is complete only when its Content-Length or its last chunk proves it,
or an orderly close after the whole request was written. A connection that is
given up before is reset, so that the request can't run later.

Bytes that arrive without a request in progress close the connection, so that
they can't be read as the response to the next request.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import httptools

from galenaswitch.connections.exchange import Exchange
from galenaswitch.connections.heads import (
    AnswerHead,
    Header,
    RequestHead,
    encode_request,
    find_header_text,
    find_header_values,
)
from galenaswitch.connections.history import RequestHistory
from galenaswitch.connections.memory import MemoryAccount
from galenaswitch.connections.outcomes import Outcome
from galenaswitch.connections.requests import HTTP_VERSION
from galenaswitch.connections.sockets import (
    enable_dead_peer_detection,
    has_unsent_bytes,
    reset,
)
from galenaswitch.errors import TargetUnreachableError

# Most bytes that a target may send without a byte of a body: its head, interim
# or dropped responses, the framing of a chunk, or trailers.
MAX_FRAMING_BYTES = 65_536
# Most headers of a response. Short ones take many times their bytes in memory.
MAX_HEADERS = 256
# Seconds that an idle connection is kept when the target's response has no
# Keep-Alive timeout.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# Share of the target's Keep-Alive timeout after which an idle connection is
# no longer used.
IDLE_TIMEOUT_SHARE = 0.7
# Bytes with another status code are no response.
FIRST_STATUS = 100
LAST_STATUS = 599
# Responses with lower status codes are interim responses, which are ignored.
FIRST_FINAL_STATUS = 200
# Responses with these status codes have no body.
_BODILESS_STATUSES = frozenset((204, 304))


class TargetConnection(asyncio.Protocol):
    """A connection to a target, which carries one request at a time.

    ``idle_since`` is the event loop's time at which the connection became
    idle. ``was_used`` tells whether it has carried a request, ``history``
    which requests it has carried, ``is_retired`` whether it must not carry
    another one.
    """

    def __init__(
        self, address: str, memory: MemoryAccount | None = None
    ) -> None:
        """Build the protocol of a connection to ``address`` (IP:port).

        :param memory: accounts for the bytes of responses.
        """
        self.address = address
        self._memory = memory or MemoryAccount()
        self.idle_since = 0.0
        self.idle_timeout_seconds = DEFAULT_IDLE_TIMEOUT_SECONDS
        self.was_used = False
        self.is_retired = False
        self._transport: Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._is_answered = True
        self._headers: list[Header] = []
        self._keep_alive = True
        self._ends_at_close = False
        self._closed = False
        self._reading_paused = False
        self._framing_bytes = 0
        self._heard_at = 0.0
        self.history = RequestHistory(address)
        self.outcome = Outcome()

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        is_kept = self._keep_alive and not self.history.is_full
        is_open = not (self._closed or self.is_retired)
        return is_kept and is_open and self._exchange is None

    @property
    def silent_seconds(self) -> float:
        """Seconds since the target sent data, or the request was written."""
        return time.monotonic() - self._heard_at

    def connection_made(self, transport: Any) -> None:
        """Store the transport and enable dead-peer detection on it."""
        self._transport = transport
        enable_dead_peer_detection(transport)

    def data_received(self, chunk: bytes) -> None:
        """Parse response bytes; pause reading when too many are unread."""
        if self._exchange is None:
            self.close()
            return
        self._heard_at = time.monotonic()
        self.outcome.report(is_answer=True)
        self._framing_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('the target sent bytes that are not an HTTP response')
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._fail('the target sent too many bytes without a body')
            self.close()
        exchange = self._exchange
        if exchange and exchange.unread_bytes > exchange.max_unread_bytes:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Handle an orderly close, which may end a response without a length.

        The target has answered only what it was sent, so the response isn't
        complete while a part of the request is unwritten.
        """
        self._closed = True
        self.outcome.report(is_answer=False)
        exchange = self._exchange
        ends_response = exchange and exchange.head and self._ends_at_close
        if exchange and ends_response and not has_unsent_bytes(self._transport):
            self._is_answered = True
            exchange.end()
        self._fail('the target closed the connection')
        if not self._is_answered:
            self.close()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in progress on the lost connection."""
        if not self._closed:
            self.outcome.report(is_answer=False)
        self._closed = True
        self._fail('the connection was lost')

    def on_message_begin(self) -> None:
        """Begin a response; called by the HTTP parser."""
        self._headers = []
        if self._exchange is None or self._exchange.head:
            self._fail('the target sent a second response')
            self.close()

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Store a header of the head; called by the HTTP parser."""
        if self._exchange and not self._exchange.head:
            self._headers.append((name, header_value))
            if len(self._headers) > MAX_HEADERS:
                self._headers = []
                self._fail('the target sent too many headers')
                self.close()

    def on_headers_complete(self) -> None:
        """Pass on a final response head; called by the HTTP parser."""
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._fail(f'the target sent the status {status}')
            self.close()
            return
        if status < FIRST_FINAL_STATUS or self._exchange is None:
            return
        head = AnswerHead(status, tuple(self._headers))
        codings = find_header_values(self._headers, b'transfer-encoding')
        is_chunked = [one.lower() for one in codings] == [b'chunked']
        is_current = self._parser.get_http_version() == HTTP_VERSION
        if codings and not (is_chunked and is_current):
            self._fail('the target sent a body with an unknown coding')
            self.close()
            return
        self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
        self._read_idle_timeout()
        has_length = codings or find_header_values(
            self._headers, b'content-length'
        )
        self._ends_at_close = (
            not has_length and status not in _BODILESS_STATUSES
        )
        # Only behind a response whose end is known comes the one that is due.
        is_framed = not self._ends_at_close and self._parser.should_keep_alive()
        if is_framed and self.history.names_earlier(head):
            if self._keep_alive:
                self.history.log_dropped(head)
            self._keep_alive = False
            return
        self.history.record(status)
        self._exchange.receive_head(head)

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the response body; called by the HTTP parser."""
        if self._exchange and self._exchange.head:
            self._framing_bytes = 0
            self._exchange.receive_body(body)

    def on_message_complete(self) -> None:
        """Complete the response; called by the HTTP parser."""
        exchange = self._exchange
        if exchange is None or exchange.head is None:
            return
        if self._ends_at_close and not self._closed:
            return
        self._exchange = None
        self._is_answered = True
        exchange.end()

    def send(
        self,
        head: RequestHead,
        body: bytes,
        ident: str = '',
        read_ident: Callable[[AnswerHead], str] | None = None,
    ) -> Exchange:
        """Send a request on the connection.

        A response that names an earlier request of the connection is dropped,
        and the connection carries no more requests.

        :param ident: id that responses to the request name, empty if none.
        :param read_ident: decodes the id in a response, ``None`` if responses
            name no request.
        :raises TargetUnreachableError: when the connection is closed or in
            use, so that nothing was sent.
        """
        if not self.reusable:
            raise TargetUnreachableError(
                f'{self.address}: the connection is closed or in use'
            )
        self._exchange = Exchange(self._memory.open(self._give_up))
        self._is_answered = False
        self._heard_at = time.monotonic()
        self._framing_bytes = 0
        self.history.start(ident, read_ident)
        self.was_used = True
        self.outcome.begin()
        for part in encode_request(head, body):
            self._transport.write(part)
        return self._exchange

    async def read_all(self, exchange: Exchange, limit_bytes: int) -> bytes:
        """Return the rest of a response body.

        :raises TargetBrokenError: when the response ends incomplete, or is
            larger than the limit.
        """
        exchange.max_unread_bytes = limit_bytes
        self.resume_reading()
        return await exchange.read_all(limit_bytes)

    def resume_reading(self) -> None:
        """Resume reading from the target if it was paused."""
        if self._reading_paused and not self._closed:
            self._reading_paused = False
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection, and reset it while a request is in progress.

        The target then drops the request, or never receives the bytes of it
        that were not sent.
        """
        self._closed = True
        self.outcome.finish()
        if self._transport and self._is_answered:
            self._transport.abort()
        elif self._transport:
            reset(self._transport)

    def _read_idle_timeout(self) -> None:
        keep_alive = find_header_text(self._headers, b'keep-alive')
        for part in keep_alive.split(','):
            name, _, seconds = part.strip().partition('=')
            if name == 'timeout' and seconds.isdigit():
                self.idle_timeout_seconds = int(seconds) * IDLE_TIMEOUT_SHARE

    def _give_up(self) -> None:
        """Give up a response, since all together take too much memory."""
        exchange = self._exchange
        self._fail('the answers in memory are too large')
        self.close()
        if exchange:
            exchange.discard()

    def _fail(self, reason: str) -> None:
        self._keep_alive = False
        exchange = self._exchange
        self._exchange = None
        if exchange:
            exchange.end(reason)
