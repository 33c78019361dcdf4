"""Requests in tunnels that are given up, and targets that fail halfway."""

import asyncio

import pytest
import uvloop

from galenaswitch.connections.heads import RequestHead
from galenaswitch.errors import TargetBrokenError
from galenaswitch.paths.tests.conftest import wait_until
from galenaswitch.paths.tests.test_paths import GET, OK, UNTIL_CLOSE, fetch

POST = RequestHead(b'POST', b'/', ((b'Host', b'h'),))
# More than the buffers of the kernel hold on all sides.
LARGE_BYTES = 16_000_000
# Seconds within which an exit notices that its VM has ended a tunnel, less than
# those after which the kernel gives up a target that doesn't read.
NOTICE_SECONDS = 1.0


@pytest.fixture(
    params=(uvloop.EventLoopPolicy, asyncio.DefaultEventLoopPolicy),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run the tests on either loop."""
    return request.param()


@pytest.fixture
async def connect(start_vms, run_target):
    """Return a function that connects a VM to a target through an exit."""

    async def start(script):
        target = await run_target(script)
        vms = await start_vms('ns', [target.address])
        vms[0].direct.cut = 'refused'
        return vms, target

    return start


class Held:
    """Target that reads the rest of a request only after a while.

    :ivar reading: set when it shall read.
    :ivar count: bytes that it has read.
    :ivar ending: what ended the connection, empty for an orderly close.
    """

    def __init__(self):
        """Build a target that waits."""
        self.reading = asyncio.Event()
        self.ended = asyncio.Event()
        self.count = 0
        self.ending = ''

    async def serve(self, reader, writer):
        """Wait, and read to the end."""
        await self.reading.wait()
        try:
            while part := await reader.read(65536):
                self.count += len(part)
        except ConnectionResetError:
            self.ending = 'reset'
        self.ended.set()


# Guards against a request that runs after its caller has the final response, as
# an exit still sends what it holds.
async def test_bytes_in_a_tunnel_that_is_given_up_are_discarded(connect):
    held = Held()
    vms, target = await connect(held.serve)
    connection = await vms[0].pool.acquire(target.address, 3)
    connection.send(POST, bytes(LARGE_BYTES))
    await asyncio.sleep(0.3)
    vms[0].pool.release(connection)
    async with asyncio.timeout(NOTICE_SECONDS):
        await wait_until(lambda: not vms[1].paths.exits.count)
    await asyncio.sleep(0.1)
    held.reading.set()
    await asyncio.wait_for(held.ended.wait(), 5)
    assert held.ending == 'reset'
    assert held.count < LARGE_BYTES / 2


# Guards against an error, or a look at another connection, as an exit asks for
# the unsent bytes of a connection that its target has ended.
async def test_tunnel_whose_target_is_gone_ends_quietly(connect):
    async def reset(reader, writer):
        await target.read_request(reader)
        writer.transport.abort()

    failures = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: failures.append(context)
    )
    vms, target = await connect(reset)
    for _ in range(5):
        with pytest.raises(TargetBrokenError):
            await fetch(vms[0], target.address)
    await wait_until(lambda: not vms[1].paths.exits.count)
    assert not failures


# Guards against a target that is reset behind a complete response.
async def test_tunnel_ends_in_order_after_a_complete_response(connect):
    ends = []

    async def answer(reader, writer):
        await target.read_request(reader)
        writer.write(OK)
        ends.append(await reader.read())

    vms, target = await connect(answer)
    assert await fetch(vms[0], target.address) == b'ok'
    vms[0].pool.close()
    await wait_until(lambda: ends == [b''])


# Guards against a part of a response that counts as complete, since the target
# closes in order while its request waits at the exit.
async def test_close_before_the_request_has_passed_is_no_end(connect):
    async def answer_early(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(UNTIL_CLOSE + b'part')
        writer.write_eof()
        await asyncio.sleep(0.5)

    vms, target = await connect(answer_early)
    with pytest.raises(TargetBrokenError):
        await fetch(vms[0], target.address, POST, bytes(2_000_000))


# Guards against statuses that are no response and pass a tunnel.
@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
async def test_status_that_does_not_exist_passes_no_tunnel(
    start_vms, scripted, status
):
    odd = f'HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nok'
    target = await scripted([odd.encode() + OK])
    vms = await start_vms('ns', [target.address])
    vms[0].direct.cut = 'refused'
    with pytest.raises(TargetBrokenError):
        await fetch(vms[0], target.address, GET)
