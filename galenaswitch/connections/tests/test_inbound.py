"""Tests of the connections that callers open."""

import asyncio
from unittest.mock import Mock

import pytest
from structlog.testing import capture_logs

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import Listener
from galenaswitch.connections.requests import InboundLimits
from galenaswitch.operations.metrics import LocalMetrics

LIMITS = InboundLimits()
GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


class ScriptedHandler:
    """Request handler that runs a given coroutine function."""

    def __init__(self, respond):
        """Build a handler that calls the coroutine function ``respond``."""
        self.respond = respond
        self.cancelled = asyncio.Event()
        self.begun = asyncio.Event()

    async def handle(self, request, writer):
        """Respond to a request and record its cancellation."""
        self.begun.set()
        try:
            await self.respond(writer)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


@pytest.fixture
async def listen():
    """Return a function that serves a handler on a free port.

    The function returns the handler, its listener, and the reader and writer
    of a connection to it.
    """
    servers = []

    async def start(respond, limits=LIMITS):
        handler = ScriptedHandler(respond)
        listener = Listener(handler, lambda: limits, LocalMetrics())
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


async def respond_ok(writer):
    """Respond with status 200 and an empty body."""
    writer.start(AnswerHead(200, ()), 0)
    writer.finish()


async def hang(writer):
    """Never respond."""
    await asyncio.sleep(60)


async def test_connection_is_kept_alive_for_the_next_request(listen):
    _, _, reader, writer = await listen(respond_ok)
    for _ in range(2):
        writer.write(GET)
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        assert b'Keep-Alive: timeout=15' in head


async def test_disconnect_cancels_the_request_in_progress_at_once(listen):
    handler, _, _, writer = await listen(hang)
    writer.write(GET)
    await handler.begun.wait()
    writer.close()
    async with asyncio.timeout(0.5):
        await handler.cancelled.wait()


async def test_unfinished_response_does_not_look_complete(listen):
    async def stop_midway(writer):
        writer.start(AnswerHead(200, ()), None)
        await writer.write(b'some')

    _, _, reader, writer = await listen(stop_midway)
    writer.write(GET)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readuntil(b'0\r\n\r\n')


async def test_draining_listener_sends_connection_close(listen):
    _, listener, reader, writer = await listen(respond_ok)
    listener.draining = True
    writer.write(GET)
    response = await reader.read()
    assert b'Connection: close' in response


async def test_close_idle_keeps_a_busy_connection(listen):
    handler, listener, reader, writer = await listen(hang)
    writer.write(GET)
    await handler.begun.wait()
    listener.close_idle()
    assert len(listener.connections) == 1
    assert listener.busy == 1


# Guards against a stop that closes a connection before the request comes for
# which its caller has just opened it.
async def test_close_idle_leaves_a_new_connection_time_for_a_request(listen):
    _, listener, reader, writer = await listen(respond_ok)
    await asyncio.sleep(0.01)
    listener.close_idle(5)
    writer.write(GET)
    response = await reader.readuntil(b'\r\n\r\n')
    assert response.startswith(b'HTTP/1.1 200')
    await asyncio.sleep(0.2)
    listener.close_idle(0.1)
    assert not await reader.read()
    assert not listener.connections


async def test_incomplete_head_is_rejected_with_408(listen):
    limits = InboundLimits(header_timeout_seconds=0.1)
    _, _, reader, writer = await listen(respond_ok, limits)
    writer.write(b'GET / HT')
    response = await reader.read()
    assert response.startswith(b'HTTP/1.1 408')


async def test_idle_connection_is_closed_without_a_response(listen):
    limits = InboundLimits(idle_timeout_seconds=0.1)
    _, _, reader, _ = await listen(respond_ok, limits)
    assert await reader.read() == b''


async def test_invalid_bytes_are_rejected_with_400(listen):
    _, _, reader, writer = await listen(respond_ok)
    writer.write(b'\x00\x01nonsense\r\n\r\n')
    response = await reader.read()
    assert response.startswith(b'HTTP/1.1 400')


async def start_and_fail(writer):
    """Fail in the middle of a response."""
    writer.start(AnswerHead(200, ()), 9)
    await writer.write(b'some')
    raise KeyError('x' * 9999)


async def fail(writer):
    """Fail before a response."""
    raise KeyError('x' * 9999)


async def wait_for_a_cancelled_task(writer):
    """Wait for a task of others that is cancelled."""
    task = asyncio.ensure_future(asyncio.sleep(60))
    asyncio.get_running_loop().call_soon(task.cancel)
    await task


async def leave_unanswered(writer):
    """Return without a response."""


# Guards against a whole request that gets neither an answer nor a refusal.
@pytest.mark.parametrize(
    'respond', [fail, wait_for_a_cancelled_task, leave_unanswered]
)
async def test_request_whose_handler_fails_is_answered_with_500(
    listen, respond
):
    _, listener, reader, writer = await listen(respond)
    writer.write(GET)
    async with asyncio.timeout(1):
        response = await reader.read()
    assert response.startswith(b'HTTP/1.1 500')
    assert response.endswith(b'Connection: close\r\n\r\n')
    assert not listener.busy


# Guards against a response that a failure leaves open or makes look complete.
async def test_connection_ends_when_a_started_response_fails(listen):
    _, _, reader, writer = await listen(start_and_fail)
    writer.write(GET)
    await reader.readuntil(b'\r\n\r\n')
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        async with asyncio.timeout(1):
            await reader.readexactly(9)


# Guards against failures of requests that leave no trace in the logs.
async def test_failure_leaves_one_bounded_line_and_a_count(listen):
    with capture_logs() as lines:
        _, listener, reader, writer = await listen(fail)
        writer.write(GET)
        await reader.read()
    (line,) = [line for line in lines if line['log_level'] == 'error']
    assert line['failure'] == 'KeyError'
    assert line['trace'].endswith(':fail')
    assert len(str(line)) < 1000
    assert listener._metrics.dump()['request_unanswered'] == 1


async def send_get_unseen(listen):
    """Return a connection whose whole request its task has not seen yet."""
    _, listener, reader, writer = await listen(respond_ok)
    await asyncio.sleep(0.01)
    (connection,) = listener.connections
    connection.data_received(GET)
    return listener, reader, writer


# Guards against a stop that drops a request which was read a moment before.
async def test_close_idle_keeps_a_connection_with_a_whole_request(listen):
    listener, reader, _ = await send_get_unseen(listen)
    listener.close_idle()
    response = await reader.readuntil(b'\r\n\r\n')
    assert response.startswith(b'HTTP/1.1 200')


# Guards against bytes whose parsing fails, which reset a connection.
async def test_failure_of_the_parser_is_answered_with_500(listen):
    limits = InboundLimits(max_header_bytes=None)
    _, _, reader, writer = await listen(respond_ok, limits)
    writer.write(GET)
    response = await reader.read()
    assert response.startswith(b'HTTP/1.1 500')


# Guards against a connection that stays open without a task, so that its caller
# waits for ever.
async def test_connection_ends_with_its_task(listen):
    async def respond_and_break(writer):
        (connection,) = listener.connections
        connection.timer.start = Mock(side_effect=KeyError('limits'))
        await respond_ok(writer)

    _, listener, reader, writer = await listen(respond_and_break)
    writer.write(GET)
    with capture_logs() as lines:
        async with asyncio.timeout(1):
            response = await reader.read()
    assert response.startswith(b'HTTP/1.1 200')
    assert lines[0]['event'] == 'connection_failed'
    assert not listener.connections
