"""Notices of targets that leave: whose they are, and who learns of them."""

import time
from unittest.mock import Mock

import pytest

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.gateway.notices import TargetClosedError, TargetNotices
from galenaswitch.membership.lists import (
    LIVE,
    LeavingSign,
    MemberList,
    Members,
    Target,
)
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.platform.headers import PlatformWire

ONE = Target('one', 'one/1', 'z', 'desk', 'a:1')
TWO = Target('two', 'two/1', 'z', 'desk', 'a:1')
ONE_SIGN = LeavingSign('one', 'one/1')
LEAVING = (b'Server-Leaving', b'1')


@pytest.fixture
def members():
    """Return the members of a VM, with two targets at one address."""
    members = Members()
    members.accept(MemberList(1, (), (ONE, TWO)))
    return members


@pytest.fixture
def notices(members):
    """Return the notices of VM ``a``."""
    mesh = Mock(spec=Mesh, node='a', zone='north')
    return TargetNotices(PlatformWire(), members, mesh, LocalMetrics())


def observe(notices, target, status, *headers):
    """Observe an answer to a request that was meant for a target."""
    notices.observe(target, AnswerHead(status, headers))


# Guards against a leaving notice that is read in some answers only.
@pytest.mark.parametrize('status', [200, 204, 409, 429, 500, 503])
def test_notice_in_any_answer_closes_its_target(notices, members, status):
    observe(notices, ONE, status, LEAVING)
    with pytest.raises(TargetClosedError):
        notices.check(ONE)
    notices.check(TWO)
    assert members.usable('desk') == (TWO,)
    assert notices.find_closed('desk') == ('one/1',)


# Guards against a notice that is given to the target which had the address.
def test_notice_in_a_misdirected_answer_is_that_of_the_new_target(
    notices, members
):
    observe(notices, ONE, 421, LEAVING)
    assert members.usable('desk') == (ONE,)


def test_notice_is_spread_once(notices):
    observe(notices, ONE, 200, LEAVING)
    observe(notices, ONE, 200, LEAVING)
    notices._mesh.spread.assert_called_once_with(ONE_SIGN, None)


# Guards against a VM that places requests of others on a target that leaves.
async def test_notice_of_another_vm_holds_here_and_is_passed_on(
    notices, members
):
    link = Mock()
    await notices.handlers()[LeavingSign](link, ONE_SIGN)
    assert members.usable('desk') == (TWO,)
    notices._mesh.spread.assert_called_once_with(ONE_SIGN, link)


# Guards against a VM that starts, or is cut off, while a target leaves.
def test_peer_whose_link_opens_learns_the_notices(notices):
    observe(notices, ONE, 200, LEAVING)
    link = Mock()
    notices.on_link_open(link)
    link.send.assert_called_once_with(ONE_SIGN)


# Guards against a notice that ends with an entry which comes back as ready.
def test_target_that_is_listed_again_stays_leaving(notices, members):
    observe(notices, ONE, 200, LEAVING)
    members.accept(MemberList(2, (), (TWO,)))
    members.accept(MemberList(3, (), (ONE._replace(state=LIVE), TWO)))
    assert members.usable('desk') == (TWO,)


def test_target_that_starts_anew_is_not_leaving(notices, members):
    observe(notices, ONE, 200, LEAVING)
    again = ONE._replace(incarnation='one/2')
    members.accept(MemberList(2, (), (again, TWO)))
    assert members.usable('desk') == (again, TWO)


# Guards against a probe that is sent in a pause which began while its
# connection was opened.
def test_probe_is_not_sent_in_a_later_pause(notices):
    observe(notices, ONE, 503, (b'Retry-After', b'0.001'))
    time.sleep(0.01)
    assert notices.start(ONE)
    notices.check(ONE, is_probe=True)
    observe(notices, ONE, 503, (b'Retry-After', b'30'))
    with pytest.raises(TargetClosedError):
        notices.check(ONE, is_probe=True)
