import time

import pytest

from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    parse_document,
)
from galenaswitch.errors import TargetBrokenError
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.pipelines.attempts import AttemptRunner
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.requests import (
    PipelineRequest,
    Progress,
    StageRun,
)
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.choice import RoundRobin, WorkEstimate
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex
from standins.examples import PIPELINES, make_contract

ENCODER = Target('encoder', '1', 'north', 'encoders', 'http://127.0.0.1:1')


class RecordingClient:
    """Records the calls that it receives."""

    def __init__(self):
        self.calls = []

    async def call(self, target, call, repeatable):
        self.calls.append(call)
        return {}


class BreakingClient(RecordingClient):
    """Records the calls that it receives and breaks each of them."""

    async def call(self, target, call, repeatable):
        """Fail as a target does that ends under a call."""
        self.calls.append(target.name)
        raise TargetBrokenError(target.name)


@pytest.fixture
def open_attempts():
    """Return a function that opens attempts at encoders with a budget."""

    def open_for(client, targets):
        members, loads, ejector = Members(), LoadView(), Ejector()
        members.accept(MemberList(1, (), targets))
        return AttemptRunner(
            client,
            Dispatcher(members, loads, ejector, RoundRobin(), 'north'),
            loads,
            ejector,
            Budgets(10, 10),
            PrefixIndex(),
            None,
            LocalMetrics(),
        )

    return open_for


@pytest.fixture
def stage_run():
    """Return the run of a repeatable stage."""
    document = make_contract('lab', 'token', weight=4)
    contract = parse_document(document, Contract)
    pipeline = parse_document(PIPELINES[0], Pipeline)
    now = time.monotonic()
    request = PipelineRequest('r', contract, 1, pipeline, '', {}, 1, now + 5)
    work = WorkEstimate((), 0, 0, 'north', now)
    return StageRun(request, pipeline.stages[0], {}, work, Progress())


async def test_non_streaming_call_has_the_weight_of_its_contract(
    open_attempts, stage_run
):
    client = RecordingClient()
    await open_attempts(client, (ENCODER,)).run(stage_run)
    assert client.calls[0].priority == 4


# Guards against a request that ends one target after the other.
async def test_request_breaks_three_targets_at_most(open_attempts, stage_run):
    client = BreakingClient()
    targets = tuple(
        ENCODER._replace(name=f'encoder{number}') for number in range(6)
    )
    attempts = open_attempts(client, targets)
    with pytest.raises(RefusedError) as caught:
        await attempts.run(stage_run)
    assert caught.value.reason is Reason.stage_failed
    assert len(set(client.calls)) == 3
