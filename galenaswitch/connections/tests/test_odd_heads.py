"""Heads, lengths and chunks of responses that are broken or cut off."""

from unittest.mock import Mock

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.outbound import TargetConnection

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
STATUS = b'HTTP/1.1 200 OK\r\n'
SEALED = STATUS + b'X-Id: a1\r\nX-Seal: s\r\n'
KEPT = STATUS + b'Content-Length: 2\r\n\r\nok'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
COMPLETE = {
    'length': SEALED + b'Content-Length: 4\r\n\r\nfine',
    'length first': STATUS + b'Content-Length: 4\r\nX-A: 1\r\n\r\nfine',
    'no body': SEALED + b'Content-Length: 0\r\n\r\n',
    'chunks': SEALED + CHUNKED + b'4\r\nfine\r\n2;a=b\r\nok\r\n0\r\n\r\n',
    'trailers': SEALED + CHUNKED + b'4\r\nfine\r\n0\r\nX-T: 1\r\n\r\n',
}
INTERIM = {
    'none': b'',
    'continue': b'HTTP/1.1 100 Continue\r\n\r\n',
    'early hints': b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n',
    'interim with length': b'HTTP/1.1 100 C\r\nContent-Length: 0\r\n\r\n',
}
BROKEN = {
    'lengths that differ': b'Content-Length: 4\r\nContent-Length: 2\r\n\r\n'
    b'fine',
    'list of lengths': b'Content-Length: 4, 4\r\n\r\nfine',
    'negative length': b'Content-Length: -4\r\n\r\nfine',
    'length with sign': b'Content-Length: +4\r\n\r\nfine',
    'huge length': b'Content-Length: 99999999999999999999999\r\n\r\nfine',
    'hexadecimal length': b'Content-Length: 0x4\r\n\r\nfine',
    'empty length': b'Content-Length: \r\n\r\n',
    'length in parts': b'Content-Length: 4 4\r\n\r\nfine',
    'space after the name': b'Content-Length : 4\r\n\r\nfine',
    'space before the name': b' Content-Length: 4\r\n\r\nfine',
    'length without a colon': b'Content-Length\r\n\r\n',
    'folded length': b'Content-Length:\r\n 4\r\n\r\nfine',
    'length and chunks': b'Content-Length: 4\r\n' + CHUNKED + b'0\r\n\r\n',
    'chunks and length': b'Transfer-Encoding: chunked\r\nContent-Length: 0'
    b'\r\n\r\n0\r\n\r\n',
    'coded': b'Transfer-Encoding: gzip\r\n\r\nfine',
    'identity': b'Transfer-Encoding: identity\r\n\r\nfine',
    'no coding': b'Transfer-Encoding: \r\n\r\nfine',
    'coded chunks': b'Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nfine\r\n'
    b'0\r\n\r\n',
    'chunks that are coded': b'Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n'
    b'\r\n',
    'chunks of chunks': b'Transfer-Encoding: chunked, chunked\r\n\r\n4\r\n'
    b'fine\r\n0\r\n\r\n',
    'chunks twice': b'Transfer-Encoding: chunked\r\n' + CHUNKED + b'0\r\n\r\n',
    'other word': b'Transfer-Encoding: chunkedx\r\n\r\n0\r\n\r\n',
    'folded header': b'X-A: 1\r\n  2\r\nContent-Length: 4\r\n\r\nfine',
    'NUL in a value': b'X-A: \x00\r\nContent-Length: 4\r\n\r\nfine',
    'NUL in a name': b'X\x00A: 1\r\nContent-Length: 4\r\n\r\nfine',
    'bare LF': b'X-A: 1\nContent-Length: 4\n\nfine',
    'bare CR': b'X-A: 1\rContent-Length: 4\r\n\r\nfine',
    'LF ends the head': b'X-A: 1\n\r\nfine',
    'no colon': b'X-A\r\n\r\nfine',
    'chunk size of letters': CHUNKED + b'zz\r\nfine\r\n0\r\n\r\n',
    'negative chunk size': CHUNKED + b'-4\r\nfine\r\n0\r\n\r\n',
    'huge chunk size': CHUNKED + b'f' * 18 + b'\r\nfine\r\n0\r\n\r\n',
    'empty chunk size': CHUNKED + b'\r\n\r\n',
    'chunk longer than its size': CHUNKED + b'4\r\nfineXX0\r\n\r\n',
    'last chunk with LF': CHUNKED + b'4\r\nfine\r\n0\n\n',
    'odd trailer': CHUNKED + b'4\r\nfine\r\n0\r\nX Y\r\n\r\n',
}
NO_RESPONSES = {
    'nothing': b'',
    'no head': b'fine',
    'HTML': b'<html></html>\r\n\r\n',
    'other version': b'HTTP/3.1 200 OK\r\nContent-Length: 4\r\n\r\nfine',
    'short status': b'HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nfine',
    'long status': b'HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nfine',
    'status 0': b'HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nfine',
    'switch': b'HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n'
    + KEPT,
    'head in a head': STATUS + b'X-A' + KEPT,
}


