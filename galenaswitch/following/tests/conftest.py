"""Fixtures: VMs with links of their own that share one store."""

import asyncio
import time

import pytest
from aiohttp import web

from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.following.following import Following
from galenaswitch.gateway.vocabulary import VOCABULARY
from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import LinkService, listen
from galenaswitch.membership.lists import Machine, MemberList, Members
from galenaswitch.membership.mesh import Mesh, Ping, answer_ping
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.objects import PlatformStore
from galenaswitch.platform.soak.proxy import Proxy
from galenaswitch.platform.soak.store import FakeStore
from galenaswitch.store.registry import Follower

KIND = 'servers'
# Kind that VMs of an earlier build don't know.
NEW_KIND = 'evacuations'
MAX_UNFED_SECONDS = 2.5
ZONES = ('north', 'south')
# Time in seconds that a new process waits for followers in these tests.
START_SECONDS = 0.5
POLL_SECONDS = 0.01


class Vm:
    """VM that keeps a copy of one kind of object."""

    def __init__(self, machine):
        """Build a VM that is stopped."""
        self.machine = machine
        self.store = Proxy(lambda: ('', 0))
        self.start_count = 0
        self.server = None
        self.knows_new_kind = False

    @property
    def names(self):
        """Names of the objects in the copy."""
        return set(self.follower.cache.objects)

    async def open_store_link(self, address):
        """Open this VM's own way to the store."""
        self.store = Proxy(lambda: address)
        await self.store.start('127.0.0.1')

    async def start(self, machines):
        """Start the VM with a list of all VMs."""
        self.start_count += 1
        self.tasks = TaskGroup()
        self.pool = ConnectionPool()
        members = Members()
        members.accept(MemberList(1, tuple(machines), ()))
        incarnation = f'{self.machine.name}/{self.start_count}'
        identity = Identity(
            self.machine.name, self.machine.zone, 'edge', incarnation
        )
        service = LinkService(
            identity, 's' * 16, VOCABULARY, {Ping: answer_ping}, '', {}, {}
        )
        service = service._replace(traffic=_Counts())
        mesh = Mesh(service, members, self.tasks)
        self.mesh = mesh
        store = PlatformStore(self.pool, self.store.address)
        self.following = Following(
            store, mesh, members, self.tasks, incarnation, START_SECONDS
        )
        self.follower = Follower(
            store, KIND, lambda cache: None, find_watch_seconds=lambda: 2.0
        )
        self.following.add(self.follower)
        self.new_follower = Follower(store, NEW_KIND, lambda cache: None)
        if self.knows_new_kind:
            self.following.add(
                self.new_follower, max_unfed_seconds=MAX_UNFED_SECONDS
            )
        service.handlers.update(self.following.handlers())
        mesh.on_link_open.append(
            lambda link: self.tasks.start(self.following.on_link_open(link))
        )
        self.server = await listen(
            self.machine.address, self.machine.port, service, self.tasks
        )
        self.tasks.start_lasting(mesh.maintain_links)
        self.following.start()

    async def stop(self):
        """Stop the VM as a kill would."""
        if self.server:
            self.server.close()
            self.server = None
            await self.tasks.stop()
            self.pool.close()


class _Counts(dict):
    """Counts of the bytes of links, which tests don't read."""

    def __missing__(self, name):
        """Return the count of a name that wasn't counted yet."""
        return 0


class Cluster:
    """VMs in two zones, and their store."""

    def __init__(self, store, vms):
        """Build a cluster of VMs that are stopped."""
        self.store = store
        self.vms = vms

    @property
    def live(self):
        """VMs that run."""
        return [vm for vm in self.vms if vm.server]

    @property
    def active(self):
        """VMs that follow the store."""
        return [vm for vm in self.live if vm.following.is_active]

    async def start(self, *vms):
        """Start some VMs, all by default."""
        machines = [vm.machine for vm in self.vms]
        for vm in vms or self.vms:
            await vm.start(machines)

    async def wait_until(self, condition, seconds=6.0):
        """Wait until a condition holds.

        :returns: the seconds that it took, or infinity.
        """
        began_at = time.monotonic()
        while not condition():
            if time.monotonic() - began_at > seconds:
                return float('inf')
            await asyncio.sleep(POLL_SECONDS)
        return time.monotonic() - began_at

    async def wait_for(self, *names, seconds=6.0):
        """Wait until all running VMs know exactly some objects."""
        return await self.wait_until(
            lambda: all(vm.names == set(names) for vm in self.live), seconds
        )

    async def wait_for_followers(self):
        """Wait until the followers have been found, and the links are open."""
        links = len(self.live) - 1
        await self.wait_until(
            lambda: (
                len(self.active) == 2
                and all(vm.following.is_current for vm in self.active)
                and all(len(vm.mesh.links()) == links for vm in self.live)
            )
        )
        assert len(self.active) == 2


@pytest.fixture
async def store():
    """Return a store with one object, which listens on a port."""
    fake = FakeStore()
    fake.put(KIND, 'a', {})
    server = web.AppRunner(fake.make_application())
    await server.setup()
    await web.TCPSite(server, '127.0.0.1', 0, shutdown_timeout=0.1).start()
    fake.address = server.addresses[0]
    yield fake
    await server.cleanup()


@pytest.fixture
async def cluster(store, free_ports):
    """Return a cluster of six VMs that are stopped."""
    vms = [
        Vm(Machine(f'vm{number}', ZONES[number % 2], '127.0.0.1', free_ports()))
        for number in range(6)
    ]
    for vm in vms:
        await vm.open_store_link(store.address)
    yield Cluster(store, vms)
    for vm in vms:
        await vm.stop()
        await vm.store.stop()
