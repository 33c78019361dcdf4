"""Fixtures: several VMs with containments, a store and a clock of the tests."""

import asyncio
from types import SimpleNamespace

import pytest

from galenaswitch.errors import StoreConflictError, StoreUnavailableError
from galenaswitch.membership.lists import Target
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.quarantine import containment, detector
from galenaswitch.quarantine.containment import Containment
from galenaswitch.quarantine.fingerprints import Fingerprints
from galenaswitch.quarantine.records import QUARANTINE_KIND
from galenaswitch.refusals import RefusedError
from galenaswitch.store.cache import ObjectCache
from galenaswitch.store.objects import ABSENT, Listing, StoredObject


class MemoryStore:
    """Store of the records, with one revision counter."""

    def __init__(self):
        """Build an empty store that can be reached."""
        self.objects = {}
        self.revision = 1
        self.is_away = False

    async def write(self, kind, name, body, replaces):
        """Write an object if its revision is ``replaces``."""
        if self.is_away:
            raise StoreUnavailableError('away')
        current = self.objects.get(name, (ABSENT, None))[0]
        if current != replaces:
            raise StoreConflictError(current)
        self.revision += 1
        self.objects[name] = (self.revision, body)
        return self.revision

    async def remove(self, kind, name, revision):
        """Remove an object if its revision is ``revision``."""
        if self.is_away:
            raise StoreUnavailableError('away')
        if self.objects.get(name, (ABSENT, None))[0] != revision:
            raise StoreConflictError(ABSENT)
        self.revision += 1
        self.objects.pop(name)


class Vm:
    """One VM with its containment and its links to all other VMs."""

    def __init__(self, cluster, number):
        """Build VM ``number``; the VMs take turns to be in two zones."""
        self.cluster = cluster
        self.node = f'vm{number}'
        self.zone = ('north', 'south')[number % 2]
        self.peer = self
        self.is_cut = False
        self.cache = ObjectCache()
        self.tasks = TaskGroup()
        self.containment = Containment(
            cluster.store,
            self,
            self.tasks,
            LocalMetrics(),
            cluster.is_listening,
            Fingerprints('secret'),
        )

    @property
    def quarantined(self):
        """Quarantined parts."""
        return set(self.containment.dump())

    def spread(self, message, source):
        """Queue a message as a mesh would send it."""
        for vm in self.cluster.vms:
            is_known = vm in {self, source}
            if not is_known and (
                source is None
                or (source.zone != self.zone and vm.zone == self.zone)
            ):
                self.cluster.messages.append((self, vm, message))

    async def request(self, message, seconds):
        """Answer a query of another VM for the evidence."""
        return await self.containment.exchange._answer_query(None, message)

    async def send(self, ident, *parts):
        """Return whether a request with shared parts is sent to a target."""
        try:
            await self.containment.admit(parts)
        except RefusedError:
            return False
        return True

    async def break_request(self, incarnation, *parts, run_seconds=0):
        """Report a request that a crashed target had not begun to answer.

        :param run_seconds: time from its send to the crash.
        """
        target = Target(incarnation, incarnation, 'z', 'llm', 'address')
        await self.containment.record_broken(
            target, 'a1', parts, self.cluster.now - run_seconds
        )

    def read_store(self):
        """Apply the records that the store has now."""
        objects = tuple(
            StoredObject(QUARANTINE_KIND, name, version, body)
            for name, (version, body) in self.cluster.store.objects.items()
        )
        listing = Listing(self.cluster.store.revision, objects)
        if self.cache.apply_listing(listing, self.cluster.now):
            self.containment._apply_records(self.cache)


class Cluster:
    """VMs, the messages between them, a store and a clock."""

    def __init__(self, count):
        """Build ``count`` VMs."""
        self.now = 1000.0
        self.store = MemoryStore()
        self.messages = []
        self.listening = False
        self._tasks_may_end = asyncio.Event()
        self.vms = [Vm(self, number) for number in range(count)]

    def monotonic(self):
        """Return the time of the test in seconds."""
        return self.now

    async def is_listening(self, address):
        """Tell whether targets accept connections."""
        return self.listening

    async def deliver(self, keep=lambda sender, receiver: False):
        """Deliver queued messages, except those that ``keep`` selects."""
        kept = []
        while self.messages:
            sender, receiver, message = self.messages.pop(0)
            if keep(sender, receiver):
                kept.append((sender, receiver, message))
                continue
            handlers = receiver.containment.exchange.handlers()
            await handlers[type(message)](sender, message)
        self.messages = kept

    async def pause(self, seconds):
        """Pause a task until the test lets the tasks end."""
        await self._tasks_may_end.wait()

    async def run_tasks(self):
        """Let the pauses of all tasks be over, and the tasks end."""
        self._tasks_may_end.set()
        for vm in self.vms:
            while vm.tasks._tasks:
                await asyncio.gather(*vm.tasks._tasks)
                await asyncio.sleep(0)
        self._tasks_may_end.clear()

    async def settle(self):
        """Deliver all messages and let all VMs read the store."""
        await self.deliver()
        await self.run_tasks()
        for vm in self.vms:
            vm.read_store()

    async def crash(self, incarnation, *requests):
        """Break requests, given as pairs of a VM and its parts, and settle."""
        for vm, parts in requests:
            await vm.break_request(incarnation, *parts)
        await self.deliver()
        await self.settle()
        self.now += 1


@pytest.fixture
def open_cluster(monkeypatch):
    """Return a function that builds a cluster of VMs."""

    def build(count=4):
        cluster = Cluster(count)
        clock = SimpleNamespace(monotonic=cluster.monotonic)
        monkeypatch.setattr(containment, 'time', clock)
        monkeypatch.setattr(detector, 'time', clock)
        pauses = SimpleNamespace(sleep=cluster.pause)
        monkeypatch.setattr(containment, 'asyncio', pauses)
        return cluster

    return build
