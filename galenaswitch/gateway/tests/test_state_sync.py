"""State sync of a VM: entries of VMs and the duration of a watch."""

import asyncio
from unittest.mock import AsyncMock

import pytest

from galenaswitch.gateway.machine_sync import read_machine
from galenaswitch.gateway.state_sync import (
    CONFIGURATION_KIND,
    NON_RELAY_WATCH_SECONDS,
    TARGET_KIND,
    StateSync,
)
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.operations import process
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store import registry
from galenaswitch.store.objects import StoredObject

# Seconds within which a new configuration has to be in force.
APPLY_SECONDS = 2.0


class StubRelay:
    """Fake relay election: the test sets whether this VM is a relay."""

    def __init__(self, *, relays):
        """Act as a relay of the zone if ``relays`` is true."""
        self.relays = relays


@pytest.fixture
def state_sync():
    """Return the state sync of a VM without a store."""
    own = Machine('a', 'z', '127.0.0.1', 1)
    return StateSync(None, None, Directory(Members(), own), own, None, 1.2)


@pytest.fixture
def body():
    """Return the store entry of a VM."""
    return Machine('b', 'z', '127.0.0.2', 1, cores=2.0)._asdict()


def read(body):
    """Parse the store entry of a VM."""
    return read_machine(StoredObject('galena-vms', 'b', 3, body))


def test_machine_entry_is_parsed(body):
    assert read(body).cores == 2


def test_fields_that_a_newer_version_adds_are_ignored(body):
    assert read({**body, 'memory': 300}).name == 'b'


@pytest.mark.parametrize(
    'changes',
    [{'cores': 'many'}, {'cores': 0}, {'port': 'x'}, {'port': None}],
)
def test_machine_entry_with_an_invalid_field_is_skipped(body, changes):
    assert read({**body, **changes}) is None


@pytest.mark.parametrize('body', [None, [], 'x', {}])
def test_entry_that_is_not_a_machine_is_skipped(body):
    assert read(body) is None


def test_relay_watch_ends_before_a_configuration_has_to_be_in_force(
    state_sync,
):
    """A VM notices a watch that the store has dropped only at its end."""
    state_sync.use_relay(StubRelay(relays=True))
    assert state_sync._find_watch_seconds() < APPLY_SECONDS


def test_non_relay_has_a_longer_watch_timeout(state_sync):
    state_sync.use_relay(StubRelay(relays=False))
    assert state_sync._find_watch_seconds() == NON_RELAY_WATCH_SECONDS


def test_machine_without_a_relay_has_the_watch_timeout_of_a_relay(state_sync):
    assert state_sync._find_watch_seconds() < APPLY_SECONDS


# Guards against a VM that stops following the store after an odd answer.
async def test_followers_go_on_after_an_unexpected_error(monkeypatch):
    monkeypatch.setattr(process, 'RESTART_SECONDS', 0.01)
    monkeypatch.setattr(registry, 'FIRST_RETRY_SECONDS', 0.01)
    own = Machine('a', 'z', '127.0.0.1', 1)
    store = AsyncMock(**{'list_kind.side_effect': KeyError('odd')})

    def count_listings(kind):
        calls = store.list_kind.await_args_list
        return sum(call.args[0] == kind for call in calls)

    tasks = TaskGroup()
    directory = Directory(Members(), own)
    StateSync(store, None, directory, own, tasks, 1.2).start()
    async with asyncio.timeout(5):
        while min(map(count_listings, (CONFIGURATION_KIND, TARGET_KIND))) < 2:
            await asyncio.sleep(0.01)
    await tasks.stop()
