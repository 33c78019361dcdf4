"""Successors of silent engines that answer late, refuse later or break."""

import asyncio
import time

import pytest

from galenaswitch.errors import TargetBrokenError, TargetBusyError
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.overlaps import OVERLAP_SECONDS
from galenaswitch.pipelines.tests.test_silent_streams import (
    FOREVER,
    POOL,
    open_streams,
)

__all__ = ['open_streams']


@pytest.fixture
def open_recorded(open_streams):
    """Return a function that opens attempts and a list of works at engines."""

    def open_for(*silences, retries=10):
        attempts, client, read = open_streams(*silences)
        budgets = Budgets(0, 0)
        budgets.retries(POOL)._allowance = retries
        attempts._budgets = attempts._first_token_timeout._budgets = budgets
        stream, works = client.stream, []

        async def stream_recorded(target, call, gap):
            work = [target.name, time.monotonic(), None]
            works.append(work)
            try:
                async for part in stream(target, call, gap):
                    yield part
            finally:
                work[2] = time.monotonic()

        client.stream = stream_recorded
        return attempts, client, read, works

    return open_for


def find_overlap(first, second):
    """Return the seconds for which two engines worked."""
    return min(first[2], second[2]) - second[1]


# Guards against a stream that a dead engine holds beside a slow successor, and
# against two engines that work on one request.
@pytest.mark.parametrize('position', [0, 1])
async def test_slow_successor_has_the_stream_if_a_retry_is_left(
    open_recorded, position
):
    silence = [0, 0, 0]
    silence[position] = FOREVER
    *_, read, works = open_recorded(silence, (0.8, 0, 0))
    assert await read() == '0123'
    assert [work[0] for work in works] == ['engine0', 'engine1']
    assert OVERLAP_SECONDS - 0.05 < find_overlap(*works) < 0.4


# Guards against a sound stream that is left for a slow engine with nothing left
# if that one fails.
async def test_slow_successor_is_ended_if_nothing_is_left(open_recorded):
    attempts, _, read, works = open_recorded(
        (0, 2.0, 0), (FOREVER, 0, 0), retries=1
    )
    assert await read() == '0123'
    assert [work[0] for work in works] == ['engine0', 'engine1']
    assert find_overlap(*works) < 0.4
    assert set(attempts._loads.dump().values()) == {0}


# Guards against a dead engine that holds a stream for ever, since the only
# other one was ended for its silence once.
async def test_ended_successor_has_the_stream_at_its_second_try(open_recorded):
    attempts, _, read, works = open_recorded(
        (0, FOREVER, 0), (0.6, 0, 0), retries=1
    )
    reading = asyncio.create_task(read())
    await asyncio.sleep(1.8)
    attempts._budgets.retries(POOL)._allowance = 1
    assert await reading == '0123'
    assert [work[0] for work in works] == ['engine0', 'engine1', 'engine1']
    assert 2.3 < works[2][1] - works[0][1] < 2.7


# Guards against a request that is lost, since its successor refuses it late and
# the engine that it was left for was only silent.
@pytest.mark.parametrize('error', [TargetBusyError, TargetBrokenError])
async def test_silent_engine_gets_a_stream_again_that_others_fail(
    open_recorded, error
):
    _, client, read, works = open_recorded((0, 1.6, 0), (0, 0, 0))
    client.silences['engine1'] = (0.6, 0, 0)
    stream = client.stream

    async def fail_late(target, call, gap):
        async for part in stream(target, call, gap):
            if target.name == 'engine1':
                raise error('the other engine')
            yield part

    client.stream = fail_late
    assert await read() == '0123'
    assert [one[0] for one in works] == ['engine0', 'engine1', 'engine0']


# Guards against a failure beside a successor that costs a third send.
async def test_successor_has_the_stream_of_an_engine_that_fails(open_recorded):
    attempts, client, read, works = open_recorded((0, 0, 0), (0.2, 0, 0))
    stream = client.stream

    async def break_late(target, call, gap):
        async for part in stream(target, call, gap):
            yield part
            if target.name == 'engine0':
                await asyncio.sleep(1.1)
                raise TargetBrokenError('the silent engine')

    client.stream = break_late
    assert await read() == '0123'
    assert [work[0] for work in works] == ['engine0', 'engine1']
    assert attempts._budgets.retries(POOL)._allowance == 9


# Guards against a stage that runs twice though it may not.
async def test_stage_that_may_not_be_repeated_has_no_successor(
    open_recorded, monkeypatch
):
    attempts, _, read, works = open_recorded((0, 1.5, 0), (0, 0, 0))
    send = attempts.stream
    attempts.stream = lambda run: send(
        run._replace(stage=run.stage._replace(repeatable=False))
    )
    assert await read() == '0123'
    assert len(works) == 1


# Guards against many streams of one silent engine that others refuse, and
# against loads that aren't taken back.
async def test_all_streams_of_an_engine_outlive_engines_that_are_full(
    open_recorded,
):
    attempts, client, read, works = open_recorded(
        (0, 1.7, 0), (0, 0, 0), (FOREVER, 0, 0), retries=150
    )
    stream = client.stream

    async def refuse(target, call, gap):
        if target.name == 'engine1':
            raise TargetBusyError('the other engine')
        async for part in stream(target, call, gap):
            yield part

    client.stream = refuse
    answers = await asyncio.gather(*(read() for _ in range(100)))
    assert set(answers) == {'0123'}
    assert set(attempts._loads.dump().values()) == {0}
    assert not attempts._streams._priorities._in_progress
