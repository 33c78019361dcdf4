"""State of a VM that follows a store, also one restored from a copy."""

import asyncio
import time

import pytest
from aiohttp import web

from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.following.tests.fakes import follow_alone
from galenaswitch.gateway.state_sync import (
    CONFIGURATION_ITEM_KIND,
    StateSync,
)
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.documents import PlatformDocuments
from galenaswitch.platform.objects import PlatformStore
from galenaswitch.platform.soak.configuration import make_configuration
from galenaswitch.platform.soak.store import FakeStore

# Seconds within which a configuration has to be in force.
APPLY_SECONDS = 2.0
# Calls to the store within one such span, over all kinds of objects.
MAX_CALLS = 40
POLL_SECONDS = 0.01


class Vm:
    """State sync of one VM, and the versions that it has brought into force."""

    def __init__(
        self, store_address, name='a', heartbeat=1.2, *, first_start=False
    ):
        """Build a state sync that follows the store at an address."""
        self.pool = ConnectionPool()
        self.tasks = TaskGroup()
        self.members = Members()
        own = Machine(name, 'z', '127.0.0.1', 1)
        store = PlatformStore(self.pool, store_address)
        self.state_sync = StateSync(
            store,
            PlatformDocuments(),
            Directory(self.members, own),
            own,
            self.tasks,
            heartbeat,
            first_start=first_start,
        )
        self.state_sync.use_following(
            follow_alone(name, store, Members(), self.tasks)
        )
        self.versions = []

    @property
    def version(self):
        """Version of the configuration in force."""
        return self.state_sync.route_table.current.version

    @property
    def engines(self):
        """Names of the engines that may receive requests."""
        return {target.name for target in self.members.usable('llm')}

    @property
    def usable(self):
        """Names of the targets that may receive requests."""
        return {target.name for target in self.members.usable('desk')}

    async def wait_until(self, condition, seconds=APPLY_SECONDS):
        """Record each version in force until a condition holds.

        :returns: whether it holds in time.
        """
        deadline = time.monotonic() + seconds
        while not condition() and time.monotonic() < deadline:
            if self.versions[-1:] != [self.version]:
                self.versions.append(self.version)
            await asyncio.sleep(POLL_SECONDS)
        self.versions.append(self.version)
        return condition()

    async def stop(self):
        """Stop the tasks of the VM."""
        await self.tasks.stop()
        self.pool.close()


@pytest.fixture
async def store():
    """Return a store without objects, which listens on a port."""
    fake = FakeStore()
    server = web.AppRunner(fake.make_application())
    await server.setup()
    await web.TCPSite(server, '127.0.0.1', 0, shutdown_timeout=0.1).start()
    host, port = server.addresses[0]
    fake.address = f'{host}:{port}'
    yield fake
    await server.cleanup()


@pytest.fixture
async def start_vm(store):
    """Return a function that starts a VM."""
    vms = []

    def start(name='a', **changes):
        vm = Vm(store.address, name, **changes)
        vm.state_sync.start()
        vms.append(vm)
        return vm

    yield start
    for vm in vms:
        await vm.stop()


def write_configuration(store, version):
    """Write a configuration as the operator does."""
    store.put('config', 'main', make_configuration(version, ()))


def write_target(
    store, name, state='ready', sequence=1, born=1, service='desk', version='v1'
):
    """Write a target's entry as the target does."""
    entry = {
        'service': service,
        'address': '127.0.0.1:9',
        'zone': 'z',
        'version': version,
        'slots': 8,
        'state': state,
        'cold-left-ms': 0,
        'sequence': sequence,
        'born': born,
    }
    store.put('servers', name, entry)


@pytest.fixture
async def vm(store, start_vm):
    """Return a VM with version 1 in force and the target ``a``."""
    write_configuration(store, 1)
    write_target(store, 'a')
    started = start_vm()
    assert await started.wait_until(
        lambda: started.version == 1 and started.usable == {'a'}
    )
    return started


