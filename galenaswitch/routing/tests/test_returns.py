"""Waits for targets of which all have just ended."""

import asyncio
from unittest.mock import Mock

import pytest

from galenaswitch.errors import TargetBrokenError, TargetUnreachableError
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.return_waits import ReturnWaits, UntriedTargets
from galenaswitch.routing.returns import EndKind, Returns

NAMES = ('a', 'b')


@pytest.fixture
def returns():
    """Return the record of a service whose two targets have just ended."""
    returns = Returns()
    for name in NAMES:
        returns.record_end('desk', name, EndKind.broken, 10)
    return returns


# Guards against requests that pile up while a service is down, and against
# waits that last longer than the objective allows or the bound.
def test_one_of_many_requests_waits_within_its_objective(returns):
    waits = [returns.start_wait('desk', NAMES, 1, 10) for _ in range(200)]
    assert [wait for wait in waits if wait] == [0.5]
    returns.end_wait('desk')
    assert returns.start_wait('desk', NAMES, 0.2, 10.4) == 0.2


# Guards against waits that will be in vain: the objective is too near, targets
# take longer, one is sound, or none has just ended.
@pytest.mark.parametrize(
    ('usable', 'max_wait', 'now'),
    [
        (NAMES, 0.4, 10),
        (NAMES, 0, 10.5),
        ((*NAMES, 'c'), 1, 10),
        (NAMES, 1, 13),
    ],
)
def test_no_request_waits_in_vain(returns, usable, max_wait, now):
    assert returns.start_wait('desk', usable, max_wait, now) == 0


# Guards against waits for targets that were measured to return later.
def test_measured_return_forbids_a_wait_that_is_too_short(returns):
    assert returns.start_wait('desk', NAMES, 1, 10)
    returns.end_wait('desk')
    returns.record_answer('desk', 'c', 11.5)
    returns.record_end('desk', 'c', EndKind.broken, 20)
    assert returns.start_wait('desk', ('c',), 1, 20) == 0
    assert returns.start_wait('desk', ('c',), 1, 21.1) == 0.5


# Guards against refusals while a target is back within the wait, under another
# name or its own.
@pytest.mark.parametrize('new_name', ['a', 'c'])
async def test_request_finds_the_target_that_is_back(new_name):
    old, new = (Target(one, one, 'z', 'desk', '') for one in ('a', new_name))
    members = Members()
    members.accept(MemberList(1, (), (old,)))
    waits = ReturnWaits()
    untried = UntriedTargets(members, Mock(ejector=Ejector(), returns=waits))
    kinds = {'a': TargetUnreachableError, 'c': TargetBrokenError}
    waits.record_failure(old, kinds[new_name]('ended'))
    searches = [untried.find('desk', {'a'}, 1) for _ in range(20)]
    waiting = asyncio.gather(*searches)
    await asyncio.sleep(0)
    members.accept(MemberList(2, (), (new,)))
    found = [one for one in await waiting if one.targets == [new]]
    assert [one.waited > 0 for one in found] == [True]
