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

BATCH_SECONDS = 0.368


def find_error(*, reports):
    """Return the mean error of expected durations, as a logarithm.

    250 batches run at each of four hosts that change their pace each 0.7 s.

    :param reports: whether targets report the pace.
    """
    rng = random.Random(7)
    queue = BatchQueue()
    errors = []
    for target in TARGETS:
        paces = [rng.choice((0.6, 1.0, 1.8)) for _ in range(1000)]
        now = 0.0
        for number in range(250):
            pace = paces[int(now / 0.7)]
            load = Load(0, 0, 1, pace if reports else 1.0)
            queue.record_load(target, load, now)
            add_stages(queue, make_stage(str(number), 4, start_by=now), now=now)
            (batch,) = start_batches(queue, now, targets=[target])
            queue.finish(batch)
            queue.remove(str(number))
            ratio = BATCH_SECONDS * pace / batch.expected
            queue.target_state(target).observe(ratio)
            errors.append(abs(math.log(ratio)))
            now += BATCH_SECONDS * pace
    return sum(errors) / len(errors)


# Guards against expected times under load that ignore how long work currently
# takes on a host, and against other ones where hosts report no pace.
def test_reported_pace_improves_the_expected_time_of_batches():
    assert find_error(reports=True) < 0.85 * find_error(reports=False)
    queue = BatchQueue()
    queue.target_state(TARGETS[0]).slowdown = 1.4
    queue.record_load(TARGETS[0], Load(0, 0, 1), 0.0)
    add_stages(queue, make_stage('r', 4))
    (batch,) = start_batches(queue, 0.0, TARGETS[:1])
    assert batch.expected == pytest.approx(1.4 * BATCH_SECONDS)


# Guards against batches at a host that is slow right now, against old reports
# that decide, and against a pace that is the only criterion: batches at a host
# that was fast 50 ms ago may take longer, or it lies in another zone.
@pytest.mark.parametrize(
    ('now', 'slowdown', 'zone', 'chosen'),
    [
        (0.05, 1.05, '', 'b'),
        (0.3, 1.05, '', 'a'),
        (0.05, 1.7, '', 'a'),
        (0.05, 1.05, 'z1', 'a'),
    ],
)
def test_pace_is_one_criterion_while_it_is_new(now, slowdown, zone, chosen):
    queue = BatchQueue()
    for target, pace in zip(TARGETS, (1.6, 0.9), strict=False):
        queue.record_load(target, Load(0, 0, 1, pace), 0.0)
    queue.target_state(TARGETS[1]).slowdown = slowdown
    add_stages(queue, make_stage('r', 4, zone=zone))
    (batch,) = start_batches(queue, now, TARGETS[:2])
    assert batch.target.name == chosen
