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


class Burst:
    """Simulates requests that arrive within 0.3 s at slow targets.

    :ivar left: seconds that were left to each refused request.
    :ivar served: requests whose results came in time.
    :ivar wasted: work items whose results came too late.
    """

    def __init__(self):
        """Build a burst in which nothing has arrived."""
        self.left = []
        self.served = 0
        self.wasted = 0
        self._queue = BatchQueue()
        self._events = []

    def run(self, requests):
        """Let requests arrive and end."""
        for number in range(requests):
            at = number * 0.3 / requests
            stage = make_stage(
                str(number),
                4,
                start_by=at + 5,
                deadline=at + DEADLINE_SECONDS,
            )
            heapq.heappush(self._events, (at, number, stage))
        number = requests
        while self._events:
            now, _, event = heapq.heappop(self._events)
            self._apply(event, now)
            for key in self._queue.find_infeasible(TARGETS, LIMITS, now):
                self._refuse(key, now)
            for batch in start_batches(self._queue, now):
                number += 1
                count = len(batch.work_items)
                done = now + SLOWDOWN * (0.2 + count * 0.042)
                heapq.heappush(self._events, (done, number, batch))

    def _apply(self, event, now):
        if hasattr(event, 'queued'):
            wait = self._queue.add(event.ident, event, TARGETS, LIMITS, now)
            if now + wait > event.deadline:
                self._refuse(event.ident, now)
            return
        self._queue.finish(event)
        count = len(event.work_items)
        target_state = self._queue.target_state(event.target)
        target_state.observe(SLOWDOWN * (0.2 + count * 0.042) / event.expected)
        self._queue.record_load(event.target, None, now)
        self._queue.record_completed(len(event.work_items), now)
        for pending, _ in event.work_items:
            self._queue.release(event.target, pending.result_bytes)
            pending.missing_results -= 1
            self.wasted += now > pending.deadline
            if not pending.missing_results:
                self._queue.remove(pending.ident)
                self.served += now <= pending.deadline

    def _refuse(self, key, now):
        self.left.append(self._queue.pending_stages[key].deadline - now)
        self._queue.remove(key)


# Guards against requests that wait until their deadline at targets that are
# slower than configured, and against refusals of those that could be served.
@pytest.mark.parametrize('requests', [60, 90, 140])
def test_hopeless_requests_end_early_in_a_burst_at_slow_targets(requests):
    burst = Burst()
    burst.run(requests)
    early = sum(left > DEADLINE_SECONDS / 4 for left in burst.left)
    assert early > 0.92 * len(burst.left)
    # The targets make 3.6 requests a second together while 6 s pass.
    assert burst.served >= 20
    assert burst.wasted == 0


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
