import asyncio

import pytest

from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    parse_document,
)
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.membership.messages import LoadReport
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.requests import PipelineRequest, Progress
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.choice import PredictedFinish, WorkEstimate
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import OVERCOMMIT_FACTOR, LoadView
from galenaswitch.routing.prefix import PrefixIndex
from standins.examples import PIPELINES, make_contract

PIPELINE = parse_document(PIPELINES[1], Pipeline)
STAGE = PIPELINE.stages[0]
ENGINE = Target('a', '1', 'north', 'runners', 'http://x', ('scribe@1',))
FULL_LOAD = ENGINE.capacity * OVERCOMMIT_FACTOR


@pytest.fixture
def loads():
    return LoadView()


@pytest.fixture
def dispatcher(loads):
    members = Members()
    members.accept(MemberList(1, (), (ENGINE,)))
    chooser = PredictedFinish(loads, PrefixIndex())
    return Dispatcher(members, loads, Ejector(), chooser, 'north')


def make_request(workspace):
    """Return a request that waits for at most 0.1 seconds."""
    document = make_contract(workspace, 'token', queue_ms=100)
    contract = parse_document(document, Contract)
    deadline = asyncio.get_running_loop().time() + 5
    return PipelineRequest('r', contract, 1, PIPELINE, '', {}, 8, deadline)


async def wait(dispatcher, request):
    """Wait for capacity; return the reason of a refusal or ``None``."""
    now = asyncio.get_running_loop().time()
    work = WorkEstimate((), 1, 8, 'north', now)
    try:
        await dispatcher.wait_for_capacity(
            request,
            STAGE,
            Progress(),
            work,
            lambda: 0,
        )
    except RefusedError as error:
        return error.reason
    return None


def report_running(loads, running):
    """Record a load report of the engine with ``running`` requests."""
    now = asyncio.get_running_loop().time()
    loads.get_load('a').accept(LoadReport('a', '1', running=running), now)


async def test_burst_waits_while_another_workspace_uses_its_share(
    dispatcher,
    loads,
):
    report_running(loads, FULL_LOAD)
    large, small = make_request('large'), make_request('small')
    for _ in range(FULL_LOAD):
        dispatcher.shares.enter('runners', large.contract)
    reasons = await asyncio.gather(
        wait(dispatcher, large),
        wait(dispatcher, small),
    )
    assert reasons == [Reason.capacity, None]


async def test_queued_request_is_released_when_a_report_shows_capacity(
    dispatcher,
    loads,
):
    report_running(loads, FULL_LOAD)
    large = make_request('large')
    for _ in range(FULL_LOAD):
        dispatcher.shares.enter('runners', large.contract)
    waiting = asyncio.create_task(wait(dispatcher, large))
    await asyncio.sleep(0)
    assert dispatcher.dump()['waiting'] == {'runners': 1}
    report_running(loads, FULL_LOAD - 1)
    dispatcher.wake()
    assert await waiting is None
    assert dispatcher.dump()['waiting'] == {'runners': 0}
