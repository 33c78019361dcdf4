"""Cold targets of one VM: what it sends to them, and what others hear."""

import time
from contextlib import nullcontext
from unittest.mock import AsyncMock, MagicMock, Mock

import pytest

from galenaswitch.cold.grants import Grant
from galenaswitch.connections.requests import InboundLimits
from galenaswitch.errors import TargetBrokenError, TargetUnreachableError
from galenaswitch.gateway.dispatch import StreamDispatcher
from galenaswitch.gateway.messages import ColdTime, TargetLimit, TurnQuery
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.gateway.routes import ColdLimits, RouteTable, Service
from galenaswitch.gateway.sending import Sender
from galenaswitch.gateway.tests.fakes import LocalOwnerRouter
from galenaswitch.gateway.turns import Turns
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.operations.process import TaskGroup

RATE = 4.0
LIMITS = ColdLimits(RATE, 3.0)
COLD = Target('cold', 'cold/1', 'a', 'desk', 'a:1')
WARM = Target('warm', 'warm/1', 'b', 'desk', 'b:1')


@pytest.fixture
def turns():
    """Return the turns of a VM that owns a service and may grant all."""
    members = Members()
    members.accept(MemberList(1, (), (COLD, WARM)))
    turns = Turns(
        members, Mock(node='a'), LocalOwnerRouter(), LocalMetrics(), TaskGroup()
    )
    services = {'desk': Service('desk', 9, cold=LIMITS)}
    table = RouteTable(1, {}, services, {}, False, InboundLimits())
    turns.cold.find_table = lambda: table
    grant = Grant(1, 2, time.monotonic() + 9)
    turns.cold._grants.find = lambda *_: grant
    return turns


# Guards against limits in a deployment whose configuration names none.
def test_without_limits_in_the_configuration_no_target_is_cold(turns):
    turns.cold.find_table = Mock(
        **{'return_value.find_cold_limits': Mock(return_value=None)}
    )
    turns.cold.observe_entry(COLD, 1, 3.0)
    turns.cold.suspect(COLD)
    assert not turns.rates
    assert not turns.cold.is_cold(COLD)


def test_cold_target_has_the_limit_of_its_service_and_warm_ones_go_first(
    turns,
):
    turns.cold.observe_entry(COLD, 1, 3.0)
    assert turns.rates == {'cold/1': RATE}
    assert turns.cold.prefer_warm((COLD, WARM)) == [WARM]
    assert turns.cold.prefer_warm((COLD,)) == (COLD,)
    assert turns.cold.select((COLD, WARM)) == (COLD, WARM)
    for _ in range(3):
        turns.take(COLD)
    assert turns.cold.select((COLD, WARM)) == (WARM,)


# Guards against a named limit that ends, or is doubled, by the cold time.
def test_named_limit_and_cold_time_are_one_account(turns):
    turns.observe(COLD, 1.0)
    turns.cold.observe_entry(COLD, 1, 3.0)
    assert turns.rates == {'cold/1': 1.0}
    turns.pacer.remove('cold/1')
    assert turns.rates == {'cold/1': RATE}
    turns.cold.observe_entry(COLD, 2, 0)
    assert not turns.rates


# Guards against an owner that hears of a cold target later than others, and one
# that takes the limit for one that the target has named.
async def test_owner_learns_from_the_query_that_a_target_is_cold(turns):
    limits = (TargetLimit('cold/1', RATE),)
    query = TurnQuery('desk', limits, 0, (ColdTime('cold/1', 0.05),))
    given = [await turns._give_turn(query) for _ in range(6)]
    assert sum(bool(reply.incarnation) for reply in given) == 2
    time.sleep(0.06)
    assert not turns.rates


# Guards against turns that outlive the part from which they are granted.
async def test_turn_beyond_the_grant_is_not_given(turns):
    turns.cold.observe_entry(COLD, 1, 3.0)
    grant = Grant(1, 2, time.monotonic() + 0.1)
    turns.cold._grants.find = lambda *_: grant
    for _ in range(2):
        assert (await turns.find_turn('desk', (COLD,), 2))[0] == COLD
    assert (await turns.find_turn('desk', (COLD,), 2))[0] is None


# Guards against a target that starts again and gets the load of a warm one,
# before its entry says that it is cold.
@pytest.mark.parametrize(
    ('error', 'is_cold'),
    [
        (TargetBrokenError, True),
        (TargetUnreachableError, True),
        (TargetClosedError, False),
    ],
)
async def test_target_that_broke_off_is_suspected(turns, error, is_cold):
    pool = Mock()
    pool.acquire = Mock(side_effect=error('x'))
    notices = Mock(**{'start.return_value': False})
    sender = Sender(pool, turns, notices, Mock())
    with pytest.raises(error):
        async with sender.send(COLD, Mock(), b'', 3):
            pytest.fail('the request was sent')
    assert turns.cold.is_cold(COLD) == is_cold


# Guards against releases and queries that count against a cold target.
async def test_only_work_is_sent_to_a_cold_target(turns):
    turns.cold.suspect_zone('a')
    sender = Sender(Mock(), turns, Mock(), Mock())
    with pytest.raises(TargetClosedError, match='cold'):
        async with sender.send(COLD, Mock(), b'', 3, names_limit=False):
            pytest.fail('the call was sent')
    assert not turns.cold.is_cold(WARM)


# Guards against the rate of a cold target that other VMs take for one that it
# has named, and keep behind its cold time.
async def test_only_named_limits_are_told_to_other_vms(turns):
    turns.cold.observe_entry(COLD, 1, 3.0)
    assert (await turns._answer_limits_query(Mock(), Mock())).limits == ()
    turns.observe(COLD, RATE * 10)
    spread = turns._mesh.spread.call_args.args[0]
    assert spread.rate == RATE * 10
    reply = await turns._answer_limits_query(Mock(), Mock())
    assert reply.limits == (spread,)


# Guards against streams that a VM sends all at once to a cold engine when it
# wakes up, with turns that it got one after another.
@pytest.mark.parametrize(
    ('target', 'age', 'is_sent'),
    [(COLD, 1.0, False), (COLD, 0.1, True), (WARM, 9.0, True)],
)
async def test_turn_of_a_stream_is_used_while_it_is_new(
    turns, target, age, is_sent
):
    turns.cold.observe_entry(COLD, 1, 3.0)
    sender = MagicMock(turns=turns)
    placement = Mock(placed_at=time.monotonic() - age)
    run = Mock(target=target, placement=placement)
    run.resources.enter_async_context = AsyncMock()
    with nullcontext() if is_sent else pytest.raises(TargetClosedError):
        await StreamDispatcher.send(Mock(_sender=sender), Mock(sent=0), run)
    assert sender.send.called == is_sent
