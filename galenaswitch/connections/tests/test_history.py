"""Connections that are passed over for the requests they have carried."""

import pytest

from galenaswitch.connections import history
from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.pool import ConnectionPool

POST = RequestHead(b'POST', b'/', ((b'Host', b'h'),))
BUSY = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
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
