"""What a hand-over of a silent stream costs, and what forbids it."""

import asyncio
import contextlib
import gc
import time
from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.gateway.continuation import CONTINUATION_PRIORITY
from galenaswitch.gateway.handover import _drop
from galenaswitch.gateway.jobs import EngineRun
from galenaswitch.gateway.messages import PlaceEnd
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.routes import CallKind
from galenaswitch.platform.tests.engines import (
    BEGUN,
    FOREVER,
    LATER,
    RESET,
    REST,
    WHOLE,
    pause,
)
from galenaswitch.platform.tests.test_streams import (
    NOT_RUN,
    PROMPT,
    event,
    stream,
)
from galenaswitch.quarantine.messages import CrashReport, ImplicatedPart
from galenaswitch.refusals import RefusedError

# Retries that the budget allows after one request.
RETRIES = 8


@pytest.fixture
def generate(run_stream, make_route, writer):
    """Return a function that gets a whole answer from engines."""

    async def run(engines, attempts=2, **headers):
        route = make_route(
            CallKind.stream, resumable=True, timeout=9.0, attempts=attempts
        )
        await run_stream(
            route, *engines.targets, **{'X-Deadline-Ms': '6000', **headers}
        )
        assert writer.finished
        assert writer.body == WHOLE

    return run


@pytest.fixture
def count_retries(budgets):
    """Return a function that counts the retries that were acquired."""

    def count():
        left = 0
        while budgets.of('desk').acquire(time.monotonic()):
            left += 1
        return RETRIES - left

    return count


# Guards against repeats that exceed the retry budget.
async def test_hand_over_uses_one_retry(start_engines, generate, count_retries):
    engines = await start_engines([BEGUN, FOREVER], [REST])
    await generate(engines)
    assert count_retries() == 1


# Guards against a second hand-over that counts as the first one.
async def test_each_hand_over_uses_a_retry(
    start_engines, generate, count_retries
):
    engines = await start_engines(
        [BEGUN, FOREVER],
        [stream([event(2)], end=b''), FOREVER],
        [stream([event(3)])],
        count=3,
    )
    await generate(engines, attempts=3)
    assert count_retries() == 2


# Guards against a successor that waits behind new streams for its placement.
async def test_successor_is_placed_ahead_of_new_streams(
    start_engines, generate, monkeypatch
):
    place = PlacementScheduler.place
    priorities = []

    async def place_noted(scheduler, query):
        priorities.append(query.priority)
        return await place(scheduler, query)

    monkeypatch.setattr(PlacementScheduler, 'place', place_noted)
    engines = await start_engines([BEGUN, FOREVER], [REST])
    await generate(engines)
    assert priorities == [1, CONTINUATION_PRIORITY]


@pytest.fixture
def ends(monkeypatch):
    """Return the list of the ends that owners of services are told of."""
    told = []
    record_end = PlacementScheduler.record_end

    def record(scheduler, message):
        told.append(message)
        record_end(scheduler, message)

    monkeypatch.setattr(PlacementScheduler, 'record_end', record)
    return told


# Guards against a dead engine that counts as sound since its callers leave.
@pytest.mark.parametrize(('seconds', 'is_silent'), [(0.5, False), (1.4, True)])
async def test_caller_that_leaves_a_silent_engine_tells_nothing_of_it(
    start_engines, generate, ends, seconds, is_silent
):
    engines = await start_engines([BEGUN, FOREVER], [FOREVER])
    running = asyncio.create_task(generate(engines))
    await asyncio.sleep(seconds)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    (first,) = [one for one in ends if one.ident == 'a1']
    assert not first.failed
    assert (not first.target) == is_silent


# Guards against a placement that is held on an engine which can't be used.
async def test_placement_on_an_unknown_engine_is_ended(
    start_engines, generate, ends, monkeypatch
):
    place = PlacementScheduler.place

    async def place_wrongly(scheduler, query):
        reply = await place(scheduler, query)
        return reply._replace(target='t9') if query.avoided else reply

    monkeypatch.setattr(PlacementScheduler, 'place', place_wrongly)
    engines = await start_engines(pause(1.5))
    await generate(engines)
    assert ends[0] == PlaceEnd('desk', 'a1#2', '', False)


@pytest.fixture
def place_successors_after(monkeypatch):
    """Return a function that makes successors wait for their placements."""

    def change(seconds):
        place = PlacementScheduler.place

        async def place_late(scheduler, query):
            if query.avoided:
                await asyncio.sleep(seconds)
            return await place(scheduler, query)

        monkeypatch.setattr(PlacementScheduler, 'place', place_late)

    return change


