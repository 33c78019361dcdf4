"""Fixtures: VMs with links of their own, whose paths to targets can be cut."""

import asyncio
from collections import Counter

import pytest

from galenaswitch.connections.dialing import DirectDialer
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.gateway.vocabulary import VOCABULARY
from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import LinkService, listen
from galenaswitch.membership.lists import Machine, MemberList, Members, Target
from galenaswitch.membership.mesh import Mesh, Ping, answer_ping
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.paths.service import Paths
from standins.scripted import ScriptedTarget

POLL_SECONDS = 0.01
WAIT_SECONDS = 5


class CutDialer(DirectDialer):
    """Direct dialer whose path can be cut.

    :ivar cut: empty, ``refused``, ``hanging``, or the address of a proxy to
        which all connections lead.
    """

    def __init__(self):
        """Build a dialer with a sound path."""
        super().__init__()
        self.cut = ''
        self.open_count = 0

    async def open(self, address, make_connection):
        """Connect to a target, or fail as the cut says."""
        self.open_count += 1
        if self.cut == 'refused':
            raise ConnectionRefusedError
        if self.cut == 'hanging':
            await asyncio.Event().wait()
        return await super().open(self.cut or address, make_connection)


class Vm:
    """VM that connects to targets, directly or through its peers."""

    def __init__(self, name, zone):
        """Build a VM that doesn't listen yet."""
        self.name = name
        self.zone = zone
        self.tasks = TaskGroup()
        self.members = Members()
        self.metrics = LocalMetrics()
        self.direct = CutDialer()
        self.service = LinkService(
            Identity(name, zone, 'edge', f'{name}/1'),
            's' * 16,
            VOCABULARY,
            {Ping: answer_ping},
            '',
            Counter(),
            {},
        )
        self.mesh = Mesh(self.service, self.members, self.tasks)
        self.paths = Paths(
            self.service,
            self.members,
            self.mesh,
            self.tasks,
            self.metrics,
            self.direct,
        )
        self.owners = OwnerRouter(
            self.members, self.mesh, self.paths.notes.is_lost
        )
        self.pauses = []
        self.paths.pauses.apply = self._pause
        self.owners.on_leaving = self.paths.tunnels.retire
        self.paths.is_available = self.owners.is_available
        self.service.handlers.update(self.paths.handlers())
        self.pool = ConnectionPool(self.paths.dialer)
        self.paths.dialer.on_hang = self.pool.close

    @property
    def is_lost(self):
        """Whether the path to the targets counts as lost."""
        return self.paths.dialer.monitor.is_lost

    async def listen(self):
        """Listen for links from peers and return the entry of this VM."""
        self.server = await listen('127.0.0.1', 0, self.service, self.tasks)
        port = self.server.sockets[0].getsockname()[1]
        return Machine(self.name, self.zone, '127.0.0.1', port)

    def _pause(self, note):
        self.pauses.append((note.incarnation, note.seconds))
        return len(self.pauses) == 1

    async def stop(self):
        """Stop the VM as a kill would."""
        self.server.close()
        self.pool.close()
        await self.tasks.stop()


async def wait_until(check):
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not check():
            await asyncio.sleep(POLL_SECONDS)


@pytest.fixture
async def start_vms():
    """Return a function that starts linked VMs, one for each zone named."""
    vms = []

    async def start(zones, addresses):
        targets = tuple(
            Target(f't{index}', f't{index}/1', 'z', 'pool', address)
            for index, address in enumerate(addresses)
        )
        vms.extend(Vm(f'vm{len(vms)}', zone) for zone in zones)
        machines = tuple([await vm.listen() for vm in vms])
        for vm in vms:
            vm.members.accept(MemberList(1, machines, targets))
            vm.tasks.start_lasting(vm.mesh.maintain_links)
        await wait_until(
            lambda: all(len(vm.mesh.links()) == len(vms) - 1 for vm in vms)
        )
        return vms

    yield start
    for vm in vms:
        await vm.stop()


@pytest.fixture
async def run_target():
    """Return a function that starts a target with a script of its own."""
    started = []

    async def start(script):
        target = ScriptedTarget(script)
        await target.start()
        started.append(target)
        return target

    yield start
    for target in started:
        await target.stop()
