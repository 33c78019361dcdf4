"""Answers without end or without a length, from targets to callers."""

import asyncio
import time

import pytest

from galenaswitch.gateway.events import MAX_EVENT_BYTES, EventBuffer
from galenaswitch.gateway.routes import CallKind
from galenaswitch.refusals import RefusedError

HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\n'
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'


@pytest.fixture
async def endless(scripted):
    """Return a function that makes a target that sends bytes without end."""

    async def make(start, repeated):
        target = await scripted([b''])

        async def send(reader, writer):
            await target.read_request(reader)
            writer.write(start)
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0)

        target._script = send
        return target

    return make


# Guards against a body without end that is kept until the deadline.
async def test_endless_body_is_a_true_failure(
    make_plain_runner, endless, make_route, make_caller_request, writer
):
    target = await endless(HEAD + b'\r\n', b'x' * 100_000)
    request = make_caller_request(make_route(CallKind.once))
    started_at = time.monotonic()
    with pytest.raises(RefusedError) as caught:
        await make_plain_runner(target).run(request, writer)
    assert caught.value.response.status == 502
    assert time.monotonic() - started_at < 1
    assert not writer.started


# Guards against an event without end that is kept until the deadline.
async def test_endless_event_is_a_true_failure(
    run_stream, endless, make_route, writer
):
    target = await endless(HEAD + b'\r\ndata: ', b'x' * 10_000)
    started_at = time.monotonic()
    with pytest.raises(RefusedError) as caught:
        await run_stream(make_route(CallKind.stream), target)
    assert caught.value.response.status == 502
    assert time.monotonic() - started_at < 1
    assert not writer.started


# Guards against a quadratic search in an event that comes in many small parts.
def test_event_in_many_small_parts_takes_linear_time():
    start = b'id: 1\ndata: '
    buffer = EventBuffer()
    buffer.feed(start)
    started_at = time.process_time()
    for _ in range(MAX_EVENT_BYTES // 10):
        buffer.feed(b'x' * 10)
    assert time.process_time() - started_at < 2
    assert buffer.feed(b'\n') == b''
    event_bytes = len(start) + MAX_EVENT_BYTES // 10 * 10 + 2
    assert len(buffer.feed(b'\nid: 2')) == event_bytes


async def test_stream_without_a_length_is_complete_at_its_end(
    run_stream, scripted, make_route, writer
):
    target = await scripted([HEAD + b'\r\n' + EVENTS])
    await run_stream(make_route(CallKind.stream), target)
    assert writer.body == EVENTS
    assert writer.finished


async def test_stream_without_a_length_that_ends_in_an_event_is_broken(
    run_stream, scripted, make_route, writer
):
    target = await scripted([HEAD + b'\r\n' + EVENTS + b'id: 3\nda'])
    with pytest.raises(RefusedError):
        await run_stream(make_route(CallKind.stream), target)
    assert writer.body == EVENTS
    assert not writer.finished


async def test_stream_without_a_length_that_is_reset_is_broken(
    run_stream, scripted, make_route, writer
):
    target = await scripted([HEAD + b'\r\n' + EVENTS], reset=True)
    with pytest.raises(RefusedError):
        await run_stream(make_route(CallKind.stream), target)
    assert not writer.finished


@pytest.mark.parametrize('reset', [False, True])
async def test_plain_answer_without_a_length_ends_with_its_connection(
    make_plain_runner, scripted, make_route, make_caller_request, writer, reset
):
    target = await scripted([HEAD + b'\r\nwhole'], reset=reset)
    request = make_caller_request(make_route(CallKind.once))
    runner = make_plain_runner(target)
    if reset:
        with pytest.raises(RefusedError):
            await runner.run(request, writer)
        assert not writer.started
        return
    await runner.run(request, writer)
    assert writer.body == b'whole'
