"""Connections of callers."""

import asyncio

import pytest

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import Listener
from galenaswitch.connections.requests import InboundLimits

LIMITS = InboundLimits()
GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


class Answering:
    """Handler that answers as a test says."""

    def __init__(self, act):
        """Answer with the coroutine function ``act``."""
        self.act = act
        self.cancelled = asyncio.Event()
        self.begun = asyncio.Event()

    async def handle(self, request, writer):
        """Answer a request, noting when it is cancelled."""
        self.begun.set()
        try:
            await self.act(writer)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


@pytest.fixture
async def listen():
    """Serve a handler on a free port; return handler, listener, streams."""
    servers = []

    async def start(act, limits=LIMITS):
        handler = Answering(act)
        listener = Listener(handler, lambda: limits)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            listener.open_connection,
            '127.0.0.1',
            0,
        )
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        return handler, listener, reader, writer

    yield start
    for server in servers:
        server.close()


async def answer_ok(writer):
    """Answer with an empty success."""
    writer.start(AnswerHead(200, ()), 0)
    writer.finish()


async def hang(writer):
    """Never answer."""
    await asyncio.sleep(60)


async def test_connection_is_kept_for_the_next_request(listen):
    _, _, reader, writer = await listen(answer_ok)
    for _ in range(2):
        writer.write(GET)
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        assert b'Keep-Alive: timeout=15' in head


async def test_caller_that_leaves_cancels_its_request_at_once(listen):
    handler, _, _, writer = await listen(hang)
    writer.write(GET)
    await handler.begun.wait()
    writer.close()
    async with asyncio.timeout(0.5):
        await handler.cancelled.wait()


async def test_answer_that_breaks_off_does_not_look_complete(listen):
    async def break_off(writer):
        writer.start(AnswerHead(200, ()), None)
        await writer.write(b'some')

    _, _, reader, writer = await listen(break_off)
    writer.write(GET)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readuntil(b'0\r\n\r\n')


async def test_closing_is_told_before_the_connection_ends(listen):
    _, listener, reader, writer = await listen(answer_ok)
    listener.draining = True
    writer.write(GET)
    whole = await reader.read()
    assert b'Connection: close' in whole


async def test_idle_connections_close_at_a_stop_and_busy_ones_stay(listen):
    handler, listener, reader, writer = await listen(hang)
    writer.write(GET)
    await handler.begun.wait()
    listener.close_idle()
    assert len(listener.connections) == 1
    assert listener.busy == 1


async def test_head_that_never_ends_is_answered_408(listen):
    limits = InboundLimits(header_timeout_seconds=0.1)
    _, _, reader, writer = await listen(answer_ok, limits)
    writer.write(b'GET / HT')
    whole = await reader.read()
    assert whole.startswith(b'HTTP/1.1 408')


async def test_idle_connection_is_closed_without_a_word(listen):
    limits = InboundLimits(idle_timeout_seconds=0.1)
    _, _, reader, _ = await listen(answer_ok, limits)
    assert await reader.read() == b''


async def test_rejected_bytes_are_answered_and_closed(listen):
    _, _, reader, writer = await listen(answer_ok)
    writer.write(b'\x00\x01nonsense\r\n\r\n')
    whole = await reader.read()
    assert whole.startswith(b'HTTP/1.1 400')
