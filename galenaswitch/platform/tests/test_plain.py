"""Plain calls: what is passed on, repeated and refused."""

import asyncio

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from standins.scripted import find_header

NOT_RUN = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\n'
    b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
MISDIRECTED = b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n'


async def test_answer_is_passed_on_as_it_came(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
    answer,
):
    target = await scripted([answer(extra=b'X-Odd:  a \r\n')])
    call = make_call(make_route(CallKind.once))
    await plain(target).run(call, writer)
    assert (writer.head.status, writer.body) == (200, b'fine')
    assert (b'X-Server-Seal', b's') in writer.head.headers
    assert writer.finished


async def test_target_gets_instance_workspace_and_time_but_no_key(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
    answer,
):
    target = await scripted([answer()])
    call = make_call(
        make_route(CallKind.once),
        **{'X-Tenant': 'forged', 'X-Hold': 'h', 'Kv-From': 'x'},
    )
    await plain(target).run(call, writer)
    (head,) = target.requests
    assert head.startswith('POST /a/x?y=%20 HTTP/1.1\r\n')
    assert find_header(head, 'X-Expect-Instance') == 't0'
    assert find_header(head, 'X-Tenant') == 'lab'
    assert 0 < int(find_header(head, 'X-Deadline-Ms')) <= 1500
    for name in ('Authorization', 'X-Hold', 'Kv-From'):
        assert not find_header(head, name)


@pytest.mark.parametrize('refusal', [NOT_RUN, MISDIRECTED])
async def test_call_that_has_not_run_is_sent_once_more(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
    answer,
    refusal,
):
    targets = [await scripted([refusal]), await scripted([answer()])]
    runner = plain(*targets)
    for _ in range(4):
        call = make_call(make_route(CallKind.once))
        await runner.run(call, writer)
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
async def test_call_that_may_have_run_is_neither_repeated_nor_called_not_run(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
    broken,
):
    targets = [await scripted([broken]), await scripted([broken])]
    with pytest.raises(RefusedError) as caught:
        await plain(*targets).run(make_call(make_route(CallKind.once)), writer)
    assert caught.value.run is ExecutionState.unknown
    assert caught.value.response.status == 502
    assert sum(len(target.requests) for target in targets) == 1
    assert not writer.started


async def test_repeatable_call_is_repeated_within_its_attempts(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
    answer,
):
    targets = [await scripted([b'']) for _ in range(3)]
    with pytest.raises(RefusedError):
        await plain(*targets).run(
            make_call(make_route(CallKind.repeatable)),
            writer,
        )
    assert sum(len(target.requests) for target in targets) == 2


async def test_failure_of_a_target_is_repeated_or_passed_on(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
    answer,
):
    failed = answer(b'oops', b'500 Failed')
    target = await scripted([failed])
    await plain(target).run(
        make_call(make_route(CallKind.repeatable)),
        writer,
    )
    assert (writer.head.status, writer.body) == (500, b'oops')
    assert (b'X-Server-Seal', b's') in writer.head.headers


async def test_budget_that_is_used_up_ends_repeated_sends(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
    budgets,
):
    budget = budgets.of('desk')
    now = asyncio.get_running_loop().time()
    while budget.take(now):
        assert not writer.started
    targets = [await scripted([NOT_RUN]) for _ in range(2)]
    with pytest.raises(RefusedError) as caught:
        await plain(*targets).run(make_call(make_route(CallKind.once)), writer)
    assert caught.value.reason is Reason.capacity
    assert caught.value.run is ExecutionState.not_run
    assert sum(len(target.requests) for target in targets) == 1


async def test_nobody_listening_is_no_send(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
    answer,
):
    gone = await scripted([answer()])
    await gone.stop()
    target = await scripted([answer()])
    runner = plain(gone, target)
    for _ in range(3):
        await runner.run(make_call(make_route(CallKind.once)), writer)
    assert len(target.requests) == 3


async def test_caller_that_leaves_frees_its_target(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
):
    freed = asyncio.Event()
    target = await scripted([b''])

    async def hang(reader, stream):
        await target.read_request(reader)
        await reader.read()
        freed.set()

    target._script = hang
    call = make_call(make_route(CallKind.once))
    task = asyncio.create_task(plain(target).run(call, writer))
    while not target.requests:
        await asyncio.sleep(0.01)
    task.cancel()
    async with asyncio.timeout(0.5):
        await freed.wait()


async def test_deadline_ends_a_silent_call(
    plain,
    scripted,
    make_route,
    make_call,
    writer,
):
    target = await scripted([b''])

    async def hang(reader, stream):
        await asyncio.sleep(30)

    target._script = hang
    call = make_call(make_route(CallKind.once, timeout=0.1))
    with pytest.raises(RefusedError) as caught:
        await plain(target).run(call, writer)
    assert caught.value.response.status == 504
