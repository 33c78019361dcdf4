"""Turns at limited targets: shared limits, owners and what is refused."""

import time
from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.gateway.messages import (
    LimitsQuery,
    LimitsReply,
    TargetLimit,
    TurnQuery,
)
from galenaswitch.gateway.tests.fakes import LocalOwnerRouter
from galenaswitch.gateway.turns import Turns
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.operations.process import TaskGroup

ONE = Target('one', 'one/1', 'z', 'desk', 'a:1')
TWO = Target('two', 'two/1', 'z', 'desk', 'a:2')


@pytest.fixture
def mesh():
    """Return a mesh that records what is spread."""
    return Mock(node='a', zone='north')


@pytest.fixture
def turns(mesh):
    """Return the turns of VM ``a``."""
    members = Members()
    members.accept(MemberList(1, (), (ONE, TWO)))
    return Turns(members, mesh, LocalOwnerRouter(), LocalMetrics(), TaskGroup())


async def test_target_with_the_nearest_turn_is_chosen(turns):
    turns.observe(ONE, 1.0)
    turns.observe(TWO, 1.0)
    found = [await turns.find_turn('desk', (ONE, TWO), 0.1) for _ in range(4)]
    assert [target for target, _ in found] == [ONE, ONE, TWO, TWO]
    target, wait = await turns.find_turn('desk', (ONE, TWO), 0.1)
    assert target is None
    assert 0.5 < wait <= 1.0


async def test_turn_within_the_longest_wait_is_given_in_advance(turns):
    turns.observe(ONE, 1.0)
    waits = [(await turns.find_turn('desk', (ONE,), 3))[1] for _ in range(5)]
    assert waits == pytest.approx([0, 0, 1, 2, 3], abs=0.05)


async def test_limit_is_spread_when_it_changes(turns, mesh):
    turns.observe(ONE, 1.0)
    turns.observe(ONE, 1.0)
    turns.observe(ONE, 2.0)
    spread = [call.args[0] for call in mesh.spread.call_args_list]
    assert spread == [TargetLimit('one/1', 1.0), TargetLimit('one/1', 2.0)]


async def test_limit_of_another_vm_holds_here(turns):
    link = Mock()
    await turns.handlers()[TargetLimit](link, TargetLimit('one/1', 1.0))
    assert turns.pacer.rates == {'one/1': 1.0}
    await turns.handlers()[TargetLimit](link, TargetLimit('one/1', 0))
    assert not turns.pacer.rates


async def test_owner_gives_turns_to_all_vms_together(turns):
    turns.observe(ONE, 1.0)
    query = TurnQuery('desk', (TargetLimit('one/1', 1.0),), 0)
    answer = turns.handlers()[TurnQuery]
    given = [await answer(Mock(), query) for _ in range(6)]
    assert sum(bool(reply.incarnation) for reply in given) == 2


def test_batches_wait_for_the_turn_of_their_target(turns):
    turns.observe(ONE, 2.0)
    turns.take(ONE)
    assert turns.take(ONE) == pytest.approx(time.monotonic() + 0.5, abs=0.05)


def test_limits_of_targets_that_are_gone_are_forgotten(turns):
    turns.observe(ONE, 2.0)
    turns._members.accept(MemberList(2, (), (TWO,)))
    turns.forget_ended()
    assert not turns.pacer.rates


# Guards against an owner that has not heard of a limit and gives turns freely.
async def test_owner_learns_a_limit_from_the_query(turns):
    query = TurnQuery('desk', (TargetLimit('one/1', 1.0),), 0)
    answer = turns.handlers()[TurnQuery]
    given = [await answer(Mock(), query) for _ in range(6)]
    assert sum(bool(reply.incarnation) for reply in given) == 2


# Guards against a limit of zero that other VMs take for none.
async def test_limit_of_zero_is_spread_as_a_limit(turns, mesh):
    turns.observe(ONE, 0.0)
    (limit,) = mesh.spread.call_args.args[:1]
    assert limit.rate > 0


async def test_vm_that_starts_late_learns_the_limits_of_its_peers(turns):
    link = Mock(peer=Mock(zone='north'))
    limit = TargetLimit('one/1', 1.0)
    link.request = AsyncMock(return_value=LimitsReply((limit,)))
    await turns.on_link_open(link)
    assert turns.pacer.rates == {'one/1': 1.0}
    answer = await turns.handlers()[LimitsQuery](link, LimitsQuery())
    assert answer.limits == (limit,)