# Guards against a VM that ignores a restored store as older than its copy.
async def test_version_acknowledged_after_a_restore_comes_into_force(store, vm):
    copy = store.copy()
    for version in (4, 7, 10):
        write_configuration(store, version)
    assert await vm.wait_until(lambda: vm.version == 10)
    store.restore(copy)
    await asyncio.sleep(0.3)
    write_configuration(store, 10)
    write_configuration(store, 13)
    assert await vm.wait_until(lambda: vm.version == 13)
    assert vm.versions == sorted(vm.versions)


# Guards against a loop of calls without a pause while a listing is ignored.
async def test_restored_store_is_not_called_without_a_pause(store, vm):
    copy = store.copy()
    for version in (4, 7, 10):
        write_configuration(store, version)
    assert await vm.wait_until(lambda: vm.version == 10)
    store.restore(copy)
    store.call_count = 0
    await asyncio.sleep(APPLY_SECONDS)
    assert store.call_count <= MAX_CALLS


# Guards against a watch that goes on in another history, with no answer 410.
async def test_restore_shows_although_the_watched_revision_was_passed(
    store, vm
):
    copy = store.copy()
    write_configuration(store, 4)
    for name in ('b', 'c'):
        write_target(store, name)
    assert await vm.wait_until(lambda: vm.usable == {'a', 'b', 'c'})
    watched = store.revision
    store.restore(copy)
    write_configuration(store, 7)
    for name in ('d', 'e', 'f'):
        write_target(store, name)
    assert store.revision >= watched
    assert await vm.wait_until(lambda: vm.version == 7)
    assert await vm.wait_until(lambda: {'d', 'e', 'f'} <= vm.usable)


# Guards against a VM that goes back to the copy from which a store came.
async def test_restored_older_version_does_not_replace_a_newer_one(store, vm):
    copy = store.copy()
    write_configuration(store, 4)
    assert await vm.wait_until(lambda: vm.version == 4)
    store.restore(copy)
    store.put('other', 'x', {})
    assert not await vm.wait_until(lambda: vm.version == 1)
    assert vm.versions == sorted(vm.versions)


# Guards against an invalid configuration that holds up valid ones with lower
# versions.
async def test_invalid_version_does_not_outrank_valid_ones(store, vm):
    copy = store.copy()
    store.put('config', 'main', {'version': 99, 'routes': 'torn'})
    cache = vm.state_sync._followers[0].cache
    assert await vm.wait_until(
        lambda: cache.objects['main'].body['version'] == 99
    )
    store.restore(copy)
    write_configuration(store, 4)
    assert await vm.wait_until(lambda: vm.version == 4)
    assert set(vm.versions) == {0, 1, 4}


# Guards against a leaving target that an older listing shows as ready.
async def test_target_that_was_leaving_gets_nothing_after_a_restore(store, vm):
    copy = store.copy()
    write_target(store, 'a', state='draining', sequence=9)
    assert await vm.wait_until(lambda: not vm.usable)
    store.restore(copy)
    store.put('other', 'x', {})
    assert not await vm.wait_until(lambda: 'a' in vm.usable)


# Guards against a target that has left and whose restored entry the store still
# keeps, since targets seldom write.
@pytest.mark.parametrize('leave', ['draining', 'gone'])
async def test_doubt_lasts_as_long_as_a_restored_entry(store, start_vm, leave):
    write_configuration(store, 1)
    write_target(store, 'a')
    vm = start_vm(heartbeat=5.0)
    assert await vm.wait_until(lambda: vm.usable == {'a'})
    copy = store.copy()
    if leave == 'gone':
        store.remove('servers', 'a')
    else:
        write_target(store, 'a', state='draining', sequence=9)
    assert await vm.wait_until(lambda: not vm.usable)
    store.restore(copy)
    store.put('other', 'x', {})
    cache = vm.state_sync._followers[1].cache
    assert await vm.wait_until(lambda: cache._withheld)
    restored_at = time.monotonic()
    assert not cache.drop_expired(restored_at + 14)
    assert cache.drop_expired(restored_at + 18)


