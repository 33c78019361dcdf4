"""Choice among plain targets of which some are slow, without a network."""

import pytest

from galenaswitch.membership.lists import Target
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.routing.choice import WorkEstimate
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.slowness import SlowLast

NOW = 100.0


@pytest.fixture
def loads():
    """Return a view of loads that are all idle."""
    return LoadView()


@pytest.fixture
def choose_names(loads):
    """Return a function that makes choices among targets with latencies."""
    chooser = SlowLast(loads, LocalMetrics())

    def choose(latencies, now=NOW, count=30, capacity=8):
        targets = [
            Target(name, '1', 'z', 'desk', 'h:1', capacity=capacity)
            for name in latencies
        ]
        for name, seconds in latencies.items():
            if seconds:
                loads.get_load(name).observe(seconds)
        work = WorkEstimate((), 0, 0, 'z', now)
        return {chooser.choose(targets, work).name for _ in range(count)}

    return choose


# Guards against targets that are left out for differences that are usual, or
# before anything is known about them.
@pytest.mark.parametrize(
    ('slow', 'expected'),
    [(0, 'abc'), (0.19, 'abc'), (0.8, 'bc')],
)
def test_only_a_slow_target_is_left_out(choose_names, slow, expected):
    latencies = {'a': slow, 'b': 0.1, 'c': 0.1}
    assert choose_names(latencies) == set(expected)


# Guards against services with few milliseconds of work, whose ratios are noise.
def test_differences_that_callers_hardly_notice_do_not_count(choose_names):
    assert choose_names({'a': 0.04, 'b': 0.01, 'c': 0.01}) == set('abc')


# Guards against a service without targets after all became slow.
def test_targets_that_are_all_slow_are_all_used(choose_names):
    choose_names({'a': 0.1, 'b': 0.1})
    assert choose_names({'a': 5.0, 'b': 5.0}) == set('ab')


# Guards against a slow target that holds up many requests to be measured.
def test_slow_target_is_measured_at_growing_intervals(choose_names, loads):
    usual = {'b': 0.1, 'c': 0.1}
    probes = []
    for step in range(600):
        seconds = 0.8 if probes and probes[-1] == step - 1 else 0
        names = choose_names(
            {'a': seconds or 0.8 * (not step), **usual}, NOW + step / 10, 1
        )
        if 'a' in names:
            probes.append(step)
    assert 4 <= len(probes) <= 7


# Guards against a second request to a slow target that hasn't answered yet.
def test_slow_target_with_a_request_in_progress_is_not_measured(
    choose_names, loads
):
    latencies = {'a': 0.8, 'b': 0.1, 'c': 0.1}
    choose_names(latencies)
    loads.get_load('a').start(NOW, 0, 0)
    assert choose_names(latencies, NOW + 50, 9) == set('bc')


# Guards against a target that stays out after it has become quick.
def test_one_quick_response_ends_the_pause(choose_names):
    choose_names({'a': 0.8, 'b': 0.1, 'c': 0.1})
    assert choose_names({'a': 0.1, 'b': 0.1, 'c': 0.1}) == set('abc')


# Guards against requests that queue beside a slow target with free slots.
def test_slow_target_is_used_while_the_others_have_no_room(choose_names, loads):
    for name in 'bc':
        loads.get_load(name).outstanding = 2
    names = choose_names({'a': 0.8, 'b': 0.1, 'c': 0.1}, capacity=2)
    assert names == {'a'}


# Guards against retries that end the pause of a slow target: without the target
# that was tried, the median of the others is another one.
def test_repeat_avoids_slow_targets_and_changes_no_pause(loads):
    chooser = SlowLast(loads, LocalMetrics())
    targets = [Target(name, '1', 'z', 'desk', 'h:1') for name in 'abcd']
    for name, seconds in zip('abcd', (0.1, 0.1, 0.5, 0.5), strict=True):
        loads.get_load(name).observe(seconds)
    first = WorkEstimate((), 0, 0, 'z', NOW)
    chooser.choose(targets, first)
    pauses = dict(chooser._pauses)
    repeat = WorkEstimate((), 0, 0, 'z', NOW + 5, is_repeat=True)
    for _ in range(20):
        assert chooser.choose(targets[1:], repeat).name == 'b'
    assert chooser._pauses == pauses


# Guards against pauses of targets that have ended, which are kept for good.
def test_pauses_of_targets_that_have_ended_are_dropped(loads):
    chooser = SlowLast(loads, LocalMetrics())
    for name, seconds in (('b', 0.1), ('c', 0.1)):
        loads.get_load(name).observe(seconds)
    for number in range(100):
        names = (f'slow{number}', 'b', 'c')
        loads.get_load(names[0]).observe(0.8)
        targets = [Target(name, '1', 'z', 'desk', 'h:1') for name in names]
        work = WorkEstimate((), 0, 0, 'z', NOW + number * 60)
        chooser.choose(targets, work)
    assert 'slow99' in chooser._pauses
    assert len(chooser._pauses) < 15