# Guards against a budget that is used up by what was never sent.
async def test_successor_that_is_not_sent_uses_no_retry(
    start_engines, generate, count_retries, place_successors_after
):
    place_successors_after(FOREVER)
    engines = await start_engines(pause(1.5))
    await generate(engines)
    assert count_retries() == 0


def use_up(budgets, containment):
    """Use up the retry budget."""
    while budgets.of('desk').acquire(time.monotonic()):
        pass


def implicate(budgets, containment):
    """Let the part of a request be implicated in two crashes."""
    parts = (ImplicatedPart('bad', 0, False, 0.1),)
    for number in range(2):
        report = CrashReport(f'e{number}/1', parts, age=9 - number)
        containment._add_crash(report, None)


# Guards against a successor that is sent though what it needs was lost while it
# waited for its placement.
@pytest.mark.parametrize('obstruct', [use_up, implicate])
async def test_successor_is_checked_again_after_its_placement(
    start_engines,
    generate,
    budgets,
    containment,
    place_successors_after,
    obstruct,
):
    place_successors_after(0.3)
    loop = asyncio.get_running_loop()
    engines = await start_engines(pause(2.0, 'head'))
    loop.call_later(1.35, obstruct, budgets, containment)
    await generate(engines, **PROMPT)
    assert len(engines.works) == 1


# Guards against a request that outlives its deadline, as the end of its time
# counts as a failure of its engine and its successor is waited for.
async def test_deadline_ends_the_wait_for_a_successor(
    start_engines, generate, place_successors_after
):
    place_successors_after(FOREVER)
    engines = await start_engines([FOREVER])
    began = time.monotonic()
    with pytest.raises(RefusedError, match='deadline'):
        async with asyncio.timeout(4):
            await generate(engines, **{'X-Deadline-Ms': '1800'})
    assert time.monotonic() - began < 2


# Guards against a retry for each engine that can't be reached.
async def test_retry_that_is_not_sent_is_used_for_the_next_engine(
    start_engines, generate, count_retries
):
    engines = await start_engines([BEGUN, FOREVER], [REST], count=4)

    async def stop_two(others):
        for target in others[:2]:
            await target.stop()

    engines.on_first = stop_two
    await generate(engines)
    assert count_retries() == 1


# Guards against a harmful request that is sent to one more engine.
async def test_request_that_may_be_harmful_is_not_handed_over(
    start_engines, generate, containment
):
    parts = (ImplicatedPart('bad', 0, False, 0.1),)
    for number in range(2):
        report = CrashReport(f'e{number}/1', parts, age=9 - number)
        containment._add_crash(report, None)
    engines = await start_engines(pause(1.5, 'head'))
    await generate(engines, **PROMPT)
    assert len(engines.works) == 1


# Guards against an attempt that counts though its engine has not run it.
async def test_first_that_refuses_late_leaves_its_attempt(
    start_engines, generate
):
    engines = await start_engines(
        [1.35, NOT_RUN], [0.25, BEGUN], [REST], count=3
    )
    await generate(engines)
    assert [one.last_event for one in engines.works] == ['', '', '1']


# Guards against an attempt that counts though the successor has not run it.
async def test_successor_that_refuses_leaves_its_attempt(
    start_engines, generate
):
    engines = await start_engines([BEGUN, FOREVER], [NOT_RUN], [REST], count=3)
    await generate(engines)
    assert len(engines.works) == 3


# Guards against a crash that isn't counted, or twice, beside a successor.
@pytest.mark.parametrize('successor', [[BEGUN, LATER], [NOT_RUN]])
async def test_engine_that_breaks_beside_its_successor_is_examined_once(
    start_engines, generate, containment, place_successors_after, successor
):
    containment.record_broken = AsyncMock()
    place_successors_after(0.3)
    engines = await start_engines(
        [1.3, RESET], successor, [BEGUN, LATER], count=3
    )
    await generate(engines)
    assert containment.record_broken.await_count == 1


# Guards against reads that nobody waits for any more.
async def test_hand_over_leaves_no_failed_task(start_engines, generate):
    left = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: left.append(context)
    )
    engines = await start_engines([BEGUN, FOREVER], [REST])
    await generate(engines)
    await asyncio.sleep(0.05)
    gc.collect()
    assert not left


# Guards against results of a successor that began as the first went on.
async def test_successor_that_has_begun_is_dropped_with_its_results():
    run = Mock(spec=EngineRun, inputs=Mock(), resources=AsyncMock())

    async def prepare():
        return run

    preparing = asyncio.create_task(prepare())
    await asyncio.wait({preparing})
    await _drop(Mock(inputs=None), preparing)
    run.resources.aclose.assert_awaited_once()
    run.inputs.close.assert_called_once()
