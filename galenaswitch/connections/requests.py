"""Parsing of callers' requests; anything ambiguous is rejected.

A request that two parsers could read differently must not be passed on:
conflicting lengths, folded headers, unknown transfer codings.
"""

from collections import deque
from http import HTTPStatus
from typing import NamedTuple

import httptools

from galenaswitch.connections.errors import RequestRejectedError
from galenaswitch.connections.heads import (
    Header,
    RequestHead,
    find_header_values,
)


class InboundLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    :param max_header_bytes: largest request head.
    :param max_body_bytes: largest request body.
    :param header_timeout_seconds: longest time for a head to arrive.
    :param idle_timeout_seconds: longest time without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3
    idle_timeout_seconds: float = 15


class InboundRequest(NamedTuple):
    """A whole request of a caller.

    :param received_at: monotonic time of its first byte in seconds.
    :param keep_alive: whether the caller may use the connection again.
    """

    head: RequestHead
    body: bytes
    received_at: float
    keep_alive: bool


class RequestParser:
    """Turns the bytes of one connection into requests."""

    def __init__(self) -> None:
        """Start before the first request."""
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

    def feed(self, chunk: bytes, now: float) -> None:
        """Parse bytes that arrived at a monotonic time.

        :raises RequestRejectedError: when they can't be passed on.
        """
        self._fed_at = now
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as error:
            raise _make_bad_request('another protocol is asked for') from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, RequestRejectedError):
                raise cause from error
            raise
        except httptools.HttpParserError as error:
            raise _make_bad_request(f'not HTTP: {error}') from error
        if self.begun_at is not None and not self.head_complete:
            self._add_unparsed_bytes(len(chunk))

    def on_message_begin(self) -> None:
        """Start a request; called by the parser."""
        self.begun_at = self._fed_at
        self.head_complete = False
        self._path = b''
        self._headers = []
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target; called by the parser."""
        self._path += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Take a header; called by the parser."""
        self._add_head_bytes(len(name) + len(header_value))
        if b'\n' in header_value or b'\r' in header_value:
            raise _make_bad_request('a folded header')
        self._headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Check the head; called by the parser."""
        self.head_complete = True
        _check_head(self._headers)
        for length in find_header_values(self._headers, b'content-length'):
            if int(length) > self.limits.max_body_bytes:
                raise RequestRejectedError(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    f'a body of {int(length)} bytes',
                )
        expected = find_header_values(self._headers, b'expect')
        self.wants_continue = any(
            header_value.lower() == b'100-continue' for header_value in expected
        )

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        self._body += body
        if len(self._body) > self.limits.max_body_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'a body of over {self.limits.max_body_bytes} bytes',
            )

    def on_message_complete(self) -> None:
        """Keep the whole request; called by the parser."""
        head = RequestHead(
            self._parser.get_method(),
            self._path,
            tuple(self._headers),
        )
        received_at = self._fed_at if self.begun_at is None else self.begun_at
        self.requests.append(
            InboundRequest(
                head,
                bytes(self._body),
                received_at,
                self._parser.should_keep_alive(),
            ),
        )
        self.begun_at = None
        self.head_complete = False
        self.wants_continue = False
        self._body = bytearray()

    def _add_unparsed_bytes(self, count: int) -> None:
        """Bound a header that the parser still gathers."""
        self._unparsed_bytes += count
        if self._unparsed_bytes > 2 * self.limits.max_header_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'a head without an end',
            )

    def _add_head_bytes(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self.limits.max_header_bytes:
            raise RequestRejectedError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f'a head of over {self.limits.max_header_bytes} bytes',
            )


def _check_head(headers: list[Header]) -> None:
    """Reject a head whose body could be read in two ways."""
    lengths = find_header_values(headers, b'content-length')
    codings = find_header_values(headers, b'transfer-encoding')
    if len(lengths) > 1 or (lengths and codings):
        raise _make_bad_request('conflicting lengths')
    if lengths and not lengths[0].isdigit():
        raise _make_bad_request('a length that is no number')
    if codings and codings != [b'chunked']:
        raise _make_bad_request('an unknown transfer coding')
    if len(find_header_values(headers, b'host')) != 1:
        raise _make_bad_request('not one host')


def _make_bad_request(reason: str) -> RequestRejectedError:
    return RequestRejectedError(HTTPStatus.BAD_REQUEST, reason)
