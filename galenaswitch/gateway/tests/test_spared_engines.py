"""Placements of a request after a successor was ended for its silence."""

import time
from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.gateway.continuation import ContinuationPolicy
from galenaswitch.gateway.dispatch import StreamDispatcher
from galenaswitch.gateway.handover import Handover, NoSuccessorError
from galenaswitch.gateway.jobs import StreamJob
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.gateway.tests.fakes import LocalOwnerRouter
from galenaswitch.limits.pacing import Pacer
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.refusals import Reason, RefusedError

SILENT, SPARED, THIRD = (
    Target(name, name, 'z', 'desk', f'{name}:1') for name in 'abc'
)


TIMES = 'objective_deadline', 'first_byte_deadline', 'deadline'


def make_job(*tried):
    """Return a request of two attempts that some engines were sent."""
    request = Mock(
        service='desk',
        ident='r',
        priority=1,
        **dict.fromkeys(TIMES, time.monotonic() + 1),
    )
    request.fields = Mock(last_event='', prompt_tokens=9, answer_tokens=9)
    request.fields.shared_parts = request.fields.prompt_parts = ()
    request._replace.return_value = request
    request.route.attempts = 2
    job = StreamJob(request, Mock(), Mock(), None, Mock())
    job.tried_targets = list(tried)
    job.sent = len(tried)
    return job


@pytest.fixture
def open_dispatcher():
    """Return a function that opens a dispatcher and its recorded scheduler."""

    def open_for(*targets):
        members = Members()
        members.accept(MemberList(1, (), targets))
        scheduler = PlacementScheduler(
            'desk', lambda _: EngineLimits(4, 9999), members, Pacer()
        )
        scheduler.place = AsyncMock(wraps=scheduler.place)
        sender = Mock()
        sender.notices.wait_for_open = AsyncMock(return_value=0)
        sender.notices.find_closed.return_value = ()
        sender.turns.find_limits.return_value = ()
        sender.turns.find_cold_times.return_value = ()
        policy = ContinuationPolicy(members, Mock(), Mock(), Mock())
        stages = Mock(zone='z')
        owner_router = LocalOwnerRouter()
        dispatcher = StreamDispatcher(
            sender, Mock(), Mock(), owner_router, stages, Mock(), policy
        )
        dispatcher._find_scheduler.return_value = scheduler
        return dispatcher, scheduler

    return open_for


INPUTS = Mock(**{'made.zone_bytes': {}})


# Guards against a placement at a third engine, which the limit of the route
# forbids, so that the request is refused though the spared one may get it.
async def test_spared_engine_is_placed_beside_a_free_third(open_dispatcher):
    dispatcher, _ = open_dispatcher(SILENT, SPARED, THIRD)
    await dispatcher.place(make_job(SILENT, THIRD), INPUTS)
    job = make_job(SILENT, SPARED)
    job.spare(SPARED)
    assert (await dispatcher.place(job, INPUTS)).target == SPARED


# Guards against a query for a placement that can't be used, since the spared
# engine has gone.
async def test_no_placement_is_requested_if_none_may_be_used(open_dispatcher):
    dispatcher, scheduler = open_dispatcher(SILENT, THIRD)
    job = make_job(SILENT, SPARED)
    job.spare(SPARED)
    with pytest.raises(RefusedError) as caught:
        await dispatcher.place(job, INPUTS)
    assert caught.value.reason is Reason.stage_failed
    with pytest.raises(NoSuccessorError, match='no other engine'):
        Handover(dispatcher)._check(job)
    scheduler.place.assert_not_awaited()
