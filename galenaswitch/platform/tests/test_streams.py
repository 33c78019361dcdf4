"""Generated answers: complete events, resumes and refusals."""

import asyncio
import contextlib
from unittest.mock import AsyncMock

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import LEAVING, LeavingSign, MemberList
from galenaswitch.quarantine.messages import CrashReport, ImplicatedPart
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from standins.scripted import find_header

HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: %b\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
NOT_RUN = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\n'
    b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


def event(number):
    """Return one event of a stream."""
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def stream(events, seal=b's', end=b'0\r\n\r\n'):
    """Return the answer of an engine; an empty ``end`` truncates it."""
    body = b''.join(b'%x\r\n%b\r\n' % (len(one), one) for one in events)
    return HEAD % seal + body + end


async def test_complete_events_are_forwarded(
    run_stream,
    make_route,
    scripted,
    writer,
):
    complete_events = [event(1), event(2), event(3)]
    target = await scripted([stream(complete_events)])
    await run_stream(make_route(CallKind.stream), target)
    assert writer.body == b''.join(complete_events)
    assert writer.finished


async def test_truncated_stream_is_aborted_after_a_complete_event(
    run_stream,
    make_route,
    scripted,
    writer,
):
    target = await scripted([stream([event(1), b'id: 2\nda'], end=b'')])
    with pytest.raises(RefusedError) as caught:
        await run_stream(make_route(CallKind.stream), target)
    assert writer.body == event(1)
    assert not writer.finished
    assert caught.value.run is ExecutionState.unknown


async def test_stream_that_ends_within_an_event_is_not_complete(
    run_stream,
    make_route,
    scripted,
    writer,
):
    target = await scripted([stream([event(1), b'id: 2\nda'])])
    with pytest.raises(RefusedError):
        await run_stream(make_route(CallKind.stream), target)
    assert not writer.finished


async def test_resumable_stream_continues_at_another_engine(
    run_stream,
    make_route,
    scripted,
    writer,
):
    truncated = stream([event(1), b'id: 2\nda'], seal=b'one', end=b'')
    resumed = stream([event(2), event(3)], seal=b'two')
    answers = [truncated, resumed]
    targets = [await scripted([b'']) for _ in range(2)]

    def serve_next(target):
        async def serve(reader, stream_writer):
            await target.read_request(reader)
            stream_writer.write(answers.pop(0))
            await stream_writer.drain()

        return serve

    for target in targets:
        target._script = serve_next(target)
    await run_stream(
        make_route(CallKind.stream, resumable=True),
        *targets,
    )
    assert writer.body == event(1) + event(2) + event(3)
    assert (b'X-Server-Seal', b'one') in writer.head.headers
    heads = [head for target in targets for head in target.requests]
    last_event_ids = {find_header(head, 'Last-Event-Id') for head in heads}
    assert last_event_ids == {'', '1'}
    assert all(len(target.requests) == 1 for target in targets)


async def test_engine_that_has_not_run_the_request_is_replaced(
    run_stream,
    make_route,
    scripted,
    writer,
):
    answers = [NOT_RUN, stream([event(1)])]
    targets = [await scripted([b'']) for _ in range(2)]

    def serve_next(target):
        async def serve(reader, stream_writer):
            await target.read_request(reader)
            stream_writer.write(answers.pop(0))
            await stream_writer.drain()

        return serve

    for target in targets:
        target._script = serve_next(target)
    await run_stream(make_route(CallKind.stream), *targets)
    assert writer.body == event(1)


async def test_refusal_by_all_engines_is_reported_as_not_run(
    run_stream,
    make_route,
    scripted,
    writer,
):
    targets = [await scripted([NOT_RUN]) for _ in range(2)]
    with pytest.raises(RefusedError) as caught:
        await run_stream(make_route(CallKind.stream), *targets)
    assert caught.value.run is ExecutionState.not_run
    assert caught.value.response.status == 503


async def test_answer_to_another_request_is_not_forwarded(
    run_stream,
    make_route,
    scripted,
    writer,
):
    other = stream([event(1)]).replace(b'a1', b'zz')
    target = await scripted([other])
    with pytest.raises(RefusedError) as caught:
        await run_stream(make_route(CallKind.stream), target)
    assert not writer.started
    assert caught.value.response.status == 502


