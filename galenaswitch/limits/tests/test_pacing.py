"""Pace of requests to targets that name a limit."""

import hypothesis
import pytest
from hypothesis import strategies

from galenaswitch.limits.pacing import (
    BURST_REQUESTS,
    OVERTAKING_SECONDS,
    Pacer,
)

WINDOW_SECONDS = 4.0


@pytest.fixture
def pacer():
    """Return a pacer with one target that takes two requests a second."""
    paced = Pacer()
    paced.set_rate('t/1', 2.0, 0)
    return paced


def take_until(pacer, start, end):
    """Take turns as soon as they are free and return their times."""
    now, times = start, []
    while now < end:
        if not pacer.find_wait('t/1', now):
            assert pacer.take('t/1', now) == 0
            times.append(now)
        now = round(now + 0.05, 6)
    return times


def test_target_without_a_limit_needs_no_wait():
    assert Pacer().take('t/1', 5) == 0


def test_turns_use_the_whole_rate(pacer):
    times = take_until(pacer, 0, 20)
    assert len(times) == pytest.approx(2 * 20 + BURST_REQUESTS, abs=2)


def test_turns_that_are_not_used_are_not_saved(pacer):
    take_until(pacer, 0, 2)
    assert len(take_until(pacer, 50, 50.1)) == BURST_REQUESTS


def test_turns_in_the_future_are_in_order(pacer):
    waits = [pacer.take('t/1', 1) for _ in range(5)]
    assert waits == [0, 0, 0.5, 1.0, 1.5]


def test_limit_of_another_incarnation_does_not_hold(pacer):
    pacer.retain({'t/2'})
    assert not pacer.rates
    assert pacer.find_wait('t/1', 0) == 0


def test_answer_without_a_limit_ends_it_when_none_overtook_it(pacer):
    assert not pacer.observe('t/1', None, OVERTAKING_SECONDS / 2)
    assert pacer.rates
    assert pacer.observe('t/1', None, OVERTAKING_SECONDS * 2)
    assert not pacer.rates


def test_limit_of_zero_is_tried_rarely():
    pacer = Pacer()
    pacer.set_rate('t/1', 0, 0)
    assert len(take_until(pacer, 0, 30)) <= BURST_REQUESTS + 2


# One step: seconds before it, and what happens: a limit is named, withdrawn, or
# a request comes.
STEP = strategies.tuples(
    strategies.floats(0.01, 1.0),
    strategies.one_of(
        strategies.floats(0.3, 8.0),
        strategies.sampled_from(['withdraw', 'request', 'request', 'request']),
    ),
)


@hypothesis.settings(deadline=None)
@hypothesis.given(strategies.lists(STEP, max_size=120))
def test_no_window_has_more_than_the_largest_limit_in_force_allows(steps):
    pacer = Pacer()
    now, sends, rates = 0.0, [], []
    for pause, action in steps:
        now += pause
        if action == 'withdraw':
            pacer.observe('t/1', None, now)
        elif action != 'request':
            pacer.observe('t/1', action, now)
        rates.append((now, pacer.rates.get('t/1')))
        if action == 'request' and not pacer.find_wait('t/1', now):
            pacer.take('t/1', now)
            sends.append(now)
    for start in sends:
        end = start + WINDOW_SECONDS
        before = [rate for at, rate in rates if at <= start][-1:]
        known = before + [rate for at, rate in rates if start <= at < end]
        if None not in known:
            count = sum(start <= at < end for at in sends)
            assert count <= max(known) * WINDOW_SECONDS + BURST_REQUESTS + 1