# Guards against a target that is used again though it has left.
async def test_target_that_had_left_is_not_used_after_a_restore(store, vm):
    copy = store.copy()
    store.remove('servers', 'a')
    assert await vm.wait_until(lambda: not vm.usable)
    store.restore(copy)
    store.put('other', 'x', {})
    assert not await vm.wait_until(lambda: 'a' in vm.usable)
    write_target(store, 'a', sequence=9)
    assert await vm.wait_until(lambda: 'a' in vm.usable)


# Guards against a target that is lost until it happens to write again.
async def test_target_that_came_since_the_copy_is_kept(store, vm):
    copy = store.copy()
    write_target(store, 'b')
    assert await vm.wait_until(lambda: vm.usable == {'a', 'b'})
    store.restore(copy)
    assert not await vm.wait_until(lambda: 'b' not in vm.usable, 1)
    write_target(store, 'b', sequence=2)
    assert not await vm.wait_until(lambda: 'b' not in vm.usable, 3)


# Guards against entries of VMs that nobody writes again.
async def test_vm_enters_itself_again_after_a_restore(store, start_vm):
    copy = store.copy()
    write_configuration(store, 1)
    vm = start_vm()
    assert await vm.wait_until(lambda: ('galena-vms', 'a') in store._objects)
    store.restore(copy)
    write_configuration(store, 1)
    assert await vm.wait_until(lambda: ('galena-vms', 'a') in store._objects, 5)


def write_engine(store, version):
    """Write the entry of an engine of a software version."""
    write_target(store, f'engine-{version}', service='llm', version=version)


# Guards against engines that are used before their version is recorded.
async def test_engine_is_used_once_its_version_is_recorded(store, start_vm):
    write_configuration(store, 1)
    vm = start_vm(first_start=True)
    for version in ('v1', 'v2'):
        write_engine(store, version)
        assert await vm.wait_until(
            lambda name=f'engine-{version}': name in vm.engines
        )
        record = store._objects['galena-versions', 'llm']['spec']
        assert version in record['versions']


# Guards against engines without a record when targets are listed before the
# configuration that tells which of them are engines.
async def test_version_is_recorded_when_the_configuration_comes_later(
    store, start_vm
):
    write_engine(store, 'v1')
    vm = start_vm(first_start=True)
    assert await vm.wait_until(lambda: vm.engines)
    write_configuration(store, 1)
    assert await vm.wait_until(lambda: vm.version == 1)
    assert await vm.wait_until(
        lambda: ('galena-versions', 'llm') in store._objects
    )
    assert await vm.wait_until(lambda: vm.engines)


# Guards against a stream that goes on at a version which a restored store has
# in a record that lacks a later one.
async def test_record_of_versions_does_not_count_after_a_restore(
    store, start_vm
):
    write_configuration(store, 1)
    write_engine(store, 'v1')
    vm = start_vm(first_start=True)
    assert await vm.wait_until(lambda: vm.engines)
    copy = store.copy()
    versions = start_vm('b').state_sync.versions
    assert await versions.find_only_version('llm') == 'v1'
    store.restore(copy)
    assert await versions.find_only_version('llm') is None


# Guards against an older configuration that a VM of the new era passes on.
async def test_peer_that_knows_only_the_copy_brings_nothing_back(
    store, vm, start_vm
):
    copy = store.copy()
    write_configuration(store, 4)
    assert await vm.wait_until(lambda: vm.version == 4)
    store.restore(copy)
    started = start_vm('b')
    assert await started.wait_until(lambda: started.version == 1)
    known, stale = (
        one.state_sync.catalog.find(CONFIGURATION_ITEM_KIND, 'main')
        for one in (vm, started)
    )
    assert vm.state_sync.catalog.accept([stale]) == ()
    assert started.state_sync.catalog.accept([known]) == (known,)