async def test_caller_that_disconnects_releases_its_engine(
    run_stream,
    make_route,
    scripted,
    writer,
):
    connection_closed = asyncio.Event()
    target = await scripted([b''])

    async def hang(reader, stream_writer):
        await target.read_request(reader)
        stream_writer.write(stream([event(1)], end=b''))
        with pytest.raises(ConnectionResetError):
            await reader.read()
        connection_closed.set()

    target._script = hang
    task = asyncio.create_task(
        run_stream(make_route(CallKind.stream), target),
    )
    while not writer.body:
        await asyncio.sleep(0.01)
    task.cancel()
    async with asyncio.timeout(0.5):
        await connection_closed.wait()


BROKEN = b''
PROMPT = {'X-Prompt-Prefix': 'bad:10,own:10'}


# Guards against a repeat that carries a harmful part to the next engine.
@pytest.mark.parametrize(('crash_count', 'send_count'), [(1, 2), (2, 1)])
async def test_stream_of_a_part_with_two_crashes_is_not_repeated(
    run_stream, make_route, scripted, containment, crash_count, send_count
):
    parts = (ImplicatedPart('bad', 0, False, 0.1),)
    for number in range(crash_count):
        report = CrashReport(f'e{number}/1', parts, age=9 - number)
        containment._add_crash(report, None)
    targets = [await scripted([BROKEN]) for _ in range(2)]
    with pytest.raises(RefusedError):
        await run_stream(
            make_route(CallKind.stream, resumable=True), *targets, **PROMPT
        )
    assert sum(len(target.requests) for target in targets) == send_count


def list_changed(listed, **changes):
    """Let the next member list have changed entries."""
    known = listed.member_list
    targets = tuple(one._replace(**changes) for one in known.targets)
    listed.accept(MemberList(known.revision + 1, (), targets))


def list_none(listed):
    """Let the next member list have no entries."""
    listed.accept(MemberList(listed.member_list.revision + 1, (), ()))


def list_leaving_and_none(listed):
    """Let a member list mark its entries, and the next one have none."""
    list_changed(listed, state=LEAVING)
    list_none(listed)


# Guards against parts that are blamed for the planned end of an engine, and
# against crashes that a change of the member list hides.
@pytest.mark.parametrize(
    ('change', 'is_leaving'),
    [
        (lambda listed: listed.record_leaving(LeavingSign('t0', 't0/1')), True),
        (lambda listed: list_changed(listed, state=LEAVING), True),
        (list_leaving_and_none, True),
        (lambda listed: None, False),
        (list_none, False),
        (lambda listed: list_changed(listed, incarnation='t0/2'), False),
        (lambda listed: list_changed(listed, zone='y'), False),
    ],
)
async def test_engine_that_is_leaving_has_not_crashed(
    run_stream, make_route, scripted, containment, listed, change, is_leaving
):
    containment.record_broken = AsyncMock()
    target = await scripted([BROKEN])

    async def end(reader, stream_writer):
        await target.read_request(reader)
        change(listed)

    target._script = end
    with pytest.raises(RefusedError):
        await run_stream(make_route(CallKind.stream), target, **PROMPT)
    assert containment.record_broken.await_count == (not is_leaving)


# Guards against a harmful part that the first event of an answer clears, and
# against sound parts that answers don't clear.
@pytest.mark.parametrize(
    ('answer', 'crash_count'),
    [
        (stream([event(1)]), 0),
        (stream([event(1)], end=b''), 1),
        (stream([event(1), event(2), event(3)], end=b''), 1),
    ],
)
async def test_complete_stream_alone_clears_the_parts_of_a_prompt(
    run_stream, make_route, scripted, containment, answer, crash_count
):
    parts = (ImplicatedPart('bad', 0, False, 0.1),)
    containment._add_crash(CrashReport('e0/1', parts, age=5), None)
    assert containment._evidence.count_crashes('bad') == 1
    target = await scripted([answer])
    with contextlib.suppress(RefusedError):
        await run_stream(make_route(CallKind.stream), target, **PROMPT)
    assert containment._evidence.count_crashes('bad') == crash_count


# Guards against a request that was under way when its part was quarantined.
async def test_part_quarantined_meanwhile_is_not_sent(
    run_stream, make_route, scripted, containment
):
    containment.admit = AsyncMock(return_value='')
    containment._records.add('bad', ())
    target = await scripted([stream([event(1)])])
    with pytest.raises(RefusedError) as caught:
        await run_stream(make_route(CallKind.stream), target, **PROMPT)
    assert caught.value.reason is Reason.quarantined
    assert not target.requests
