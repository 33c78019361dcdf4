"""Heads of HTTP/1.1 requests and responses.

Header names and values are kept byte for byte as they were sent, so that
forwarding a message does not alter them.
"""

from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

Header = tuple[bytes, bytes]
# Largest body that is copied behind its head, to be sent in one packet with it.
MAX_COPIED_BYTES = 16_384
_CRLF = b'\r\n'
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)


class RequestHead(NamedTuple):
    """Request line and headers of a request.

    :param method: HTTP method as sent.
    :param path: request target as sent, including the query string.
    :param headers: header names and values as sent, in their order.
    """

    method: bytes
    path: bytes
    headers: tuple[Header, ...]


class AnswerHead(NamedTuple):
    """Status line and headers of a response.

    :param status: HTTP status code.
    :param headers: header names and values as sent, in their order.
    """

    status: int
    headers: tuple[Header, ...]


def find_header_values(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return all values of a header, in the order they were sent.

    :param name: header name in lower case.

    >>> find_header_values([(b'Host', b'a'), (b'x', b'1')], b'host')
    [b'a']
    """
    return [
        header_value for key, header_value in headers if key.lower() == name
    ]


def find_header_text(headers: Iterable[Header], name: bytes) -> str:
    """Return the first value of a header as text, empty when absent.

    :param name: header name in lower case.
    """
    for key, header_value in headers:
        if key.lower() == name:
            return header_value.decode('latin-1')
    return ''


def filter_end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that a proxy forwards.

    Hop-by-hop headers and all headers that the Connection header names are
    left out, because they apply to a single connection.

    >>> headers = [(b'Connection', b'x-a'), (b'X-A', b'1'), (b'b', b'')]
    >>> filter_end_to_end_headers(headers)
    [(b'b', b'')]
    """
    headers = tuple(headers)
    connection_options = {
        name.strip().lower()
        for header_value in find_header_values(headers, b'connection')
        for name in header_value.split(b',')
    }
    dropped = _HOP_BY_HOP_HEADERS | connection_options
    return [
        (name, header_value)
        for name, header_value in headers
        if name.lower() not in dropped
    ]


def encode_request(head: RequestHead, body: bytes) -> tuple[bytes, ...]:
    r"""Return the bytes of a request, with the length of its body.

    A large body is a part of its own, so that it isn't copied.

    >>> encode_request(RequestHead(b'GET', b'/a?b', ()), b'')
    (b'GET /a?b HTTP/1.1\r\n\r\n',)
    """
    lines = [b'%b %b HTTP/1.1' % (head.method, head.path)]
    lines.extend(b'%b: %b' % header for header in head.headers)
    if body or head.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'Content-Length: %d' % len(body))
    if len(body) > MAX_COPIED_BYTES:
        return _CRLF.join((*lines, b'', b'')), body
    return (_CRLF.join((*lines, b'', body)),)


def encode_response_head(head: AnswerHead) -> bytes:
    r"""Return the bytes of a response head.

    >>> encode_response_head(AnswerHead(503, ((b'Retry-After', b'1'),)))
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n'
    """
    lines = [
        b'HTTP/1.1 %d %b' % (head.status, _find_reason_phrase(head.status))
    ]
    lines.extend(b'%b: %b' % header for header in head.headers)
    return _CRLF.join((*lines, b'', b''))


def _find_reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'
