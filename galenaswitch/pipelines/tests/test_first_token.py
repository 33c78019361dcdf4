import asyncio

import pytest

from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    parse_document,
)
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.membership.messages import LoadReport
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.first_token import FirstTokenTimeout
from galenaswitch.pipelines.requests import (
    PipelineRequest,
    Progress,
    StageRun,
)
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.choice import PredictedFinish, WorkEstimate
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex
from standins.examples import PIPELINES, make_contract

CAPACITY = 8
TOKENS_PER_SECOND = 80
TOKENS = 20
DECODE_SECONDS = 2
NAMES = ('a', 'b')


@pytest.fixture
def targets():
    return [
        Target(name, '1', 'north', 'runners', 'http://x', ('scribe@1',))
        for name in NAMES
    ]


@pytest.fixture
async def first_token_timeout(targets):
    members, loads = Members(), LoadView()
    members.accept(MemberList(1, (), tuple(targets)))
    now = asyncio.get_running_loop().time()
    for name in NAMES:
        report = LoadReport(name, '1', tokens_per_second=TOKENS_PER_SECOND)
        loads.get_load(name).accept(report, now)
    chooser = PredictedFinish(loads, PrefixIndex())
    dispatcher = Dispatcher(members, loads, Ejector(), chooser, 'north')
    return FirstTokenTimeout(loads, dispatcher, Budgets(0, 0))


@pytest.fixture
def timeout_without_shedding(first_token_timeout):
    first_token_timeout._dispatcher.shedding = False
    return first_token_timeout


def make_job(seconds_left, observed_answer_tokens=TOKENS):
    """Return a generating stage with ``seconds_left`` to its deadline."""
    contract = parse_document(make_contract('lab', 'token'), Contract)
    pipeline = parse_document(PIPELINES[1], Pipeline)
    now = asyncio.get_running_loop().time()
    request = PipelineRequest(
        'r',
        contract,
        1,
        pipeline,
        '',
        {},
        TOKENS,
        now + seconds_left,
    )
    work = WorkEstimate((), 1, TOKENS, 'north', now, observed_answer_tokens)
    return StageRun(request, pipeline.stages[0], {}, work, Progress())


async def test_answer_too_long_for_the_time_left_is_refused(
    first_token_timeout,
    targets,
):
    job = make_job(DECODE_SECONDS - 0.5)
    with pytest.raises(RefusedError) as caught:
        first_token_timeout.check_feasible(job, targets[0], 0)
    assert caught.value.reason is Reason.deadline_unreachable
    assert caught.value.run.value == 'not-run'


async def test_existing_tokens_shorten_the_rest_of_the_answer(
    first_token_timeout, targets
):
    job = make_job(DECODE_SECONDS - 0.5)
    first_token_timeout.check_feasible(job, targets[0], TOKENS // 2)


async def test_answer_of_unknown_length_is_allowed(
    first_token_timeout, targets
):
    first_token_timeout.check_feasible(
        make_job(0.1, observed_answer_tokens=0), targets[0], 0
    )


async def test_no_request_is_refused_early_without_shedding(
    timeout_without_shedding, targets
):
    timeout_without_shedding.check_feasible(
        make_job(DECODE_SECONDS - 0.5), targets[0], 0
    )


async def test_queued_stream_is_refused_when_it_cannot_finish(
    first_token_timeout,
    targets,
):
    job = make_job(DECODE_SECONDS + 0.05)
    waits = first_token_timeout.plan_waits(job, targets[0], 0)
    assert next(waits) <= 0.05
    await asyncio.sleep(0.1)
    with pytest.raises(RefusedError) as caught:
        next(waits)
    assert caught.value.reason is Reason.deadline_unreachable
