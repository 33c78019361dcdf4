"""Stages that can't be made in time, in a burst at slow targets."""

import heapq

import pytest

from galenaswitch.pipelines.batch_queue import BatchQueue
from galenaswitch.pipelines.tests.test_batch_queue import (
    LIMITS,
    TARGETS,
    add_stages,
    make_stage,
    start_batches,
)

# The batches take this many times as long as the configuration says.
SLOWDOWN = 3
DEADLINE_SECONDS = 6.0


def run_burst(requests, slack):
    """Let requests arrive within 0.3 s at slow targets, and end.

    :param slack: seconds until the latest start of a request.
    :returns: seconds that were left to each refused request, number of requests
        made in time, and number of work items made too late.
    """
    queue = BatchQueue()
    left, served, wasted = [], 0, 0
    events = []
    for number in range(requests):
        at = number * 0.3 / requests
        stage = make_stage(
            str(number), 4, start_by=at + slack, deadline=at + DEADLINE_SECONDS
        )
        heapq.heappush(events, (at, number, stage))
    while events:
        now, number, event = heapq.heappop(events)
        refused = []
        if number < requests:
            wait = queue.add(event.ident, event, TARGETS, LIMITS, now)
            refused += [event.ident] if now + wait > event.deadline else []
        else:
            seconds = SLOWDOWN * (0.2 + len(event.work_items) * 0.042)
            state = queue.target_state(event.target)
            state.observe(seconds / event.expected)
            queue.record_load(event.target, None, now)
            queue.finish(event)
            queue.record_completed(len(event.work_items), now)
            for pending, _ in event.work_items:
                pending.missing_results -= 1
                wasted += now > pending.deadline
                if not pending.missing_results:
                    queue.remove(pending.ident)
                    served += now <= pending.deadline
        for key in refused or queue.find_infeasible(TARGETS, LIMITS, now):
            left.append(queue.pending_stages[key].deadline - now)
            queue.remove(key)
        for batch in start_batches(queue, now):
            seconds = SLOWDOWN * (0.2 + len(batch.work_items) * 0.042)
            number += requests
            heapq.heappush(events, (now + seconds, number, batch))
    return left, served, wasted


# Guards against requests that wait until their deadline at targets that are
# slower than configured, and against refusals of those that could be served,
# in time or late.
@pytest.mark.parametrize('requests', [60, 90, 140])
@pytest.mark.parametrize('slack', [1, 5])
def test_hopeless_requests_end_early_in_a_burst(requests, slack):
    left, served, wasted = run_burst(requests, slack)
    early = sum(seconds > DEADLINE_SECONDS / 4 for seconds in left)
    assert early > 0.92 * len(left)
    # The targets make 3.6 requests a second together while 6 s pass.
    assert served >= 20
    assert wasted == 0


# Guards against a batch that is sent though it ends after the deadline.
def test_batch_of_a_stage_counts_in_its_wait():
    batch_queue = BatchQueue()
    add_stages(batch_queue, make_stage('r', 4, deadline=0.3))
    assert batch_queue.find_infeasible(TARGETS, LIMITS, 0.0) == ['r']
    assert batch_queue.find_infeasible(TARGETS, LIMITS, -0.1) == []


# Guards against a request that loses its work since its later stages might
# wait as long as this one does.
def test_begun_request_counts_the_wait_of_one_stage():
    batch_queue = BatchQueue()
    add_stages(batch_queue, *(make_stage(f'r{n}', 4) for n in range(20)))
    waits = []
    for inputs in ((), ('h',)):
        stage = make_stage('s', 4, late=True, stages_left=3)
        stage.queued = [one._replace(inputs=inputs) for one in stage.queued]
        waits.append(batch_queue.add('s', stage, TARGETS, LIMITS, 0.0))
    assert waits[0] == pytest.approx(3 * waits[1])
