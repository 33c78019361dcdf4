"""Plain requests: forwarded headers, retries and refusals."""

import asyncio
from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import MemberList
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from standins.scripted import find_header

NOT_RUN = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\n'
    b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
MISDIRECTED = (
    b'HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n'
)


async def test_answer_is_forwarded_unchanged(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
):
    target = await scripted([make_answer(extra=b'X-Odd:  a \r\n')])
    request = make_caller_request(make_route(CallKind.once))
    await make_plain_runner(target).run(request, writer)
    assert (writer.head.status, writer.body) == (200, b'fine')
    assert (b'X-Server-Seal', b's') in writer.head.headers
    assert writer.finished


async def test_target_gets_instance_workspace_and_deadline_but_no_api_key(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
):
    target = await scripted([make_answer()])
    request = make_caller_request(
        make_route(CallKind.once),
        **{'X-Tenant': 'forged', 'X-Hold': 'h', 'Kv-From': 'x'},
    )
    await make_plain_runner(target).run(request, writer)
    (head,) = target.requests
    assert head.startswith('POST /a/x?y=%20 HTTP/1.1\r\n')
    assert find_header(head, 'X-Expect-Instance') == 't0'
    assert find_header(head, 'X-Tenant') == 'lab'
    assert 0 < int(find_header(head, 'X-Deadline-Ms')) <= 1500
    for name in ('Authorization', 'X-Hold', 'Kv-From'):
        assert not find_header(head, name)


@pytest.mark.parametrize('refusal', [NOT_RUN, MISDIRECTED])
async def test_request_that_has_not_run_is_sent_to_another_target(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
    refusal,
):
    targets = [await scripted([refusal]), await scripted([make_answer()])]
    runner = make_plain_runner(*targets)
    for _ in range(4):
        request = make_caller_request(make_route(CallKind.once))
        await runner.run(request, writer)
    assert writer.body == b'fine' * 4


@pytest.mark.parametrize(
    'broken',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\n'
        b'Content-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n'
        b'Content-Length: 2\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok',
        b'HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\n'
        b'Content-Length: 2\r\n\r\nok',
    ],
)
async def test_request_that_may_have_run_is_not_retried_or_reported_as_not_run(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    broken,
):
    targets = [await scripted([broken]), await scripted([broken])]
    with pytest.raises(RefusedError) as caught:
        await make_plain_runner(*targets).run(
            make_caller_request(make_route(CallKind.once)), writer
        )
    assert caught.value.run is ExecutionState.unknown
    assert caught.value.response.status == 502
    assert sum(len(target.requests) for target in targets) == 1
    assert not writer.started


# Guards against a refusal of an earlier request that a target writes again.
@pytest.mark.parametrize(
    'refusal',
    [
        NOT_RUN.replace(b'a1', b'earlier'),
        NOT_RUN.replace(b'X-Attempt-Id: a1\r\n', b''),
        MISDIRECTED.replace(b'a1', b'earlier'),
        MISDIRECTED.replace(b'X-Attempt-Id: a1\r\n', b''),
    ],
)
async def test_refusal_that_names_another_request_promises_nothing(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    refusal,
):
    targets = [await scripted([refusal]), await scripted([refusal])]
    with pytest.raises(RefusedError) as caught:
        await make_plain_runner(*targets).run(
            make_caller_request(make_route(CallKind.once)), writer
        )
    assert caught.value.run is ExecutionState.unknown
    assert caught.value.response.status == 502
    assert sum(len(target.requests) for target in targets) == 1
    assert not writer.started


# Guards against an answer that still comes and is read as that to the next
# request of its connection.
async def test_connection_with_an_answer_to_another_request_is_closed(
    make_plain_runner, scripted, make_route, make_caller_request, writer
):
    target = await scripted([NOT_RUN.replace(b'a1', b'earlier')])
    runner = make_plain_runner(target)
    for _ in range(2):
        request = make_caller_request(make_route(CallKind.once))
        with pytest.raises(RefusedError):
            await runner.run(request, writer)
    assert target.connections == 2


