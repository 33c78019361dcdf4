"""Background tasks that go on after an unexpected error."""

import asyncio
from unittest.mock import AsyncMock

import pytest
from structlog.testing import capture_logs

from galenaswitch.operations import process
from galenaswitch.operations.process import TaskGroup


@pytest.fixture
async def tasks(monkeypatch):
    """Return a task group that restarts tasks without a long pause."""
    monkeypatch.setattr(process, 'RESTART_SECONDS', 0.01)
    group = TaskGroup()
    yield group
    await group.stop()


# Guards against a duty that ends without a sign after an unexpected error.
async def test_lasting_task_runs_again_after_an_unexpected_error(tasks):
    job = AsyncMock(side_effect=[KeyError('a'), RecursionError('b'), None])
    with capture_logs() as lines:
        await asyncio.wait_for(tasks.start_lasting(job), 1)
    assert job.await_count == 3
    failures = [(line['event'], line['failure']) for line in lines]
    assert failures == [
        ('task_restarts', 'KeyError'),
        ('task_restarts', 'RecursionError'),
    ]


async def test_lasting_task_can_be_cancelled(tasks):
    task = tasks.start_lasting(asyncio.Event().wait)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait({task}, timeout=1)
    assert task.cancelled()
