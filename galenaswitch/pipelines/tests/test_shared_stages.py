"""Attempts of one request that use the work of an earlier one."""

import pytest

from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.pipelines.pending import PendingStage
from galenaswitch.pipelines.shared_stages import SharedStages
from galenaswitch.pipelines.tests.test_batch_queue import (
    LIMITS,
    TARGETS,
    BatchQueue,
    add_stages,
    make_stage,
    start_batches,
)


def make_attempt(ident, fingerprint, count=4, inputs=(), **urgency):
    """Return the first stage of an attempt."""
    stage = make_stage(ident, count, **urgency)
    items = [one._replace(inputs=inputs) for one in stage.queued]
    return PendingStage(ident, items, 1000, '', stage.urgency, (), fingerprint)


class Owner:
    """Queues attempts as the batcher of a service does."""

    def __init__(self):
        """Build an owner of an empty queue."""
        self.queue = BatchQueue()
        self.shared = SharedStages('intake', self.queue, LocalMetrics())

    def ask(self, attempt):
        """Return the stage that an attempt waits for."""
        shared = self.shared.join(attempt.ident, attempt, 0)
        if shared:
            return shared
        add_stages(self.queue, attempt)
        self.shared.enter(attempt.ident, attempt, 0)
        return attempt


@pytest.fixture
def owner():
    """Return an owner of an empty queue."""
    return Owner()


# Guards against a burst in which each retry queues the work of its request once
# more, and against queued work of attempts that have ended.
def test_retries_in_a_burst_queue_no_work_twice(owner):
    for attempt in range(3):
        for number in range(50):
            ident = f'r{number}-{attempt}'
            owner.ask(make_attempt(ident, f'request-{number}'))
    assert owner.queue.waiting() == 50 * 4
    for number in range(50):
        owner.shared.leave(f'r{number}-0')
        owner.shared.leave(f'r{number}-2')
    assert owner.queue.waiting() == 50 * 4
    (batch, *_) = start_batches(owner.queue)
    assert {one.ident[-2:] for _, one in batch.work_items} == {'-1'}
    for number in range(50):
        owner.shared.leave(f'r{number}-1')
    assert not owner.queue.pending_stages


# Guards against work in flight that is made again for the retry of a caller who
# has disconnected meanwhile.
def test_retry_uses_what_is_in_flight(owner):
    first = owner.ask(make_attempt('a', 'request-1', count=6))
    (batch,) = start_batches(owner.queue, targets=TARGETS[:1])
    made, *others = batch.work_items
    first.accept(made[1], 'h')
    owner.shared.leave('a')
    assert owner.queue.waiting() == 0
    again = owner.ask(make_attempt('b', 'request-1', count=6, deadline=9))
    assert again is first
    assert (again.missing_results, again.deadline) == (6, 9)
    assert owner.queue.waiting() == 2
    owner.queue.finish(batch)
    assert all(again.accept(one, f'h{one.number}') for _, one in others)
    assert again.missing_results == 3


# Guards against a retry that waits for a stage which has ended.
@pytest.mark.parametrize('change', ['made', 'failed', 'ended'])
def test_stage_that_has_ended_is_not_shared(owner, change):
    first = owner.ask(make_attempt('a', 'request-1'))
    if change == 'made':
        for one in first.queued:
            first.accept(one, 'h')
    elif change == 'failed':
        first.failure = 'late'
    else:
        owner.shared.leave('a')
    assert owner.ask(make_attempt('b', 'request-1')) is not first


# Guards against results of other inputs.
@pytest.mark.parametrize(
    'other',
    [
        {'fingerprint': 'request-2'},
        {'fingerprint': 'request-1', 'count': 3},
        {'fingerprint': 'request-1', 'inputs': ('h',)},
        {'fingerprint': ''},
    ],
)
def test_other_work_is_not_shared(owner, other):
    owner.ask(make_attempt('a', 'request-1'))
    owner.ask(make_attempt('c', ''))
    attempt = make_attempt('b', **other)
    assert owner.ask(attempt) is attempt


# Guards against a request that is late since its first attempt is.
def test_shared_stage_is_on_time_if_one_attempt_is(owner):
    late = owner.ask(make_attempt('a', 'request-1', late=True, start_by=-1))
    owner.ask(make_attempt('b', 'request-1', start_by=2, deadline=9))
    assert not late.is_late(0)
    assert owner.queue.find_infeasible(TARGETS, LIMITS, 8.0) == []
