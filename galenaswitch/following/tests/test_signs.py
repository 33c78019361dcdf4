"""Signs of life, and what a VM does that hears them."""

import time
from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.following.messages import FollowerSign
from galenaswitch.following.tests.fakes import LoneMesh, follow_alone
from galenaswitch.membership.lists import Members

LINK = Mock(peer=Mock(node='b', zone='z'))


def make_sign(sequence, configuration, incarnation='1', **changes):
    """Return a sign of a VM that follows the store."""
    fields = {'is_current': True, 'is_leaving': False, **changes}
    return FollowerSign(
        'b',
        incarnation,
        sequence,
        states=(),
        configuration=configuration,
        **fields,
    )


@pytest.fixture
def exchange():
    """Return the exchange of configurations of a VM."""
    return AsyncMock(digest='old')


@pytest.fixture
def following(exchange):
    """Return the following of a VM that hears others."""
    following = follow_alone('a', Mock(), Members(), None)
    following.configurations = exchange
    return following


# Guards against a configuration whose message was lost, and that comes with the
# next exchange with a random peer only: too late to be in force in time.
async def test_lost_configuration_is_queried_after_two_signs(
    following, exchange
):
    await following._receive_sign(LINK, make_sign(1, 'new'))
    exchange.on_link_open.assert_not_awaited()
    await following._receive_sign(LINK, make_sign(2, 'new'))
    exchange.on_link_open.assert_awaited_once_with(LINK)


async def test_known_configuration_is_not_queried(following, exchange):
    for sequence in range(1, 4):
        await following._receive_sign(LINK, make_sign(sequence, 'old'))
    exchange.on_link_open.assert_not_awaited()


# Guards against a sign that comes on two ways and counts as two.
async def test_repeated_sign_counts_once(following, exchange):
    for _ in range(3):
        await following._receive_sign(LINK, make_sign(1, 'new'))
    exchange.on_link_open.assert_not_awaited()
    assert len(following._mesh.spread_messages) == 1


async def test_first_sign_of_a_new_process_counts(following):
    await following._receive_sign(LINK, make_sign(9, 'old'))
    await following._receive_sign(LINK, make_sign(1, 'old', incarnation='2'))
    assert len(following._mesh.spread_messages) == 2


# Guards against a follower that the store turned away, and that still counts.
@pytest.mark.parametrize(
    'changes', [{'is_current': False}, {'is_leaving': True}]
)
async def test_sign_of_a_follower_that_fails_ends_its_duty(following, changes):
    await following._receive_sign(LINK, make_sign(1, 'old'))
    assert following._duty.find_live(time.monotonic()) == ('b',)
    await following._receive_sign(LINK, make_sign(2, 'old', **changes))
    assert not following._duty.find_live(time.monotonic())


def test_own_sign_names_the_configuration(following):
    following._send_sign()
    (sign,) = following._mesh.spread_messages
    assert sign.configuration == 'old'
    assert isinstance(following._mesh, LoneMesh)
