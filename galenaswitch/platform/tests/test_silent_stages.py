"""Silent streams whose stages run again before another engine goes on."""

import asyncio

import pytest

from galenaswitch.gateway.handover import (
    OVERLAP_SECONDS,
    RESUME_TIMEOUT_SECONDS,
)
from galenaswitch.platform.tests import test_stages
from galenaswitch.platform.tests.engines import (
    BEGUN,
    END,
    FOREVER,
    LATER,
    REST,
    WHOLE,
    chunk,
    pause,
)
from galenaswitch.platform.tests.test_stages import (
    RESULTS_LOST,
    STAGED,
    find_sent_inputs,
)
from galenaswitch.platform.tests.test_streams import event

MAX_OVERLAP_SECONDS = 0.4
SILENCES = (1.5, 2.5)

open_staged = test_stages.open_staged
producer = test_stages.producer


@pytest.fixture
def generate(open_staged, make_caller_request, make_route, writer):
    """Return a function that runs a stage and then a stream on engines."""

    async def run(engines, **fields):
        route = make_route(
            test_stages.CallKind.stream,
            resumable=True,
            timeout=9.0,
            objective_seconds=1.2,
            stages=(test_stages.StageSpec('intake', (), 1000),),
            **fields,
        )
        runner, table = open_staged(route, *engines.targets)
        headers = {**STAGED, 'X-Deadline-Ms': '6000'}
        request = make_caller_request(route, **headers)
        await runner.run(request, table, writer)
        await engines.wait_idle(0.5)
        assert engines.find_overlap() <= MAX_OVERLAP_SECONDS
        assert writer.finished
        assert writer.body == WHOLE

    return run


def find_inputs(engines):
    """Return the inputs that engines got, in the order of their handles."""
    return sorted(
        sent for one in engines.targets for sent in find_sent_inputs(one)
    )


async def wait_released(producer, handle):
    """Wait until a result is released."""
    async with asyncio.timeout(1):
        while not any(handle in body for body in producer.bodies):
            await asyncio.sleep(0.01)


# Guards against a successor without inputs, or with those of the first.
async def test_stages_run_again_for_a_successor(
    start_engines, generate, producer
):
    engines = await start_engines([BEGUN, FOREVER], [REST])
    await generate(engines)
    assert find_inputs(engines) == ['h1', 'h2']
    assert producer.made_count == 2
    await wait_released(producer, b'h2')


# Guards against a second run of the stages for results that are there.
async def test_results_are_shared_before_the_first_event(
    start_engines, generate, producer
):
    engines = await start_engines([FOREVER], [BEGUN, *pause(0.0)[1:]])
    await generate(engines)
    assert find_inputs(engines) == ['h1', 'h1']
    assert producer.made_count == 1


# Guards against results that are held for a successor nobody needs.
async def test_results_of_an_unneeded_successor_are_released(
    start_engines, generate, producer
):
    silence = RESUME_TIMEOUT_SECONDS + OVERLAP_SECONDS / 2 + 0.1
    engines = await start_engines(pause(silence), [FOREVER])
    await generate(engines)
    assert find_inputs(engines) == ['h1', 'h2']
    await wait_released(producer, b'h2')


# Guards against a stream that is cut while its stages run again.
@pytest.mark.parametrize('silence', SILENCES)
async def test_engine_goes_on_while_the_stages_run_again(
    start_engines, generate, producer, silence
):
    engines = await start_engines(pause(silence), [REST])

    async def slow_down(others):
        producer.call_seconds = silence

    engines.on_first = slow_down
    await generate(engines)
    assert find_inputs(engines) == ['h1']


# Guards against a stage's failure that ends a stream which goes on.
@pytest.mark.parametrize('silence', SILENCES)
async def test_engine_is_kept_when_the_stages_fail(
    start_engines, generate, producer, silence
):
    engines = await start_engines(pause(silence), [REST])

    async def stop_producer(others):
        await producer.stop()
        producer.answer = lambda path: RESULTS_LOST

    engines.on_first = stop_producer
    await generate(engines)
    assert find_inputs(engines) == ['h1']


# Guards against results that are lost for the successor alone.
async def test_engine_is_kept_when_its_successor_lacks_results(
    start_engines, generate
):
    engines = await start_engines(pause(2.5, 'head'), [RESULTS_LOST])
    await generate(engines)
    assert len(engines.works) == 2


# Guards against results that are lost for each further successor, too.
async def test_stages_run_again_when_a_successor_lacks_results(
    start_engines, generate, producer
):
    engines = await start_engines(
        [FOREVER], [RESULTS_LOST], [BEGUN, LATER], count=3
    )
    await generate(engines, attempts=3)
    assert find_inputs(engines) == ['h1', 'h1', 'h2']
    assert producer.made_count == 2


# Guards against stages that run for each silence of one stream.
async def test_stages_run_twice_at_most_for_silences(
    start_engines, generate, producer
):
    silence = RESUME_TIMEOUT_SECONDS + OVERLAP_SECONDS / 2 + 0.05
    first = [
        BEGUN,
        silence,
        chunk(event(2)),
        silence,
        chunk(event(3)) + END,
    ]
    engines = await start_engines(first, [FOREVER], count=3)
    await generate(engines, attempts=3)
    assert producer.made_count == 2
