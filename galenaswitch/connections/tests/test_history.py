"""Connections and the requests they have carried.

A request is passed to another connection than that of its error, and responses
that come again are dropped.
"""

import asyncio
import tracemalloc

import pytest

from galenaswitch.connections import history
from galenaswitch.connections.heads import RequestHead, find_header_text
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import TargetBrokenError

POST = RequestHead(b'POST', b'/', ((b'Host', b'h'),))
BUSY = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
# A caller's id may be as long as a header.
LONG_IDENT_LENGTH = 16_000
MAX_HISTORY_BYTES = 100_000
FINE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine'


@pytest.fixture
async def call():
    """Return a function that sends a request and returns its status."""
    pool = ConnectionPool()

    async def send(target, ident):
        connection = await pool.acquire(target.address, 3, ident)
        exchange = connection.send(POST, b'', ident)
        head = await exchange.read_head()
        await exchange.read_all(100)
        pool.release(connection)
        return head.status

    yield send
    pool.close()


# Guards against a copy of a request's own error that is read as its answer.
async def test_request_avoids_connections_on_which_it_got_an_error(
    call, scripted
):
    target = await scripted([BUSY], keep=True)
    for ident, connections in (('a', 1), ('b', 1), ('a', 2), ('c', 2)):
        assert await call(target, ident) == 503
        assert target.connections == connections


async def test_request_with_a_success_or_without_an_id_stays(call, scripted):
    target = await scripted([FINE, FINE, BUSY], keep=True)
    for ident in ('a', 'a', '', ''):
        await call(target, ident)
    assert target.connections == 1


# Guards against memory for ids that grows as long as a connection lives.
async def test_connection_with_many_errors_is_replaced(
    call, scripted, monkeypatch
):
    monkeypatch.setattr(history, 'MAX_ERRORS', 3)
    target = await scripted([BUSY], keep=True)
    for number in range(7):
        await call(target, f'r{number}')
    assert target.connections == 3


# Guards against memory for ids whose length a caller chooses.
def test_long_ids_take_no_more_memory():
    requests = history.RequestHistory('127.0.0.1:80')
    tracemalloc.start()
    for number in range(history.MAX_ERRORS):
        requests.start(f'{number:0{LONG_IDENT_LENGTH}}', None)
        requests.record(503)
    requests.start('', None)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert requests.is_full
    assert used_bytes < MAX_HISTORY_BYTES


def read_ident(head):
    """Return the id of the request that a response names."""
    return find_header_text(head.headers, b'x-id')


def respond(ident, framing=b'Content-Length: 4\r\n\r\nfine', status=b'200 OK'):
    """Return a response that names a request."""
    return b'HTTP/1.1 %b\r\nX-Id: %b\r\n%b' % (status, ident, framing)


@pytest.fixture
async def call_twice(scripted):
    """Return a function that sends two requests on one connection.

    It returns the second response and whether a third request may follow.
    """
    pool = ConnectionPool()

    async def send(between):
        target = await scripted(
            [respond(b'a'), between + respond(b'b', status=b'201 Created')],
            keep=True,
        )
        connection = await pool.acquire(target.address, 3)
        for ident in ('a', 'b'):
            exchange = connection.send(POST, b'', ident, read_ident)
            async with asyncio.timeout(1):
                head = await exchange.read_head()
                body = await exchange.read_all(100)
        return head.status, body, connection.reusable

    yield send
    pool.close()


# Guards against requests that fail for a copy of an earlier response.
@pytest.mark.parametrize(
    'copy',
    [
        respond(b'a', status=b'503 Busy'),
        respond(b'a') * 3,
        respond(b'a', b'Content-Length: 0\r\n\r\n', b'421 Misdirected'),
        respond(b'a', b'\r\n', b'204 No Content'),
        respond(
            b'a', b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
        ),
        b'HTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\n' + respond(b'a'),
    ],
)
async def test_copy_of_an_earlier_response_is_dropped(call_twice, copy):
    assert await call_twice(copy) == (201, b'fine', False)


async def test_connection_without_copies_stays_reusable(call_twice):
    assert await call_twice(b'') == (201, b'fine', True)


# Guards against a response that is read as the body of a copy, and against
# responses that are dropped though they name no earlier request.
@pytest.mark.parametrize(
    'response',
    [
        respond(b'a', b'\r\n'),
        respond(b'a', b'Connection: close\r\nContent-Length: 0\r\n\r\n'),
        respond(b'other'),
        respond(b''),
        respond(b'b'),
    ],
)
async def test_response_that_is_no_framed_copy_is_passed_on(
    call_twice, response
):
    try:
        status, _, is_reusable = await call_twice(response)
    except (TargetBrokenError, TimeoutError):
        return
    assert status == 200
    assert not is_reusable


# Guards against copies without end.
@pytest.mark.parametrize(
    'copy',
    [
        respond(b'a', b'Content-Length: 1000000\r\n\r\n' + b'x' * 1_000_000),
        respond(b'a') * 20_000,
    ],
)
async def test_copies_of_too_many_bytes_fail_the_request(call_twice, copy):
    with pytest.raises(TargetBrokenError):
        await call_twice(copy)
