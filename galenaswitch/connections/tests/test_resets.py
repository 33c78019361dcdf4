"""Requests that are given up, and responses that fail before their end."""

import asyncio
import fcntl
import socket
import termios

import pytest
import uvloop

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import TargetBrokenError
from standins.scripted import ScriptedTarget

POST = RequestHead(b'POST', b'/', ((b'Host', b'h'),))
# More than the buffers of the kernel hold on both sides.
LARGE_BYTES = 8_000_000
UNTIL_CLOSE = b'HTTP/1.1 200 OK\r\n\r\n'
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'


@pytest.fixture(
    params=(uvloop.EventLoopPolicy, asyncio.DefaultEventLoopPolicy),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run the tests on either loop."""
    return request.param()


@pytest.fixture
async def pool():
    """Return a connection pool that is closed after the test."""
    opened = ConnectionPool()
    yield opened
    opened.close()


@pytest.fixture
async def connect(pool):
    """Return a function that connects to a blocking socket, the target's."""
    opened = []

    async def start():
        listening = socket.create_server(('127.0.0.1', 0))
        opened.append(listening)
        host, port = listening.getsockname()
        connection = await pool.acquire(f'{host}:{port}', 3)
        peer, _ = listening.accept()
        peer.settimeout(2)
        opened.append(peer)
        return connection, peer

    yield start
    for one in opened:
        one.close()


def count_unread(peer):
    """Return the number of bytes that have arrived and were not read."""
    count = fcntl.ioctl(peer, termios.FIONREAD, bytes(4))
    return int.from_bytes(count, 'little')


async def wait_until_full(peer):
    """Wait until no more bytes arrive, and return their number."""
    before = -1
    while before != (arrived := count_unread(peer)):
        before = arrived
        await asyncio.sleep(0.1)
    return arrived


def read_to_end(peer):
    """Read to the end; return the number of bytes and whether it is a reset."""
    count = 0
    try:
        while part := peer.recv(65536):
            count += len(part)
    except ConnectionResetError:
        return count, True
    return count, False


# Guards against a request that runs after its caller has the final response, as
# the kernel still sends what a partition has held up.
@pytest.mark.parametrize('begin', [b'', UNTIL_CLOSE + b'begun'])
async def test_bytes_of_a_request_that_is_given_up_are_discarded(
    pool, connect, begin
):
    connection, peer = await connect()
    exchange = connection.send(POST, bytes(LARGE_BYTES))
    if begin:
        peer.sendall(begin)
        await exchange.read_head()
    arrived = await wait_until_full(peer)
    pool.release(connection)
    await asyncio.sleep(0.05)
    assert await asyncio.to_thread(read_to_end, peer) == (arrived, True)


# Guards against a target that works on for nobody, since a request that was
# sent completely and isn't answered is closed in order.
async def test_request_without_an_answer_is_reset(connect):
    connection, peer = await connect()
    connection.send(POST, b'body')
    arrived = await wait_until_full(peer)
    connection.close()
    assert await asyncio.to_thread(read_to_end, peer) == (arrived, True)


# Guards against a response that is lost at a target, or an error in its log, as
# a connection that has served its purpose is reset.
@pytest.mark.parametrize('field', [b'', b'Connection: close\r\n'])
async def test_connection_ends_in_order_after_a_complete_response(
    pool, connect, field
):
    connection, peer = await connect()
    exchange = connection.send(POST, b'body')
    arrived = await wait_until_full(peer)
    peer.sendall(OK + field + b'\r\nok')
    await exchange.read_head()
    assert await exchange.read_all(9) == b'ok'
    pool.release(connection)
    pool.close()
    assert await asyncio.to_thread(read_to_end, peer) == (arrived, False)


# Guards against a reset of another connection that got the same descriptor.
async def test_connection_that_is_closed_resets_no_other_one(connect):
    connection, peer = await connect()
    connection.send(POST, b'body')
    connection.close()
    await asyncio.sleep(0.05)
    _, other = await connect()
    connection.close()
    other.settimeout(0.1)
    with pytest.raises(TimeoutError):
        other.recv(1)


@pytest.fixture
async def run_target():
    """Return a function that starts a target with a script of its own."""
    started = []

    async def start(script):
        target = ScriptedTarget(script)
        await target.start()
        started.append(target)
        return target

    yield start
    for target in started:
        await target.stop()


# Guards against a part of a response that counts as complete, since the target
# closes in order before it has the request. The smaller size fits into the
# buffers of the kernel.
@pytest.mark.parametrize('size', [2_000_000, LARGE_BYTES])
async def test_orderly_close_before_the_request_is_written_is_no_end(
    pool, run_target, size
):
    async def answer_early(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(UNTIL_CLOSE + b'part')
        writer.write_eof()
        await asyncio.sleep(0.5)

    target = await run_target(answer_early)
    connection = await pool.acquire(target.address, 3)
    exchange = connection.send(POST, bytes(size))
    await exchange.read_head()
    with pytest.raises(TargetBrokenError):
        await exchange.read_all(99)
    pool.release(connection)


# Guards against bytes that are no response and are ignored as an interim
# response, or passed on to callers.
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
@pytest.mark.parametrize('rest', [b'', OK + b'\r\nok'])
async def test_status_that_does_not_exist_is_no_response(
    pool, scripted, status, rest
):
    odd = b'HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok' % status
    target = await scripted([odd + rest])
    connection = await pool.acquire(target.address, 3)
    exchange = connection.send(POST, b'body')
    with pytest.raises(TargetBrokenError, match=str(int(status))):
        await asyncio.wait_for(exchange.read_head(), 2)
    assert not connection.reusable
    pool.release(connection)


@pytest.mark.parametrize('status', [b'102', b'199'])
async def test_interim_response_is_ignored(pool, scripted, status):
    interim = b'HTTP/1.1 %b Soon\r\n\r\n' % status
    target = await scripted([interim + OK + b'\r\nok'])
    connection = await pool.acquire(target.address, 3)
    exchange = connection.send(POST, b'body')
    assert (await exchange.read_head()).status == 200
    assert await exchange.read_all(9) == b'ok'
    pool.release(connection)


@pytest.mark.parametrize('status', [200, 299, 451, 599])
async def test_final_status_is_passed_on(pool, scripted, status):
    answer = b'HTTP/1.1 %d Any\r\nContent-Length: 2\r\n\r\nok' % status
    target = await scripted([answer])
    connection = await pool.acquire(target.address, 3)
    exchange = connection.send(POST, b'body')
    assert (await exchange.read_head()).status == status
    pool.release(connection)
