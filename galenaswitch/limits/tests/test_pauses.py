"""Pauses of targets, and the probe after their end."""

import pytest

from galenaswitch.limits.pauses import (
    MAX_PAUSE_SECONDS,
    MEMORY_SECONDS,
    PROBE_SECONDS,
    Pauses,
)


@pytest.fixture
def paused():
    """Return pauses with one of two seconds from the time 0 on."""
    pauses = Pauses()
    pauses.pause('t/1', 2.0, 0)
    return pauses


# Guards against a short pause that ends a longer one.
@pytest.mark.parametrize(
    ('seconds', 'at', 'end'), [(0.1, 1.0, 2.0), (3.0, 1.0, 4.0)]
)
def test_longest_pause_holds(paused, seconds, at, end):
    assert not paused.pause('t/1', seconds, at)
    assert paused.find_wait('t/1', at) == end - at


def test_pause_holds_for_one_incarnation(paused):
    assert not paused.find_wait('t/2', 1)


# Guards against all callers at once at a target that refuses again.
def test_one_request_probes_the_target_after_a_pause(paused):
    assert paused.start('t/1', 2.0)
    assert paused.find_wait('t/1', 2.1) == pytest.approx(PROBE_SECONDS - 0.1)
    paused.end_probe('t/1', 2.2)
    assert not paused.find_wait('t/1', 2.2)
    assert not paused.start('t/1', 2.2)


def test_target_that_does_not_answer_is_probed_again(paused):
    paused.start('t/1', 2.0)
    assert not paused.find_wait('t/1', 2.0 + PROBE_SECONDS)
    assert paused.start('t/1', 2.0 + PROBE_SECONDS)


# Guards against an answer that ends a pause which was asked for after it.
def test_probe_ends_no_later_pause(paused):
    paused.start('t/1', 2.0)
    paused.pause('t/1', 5.0, 2.1)
    paused.end_probe('t/1', 2.2)
    assert paused.find_wait('t/1', 2.2) == pytest.approx(4.9)


@pytest.mark.parametrize('seconds', [1e30, float('inf')])
def test_pause_is_bounded(seconds):
    pauses = Pauses()
    pauses.pause('t/1', seconds, 0)
    assert pauses.find_wait('t/1', 0) == MAX_PAUSE_SECONDS


# Guards against the memory of all targets that ever asked for a pause.
def test_pauses_are_forgotten_when_they_ended_a_while_ago(paused):
    paused.start('t/1', 2.0)
    paused.forget_ended(2.0 + MEMORY_SECONDS)
    assert paused.start('t/1', 2.0 + MEMORY_SECONDS)
    paused.forget_ended(2.1 + MEMORY_SECONDS)
    assert not paused.start('t/1', 2.1 + MEMORY_SECONDS)
