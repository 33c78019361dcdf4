"""Memory that the responses of all targets take together."""

import asyncio

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.memory import MIN_GIVEN_UP_BYTES, MemoryAccount
from galenaswitch.connections.outbound import MAX_HEADERS
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import TargetBrokenError
from standins.scripted import ScriptedTarget

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
LENGTHLESS = b'HTTP/1.1 200 OK\r\n\r\n'
LIMIT_BYTES = 1_000_000
MAX_RESPONSE_BYTES = 10_000_000


@pytest.fixture
def pool():
    """Return a pool whose responses may take a megabyte together."""
    opened = ConnectionPool(memory=MemoryAccount(LIMIT_BYTES))
    yield opened
    opened.close()


@pytest.fixture
async def start_target():
    """Return a function that starts a target with a body of some size.

    The target ends the body when its event ``may_end`` is set.
    """
    targets = []

    async def start(size):
        async def send(reader, writer):
            await target.read_request(reader)
            writer.write(LENGTHLESS + b'x' * size)
            await target.may_end.wait()

        target = ScriptedTarget(send)
        target.may_end = asyncio.Event()
        targets.append(target)
        await target.start()
        return target

    yield start
    for target in targets:
        await target.stop()


async def read(pool, target):
    """Send a request and return the body of the response."""
    connection = await pool.acquire(target.address, 3)
    exchange = connection.send(GET, b'')
    try:
        await exchange.read_head()
        return await connection.read_all(exchange, MAX_RESPONSE_BYTES)
    finally:
        exchange.discard()
        pool.release(connection)


# Guards against responses that are each within their limit and together end
# the process, and against small ones that are given up for large ones.
async def test_largest_responses_are_given_up(pool, start_target):
    sizes = (100_000, 200_000, 500_000, 600_000)
    targets = [await start_target(size) for size in sizes]
    reading = [asyncio.create_task(read(pool, target)) for target in targets]
    async with asyncio.timeout(3):
        with pytest.raises(TargetBrokenError, match='in memory'):
            await reading[3]
    assert pool.memory.total <= LIMIT_BYTES
    for target in targets:
        target.may_end.set()
    bodies = await asyncio.gather(*reading[:3])
    assert tuple(len(body) for body in bodies) == sizes[:3]
    assert pool.memory.total == 0


# Guards against errors whose tracebacks keep responses in memory.
async def test_failed_response_keeps_no_bytes(pool, start_target):
    target = await start_target(500_000)
    connection = await pool.acquire(target.address, 3)
    exchange = connection.send(GET, b'')
    with pytest.raises(TargetBrokenError, match='too large') as caught:
        await connection.read_all(exchange, 300_000)
    assert exchange.unread_bytes > 300_000
    exchange.discard()
    pool.release(connection)
    assert caught.value.__traceback__
    assert not exchange.unread_bytes
    assert not exchange._chunks
    assert pool.memory.total == 0


# Guards against a reader that keeps what it has read without an account of it.
async def test_bytes_that_a_reader_keeps_are_accounted_for(pool, start_target):
    target = await start_target(100_000)
    connection = await pool.acquire(target.address, 3)
    exchange = connection.send(GET, b'')
    content = await exchange.read()
    exchange.keep(len(content))
    held = pool.memory.total
    assert held == len(content) + exchange.unread_bytes
    exchange.keep(0)
    assert pool.memory.total == held - len(content)
    exchange.discard()
    connection.close()


# Guards against an account that counts bytes of responses that have ended.
def test_holding_that_was_given_up_counts_no_more():
    account = MemoryAccount(3 * MIN_GIVEN_UP_BYTES)
    given_up = []
    holdings = [
        account.open(lambda number=number: given_up.append(number))
        for number in range(3)
    ]
    for number, holding in enumerate(holdings):
        holding.resize(MIN_GIVEN_UP_BYTES + 10 - number)
    assert given_up == [0]
    holdings[0].resize(9 * MIN_GIVEN_UP_BYTES)
    assert account.total == 2 * MIN_GIVEN_UP_BYTES + 17
    for holding in holdings:
        holding.close()
        holding.close()
    assert account.total == 0


# Guards against small responses that are given up by many others.
def test_small_responses_are_never_given_up():
    account = MemoryAccount(MIN_GIVEN_UP_BYTES)
    for _ in range(3):
        account.open(pytest.fail).resize(MIN_GIVEN_UP_BYTES)
    assert account.total == 3 * MIN_GIVEN_UP_BYTES


# Guards against many short headers, which take far more memory than bytes.
@pytest.mark.parametrize('count', [MAX_HEADERS - 2, 4 * MAX_HEADERS])
async def test_number_of_headers_is_bounded(pool, scripted, count):
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n' + b'X-A: 1\r\n' * count
    target = await scripted([head + b'\r\nok'])
    if count > MAX_HEADERS:
        with pytest.raises(TargetBrokenError, match='too many headers'):
            await read(pool, target)
        return
    assert await read(pool, target) == b'ok'
