"""Parsing of callers' HTTP/1.1 requests; an ambiguous request is rejected.

A request that two parsers could read differently must not be forwarded,
because it allows request smuggling. Examples are conflicting body lengths,
folded headers and unknown transfer codings.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus
from typing import NamedTuple

import httptools

from galenaswitch.connections.errors import RequestRejectedError
from galenaswitch.connections.heads import (
    Header,
    RequestHead,
    find_header_values,
)
from galenaswitch.connections.intake import (
    COUNT_STEP_BYTES,
    UNCOUNTED_BYTES,
    BodyIntake,
)
from galenaswitch.connections.memory import Holding, MemoryAccount

# Memory of a header beside its bytes, and number of headers after which they
# are counted again. A head of 32 KB can have 8,000 headers, which take 1 MB.
HEADER_BYTES = 130
HEADERS_STEP = 128
# Memory in bytes of a request that waits behind another, without its headers.
QUEUED_REQUEST_BYTES = 512
# The version of HTTP that has transfer codings.
HTTP_VERSION = '1.1'


class ReadPhase(Enum):
    """What a connection waits for while no response is in progress."""

    idle = auto()
    head = auto()
    body = auto()


class InboundLimits(NamedTuple):
    """Size limits and timeouts for the requests of one connection.

    :param max_header_bytes: most bytes in a request head.
    :param max_body_bytes: most bytes in a request body.
    :param header_timeout_seconds: longest time from the first byte of a
        request to the end of its head.
    :param idle_timeout_seconds: longest time in which no request begins on an
        idle connection, or in which nothing of a body arrives.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3
    idle_timeout_seconds: float = 15


class InboundRequest(NamedTuple):
    """A complete request from a caller.

    :param received_at: monotonic time in seconds at which the first byte of
        the request arrived.
    :param keep_alive: whether the connection may carry another request.
    :param holding: accounts for the body, ``None`` for a small one.
    """

    head: RequestHead
    body: bytes
    received_at: float
    keep_alive: bool
    holding: Holding | None = None


