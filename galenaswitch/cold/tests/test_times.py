"""Cold periods of targets, as their entries and failures show them."""

import itertools

import pytest

from galenaswitch.cold.times import SETTLE_SECONDS, ColdTimes

START_SECONDS = 3.0


@pytest.fixture
def times():
    """Return a record in which no target is cold."""
    return ColdTimes()


def read(times, version, left, now):
    """Read a version of the entry that tells the time left."""
    times.observe_entry('t/1', 'desk', version, left, now)
    period = times.find('t/1', now)
    return period.seconds if period else 0


# Guards against a period that begins anew with each heartbeat, and with each
# look at the entries while other targets change.
def test_period_changes_at_the_begin_and_at_the_end_only(times):
    shown = [
        read(times, 1 + int(step / 12), max(0, 3 - step / 10), step / 10)
        for step in range(60)
    ]
    changes = [one for one, two in itertools.pairwise(shown) if one != two]
    assert shown[0] == START_SECONDS
    assert shown[-1] == 0
    assert len(changes) == 1


# Guards against an old entry that keeps a target cold each time it is read.
def test_entry_that_is_read_again_does_not_begin_anew(times):
    assert read(times, 1, START_SECONDS, now=0) == START_SECONDS
    assert read(times, 1, START_SECONDS, now=2.9) == START_SECONDS
    assert read(times, 1, START_SECONDS, now=3.1) == 0


# Guards against a target that is cold a second time and isn't taken for it.
def test_target_may_become_cold_again(times):
    read(times, 1, START_SECONDS, now=0)
    assert read(times, 2, 0, now=2) == 0
    assert read(times, 3, START_SECONDS, now=9) == START_SECONDS
    assert times.find('t/1', now=11.9)


# Guards against an entry from before a return that ends the suspicion of it.
def test_suspicion_outlives_an_entry_that_is_on_its_way(times):
    assert times.suspect('t/1', 'desk', START_SECONDS, now=10)
    assert not times.suspect('t/1', 'desk', START_SECONDS, now=10.2)
    read(times, 5, 0, now=10 + SETTLE_SECONDS / 2)
    assert times.find('t/1', now=10.9)
    read(times, 6, 0, now=10 + SETTLE_SECONDS)
    assert not times.find('t/1', now=11.1)


def test_suspicion_ends_by_itself(times):
    times.suspect('t/1', 'desk', START_SECONDS, now=10)
    assert times.find('t/1', now=12.9)
    assert not times.find('t/1', now=13)
