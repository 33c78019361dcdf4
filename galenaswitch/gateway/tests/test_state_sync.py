"""State sync of a VM: entries of VMs and the duration of a watch."""

import asyncio
from unittest.mock import AsyncMock

import pytest

from galenaswitch.following.tests.fakes import follow_alone
from galenaswitch.gateway.machine_sync import read_machine
from galenaswitch.gateway.state_sync import (
    CONFIGURATION_KIND,
    TARGET_KIND,
    StateSync,
)
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.operations import process
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.objects import WATCH_MARGIN_SECONDS
from galenaswitch.store import registry
from galenaswitch.store.objects import StoredObject

# Time in seconds after a disruption for which a VM isn't in touch.
CONTACT_SECONDS = 3.0


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


# Guards against a lost watch that a VM notices only after it counts as in touch
# again: the store says nothing more on it.
@pytest.mark.parametrize('contact_seconds', [1.5, CONTACT_SECONDS, 5.0, 60.0])
def test_lost_watch_ends_before_a_vm_is_in_touch_again(contact_seconds):
    own = Machine('a', 'z', '127.0.0.1', 1)
    state_sync = StateSync(
        None,
        None,
        Directory(Members(), own),
        own,
        None,
        1.2,
        contact_seconds=contact_seconds,
    )
    for follower in state_sync._followers:
        longest = follower._find_watch_seconds() + WATCH_MARGIN_SECONDS
        assert longest <= contact_seconds


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
    state_sync = StateSync(store, None, directory, own, tasks, 1.2)
    state_sync.use_following(follow_alone('a', store, Members(), tasks))
    state_sync.start()
    async with asyncio.timeout(5):
        while min(map(count_listings, (CONFIGURATION_KIND, TARGET_KIND))) < 2:
            await asyncio.sleep(0.01)
    await tasks.stop()
