"""Timeouts of connections that callers keep, beside a change of the limits."""

import asyncio
import socket
import time

import pytest
import uvloop

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import Listener
from galenaswitch.connections.requests import InboundLimits
from galenaswitch.operations.metrics import LocalMetrics

GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


class ChangingLimits:
    """Limits in force, which tests change while a connection is open."""

    def __init__(self):
        """Begin with a short idle timeout."""
        self.current = InboundLimits(idle_timeout_seconds=0.1)

    def __call__(self):
        """Return the limits now in force."""
        return self.current

    def set_idle_timeout(self, seconds):
        """Bring another idle timeout into force."""
        self.current = InboundLimits(idle_timeout_seconds=seconds)


class ChangingHandler:
    """Answers requests, and changes the idle timeout within each answer."""

    def __init__(self, limits):
        """Answer with the longer timeout of 1 s announced in the head."""
        self._limits = limits

    async def handle(self, request, writer):
        """Start an answer, change the limits and end the answer."""
        self._limits.set_idle_timeout(1.2)
        writer.start(AnswerHead(200, ()), 0)
        self._limits.set_idle_timeout(0.1)
        writer.finish()


async def open_server(limits):
    """Return a server on a free port, and its address."""
    return await serve(
        Listener(ChangingHandler(limits), limits, LocalMetrics())
    )


async def serve(listener):
    """Return a server of a listener on a free port, and its address."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(listener.open_connection, '127.0.0.1', 0)
    return server, server.sockets[0].getsockname()


@pytest.fixture
def limits():
    """Return limits that a test changes."""
    return ChangingLimits()


@pytest.fixture
async def connect(limits):
    """Return a function that opens a connection to a listener."""
    server, address = await open_server(limits)
    yield lambda: asyncio.open_connection(*address)
    server.close()


# Guards against a change of the idle timeout that closes a connection before
# the time that its last answer announced.
async def test_announced_idle_timeout_is_kept_after_a_change(connect):
    reader, writer = await connect()
    writer.write(GET)
    head = await reader.readuntil(b'\r\n\r\n')
    assert b'Keep-Alive: timeout=1\r\n' in head
    await asyncio.sleep(0.5)
    writer.write(GET)
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')


# Guards against an idle connection that a longer timeout, in force since, does
# not keep open.
async def test_longer_idle_timeout_counts_for_idle_connections(connect, limits):
    reader, writer = await connect()
    await asyncio.sleep(0.01)
    limits.set_idle_timeout(5)
    await asyncio.sleep(0.3)
    writer.write(GET)
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')


# Guards against a timeout that closes a connection whose request has arrived
# while the process stood still.
def test_request_that_arrived_while_the_loop_was_held_up_is_answered(limits):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        server, address = runner.run(open_server(limits))
        caller = socket.create_connection(address)
        caller.settimeout(2)
        runner.run(asyncio.sleep(0.05))
        mine, theirs = socket.socketpair()

        def hold_up():
            mine.recv(1)
            time.sleep(0.3)
            caller.sendall(GET)

        runner.get_loop().add_reader(mine, hold_up)
        theirs.send(b'x')
        runner.run(asyncio.sleep(0.1))
        assert caller.recv(99).startswith(b'HTTP/1.1 200')
        server.close()
        for one in (caller, mine, theirs):
            one.close()


# Guards against a stop that closes a connection whose request has arrived while
# the process stood still.
def test_stop_keeps_a_connection_whose_request_waits_to_be_read(limits):
    limits.set_idle_timeout(5)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        listener = Listener(ChangingHandler(limits), limits, LocalMetrics())
        server, address = runner.run(serve(listener))
        caller = socket.create_connection(address)
        caller.settimeout(2)
        runner.run(asyncio.sleep(0.05))

        async def stop():
            listener.draining = True
            caller.sendall(GET)
            while listener.connections:
                listener.close_idle()
                await asyncio.sleep(0.01)

        runner.run(asyncio.wait_for(stop(), 2))
        assert caller.recv(99).startswith(b'HTTP/1.1 200')
        server.close()
        caller.close()


async def trickle(writer, begin, part):
    """Send the begin of a request, and then a part again and again."""
    writer.write(begin)
    while not writer.is_closing():
        await asyncio.sleep(0.04)
        writer.write(part)


# Guards against a head or a body whose parts trickle in without an end, each of
# which would begin the timeout anew.
@pytest.mark.parametrize(
    ('begin', 'part'),
    [
        (GET[:-2], b'X: 1\r\n'),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n', b'a'),
    ],
)
async def test_request_that_trickles_in_is_rejected(
    connect, limits, begin, part
):
    limits.current = InboundLimits(
        header_timeout_seconds=0.2, idle_timeout_seconds=0.2
    )
    reader, writer = await connect()
    sending = asyncio.create_task(trickle(writer, begin, part))
    async with asyncio.timeout(2):
        head = await reader.readuntil(b'\r\n\r\n')
    sending.cancel()
    assert head.startswith(b'HTTP/1.1 408')


# Guards against a body that stops: its connection would stay open for ever.
async def test_body_that_stops_is_rejected(connect, limits):
    limits.current = InboundLimits(idle_timeout_seconds=0.2)
    reader, writer = await connect()
    writer.write(b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab')
    async with asyncio.timeout(2):
        head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 408')


# Guards against a timeout that cuts a body which is long and arrives steadily.
async def test_body_at_a_sound_rate_is_taken(connect, limits):
    limits.current = InboundLimits(idle_timeout_seconds=0.2)
    reader, writer = await connect()
    writer.write(b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n')
    for _ in range(10):
        writer.write(b'a' * 400)
        await asyncio.sleep(0.05)
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
