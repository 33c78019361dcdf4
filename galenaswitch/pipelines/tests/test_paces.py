"""Paces that the hosts of targets report, and their age."""

import math
import random

import pytest

from galenaswitch.gateway.calls import Load
from galenaswitch.pipelines.tests.test_batch_queue import (
    TARGETS,
    BatchQueue,
    add_stages,
    make_stage,
    start_batches,
)

PACES = (0.6, 1.0, 1.8)


def report(queue, target, pace, at=0.0):
    """Record an answer of a target with the pace of its host."""
    queue.record_load(target, Load(0, 0, 1, pace), at)


def find_error(*, reports):
    """Return the mean error of expected durations, as a logarithm.

    A thousand batches run at hosts that change their pace each 0.7 s.

    :param reports: whether targets report the pace.
    """
    rng = random.Random(7)
    queue = BatchQueue()
    host_paces = {
        target: [rng.choice(PACES) for _ in range(2000)] for target in TARGETS
    }
    errors = []
    ends = dict.fromkeys(TARGETS, 0.0)
    for number in range(1000):
        target = min(ends, key=ends.get)
        now = ends[target]
        paces = host_paces[target]
        pace = paces[int(now / 0.7)]
        report(queue, target, pace if reports else 1.0, now)
        add_stages(queue, make_stage(str(number), 4, start_by=now), now=now)
        (batch,) = start_batches(queue, now, targets=[target])
        queue.remove(str(number))
        seconds = 0.368 * pace
        errors.append(abs(math.log(batch.expected / seconds)))
        ends[target] += seconds
        queue.target_state(target).observe(seconds / batch.expected)
        queue.finish(batch)
    return sum(errors) / len(errors)


# Guards against expected times under load that ignore how long work currently
# takes on a host.
def test_reported_pace_improves_the_expected_time_of_batches():
    assert find_error(reports=True) < 0.85 * find_error(reports=False)


# Guards against batches at a host that is slow right now, and against old
# reports that decide.
@pytest.mark.parametrize(('now', 'chosen'), [(0.05, 'b'), (0.3, 'a')])
def test_pace_weighs_between_idle_targets_while_it_is_new(now, chosen):
    queue = BatchQueue()
    report(queue, TARGETS[0], 1.6)
    report(queue, TARGETS[1], 0.9)
    queue.target_state(TARGETS[1]).slowdown = 1.05
    add_stages(queue, make_stage('r', 4))
    (batch,) = start_batches(queue, now, TARGETS[:2])
    assert batch.target.name == chosen


# Guards against a pace that is the only criterion: a host that was fast 50 ms
# ago, but whose batches take longer, or that lies in another zone.
@pytest.mark.parametrize(('slowdown', 'zone'), [(1.5, ''), (1.0, 'z1')])
def test_pace_does_not_outweigh_measured_batches_or_the_zone(slowdown, zone):
    queue = BatchQueue()
    report(queue, TARGETS[0], 1.3)
    report(queue, TARGETS[1], 0.8)
    queue.target_state(TARGETS[1]).slowdown = slowdown
    add_stages(queue, make_stage('r', 4, zone=zone))
    (batch,) = start_batches(queue, 0.05, TARGETS[:2])
    assert batch.target is TARGETS[0]


# Guards against other choices and times where hosts report no pace.
def test_load_without_a_pace_changes_no_expected_time():
    queue = BatchQueue()
    queue.target_state(TARGETS[0]).slowdown = 1.4
    queue.record_load(TARGETS[0], Load(0, 0, 1), 0.0)
    add_stages(queue, make_stage('r', 4))
    (batch,) = start_batches(queue, 0.0, TARGETS[:1])
    assert batch.expected == pytest.approx(1.4 * 0.368)
