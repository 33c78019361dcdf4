"""Attempts at encoders for tests of retries, hedges and crashes."""

import time

import pytest

from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    parse_document,
)
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines.attempts import AttemptRunner
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.crashes import CrashGuard
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.notices import FailureSinks
from galenaswitch.pipelines.requests import (
    PipelineRequest,
    Progress,
    StageRun,
)
from galenaswitch.quarantine.fingerprints import Fingerprints
from galenaswitch.routing.choice import RoundRobin, WorkEstimate
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex
from standins.examples import PIPELINES, make_contract

ENCODER = Target('encoder', '1', 'north', 'encoders', 'http://127.0.0.1:1')


@pytest.fixture
def open_attempts():
    """Return a function that opens attempts at encoders with a budget."""
    news = []

    def open_for(client, targets, *, crash=False):
        async def is_listening(url):
            return not crash

        members, loads, ejector = Members(), LoadView(), Ejector()
        members.accept(MemberList(1, (), targets))
        guard = CrashGuard(
            'north-1',
            members,
            Fingerprints('secret'),
            TaskGroup(),
            LocalMetrics(),
            is_listening,
            news.append,
        )
        return AttemptRunner(
            client,
            Dispatcher(members, loads, ejector, RoundRobin(), 'north'),
            loads,
            ejector,
            Budgets(10, 10),
            PrefixIndex(),
            FailureSinks(None, guard),
            LocalMetrics(),
        )

    return open_for


@pytest.fixture
def encoders():
    """Return nine encoders."""
    return tuple(
        ENCODER._replace(name=f'encoder{number}', incarnation=str(number))
        for number in range(9)
    )


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
