"""One soak: machines under test, fake targets, callers, and injected faults."""

import asyncio
import contextlib
import random
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, NamedTuple

from aiohttp import web

from galenaswitch.platform.soak.callers import (
    DEADLINE_SECONDS,
    Balancer,
    Caller,
)
from galenaswitch.platform.soak.configuration import Operator
from galenaswitch.platform.soak.faults import (
    PLANNED_KINDS,
    FaultInjector,
    FaultSubjects,
    draw_faults,
)
from galenaswitch.platform.soak.machines import Machine
from galenaswitch.platform.soak.networks import Network
from galenaswitch.platform.soak.promises import check_all
from galenaswitch.platform.soak.records import Records, open_records
from galenaswitch.platform.soak.runners import (
    HEARTBEAT_SECONDS,
    FakeTarget,
    ResultHandles,
)
from galenaswitch.platform.soak.store import FakeStore

ZONES = ('north', 'south')
TARGET_SERVICES = ('desk', 'desk', 'scan', 'scan', 'scan', 'llm', 'llm', 'llm')
# Time within which all machines have to become ready at the start.
STARTUP_TIMEOUT_SECONDS = 15.0
# Time after the last fault within which machines and targets have to recover,
# and the time without faults that follows it.
RECOVERY_SECONDS = 9.0
FAULT_FREE_SECONDS = 3.0
# Heartbeat intervals without a heartbeat after which a target is gone.
EXPIRY_HEARTBEATS = 3


class Plan(NamedTuple):
    """Parameters of a soak.

    :param seed: seed from which faults and requests are drawn.
    :param network: second number of the loopback addresses that is tried
        first. The soak takes the next one that no other soak uses.
    :param machines: number of machines under test.
    :param callers: number of callers that send requests during the soak.
    :param seconds: span in which all faults start and end.
    :param services: service of each target.
    :param planned_only: whether all faults are planned work or silences, so
        that nothing excuses an answer that ends early.
    """

    seed: int
    network: int = 80
    machines: int = 4
    callers: int = 16
    seconds: float = 9.0
    services: tuple[str, ...] = TARGET_SERVICES
    planned_only: bool = False


class Verdict(NamedTuple):
    """Outcome of a soak.

    :param violations: messages about violated invariants, empty on success.
    """

    records: Records
    violations: list[str]


async def run_soak(plan: Plan, folder: Path) -> Verdict:
    """Run a soak, and stop all its processes and fakes even on an error.

    :param folder: folder of the machines' settings files and logs.
    """
    soak = Soak(plan, folder)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(soak.close)
        await soak.open()
        recovered_at = await soak.run()
    return Verdict(soak.records, check_all(soak.records, recovered_at))


class Soak:
    """Machines under test, fake targets, fake store and callers of one soak."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Build the machines and fakes of a plan; none of them runs yet.

        The network of the soak is taken until it is closed.

        :param folder: folder of the machines' settings files and logs.
        """
        self.network = Network(plan.network)
        self.records = open_records()
        self._plan = plan
        self._started_at = time.monotonic()
        self._tasks: list[asyncio.Task[Any]] = []
        self._servers: list[web.AppRunner] = []
        self._store = FakeStore()
        handles: ResultHandles = {}
        self._targets = [
            FakeTarget(
                number,
                service,
                ZONES[number % len(ZONES)],
                self.records,
                handles,
                self._now,
            )
            for number, service in enumerate(plan.services)
        ]
        addresses = [
            self.network.make_address(1 + number % len(ZONES), 1 + number)
            for number in range(plan.machines)
        ]
        seeds = ','.join(f'{address}:8003' for address in addresses[:3])
        self._machines = [
            Machine(
                number,
                ZONES[number % len(ZONES)],
                address,
                seeds,
                folder,
                self.records,
                self._now,
            )
            for number, address in enumerate(addresses)
        ]
        for machine in self._machines:
            machine.inherited = (self.network.descriptor,)
        self._balancer = Balancer(
            [machine.readiness for machine in self._machines]
        )
        self._operator = Operator(
            self._store,
            self._machines,
            self.records,
            self._now,
        )

    async def open(self) -> None:
        """Start the fakes and the machines, and wait until all are ready.

        :raises TimeoutError: when a machine isn't ready in time.
        :raises OSError: when a process of another run has an address.
        """
        for machine in self._machines:
            machine.check_address()
        host = self.network.make_address(9, 1)
        server = web.AppRunner(self._store.make_application())
        self._servers.append(server)
        await server.setup()
        await web.TCPSite(server, host, 0, shutdown_timeout=0.1).start()
        store_address = server.addresses[0]
        for target in self._targets:
            self._servers.append(await target.start(host))
            self._start_task(target.register(self._store))
        for machine in self._machines:
            await machine.start_store_proxy(
                (store_address[0], store_address[1])
            )
            self._start_task(machine.run())
        self._start_task(self._expire_targets())
        self._start_task(self._balancer.watch())
        async with asyncio.timeout(STARTUP_TIMEOUT_SECONDS):
            while not self._balancer.all_ready():
                await asyncio.sleep(0.1)
        self._start_task(self._operator.run())

    async def run(self) -> float:
        """Send requests while faults are injected, and after the recovery.

        :returns: seconds since the start of the soak by which all machines and
            targets have to be recovered.
        """
        plan = self._plan
        addresses = [machine.callers for machine in self._machines]
        rng = random.Random(plan.seed)
        for _ in range(plan.callers):
            caller = Caller(
                addresses,
                self._balancer,
                self.records,
                self._now,
                random.Random(rng.random()),
            )
            self._start_task(caller.run())
        subjects = FaultSubjects(
            self._machines, self._targets, self._store, self._operator
        )
        faults = draw_faults(
            plan.seed,
            plan.seconds,
            plan.machines,
            len(self._targets),
        )
        if plan.planned_only:
            faults = [one for one in faults if one.kind in PLANNED_KINDS]
        await FaultInjector(subjects, self.records, self._now).run(faults)
        await asyncio.sleep(RECOVERY_SECONDS)
        recovered_at = self._now()
        await asyncio.sleep(FAULT_FREE_SECONDS + DEADLINE_SECONDS / 2)
        return recovered_at

    async def close(self) -> None:
        """Stop the tasks, machines, proxies and servers, free the network."""
        for task in self._tasks:
            task.cancel()
        for machine in self._machines:
            machine.kill()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self._machines:
            await machine.wait_ended()
            await machine.store.stop()
        for target in self._targets:
            await target.proxy.stop()
        for server in self._servers:
            await server.cleanup()
        self.network.release()

    async def _expire_targets(self) -> None:
        """Remove entries of targets that are gone, as the platform does."""
        while True:
            names = self._store.find_names('servers')
            await asyncio.sleep(EXPIRY_HEARTBEATS * HEARTBEAT_SECONDS)
            for name in names - {target.name for target in self._targets}:
                self._store.remove('servers', name)

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    def _now(self) -> float:
        return time.monotonic() - self._started_at
