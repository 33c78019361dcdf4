"""Ends of connections that callers open: their reason, and the last answer."""

import asyncio
import socket
import struct
import time

import pytest
import uvloop

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import Listener
from galenaswitch.connections.requests import InboundLimits
from galenaswitch.operations.metrics import LocalMetrics

GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
RESET = struct.pack('ii', 1, 0)


class HangingHandler:
    """Leaves requests without an answer until they end, and records why."""

    def __init__(self):
        """Build a handler that has no request."""
        self.begun = asyncio.Event()
        self.ended = asyncio.Event()
        self.end = None

    async def handle(self, request, writer):
        """Wait, and record what ended the connection."""
        self.begun.set()
        try:
            await asyncio.sleep(60)
        finally:
            self.end = writer.connection_end.name
            self.ended.set()


class QuickHandler:
    """Answers each request at once."""

    async def handle(self, request, writer):
        """Answer a request with status 200."""
        writer.start(AnswerHead(200, ()), 0)
        writer.finish()


@pytest.fixture(
    params=(uvloop.EventLoopPolicy, asyncio.DefaultEventLoopPolicy),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run the tests on either loop."""
    return request.param()


@pytest.fixture
async def serve():
    """Return a function that serves a handler on a free port.

    The function returns the listener and a blocking socket connected to it.
    """
    opened = []

    async def start(handler, limits):
        listener = Listener(handler, lambda: limits, LocalMetrics())
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            listener.open_connection, '127.0.0.1', 0
        )
        caller = socket.create_connection(server.sockets[0].getsockname())
        caller.settimeout(2)
        opened.extend((server, caller))
        return listener, caller

    yield start
    for one in opened:
        one.close()


def close(caller):
    """Close a connection in order."""
    caller.close()


def reset(caller):
    """Reset a connection."""
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    caller.close()


# Guards against a caller that left and one whose connection was lost, which the
# log doesn't tell apart.
@pytest.mark.parametrize(
    ('leave', 'end'), [(close, 'caller_closed'), (reset, 'caller_reset')]
)
async def test_end_by_the_caller_has_its_reason(serve, leave, end):
    handler = HangingHandler()
    _, caller = await serve(handler, InboundLimits())
    caller.sendall(GET)
    await asyncio.wait_for(handler.begun.wait(), 2)
    leave(caller)
    await asyncio.wait_for(handler.ended.wait(), 2)
    assert handler.end == end


# Guards against a connection that the server closed and that counts as one that
# its caller left.
@pytest.mark.parametrize(
    ('is_stopping', 'end'), [(False, 'idle'), (True, 'stop')]
)
async def test_end_by_the_server_has_its_reason(serve, is_stopping, end):
    listener, _ = await serve(QuickHandler(), InboundLimits())
    await asyncio.sleep(0.05)
    (connection,) = listener.connections
    listener.draining = is_stopping
    listener.close_idle()
    assert connection.end.name == end


def send_late(caller, first, rest):
    """Send bytes, and more of them before the answer is read; return it."""
    caller.sendall(first)
    time.sleep(0.05)
    for part in rest:
        caller.sendall(part)
        time.sleep(0.05)
    answer = b''
    while part := caller.recv(65536):
        answer += part
    return answer


# Guards against a rejection that its caller never reads, as the bytes that it
# still sends reset the connection.
async def test_rejection_is_read_by_a_caller_that_goes_on_sending(serve):
    limits = InboundLimits(max_body_bytes=10)
    listener, caller = await serve(QuickHandler(), limits)
    head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n'
    answer = await asyncio.to_thread(send_late, caller, head, [b'x' * 9000] * 5)
    assert answer.startswith(b'HTTP/1.1 413')
    await asyncio.sleep(1.2)
    assert not listener.connections


# Guards against a last answer that its caller never reads, as it has sent its
# next request on a connection that the stop closes.
async def test_last_answer_is_read_by_a_caller_that_goes_on_sending(serve):
    listener, caller = await serve(QuickHandler(), InboundLimits())
    listener.draining = True
    answer = await asyncio.to_thread(send_late, caller, GET, [GET] * 3)
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'Connection: close' in answer
    await asyncio.sleep(1.2)
    assert not listener.connections


class LargeHandler:
    """Answers with a body that the kernel's buffers can't take at once."""

    async def handle(self, request, writer):
        """Answer a request with 8 MB."""
        writer.start(AnswerHead(200, ()), 8_000_000)
        for _ in range(80):
            await writer.write(b'x' * 100_000)
        writer.finish()


def read_slowly(caller):
    """Send a request and read its answer after a pause; return its length."""
    caller.sendall(GET)
    time.sleep(1.3)
    length = 0
    while part := caller.recv(65536):
        length += len(part)
        time.sleep(0.005)
    return length


# Guards against a last answer that is cut, as its caller reads slowly.
async def test_last_answer_is_complete_for_a_slow_caller(serve):
    listener, caller = await serve(LargeHandler(), InboundLimits())
    listener.draining = True
    assert await asyncio.to_thread(read_slowly, caller) > 8_000_000
