"""Probe that tells whether the store answers this VM."""

import asyncio
import time

import pytest

from galenaswitch.following.probe import PROBE_TIMEOUT_SECONDS, StoreProbe
from galenaswitch.operations.process import TaskGroup

HELD_UP_SECONDS = PROBE_TIMEOUT_SECONDS + 0.4


class SlowStore:
    """Store that answers after a time in seconds."""

    def __init__(self, seconds):
        """Build a store without calls."""
        self.seconds = seconds

    async def list_kind(self, kind, stale=False):
        """Return no objects."""
        await asyncio.sleep(self.seconds)


@pytest.fixture
async def run_probe():
    """Return a function that runs a probe of a store and returns it."""
    tasks = TaskGroup()

    async def run(store, held_up_seconds):
        reported = asyncio.Event()
        probe = StoreProbe(store, tasks, lambda was_answered: reported.set())
        probe.start_if_due(time.monotonic())
        await asyncio.sleep(0.1)
        time.sleep(held_up_seconds)
        await reported.wait()
        return probe

    yield run
    await tasks.stop()


# Guards against a VM that stood still and begins to follow anew, since it took
# its own pause for one of the store.
async def test_hold_up_is_no_silence_of_the_store(run_probe):
    store = SlowStore(PROBE_TIMEOUT_SECONDS / 2)
    probe = await run_probe(store, HELD_UP_SECONDS)
    assert probe.is_answered


# Guards against a store that is silent and counts as one that answers.
async def test_silent_store_is_found(run_probe):
    probe = await run_probe(SlowStore(60), 0)
    assert not probe.is_answered
