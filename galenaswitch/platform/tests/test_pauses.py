"""Targets that refuse a request and ask this VM for a pause."""

import asyncio
import time

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.paths.messages import PauseNote
from galenaswitch.platform.soak.promises import check_pauses
from galenaswitch.platform.soak.records import SentRequest
from galenaswitch.refusals import ExecutionState, RefusedError

EVENT = b'id: 1\ndata: x\n\n'


def refuse(retry_after):
    """Return the refusal of a target that asks for a pause."""
    return (
        b'HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\n'
        b'X-Not-Executed: 1\r\nRetry-After: %b\r\nContent-Length: 0\r\n\r\n'
    ) % retry_after


@pytest.fixture
def send_plain(make_plain_runner, make_route, make_caller_request, writer):
    """Return a function that opens a function which sends plain requests."""

    def open_for(*targets, **changes):
        runner = make_plain_runner(*targets)
        route = make_route(CallKind.once, **changes)

        async def send():
            await runner.run(make_caller_request(route), writer)

        return send

    return open_for


# Guards against requests to a target that asked for a pause.
async def test_paused_target_gets_no_requests_while_another_serves(
    send_plain, scripted, make_answer
):
    paused = await scripted([refuse(b'30')])
    other = await scripted([make_answer()])
    send = send_plain(paused, other)
    for _ in range(8):
        await send()
    assert len(paused.requests) == 1
    assert len(other.requests) == 8


# Guards against waiting for a pause that ends too late, or a false time.
async def test_request_is_refused_at_once_while_all_targets_are_paused(
    send_plain, scripted
):
    targets = [await scripted([refuse(b'30')]), await scripted([refuse(b'9')])]
    send = send_plain(*targets)
    for _ in range(3):
        started_at = time.monotonic()
        with pytest.raises(RefusedError) as caught:
            await send()
        assert time.monotonic() - started_at < 0.3
        assert caught.value.response.status == 503
        assert caught.value.run is ExecutionState.not_run
        assert caught.value.retry_after == pytest.approx(9, abs=0.5)
    assert [len(target.requests) for target in targets] == [1, 1]


# Guards against a refusal when a pause ends well within the objective.
async def test_request_waits_for_a_pause_that_ends_in_time(
    send_plain, scripted, make_answer, writer
):
    target = await scripted([refuse(b'0.3'), make_answer()])
    send = send_plain(target, objective_seconds=1.0)
    with pytest.raises(RefusedError):
        await send()
    started_at = time.monotonic()
    await send()
    assert 0.2 < time.monotonic() - started_at < 0.6
    assert writer.body == b'fine'


# Guards against a herd that comes when a pause ends and is refused again.
async def test_one_request_comes_first_when_a_pause_ends(send_plain, scripted):
    target = await scripted([refuse(b'0.2'), refuse(b'30')])
    send = send_plain(target, objective_seconds=1.0)
    with pytest.raises(RefusedError):
        await send()
    outcomes = await asyncio.gather(
        *(send() for _ in range(20)), return_exceptions=True
    )
    assert all(isinstance(one, RefusedError) for one in outcomes)
    assert len(target.requests) == 2


# Guards against a target with both a rate limit and a pause.
async def test_pause_holds_for_a_target_with_a_rate_limit(
    send_plain, scripted, turns
):
    target = await scripted([refuse(b'30')])
    turns.pacer.set_rate('t0/1', 50.0, 0)
    send = send_plain(target)
    for _ in range(5):
        with pytest.raises(RefusedError):
            await send()
    assert len(target.requests) == 1


# Guards against a placement on an engine that asked this VM for a pause.
async def test_paused_engine_gets_no_streams(run_stream, scripted, make_route):
    engine = await scripted([refuse(b'30')], keep=True)
    for _ in range(3):
        started_at = time.monotonic()
        with pytest.raises(RefusedError) as caught:
            await run_stream(make_route(CallKind.stream), engine)
        assert time.monotonic() - started_at < 0.3
        assert caught.value.retry_after == pytest.approx(30, abs=0.5)
    assert len(engine.requests) == 1


async def test_stream_runs_on_an_engine_that_is_not_paused(
    run_stream, scripted, make_route, writer, make_answer
):
    stream = make_answer(EVENT, extra=b'Content-Type: text/event-stream\r\n')
    paused = await scripted([refuse(b'30')], keep=True)
    other = await scripted([stream], keep=True)
    for _ in range(4):
        writer.started = False
        await run_stream(make_route(CallKind.stream), paused, other)
    assert writer.body == EVENT * 4
    assert len(paused.requests) <= 1


# Different prompts, which are assigned to engines by hash: so many that each of
# three engines gets some.
PROMPTS = 40


# Guards against machines that reach a target which asked them for a pause.
@pytest.mark.timeout(90)
@pytest.mark.parametrize(
    ('route', 'network'), [('plain', 94), ('once', 95), ('chat', 96)]
)
async def test_machines_keep_the_pause_that_a_target_asks_for(
    open_driver, route, network
):
    driver = await open_driver(network)
    soak = driver.soak
    service = 'llm' if route == 'chat' else 'desk'
    targets = [one for one in soak._targets if one.service == service]
    targets[0].pause(4)
    statuses = []
    for number in range(150):
        machine = driver._turn % len(soak._machines)
        sent = await driver.send(route, f'p{number % PROMPTS}')
        soak.records.sent.append(
            SentRequest(
                sent.ident,
                route,
                machine,
                sent.sent_at,
                0,
                0,
                True,
                '',
                True,
                False,
            )
        )
        statuses.append(sent.status)
        await asyncio.sleep(0.02)
    assert any(one.pause > 2 for one in soak.records.arrivals)
    assert not list(check_pauses(soak.records))
    assert statuses.count(200) > len(statuses) * 0.9


# Guards against pauses that the VM at the other end of a tunnel isn't told of.
async def test_pause_is_passed_on_and_one_that_was_told_is_kept(
    make_plain_runner, make_route, make_caller_request, writer, scripted
):
    shared = []
    told = await scripted([refuse(b'30')])
    runner = make_plain_runner(told)
    notices = runner._sender.notices
    notices.on_pause = lambda target, seconds: shared.append((target, seconds))
    route = make_route(CallKind.once)
    with pytest.raises(RefusedError):
        await runner.run(make_caller_request(route), writer)
    ((target, seconds),) = shared
    assert (target.url, seconds) == (told.address, 30)
    other = target._replace(incarnation='t0/2')
    note = PauseNote(other.url, other.name, other.incarnation, 30)
    assert notices.apply_pause(note)
    assert not notices.apply_pause(note)
    assert notices.find_wait((other,)) > 29