class RequestParser:
    """Parses the bytes of one connection into requests.

    Complete requests are queued in ``requests``. ``begun_at`` is the time of
    the first byte of a request that is still incomplete. ``on_given_up`` is
    called when its body was dropped for want of memory.
    """

    def __init__(self, memory: MemoryAccount | None = None) -> None:
        """Build a parser for a new connection, with the default limits.

        :param memory: accounts for the bodies.
        """
        self.on_given_up: Callable[[], None] = lambda: None
        self.intake = BodyIntake(memory or MemoryAccount(), self._give_up)
        self.limits = InboundLimits()
        self.requests: deque[InboundRequest] = deque()
        self.begun_at: float | None = None
        self.head_complete = False
        self.wants_continue = False
        self._parser = httptools.HttpRequestParser(self)
        self._fed_at = 0.0
        self._path = b''
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._body = bytearray()
        self._next_count = 0
        self._headers_bytes = 0
        self._next_headers = HEADERS_STEP
        self._has_completed = False

    @property
    def phase(self) -> ReadPhase:
        """What the next bytes belong to."""
        if self.begun_at is None:
            return ReadPhase.idle
        return ReadPhase.body if self.head_complete else ReadPhase.head

    @property
    def body_bytes(self) -> int:
        """Number of bytes of an incomplete body that have arrived."""
        return len(self._body)

    def feed(self, chunk: bytes, now: float) -> None:
        """Parse bytes that arrived at the monotonic time ``now``.

        :raises RequestRejectedError: when the bytes are not a request that
            may be forwarded.
        """
        self._fed_at = now
        self._has_completed = False
        earlier_body_bytes = self.body_bytes
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as error:
            raise _make_bad_request(
                'an upgrade to another protocol is not supported'
            ) from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, RequestRejectedError):
                raise cause from error
            raise
        except httptools.HttpParserError as error:
            raise _make_bad_request(
                f'the bytes are not HTTP: {error}'
            ) from error
        if self.body_bytes > earlier_body_bytes:
            self._unparsed_bytes = 0
        elif self.begun_at is not None and not self._has_completed:
            # A chunk in which a request ended is mostly of that request.
            self._add_unparsed_bytes(len(chunk))

    def on_message_begin(self) -> None:
        """Reset the state for a new request; called by the HTTP parser."""
        self.begun_at = self._fed_at
        self.head_complete = False
        self._path = b''
        self._headers = []
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._next_count = min(UNCOUNTED_BYTES, self.limits.max_body_bytes)
        self._headers_bytes = 0
        self._next_headers = HEADERS_STEP
        if self._body:
            self.drop_body()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target; called by the HTTP parser."""
        self._path += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Check and store a header; called by the HTTP parser.

        The trailers of a chunked body are checked and dropped (RFC 9112,
        section 7.1.2): the head that was checked is what is passed on.
        """
        self._add_head_bytes(len(name) + len(header_value))
        if b'\n' in header_value or b'\r' in header_value:
            raise _make_bad_request('a header is folded over several lines')
        if self.head_complete:
            return
        self._headers.append((name, header_value))
        if len(self._headers) > self._next_headers:
            self._next_headers += HEADERS_STEP
            self._headers_bytes = len(self._headers) * HEADER_BYTES
            self.intake.count(self._headers_bytes)

    def on_headers_complete(self) -> None:
        """Check the complete request head; called by the HTTP parser."""
        self.head_complete = True
        self._unparsed_bytes = 0
        _check_head(self._headers, self._parser.get_http_version())
        for length in find_header_values(self._headers, b'content-length'):
            self._check_length(int(length))
        expected = find_header_values(self._headers, b'expect')
        self.wants_continue = any(
            header_value.lower() == b'100-continue' for header_value in expected
        )

    def on_body(self, body: bytes) -> None:
        """Append a part of the request body; called by the HTTP parser."""
        size = len(self._body) + len(body)
        if size > self._next_count:
            self._count_body(size)
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request; called by the HTTP parser."""
        head = RequestHead(
            self._parser.get_method(),
            self._path,
            tuple(self._headers),
        )
        received_at = self._fed_at if self.begun_at is None else self.begun_at
        holding = self._hold_request()
        self.requests.append(
            InboundRequest(
                head,
                bytes(self._body),
                received_at,
                self._parser.should_keep_alive(),
                holding,
            ),
        )
        self.begun_at = None
        self.head_complete = False
        self.wants_continue = False
        self._has_completed = True
        self._body = bytearray()

    def drop_body(self) -> None:
        """Drop the body that arrives, and release its bytes."""
        self._body = bytearray()
        self.intake.drop_arriving()

    def close(self) -> None:
        """Drop all bodies, as the connection is lost.

        The parser and its callbacks refer to each other, so that its bytes
        would stay until the garbage collector runs.
        """
        self.drop_body()
        self.requests.clear()
        self.intake.close()

    def _give_up(self) -> None:
        self.drop_body()
        self.on_given_up()

    def _hold_request(self) -> Holding | None:
        """Account for a complete request.

        A small one isn't counted unless it waits behind another: one read may
        hold thousands of pipelined requests.

        :returns: the holding, ``None`` for one that isn't counted.
        :raises RequestRejectedError: when there is no room for it.
        """
        size = self._headers_bytes + len(self._body)
        if self.requests:
            size = QUEUED_REQUEST_BYTES + self._head_bytes + len(self._body)
            size += len(self._headers) * HEADER_BYTES
        elif size <= UNCOUNTED_BYTES:
            return None
        self.intake.max_body_bytes = self.limits.max_body_bytes
        return self.intake.complete(size)

    def _check_length(self, length: int) -> None:
        """Reject a body before its bytes are read, by its declared length."""
        if length > self.limits.max_body_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'the body has {length} bytes, which is too large',
            )
        if length > UNCOUNTED_BYTES:
            self.intake.max_body_bytes = self.limits.max_body_bytes
            self.intake.check(length)

    def _count_body(self, size: int) -> None:
        """Account for a body that grows, or reject it."""
        if size > self.limits.max_body_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'the body has over {self.limits.max_body_bytes} bytes',
            )
        self.intake.max_body_bytes = self.limits.max_body_bytes
        self.intake.count(self._headers_bytes + size)
        self._next_count = min(
            size + COUNT_STEP_BYTES, self.limits.max_body_bytes
        )

    def _add_unparsed_bytes(self, count: int) -> None:
        """Bound the bytes that the parser has not reported yet.

        The HTTP parser reports a header only once it is complete, and the
        framing of a chunk not at all, so that the limit on the head does not
        apply to an endless one. The bound is twice that limit.
        """
        self._unparsed_bytes += count
        if self._unparsed_bytes > 2 * self.limits.max_header_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the request head, or the framing of its body, does not end',
            )

    def _add_head_bytes(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self.limits.max_header_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f'the head has over {self.limits.max_header_bytes} bytes',
            )


def _check_head(headers: list[Header], version: str) -> None:
    """Reject a head that two parsers could read differently.

    :param version: version of HTTP; 1.0 has no transfer codings (RFC 9112,
        section 6.1).
    :raises RequestRejectedError: when the length of the body is ambiguous or
        the request has not exactly one Host header.
    """
    lengths = find_header_values(headers, b'content-length')
    codings = find_header_values(headers, b'transfer-encoding')
    if len(lengths) > 1 or (lengths and codings):
        raise _make_bad_request('the body lengths conflict')
    if lengths and not lengths[0].isdigit():
        raise _make_bad_request('Content-Length is not a number')
    if codings and codings != [b'chunked']:
        raise _make_bad_request('the transfer coding is not chunked alone')
    if codings and version != HTTP_VERSION:
        raise _make_bad_request('HTTP/1.0 has no transfer coding')
    if len(find_header_values(headers, b'host')) != 1:
        raise _make_bad_request('there is not exactly one Host header')


def _make_bad_request(reason: str) -> RequestRejectedError:
    return RequestRejectedError(HTTPStatus.BAD_REQUEST, reason)
