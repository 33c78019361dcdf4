"""Bytes of a target that never end, in each place of a response."""

import asyncio
import tracemalloc

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.outbound import MAX_FRAMING_BYTES
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import TargetBrokenError
from standins.scripted import ScriptedTarget

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
# What comes before the endless bytes, and the bytes that are repeated.
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'O' * 1000),
    'header': (b'HTTP/1.1 200 OK\r\nX-A: ', b'a' * 1000),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-A: 1\r\n' * 100),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 40),
    'chunk extension': (CHUNKED + b'2;a=', b'b' * 1000),
    'chunk size': (CHUNKED, b'0' * 1000),
    'trailers': (CHUNKED + b'2\r\nok\r\n0\r\n', b'X-A: 1\r\n' * 100),
    'no response': (b'', b'\r\n' * 500),
}
# Most memory that one endless response may take. Many short headers take about
# twenty times their bytes.
MAX_MEMORY_BYTES = 32 * MAX_FRAMING_BYTES


class EndlessTarget(ScriptedTarget):
    """Fake target that sends bytes until the connection is closed."""

    def __init__(self, start, repeated):
        """Build a target that sends ``start`` and then repeats bytes."""
        super().__init__(self._send_endlessly)
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        self._start = start
        self._repeated = repeated

    async def _send_endlessly(self, reader, writer):
        await self.read_request(reader)
        writer.write(self._start)
        try:
            while True:
                writer.write(self._repeated)
                self.sent_bytes += len(self._repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()


@pytest.fixture
async def start_endless():
    """Return a function that starts a target that never stops."""
    targets = []

    async def start(place):
        target = EndlessTarget(*ENDLESS[place])
        targets.append(target)
        await target.start()
        return target

    yield start
    for target in targets:
        await target.stop()


async def read_all(connection):
    """Send a request and read its response to the end."""
    exchange = connection.send(GET, b'')
    await exchange.read_head()
    while await exchange.read():
        connection.resume_reading()


# Guards against memory and time that a response without end takes.
@pytest.mark.parametrize('place', sorted(ENDLESS))
async def test_endless_framing_is_a_failure_in_bounded_memory(
    start_endless, place
):
    target = await start_endless(place)
    pool = ConnectionPool()
    connection = await pool.acquire(target.address, 3)
    tracemalloc.start()
    try:
        async with asyncio.timeout(3):
            with pytest.raises(TargetBrokenError):
                await read_all(connection)
        memory_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        pool.release(connection)
    async with asyncio.timeout(3):
        await target.closed.wait()
    assert not connection.reusable
    assert memory_bytes < MAX_MEMORY_BYTES
    pool.close()
