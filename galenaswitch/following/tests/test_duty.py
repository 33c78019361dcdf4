"""Who follows the store, with clocks and signs of life of the tests.

The load is that of a large deployment, whose calls to the store must not grow
with its VMs.
"""

import pytest

from galenaswitch.following.duty import (
    FOLLOWERS,
    SILENT_SECONDS,
    START_SECONDS,
    FollowingDuty,
    rank_followers,
)
from galenaswitch.membership.lists import Machine

ZONES = ('north', 'south', 'east', 'west', 'up', 'down')
STEP_SECONDS = 0.2
# Time within which a VM that lost its followers has to follow the store, so
# that a change is in force within two seconds.
TAKEOVER_SECONDS = 1.6


class Deployment:
    """VMs that all start at one moment and hear each other's signs."""

    def __init__(self, size):
        """Build ``size`` VMs, in zones by turns."""
        self.now = 0.0
        self.zones = {
            f'vm{number}': ZONES[number % len(ZONES)] for number in range(size)
        }
        self.ranked = rank_followers(
            Machine(name, zone, '127.0.0.1', 1)
            for name, zone in self.zones.items()
        )
        self.duties = {name: FollowingDuty(name, 0) for name in self.zones}
        self.dead = set()
        self.blind = set()
        self.cut_zones = set()
        self.begun_count = 0

    @property
    def active(self):
        """Live VMs that follow the store."""
        return {
            name
            for name, duty in self.duties.items()
            if duty.is_active and name not in self.dead
        }

    @property
    def following(self):
        """Those of them that the store answers."""
        return self.active - self.blind

    def hears(self, name, other):
        """Tell whether a VM hears another one."""
        mine, theirs = self.zones[name], self.zones[other]
        is_cut = {mine, theirs} & self.cut_zones
        return name != other and (mine == theirs or not is_cut)

    def step(self):
        """Let all VMs hear the signs of a moment and then decide."""
        self.now += STEP_SECONDS
        for name, duty in self.duties.items():
            for other in self.active:
                if self.hears(name, other):
                    duty.observe(
                        other, self.now, counts=other not in self.blind
                    )
        for name, duty in self.duties.items():
            if name not in self.dead:
                self._decide(name, duty)

    def _decide(self, name, duty):
        reached = [
            other
            for other in self.ranked
            if self.zones[other] == self.zones[name] and other not in self.dead
        ]
        is_current = name not in self.blind
        if duty.should_end(self.now, self.ranked, is_current=is_current):
            duty.is_active = False
        elif duty.should_begin(self.now, self.ranked, reached) and is_current:
            duty.is_active = True
            self.begun_count += 1

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.step()


@pytest.fixture(params=[7, 18, 64, 195])
def deployment(request):
    """Return a deployment whose followers have been found."""
    started = Deployment(request.param)
    started.run(START_SECONDS + 6)
    return started


# Guards against calls that grow with VMs: each VM that follows lists all kinds.
def test_few_vms_follow_at_any_size(deployment):
    assert len(deployment.active) == FOLLOWERS
    assert len({deployment.zones[one] for one in deployment.active}) > 1
    assert deployment.begun_count <= 3 * len(ZONES)


def test_followers_stay_the_same(deployment):
    before = deployment.active
    deployment.run(20)
    assert deployment.active == before


# Guards against a time without followers after they are killed together.
def test_others_take_over_when_all_followers_die(deployment):
    deployment.dead |= deployment.active
    deployment.run(TAKEOVER_SECONDS)
    assert deployment.following
    begun = deployment.begun_count
    deployment.run(8)
    assert len(deployment.following) == FOLLOWERS
    assert deployment.begun_count - begun <= len(ZONES)


# Guards against the store that turns its followers away and serves the others.
def test_others_take_over_from_followers_that_the_store_turns_away(deployment):
    turned_away = deployment.active
    deployment.blind |= turned_away
    deployment.run(TAKEOVER_SECONDS)
    assert deployment.following
    deployment.run(8)
    assert len(deployment.following) == FOLLOWERS
    assert not deployment.active & turned_away


# Guards against a zone that is cut off and has no follower.
def test_zone_that_is_cut_off_follows_by_itself(deployment):
    zone = next(
        zone
        for zone in ZONES
        if zone not in {deployment.zones[one] for one in deployment.active}
    )
    deployment.cut_zones.add(zone)
    deployment.run(TAKEOVER_SECONDS)
    assert any(deployment.zones[one] == zone for one in deployment.following)
    deployment.cut_zones.clear()
    deployment.run(6)
    assert len(deployment.following) == FOLLOWERS


# Guards against all VMs that call a store which is away, each by itself.
def test_vms_that_hear_no_follower_begin_one_after_another():
    deployment = Deployment(195)
    deployment.run(START_SECONDS - 1)
    assert not deployment.begun_count
    deployment.run(1.5)
    assert deployment.begun_count <= 2 * len(ZONES)


def test_silent_follower_counts_until_it_was_silent_for_long():
    duty = FollowingDuty('a', 0)
    duty.observe('b', 1, counts=True)
    assert duty.find_live(1 + SILENT_SECONDS / 2) == ('b',)
    assert not duty.find_live(1.01 + SILENT_SECONDS)


def test_follower_that_leaves_counts_no_more():
    duty = FollowingDuty('a', 0)
    duty.observe('b', 1, counts=True)
    duty.observe('b', 1.1, counts=False)
    assert not duty.find_live(1.1)
