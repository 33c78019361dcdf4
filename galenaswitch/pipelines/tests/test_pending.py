"""Copies of work items whose batches are late."""

import pytest

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.pipelines.pending import PendingStage, Urgency


@pytest.fixture
def items():
    """Return two work items of one stage."""
    return [WorkItem('r', 0, number, 'k', ()) for number in range(2)]


@pytest.fixture
def pending(items):
    """Return a pending stage whose work items are in one batch."""
    stage = PendingStage('r', items, 1000, '', Urgency(1.0, 5.0))
    stage.queued = []
    for one in items:
        stage.record_sent(one)
    return stage


# Guards against results that count twice towards their stage.
def test_second_result_of_a_work_item_is_not_accepted(pending, items):
    assert pending.accept(items[0], 'first')
    assert not pending.accept(items[0], 'second')
    assert pending.handles == {0: 'first'}
    assert pending.missing_results == 1


# Guards against a copy of a work item whose result has come.
def test_result_ends_the_queued_copy_of_its_work_item(pending, items):
    pending.queued = list(items)
    pending.accept(items[0], 'h')
    assert pending.queued == [items[1]]
    assert pending.may_copy(items[0]) is False


# Guards against a work item that is queued again while it is being made.
def test_work_item_is_covered_until_its_last_batch_ended(pending, items):
    pending.record_sent(items[0])
    pending.record_ended(items[0])
    assert pending.is_covered(items[0])
    pending.record_ended(items[0])
    assert not pending.is_covered(items[0])
    pending.queued = [items[0]]
    assert pending.is_covered(items[0])


# Guards against a failed copy that queues a work item which is made.
def test_work_item_with_a_result_is_covered(pending, items):
    pending.record_ended(items[0])
    pending.accept(items[0], 'h')
    assert pending.is_covered(items[0])
    assert pending.is_covered(items[1])
