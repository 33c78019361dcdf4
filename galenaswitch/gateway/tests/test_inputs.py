"""Inputs are released once they are read, unless a retry may need them."""

import asyncio
import time

import pytest

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.inputs import READ_SECONDS, InputReleases
from galenaswitch.gateway.messages import HeldResults
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.batch_queue import Batch
from galenaswitch.pipelines.pending import PendingStage, Urgency
from galenaswitch.pipelines.target_states import TargetState

TARGET = Target('t', 't/1', 'z', 'courier', '127.0.0.1:1')
HELD = HeldResults('billing', 'b', ('127.0.0.1:2/x',))


@pytest.fixture
def released():
    """Results that were released."""
    return []


@pytest.fixture
def releases(released):
    """Input releases of one service."""
    return InputReleases(released.append)


@pytest.fixture
def pending():
    """Pending stage of two work items, the last readers of their inputs."""
    work_items = [
        WorkItem('r', 1, number, '', HELD.handles) for number in (0, 1)
    ]
    now = time.monotonic()
    return PendingStage(
        'r', work_items, 1000, '', Urgency(now + 1, now + 5), (HELD,)
    )


def start_batch(pending, count):
    """Return a batch of the next ``count`` work items of a stage."""
    work_items = pending.queued[:count]
    pending.queued = pending.queued[count:]
    return Batch(
        TARGET, tuple((pending, work_item) for work_item in work_items), 0.3
    )


async def wait_until_read():
    """Wait until a target without other batches has read a batch's inputs."""
    await asyncio.sleep(READ_SECONDS * 1.5)


async def test_inputs_are_released_after_the_last_work_item_is_sent(
    releases,
    pending,
    released,
):
    releases.watch(start_batch(pending, 1), TargetState())
    await wait_until_read()
    assert released == []
    releases.watch(start_batch(pending, 1), TargetState())
    assert released == []
    await wait_until_read()
    assert released == [HELD]
    assert pending.inputs_released


async def test_inputs_are_kept_for_a_requeued_work_item(
    releases,
    pending,
    released,
):
    batch = start_batch(pending, 2)
    releases.watch(batch, TargetState())
    pending.queued.append(batch.work_items[0][1])
    await wait_until_read()
    assert released == []
    assert not pending.inputs_released


async def test_inputs_are_kept_while_other_vms_use_the_target(
    releases,
    pending,
    released,
):
    target_state = TargetState()
    target_state.record_sharing(time.monotonic())
    releases.watch(start_batch(pending, 2), target_state)
    await wait_until_read()
    assert released == []


async def test_inputs_are_released_once(releases, pending, released):
    batch = start_batch(pending, 2)
    releases.watch(batch, TargetState())
    releases.watch(batch, TargetState())
    await wait_until_read()
    assert released == [HELD]
