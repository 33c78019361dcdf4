"""Connections to targets: what counts as a whole answer."""

import asyncio

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.outbound import ConnectionPool
from galenaswitch.errors import TargetBrokenError, TargetUnreachableError

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@pytest.fixture
async def pool():
    """Pool of connections that is closed at the end."""
    opened = ConnectionPool()
    yield opened
    opened.close()


async def read_all(exchange):
    """Return the whole body of an answer."""
    await exchange.read_head()
    body = b''
    while chunk := await exchange.read():
        body += chunk
    return body


async def call(pool, target):
    """Send one request and return the body of its answer."""
    connection = await pool.acquire(target.address, 3)
    try:
        return await read_all(connection.send(GET, b''))
    finally:
        pool.release(connection)


async def test_kept_connection_serves_again(pool, scripted):
    target = await scripted([OK, OK])
    assert await call(pool, target) == b'ok'
    assert await call(pool, target) == b'ok'
    assert target.connections == 1


async def test_second_answer_never_reaches_the_next_request(pool, scripted):
    target = await scripted([OK + OK])
    assert await call(pool, target) == b'ok'
    assert await call(pool, target) == b'ok'
    assert target.connections == 2


async def test_late_answer_on_an_idle_connection_closes_it(pool, scripted):
    target = await scripted([OK, OK], late=OK)
    assert await call(pool, target) == b'ok'
    await asyncio.sleep(0.1)
    assert await call(pool, target) == b'ok'
    assert target.connections == 2


async def test_answer_without_length_ends_with_an_orderly_close(pool, scripted):
    target = await scripted([b'HTTP/1.1 200 OK\r\n\r\nall of it'])
    assert await call(pool, target) == b'all of it'


async def test_answer_without_length_that_is_reset_is_not_whole(pool, scripted):
    target = await scripted([b'HTTP/1.1 200 OK\r\n\r\nsome'], reset=True)
    with pytest.raises(TargetBrokenError):
        await call(pool, target)


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'no answer at all\r\n\r\n',
    ],
)
async def test_cut_or_spoiled_answers_are_not_whole(pool, scripted, answer):
    target = await scripted([answer])
    with pytest.raises(TargetBrokenError):
        await call(pool, target)


async def test_answer_before_the_body_is_sent_does_not_mix(pool, scripted):
    target = await scripted([OK, OK], read_body=False)
    connection = await pool.acquire(target.address, 3)
    head = RequestHead(b'POST', b'/', ((b'Host', b'h'),))
    assert await read_all(connection.send(head, b'x' * 100_000)) == b'ok'
    pool.release(connection)


async def test_nobody_listening_is_told_apart(pool, free_port):
    with pytest.raises(TargetUnreachableError):
        await pool.acquire(f'127.0.0.1:{free_port}', 3)


async def test_stale_connection_is_not_used_again(pool, scripted):
    target = await scripted([OK, OK])
    await call(pool, target)
    connection = await pool.acquire(target.address, 0)
    assert not connection.was_used
    connection.close()
