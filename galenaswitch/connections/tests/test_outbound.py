"""Tests of connections to targets: when a response counts as complete."""

import asyncio

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import TargetBrokenError, TargetUnreachableError

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@pytest.fixture
async def pool():
    """Return a connection pool that is closed after the test."""
    opened = ConnectionPool()
    yield opened
    opened.close()


async def read_all(exchange):
    """Return the complete body of a response."""
    await exchange.read_head()
    body = b''
    while chunk := await exchange.read():
        body += chunk
    return body


async def call(pool, target):
    """Send one request and return the body of its response."""
    connection = await pool.acquire(target.address, 3)
    try:
        return await read_all(connection.send(GET, b''))
    finally:
        pool.release(connection)


async def test_idle_connection_is_reused(pool, scripted):
    target = await scripted([OK, OK])
    assert await call(pool, target) == b'ok'
    assert await call(pool, target) == b'ok'
    assert target.connections == 1


async def test_extra_response_never_reaches_the_next_request(pool, scripted):
    target = await scripted([OK + OK])
    assert await call(pool, target) == b'ok'
    assert await call(pool, target) == b'ok'
    assert target.connections == 2


async def test_response_on_an_idle_connection_closes_it(pool, scripted):
    target = await scripted([OK, OK], late=OK)
    assert await call(pool, target) == b'ok'
    await asyncio.sleep(0.1)
    assert await call(pool, target) == b'ok'
    assert target.connections == 2


async def test_response_without_length_ends_at_an_orderly_close(pool, scripted):
    target = await scripted([b'HTTP/1.1 200 OK\r\n\r\nall of it'])
    assert await call(pool, target) == b'all of it'


async def test_response_without_length_is_incomplete_after_a_reset(
    pool, scripted
):
    target = await scripted([b'HTTP/1.1 200 OK\r\n\r\nsome'], reset=True)
    with pytest.raises(TargetBrokenError):
        await call(pool, target)


@pytest.mark.parametrize(
    'response',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'1\r\na\r\n0\r\n\r\n',
        b'no answer at all\r\n\r\n',
    ],
)
async def test_truncated_or_invalid_response_fails(pool, scripted, response):
    target = await scripted([response])
    with pytest.raises(TargetBrokenError):
        await call(pool, target)


async def test_response_may_arrive_before_the_request_body_is_read(
    pool, scripted
):
    target = await scripted([OK, OK], read_body=False)
    connection = await pool.acquire(target.address, 3)
    head = RequestHead(b'POST', b'/', ((b'Host', b'h'),))
    assert await read_all(connection.send(head, b'x' * 100_000)) == b'ok'
    pool.release(connection)


async def test_closed_port_raises_target_unreachable(pool, free_port):
    with pytest.raises(TargetUnreachableError):
        await pool.acquire(f'127.0.0.1:{free_port}', 3)


async def test_expired_connection_is_not_reused(pool, scripted):
    target = await scripted([OK, OK])
    await call(pool, target)
    connection = await pool.acquire(target.address, 0)
    assert not connection.was_used
    connection.close()


# Guards against a connection to another program: loops take a port modulo
# 65,536, or raise an error that is no failure of the target.
@pytest.mark.parametrize(
    'port',
    ['{over}', '0', '-1', '65536', '9' * 5000, '\u0668\u0660', '80.0', '', '²'],
)
async def test_odd_port_raises_target_unreachable(pool, scripted, port):
    target = await scripted([OK])
    host, _, listening = target.address.rpartition(':')
    odd = port.format(over=int(listening) + 65_536)
    with pytest.raises(TargetUnreachableError):
        await pool.acquire(f'{host}:{odd}', 3)
    assert not target.connections


@pytest.mark.parametrize(
    'host',
    ['', 'a' * 300, '127.0.0.1\x00', 'ä' * 70, '.', 'a..b', '[::1', '::'],
)
async def test_odd_host_raises_target_unreachable(pool, host):
    with pytest.raises(TargetUnreachableError):
        await pool.acquire(f'{host}:8080', 3)


# Guards against trailers of an answer that join its head.
async def test_trailers_of_a_response_are_dropped(pool, scripted):
    target = await scripted(
        [
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'1\r\na\r\n0\r\nConnection: close\r\nX-Any: 1\r\n\r\n'
        ]
    )
    connection = await pool.acquire(target.address, 3)
    exchange = connection.send(GET, b'')
    assert await read_all(exchange) == b'a'
    names = [name for name, _ in exchange.head.headers]
    assert names == [b'Transfer-Encoding']
    connection.close()
