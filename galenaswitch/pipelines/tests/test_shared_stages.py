"""Attempts of one request that use the work of an earlier one."""

import pytest

from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.pipelines.pending import PendingStage
from galenaswitch.pipelines.shared_stages import SharedStages
from galenaswitch.pipelines.tests.test_batch_queue import (
    TARGETS,
    BatchQueue,
    add_stages,
    make_stage,
    start_batches,
)


@pytest.fixture
def shared():
    """Return the shared stages of an empty queue."""
    return SharedStages('intake', BatchQueue(), LocalMetrics())


def ask(shared, ident, fingerprint, count=4, inputs=(), **urgency):
    """Return the stage that an attempt waits for."""
    stage = make_stage(ident, count, **urgency)
    items = [one._replace(inputs=inputs) for one in stage.queued]
    stage = PendingStage(ident, items, 1000, '', stage.urgency, (), fingerprint)
    joined = shared.join(ident, stage, 0)
    if joined is None:
        add_stages(shared._batch_queue, stage)
        shared.enter(ident, stage, 0)
    return joined or stage


# Guards against a burst in which each retry queues the work of its request once
# more, and against queued work of attempts that have ended.
def test_retries_in_a_burst_queue_no_work_twice(shared):
    queue = shared._batch_queue
    for ident in 'abc':
        for number in range(50):
            ask(shared, f'{number}{ident}', f'request-{number}')
    for number in range(100):
        shared.leave(f'{number % 50}{"ac"[number // 50]}')
    assert queue.waiting() == 50 * 4
    (batch, *_) = start_batches(queue)
    assert {one.ident[-1] for _, one in batch.work_items} == {'b'}
    for number in range(50):
        shared.leave(f'{number}b')
    assert not queue.pending_stages


# Guards against work in flight that is made again for the retry of a caller who
# has disconnected meanwhile.
def test_retry_uses_what_is_in_flight(shared):
    first = ask(shared, 'a', 'request-1', count=6)
    (batch,) = start_batches(shared._batch_queue, targets=TARGETS[:1])
    first.accept(batch.work_items[0][1], 'h')
    shared.leave('a')
    assert ask(shared, 'b', 'request-1', count=6, deadline=9) is first
    assert (first.missing_results, first.deadline) == (6, 9)
    assert len(first.queued) == 6 - len(batch.work_items)
    assert first.accept(batch.work_items[1][1], 'i')


# Guards against a retry that waits for a stage which has ended, against results
# of other inputs, and against a request that is late as its first attempt is.
def test_only_equal_work_that_goes_on_is_shared(shared):
    first = ask(shared, 'a', 'request-1', late=True, start_by=-1)
    for fingerprint, count, inputs in (
        ('request-2', 4, ()),
        ('request-1', 3, ()),
        ('request-1', 4, ('h',)),
        ('', 4, ()),
    ):
        assert ask(shared, 'x', fingerprint, count, inputs) is not first
    assert ask(shared, 'b', 'request-1', start_by=2) is first
    assert not first.is_late(0)
    first.failure = 'late'
    assert ask(shared, 'c', 'request-1') is not first
    shared.leave('c')
    assert ask(shared, 'd', 'request-1').ident == 'd'