def make_items(cases):
    """Return test parameters with their names as ids."""
    return [pytest.param(one, id=name) for name, one in cases.items()]


def receive(received, *, kept=False, size=0, reset=False):
    """Return the exchange of a connection that gets bytes and is closed.

    :param kept: whether the connection has carried a complete response before.
    :param size: number of bytes that arrive at once, 0 for all.
    :param reset: whether the connection is reset in place of closed.
    """
    connection = TargetConnection('127.0.0.1:1')
    transport = Mock(**{'get_write_buffer_size.return_value': 0})
    connection.connection_made(transport)
    if kept:
        exchange = connection.send(GET, b'')
        connection.data_received(KEPT)
        assert exchange.complete
        assert connection.reusable
    exchange = connection.send(GET, b'')
    size = size or max(1, len(received))
    for start in range(0, len(received), size):
        if not transport.abort.called:
            connection.data_received(received[start : start + size])
    if not (reset or transport.abort.called):
        connection.eof_received()
    connection.connection_lost(None)
    return exchange


# Guards against a head that ends where the connection does.
@pytest.mark.parametrize('reset', [False, True])
@pytest.mark.parametrize('size', [0, 1])
@pytest.mark.parametrize('kept', [False, True])
@pytest.mark.parametrize('interim', make_items(INTERIM))
@pytest.mark.parametrize('response', make_items(COMPLETE))
def test_response_that_is_cut_anywhere_is_incomplete(
    response, interim, kept, size, reset
):
    head_length = response.index(b'\r\n\r\n') + 4
    for length in range(len(response)):
        exchange = receive(
            interim + response[:length], kept=kept, size=size, reset=reset
        )
        assert not exchange.complete
        assert exchange.failure
        assert bool(exchange.head) == (length >= head_length)
    whole = receive(interim + response, kept=kept, size=size, reset=reset)
    assert whole.complete
    assert whole.head.status == 200


# Guards against a body with another length than its target gave it.
@pytest.mark.parametrize('size', [0, 1])
@pytest.mark.parametrize('kept', [False, True])
@pytest.mark.parametrize('framing', make_items(BROKEN))
def test_response_with_broken_framing_is_incomplete(framing, kept, size):
    exchange = receive(SEALED + framing, kept=kept, size=size)
    assert not exchange.complete
    assert exchange.failure


@pytest.mark.parametrize('size', [0, 1])
@pytest.mark.parametrize('kept', [False, True])
@pytest.mark.parametrize('received', make_items(NO_RESPONSES))
def test_bytes_that_are_no_response_give_no_head(received, kept, size):
    exchange = receive(received, kept=kept, size=size)
    assert exchange.head is None
    assert exchange.failure


# Guards against a body without a length that ends with a reset.
@pytest.mark.parametrize('kept', [False, True])
@pytest.mark.parametrize('body', [b'', b'some'])
@pytest.mark.parametrize('header', [b'', b'Upgrade: x\r\n'])
def test_response_without_length_needs_an_orderly_close(header, body, kept):
    response = SEALED + header + b'\r\n' + body
    assert receive(response, kept=kept).complete
    assert not receive(response, kept=kept, reset=True).complete
