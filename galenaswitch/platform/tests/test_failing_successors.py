"""Successors that have a stream and refuse or break before they answer."""

import time
from unittest.mock import Mock

import pytest

from galenaswitch.gateway.handover import SECOND_TRY_SECONDS
from galenaswitch.gateway.jobs import StreamJob
from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import Target
from galenaswitch.platform.tests.engines import (
    BEGUN,
    FOREVER,
    RESET,
    REST,
    pause,
)
from galenaswitch.platform.tests.test_silent_streams import (
    MAX_OVERLAP_SECONDS,
    generate,
)
from galenaswitch.platform.tests.test_streams import NOT_RUN
from galenaswitch.refusals import Reason

__all__ = ['generate']


# Guards against part of an answer and a reset, as a sound engine was left for
# one that queues the request and then refuses or breaks it.
@pytest.mark.parametrize('other', [[0.5, NOT_RUN], [0.5, RESET]])
@pytest.mark.parametrize('retries_left', [1, 8])
@pytest.mark.parametrize('silence', [1.8, 2.5])
async def test_silent_engine_outlives_a_successor_that_fails_later(
    start_engines, generate, budgets, silence, other, retries_left
):
    budget = budgets.of('desk')
    while budget.acquire(time.monotonic()):
        pass
    if retries_left == 1:
        budget._retries.pop()
    else:
        budget._retries.clear()
    engines = await start_engines(pause(silence), other)
    assert await generate(engines) is None


# Guards against part of an answer as the engine that a stream was left for
# queues the request and refuses it, though a third one is idle.
async def test_successor_that_refuses_later_is_succeeded(
    start_engines, generate
):
    engines = await start_engines(
        [BEGUN, FOREVER], [0.5, NOT_RUN], [REST], count=3
    )
    assert await generate(engines) is None
    first, second, _ = engines.works
    assert first.ended - second.began < MAX_OVERLAP_SECONDS


# Guards against a stream that a dead engine holds, as the only other one is
# slow to begin, and against a request that gets more targets than its route
# allows.
async def test_dead_engine_is_left_for_the_only_other_one(
    start_engines, generate
):
    engines = await start_engines([BEGUN, FOREVER], [0.8, REST])
    began = time.monotonic()
    assert await generate(engines) is None
    assert time.monotonic() - began < SECOND_TRY_SECONDS + 0.8 + 0.3
    first, ended, second = engines.works
    assert ended.ended - ended.began < MAX_OVERLAP_SECONDS
    assert first.ended - second.began < MAX_OVERLAP_SECONDS
    assert ended.target is second.target


# Guards against a request that is lost, since its engine breaks after another
# one was ended for its silence.
async def test_kept_engine_that_breaks_is_repeated(start_engines, generate):
    engines = await start_engines([BEGUN, 1.8, RESET], [FOREVER], [REST])
    assert await generate(engines) is None
    assert [one.last_event for one in engines.works] == ['', '1', '1']


# Guards against an engine that is tried again for as long as another is silent.
async def test_only_one_successor_is_ended(start_engines, generate):
    engines = await start_engines([BEGUN, FOREVER], [FOREVER])
    refusal = await generate(engines)
    assert refusal.reason in {Reason.deadline, Reason.stage_failed}
    assert len(engines.works) == 3


# Guards against a third target of a route that allows two, which joined after
# another one was ended for its silence.
def test_spared_engine_takes_no_further_target(make_route):
    route = make_route(CallKind.stream, resumable=True)
    targets = [Target(name, '1', 'z', 'desk', '') for name in 'abc']
    job = Mock(sent=2, spared=None, tried_targets=targets[:2])
    job.request.route = route
    StreamJob.spare(job, targets[1])
    assert job.sent == 1
    allowed = [StreamJob.may_send_to(job, one) for one in targets[1:]]
    assert allowed == [True, False]


# Guards against a refusal that says that a request has not run, though an
# engine that was ended for its silence may have run it.
def test_request_that_a_spared_engine_had_may_have_run():
    target = Target('a', '1', 'z', 'desk', '')
    assert StreamJob.may_have_run.fget(Mock(sent=0, spared=target))
    assert not StreamJob.may_have_run.fget(Mock(sent=0, spared=None))
