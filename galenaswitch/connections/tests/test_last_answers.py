"""Last answers of connections whose callers go on sending, or have left.

The answers are larger than what callers receive before they read, so that a
reset cuts them.
"""

import asyncio
import socket

import pytest
import uvloop

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import Listener
from galenaswitch.connections.requests import InboundLimits
from galenaswitch.operations.metrics import LocalMetrics

GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
EXPECT = (
    b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n'
    b'Expect: 100-continue\r\n\r\n'
)
BODY = b'x' * 250_000


class LargeHandler:
    """Answers each request with more than its caller receives unread."""

    async def handle(self, request, writer):
        """Answer a request with status 200."""
        writer.start(AnswerHead(200, ()), len(BODY))
        await writer.write(BODY)
        writer.finish()


@pytest.fixture(
    params=(uvloop.EventLoopPolicy, asyncio.DefaultEventLoopPolicy),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run the tests on either loop."""
    return request.param()


@pytest.fixture
async def listener():
    """Return a listener that is stopping, on a free port."""
    limits = InboundLimits(max_body_bytes=10)
    return Listener(LargeHandler(), lambda: limits, LocalMetrics())


@pytest.fixture
async def caller(listener):
    """Return a blocking socket that is connected to the listener."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(listener.open_connection, '127.0.0.1', 0)
    with socket.create_connection(server.sockets[0].getsockname()) as connected:
        connected.settimeout(2)
        yield connected
    server.close()


@pytest.fixture
async def answered(listener, caller):
    """Return a connection that has sent its last answer, yet unread."""
    await asyncio.sleep(0.05)
    (connection,) = listener.connections
    listener.draining = True
    caller.sendall(GET)
    async with asyncio.timeout(2):
        while connection.end is None:
            await asyncio.sleep(0.01)
    return connection


def read_all(caller):
    """Return what a caller receives until the end of its connection."""
    answer = b''
    while part := caller.recv(65536):
        answer += part
    return answer


# Guards against a last answer that is cut, as the stop closes its connection
# while bytes of its caller are unread.
async def test_last_answer_is_complete_though_the_stop_polls(
    listener, caller, answered
):
    caller.sendall(GET)
    listener.close_idle()
    await asyncio.sleep(0.05)
    answer = await asyncio.to_thread(read_all, caller)
    assert answer.endswith(b'\r\n\r\n' + BODY)


# Guards against a last answer that is cut by what its caller sends after it.
@pytest.mark.parametrize('sent', [GET * 6, b'\0nonsense\r\n\r\n', EXPECT])
async def test_last_answer_is_complete_whatever_is_sent_after_it(
    caller, answered, sent
):
    for part in (sent, GET):
        caller.sendall(part)
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.1)
    answer = await asyncio.to_thread(read_all, caller)
    assert answer.endswith(b'\r\n\r\n' + BODY)


def send_whole(caller):
    """Send a body that is too large, and then read the answer."""
    caller.sendall(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n'
    )
    caller.sendall(b'\r\n')
    for _ in range(20):
        caller.sendall(b'x' * 1_000_000)
    return read_all(caller)


# Guards against a rejection that its caller never reads, as it sends its whole
# body first.
async def test_rejection_is_read_by_a_caller_that_sends_its_body_first(caller):
    answer = await asyncio.to_thread(send_whole, caller)
    assert answer.startswith(b'HTTP/1.1 413')


# Guards against a connection that is kept in memory after its caller has left.
async def test_caller_that_leaves_ends_the_wait_for_it(
    listener, caller, answered
):
    timer = answered._linger
    assert not timer.cancelled()
    await asyncio.to_thread(read_all, caller)
    caller.close()
    await asyncio.sleep(0.05)
    assert timer.cancelled()
    assert not listener.connections
