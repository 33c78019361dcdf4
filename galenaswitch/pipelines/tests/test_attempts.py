import asyncio

from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    parse_document,
)
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


async def test_non_streaming_call_has_the_weight_of_its_contract():
    members, loads, ejector = Members(), LoadView(), Ejector()
    members.accept(MemberList(1, (), (ENCODER,)))
    client = RecordingClient()
    attempts = AttemptRunner(
        client,
        Dispatcher(members, loads, ejector, RoundRobin(), 'north'),
        loads,
        ejector,
        Budgets(0, 0),
        PrefixIndex(),
        None,
        LocalMetrics(),
    )
    document = make_contract('lab', 'token', weight=4)
    contract = parse_document(document, Contract)
    pipeline = parse_document(PIPELINES[0], Pipeline)
    now = asyncio.get_running_loop().time()
    request = PipelineRequest('r', contract, 1, pipeline, '', {}, 1, now + 5)
    work = WorkEstimate((), 0, 0, 'north', now)
    stage = pipeline.stages[0]
    await attempts.run(StageRun(request, stage, {}, work, Progress()))
    assert client.calls[0].priority == 4