async def test_repeatable_request_is_retried_up_to_its_attempts(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
):
    targets = [await scripted([b'']) for _ in range(3)]
    with pytest.raises(RefusedError):
        await make_plain_runner(*targets).run(
            make_caller_request(make_route(CallKind.repeatable)),
            writer,
        )
    assert sum(len(target.requests) for target in targets) == 2


async def test_server_error_without_another_target_is_forwarded(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
):
    failed = make_answer(b'oops', b'500 Failed')
    target = await scripted([failed])
    await make_plain_runner(target).run(
        make_caller_request(make_route(CallKind.repeatable)),
        writer,
    )
    assert (writer.head.status, writer.body) == (500, b'oops')
    assert (b'X-Server-Seal', b's') in writer.head.headers


async def test_exhausted_retry_budget_ends_retries(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    budgets,
):
    budget = budgets.of('desk')
    now = asyncio.get_running_loop().time()
    while budget.acquire(now):
        assert not writer.started
    targets = [await scripted([NOT_RUN]) for _ in range(2)]
    with pytest.raises(RefusedError) as caught:
        await make_plain_runner(*targets).run(
            make_caller_request(make_route(CallKind.once)), writer
        )
    assert caught.value.reason is Reason.capacity
    assert caught.value.run is ExecutionState.not_run
    assert sum(len(target.requests) for target in targets) == 1


async def test_unreachable_target_is_replaced(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
):
    stopped = await scripted([make_answer()])
    await stopped.stop()
    target = await scripted([make_answer()])
    runner = make_plain_runner(stopped, target)
    for _ in range(3):
        await runner.run(make_caller_request(make_route(CallKind.once)), writer)
    assert len(target.requests) == 3


async def test_caller_that_disconnects_releases_its_target(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
):
    connection_closed = asyncio.Event()
    target = await scripted([b''])

    async def hang(reader, stream):
        await target.read_request(reader)
        with pytest.raises(ConnectionResetError):
            await reader.read()
        connection_closed.set()

    target._script = hang
    request = make_caller_request(make_route(CallKind.once))
    task = asyncio.create_task(make_plain_runner(target).run(request, writer))
    while not target.requests:
        await asyncio.sleep(0.01)
    task.cancel()
    async with asyncio.timeout(0.5):
        await connection_closed.wait()


async def test_silent_target_is_abandoned_at_the_deadline(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
):
    target = await scripted([b''])

    async def hang(reader, stream):
        await asyncio.sleep(30)

    target._script = hang
    request = make_caller_request(make_route(CallKind.once, timeout=0.1))
    with pytest.raises(RefusedError) as caught:
        await make_plain_runner(target).run(request, writer)
    assert caught.value.response.status == 504


# Guards against a harmful request that a target's own error shows as sound.
@pytest.mark.parametrize(
    ('status', 'clears'),
    [(b'200', 1), (b'404', 1), (b'500', 0), (b'504', 0)],
)
async def test_error_of_a_target_does_not_clear_a_request(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
    containment,
    status,
    clears,
):
    containment.record_answer = Mock()
    answer = make_answer().replace(b' 200 ', b' %b ' % status, 1)
    target = await scripted([answer])
    request = make_caller_request(make_route(CallKind.once))
    await make_plain_runner(target).run(request, writer)
    assert writer.head.status == int(status)
    assert containment.record_answer.call_count == clears


# Guards against crashes of plain targets that a change of the list hides.
async def test_target_that_is_no_longer_listed_may_have_crashed(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    containment,
    listed,
):
    containment.record_broken = AsyncMock()
    target = await scripted([b''])

    async def end(reader, stream_writer):
        await target.read_request(reader)
        listed.accept(MemberList(listed.member_list.revision + 1, (), ()))

    target._script = end
    request = make_caller_request(make_route(CallKind.once))
    with pytest.raises(RefusedError):
        await make_plain_runner(target).run(request, writer)
    assert containment.record_broken.await_count == 1
