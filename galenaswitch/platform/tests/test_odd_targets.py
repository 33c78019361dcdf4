"""Targets and configurations beside entries that another writer left."""

import asyncio
import signal
from unittest.mock import Mock

import pytest

from galenaswitch.gateway.state_sync import StateSync
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.lists import Members
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.documents import PlatformDocuments
from galenaswitch.platform.tests.odd_entries import (
    OWN,
    TARGET,
    UNREADABLE_ENTRIES,
    make_entry,
    make_events,
    make_items,
    make_page,
)


@pytest.fixture
async def sync(start_store):
    """Return a function that starts a VM's state sync of scripted answers.

    The sync follows the kinds of the store one after the other.
    """
    tasks = TaskGroup()

    async def start(*answers):
        store, _ = await start_store(*answers)
        members = Members()
        state = StateSync(
            store,
            PlatformDocuments(),
            Directory(members, OWN),
            OWN,
            tasks,
            1.2,
        )
        return state, members

    yield start
    await tasks.stop()


ODD_TARGETS = [
    {**TARGET, **change}
    for change in (
        {'address': '127.0.0.1:99999'},
        {'address': '127.0.0.1:0'},
        {'address': '127.0.0.1:-1'},
        {'address': '127.0.0.1:65536'},
        {'address': '127.0.0.1:' + '9' * 5000},
        {'address': '127.0.0.1:٨٠٨٠'},
        {'address': '127.0.0.1:8080\n'},
        {'address': '127.0.0.1: 8080'},
        {'address': '127.0.0.1:+8080'},
        {'address': '127.0.0.1'},
        {'address': ':8080'},
        {'address': '127.1:8080'},
        {'address': '0.0.0.0:8080'},
        {'address': '255.255.255.255:8080'},
        {'address': '224.0.0.1:8080'},
        {'address': '999.0.0.1:8080'},
        {'address': '127.0.0.1\x00:8080'},
        {'address': 'a' * 70000 + ':8080'},
        {'address': '[::1]:8080'},
        {'address': ['127.0.0.1', 8080]},
        {'slots': 0},
        {'slots': -1},
        {'slots': 10**18},
        {'slots': 1e30},
        {'born': -1},
        {'born': 2**64 - 1},
        {'born': 1e30},
        {'state': []},
        {'state': {'a': 1}},
        {'version': 'v' * 100_000},
        {'zone': 'z' * 100_000},
        {'service': 's' * 100_000},
    )
]


# Guards against an odd entry that ends the list of targets, or names a target.
@pytest.mark.parametrize('spec', ODD_TARGETS)
async def test_odd_target_is_not_listed_and_the_others_are(sync, spec):
    state, members = await sync(
        make_page(),
        make_page(
            make_entry('i-1', 3, TARGET),
            make_entry('odd', 4, spec),
            make_entry('i-2', 5, TARGET),
        ),
    )
    configuration, targets = state._followers
    await configuration._list()
    await targets._list()
    assert {one.name for one in members.member_list.targets} == {'i-1', 'i-2'}


# Guards against names that can't be sent as a header.
@pytest.mark.parametrize(
    'name', ['i 1', 'i\r\nX-A: b', 'ı-1', 'i-1\x00', '€', 'i' * 5000, '😀']
)
async def test_target_with_a_name_that_is_no_header_is_not_listed(sync, name):
    state, members = await sync(
        make_page(
            make_entry('i-1', 3, TARGET),
            make_entry(name, 4, TARGET),
        ),
    )
    await state._followers[1]._list()
    assert [one.name for one in members.member_list.targets] == ['i-1']


# Guards against a target that stays in use when its entry becomes unreadable.
@pytest.mark.parametrize('odd', make_items(UNREADABLE_ENTRIES))
async def test_target_whose_entry_becomes_unreadable_is_dropped(sync, odd):
    state, members = await sync(
        make_page(make_entry('i-1', 3, TARGET), make_entry('odd', 4, TARGET)),
        make_events((odd, False), revision=21),
    )
    follower = state._followers[1]
    await follower._list()
    assert len(members.member_list.targets) == 2
    watching = asyncio.create_task(follower._watch())
    async with asyncio.timeout(5):
        while len(members.member_list.targets) > 1:
            await asyncio.sleep(0.01)
    watching.cancel()
    assert [one.name for one in members.member_list.targets] == ['i-1']


# Guards against a configuration that isn't followed beside an odd entry, and
# against one that is given up when it can't be read.
async def test_configuration_is_followed_beside_odd_entries(
    sync, configuration
):
    odd = UNREADABLE_ENTRIES['deep object']
    newer = {**configuration, 'version': 9}
    unreadable = b'{"metadata": {"name": "main", "revision": 30}, "spec": NaN}'
    state, _ = await sync(
        make_page(make_entry('main', 3, configuration), odd),
        make_page(odd, make_entry('main', 25, newer), revision=26),
        make_page(odd, unreadable, revision=31),
    )
    follower = state._followers[0]
    await follower._list()
    assert state.route_table.current.version == configuration['version']
    await follower._list()
    await follower._list()
    assert state.route_table.current.version == newer['version']


# Guards against a log that grows with each read of an odd entry.
async def test_odd_target_is_logged_once_for_each_revision(sync, monkeypatch):
    logger = Mock()
    monkeypatch.setattr(
        'galenaswitch.store.unreadable.get_logger', lambda: logger
    )
    state, _ = await sync(
        *(
            make_page(
                make_entry(f'i-{number}', number, TARGET),
                make_entry('odd', 4 + number // 4, {}),
                revision=20 + number,
            )
            for number in range(1, 7)
        )
    )
    for _ in range(6):
        await state._followers[1]._list()
    assert logger.warning.call_count == 2


def nest(depth):
    """Return arrays that are nested."""
    nested = []
    for _ in range(depth):
        nested = [nested]
    return nested


# Guards against machines that end, or stop following the store, because of
# entries of another writer.
@pytest.mark.timeout(90)
async def test_machines_follow_the_store_beside_odd_entries(open_driver):
    driver = await open_driver(87)
    soak = driver.soak
    odd = {
        'odd-nan': {**TARGET, 'slots': float('nan')},
        'odd-infinity': {**TARGET, 'cold-left-ms': float('inf')},
        'odd-digits': {**TARGET, 'sequence': 10**400},
        'odd-text': {**TARGET, 'zone': '\ud800'},
        'odd-depth': {**TARGET, 'more': nest(400)},
        'odd-port': {**TARGET, 'service': 'desk', 'address': '127.0.0.1:99999'},
        'odd-body': 'x',
        '\ud800': TARGET,
    }
    for kind in (
        'servers',
        'config',
        'galena-vms',
        'galena-versions',
        'galena-quarantines',
    ):
        for name, spec in odd.items():
            soak._store.put(kind, name, spec)
    answered = []
    for turn in range(40):
        if turn < len(soak._targets):
            soak._targets[turn].restart()
        if turn == 20:
            soak._machines[0].signal(signal.SIGKILL)
        await asyncio.sleep(0.3)
        answered.append(await driver.send('plain'))
    late = [sent.status for sent in answered[-10:]]
    assert soak.records.violations == []
    assert late == [200] * 10
