"""Targets that say in their answers that they leave."""

import asyncio

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import LeavingSign
from galenaswitch.refusals import RefusedError

LEAVING = b'Server-Leaving: 1\r\n'
EVENT = b'id: 1\ndata: x\n\n'


# Guards against plain requests to a target that has said it leaves.
async def test_plain_target_that_leaves_gets_no_more_requests(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
):
    leaving = await scripted([make_answer(extra=LEAVING)])
    other = await scripted([make_answer()])
    runner = make_plain_runner(leaving, other)
    for _ in range(8):
        request = make_caller_request(make_route(CallKind.once))
        await runner.run(request, writer)
    assert len(leaving.requests) == 1
    assert len(other.requests) == 7


# Guards against a request that waits for its turn while its target leaves.
async def test_request_with_a_turn_is_not_sent_to_a_target_that_left(
    make_plain_runner,
    scripted,
    make_route,
    make_caller_request,
    writer,
    make_answer,
    listed,
    turns,
):
    target = await scripted([make_answer()])
    runner = make_plain_runner(target)
    turns.pacer.set_rate('t0/1', 5.0, 0)
    requests = [
        asyncio.create_task(
            runner.run(make_caller_request(make_route(CallKind.once)), writer)
        )
        for _ in range(3)
    ]
    await asyncio.sleep(0.1)
    listed.record_leaving(LeavingSign('t0', 't0/1'))
    outcomes = await asyncio.gather(*requests, return_exceptions=True)
    assert len(target.requests) == 2
    assert isinstance(outcomes[2], RefusedError)


# Guards against streams that are placed on a target that has said it leaves.
async def test_engine_that_leaves_gets_no_more_streams(
    run_stream, scripted, make_route, writer, make_answer
):
    stream = make_answer(
        EVENT, extra=LEAVING + b'Content-Type: text/event-stream\r\n'
    )
    leaving = await scripted([stream], keep=True)
    await run_stream(make_route(CallKind.stream), leaving)
    assert writer.body == EVENT
    writer.started = False
    with pytest.raises(RefusedError):
        await run_stream(make_route(CallKind.stream), leaving)
    assert len(leaving.requests) == 1


# Different prompts, which are assigned to engines by hash: so many that each of
# three engines gets some.
PROMPTS = 40


# Guards against machines that reach a target after its notice passed them.
@pytest.mark.timeout(90)
@pytest.mark.parametrize(
    ('route', 'network'), [('plain', 91), ('once', 92), ('chat', 93)]
)
async def test_machines_stop_sending_to_a_target_that_says_it_leaves(
    open_driver, route, network
):
    driver = await open_driver(network)
    service = 'llm' if route == 'chat' else 'desk'
    leaving, *others = [
        one for one in driver.soak._targets if one.service == service
    ]
    assert others
    leaving.says_leaving = True
    for number in range(40):
        await driver.send(route, f'p{number % PROMPTS}')
        await asyncio.sleep(0.02)
    since = driver.soak._now()
    for number in range(80):
        await driver.send(route, f'p{number % PROMPTS}')
        await asyncio.sleep(0.02)
    reached = [
        run
        for run in driver.soak.records.ran
        if run.target == leaving.name and run.started_at > since
    ]
    assert not reached
    assert any(run.target == leaving.name for run in driver.soak.records.ran)
