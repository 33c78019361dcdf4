"""One soak of a few machines under the faults of a seed."""

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
from galenaswitch.platform.soak.faults import Injector, Stage, draw_faults
from galenaswitch.platform.soak.machines import Machine
from galenaswitch.platform.soak.promises import check_all
from galenaswitch.platform.soak.records import Records, open_records
from galenaswitch.platform.soak.runners import Handles, Runner
from galenaswitch.platform.soak.store import SoakStore

ZONES = ('north', 'south')
SERVICES = ('desk', 'desk', 'scan', 'scan', 'scan', 'llm', 'llm', 'llm')
# Seconds in which all machines have to be ready at the start.
START_SECONDS = 15.0
# Seconds after the last fault in which all has to recover, and of the calm
# span after them.
RECOVERY_SECONDS = 9.0
CALM_SECONDS = 3.0


class Plan(NamedTuple):
    """Size of a soak.

    :param seed: number from which faults are drawn.
    :param network: second number of the loopback addresses, so that soaks
        side by side don't meet.
    :param machines: machines under test.
    :param callers: callers that send requests all the while.
    :param seconds: span in which faults begin and end.
    """

    seed: int
    network: int = 80
    machines: int = 4
    callers: int = 16
    seconds: float = 9.0


class Verdict(NamedTuple):
    """Outcome of a soak.

    :param broken: promises that were broken.
    """

    records: Records
    broken: list[str]


async def run_soak(plan: Plan, folder: Path) -> Verdict:
    """Run a soak; processes and stand-ins are ended whatever happens.

    :param folder: where settings and logs are written.
    """
    soak = Soak(plan, folder)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(soak.close)
        await soak.open()
        calm_from = await soak.run()
    return Verdict(soak.records, check_all(soak.records, calm_from))


class Soak:
    """All parts of one soak."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Build the parts; nothing runs yet."""
        self.records = open_records()
        self._plan = plan
        self._begun = time.monotonic()
        self._tasks: list[asyncio.Task[Any]] = []
        self._serving: list[web.AppRunner] = []
        self._store = SoakStore()
        handles: Handles = {}
        self._runners = [
            Runner(
                number,
                service,
                ZONES[number % len(ZONES)],
                self.records,
                handles,
                self._now,
            )
            for number, service in enumerate(SERVICES)
        ]
        addresses = [
            f'127.{plan.network}.{1 + number % len(ZONES)}.{1 + number}'
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
        self._balancer = Balancer([one.readiness for one in self._machines])

    async def open(self) -> None:
        """Start stand-ins and machines, and wait until all are ready.

        :raises TimeoutError: when they aren't in time.
        """
        host = f'127.{self._plan.network}.9.1'
        serving = web.AppRunner(self._store.make_application())
        self._serving.append(serving)
        await serving.setup()
        await web.TCPSite(serving, host, 0, shutdown_timeout=0.1).start()
        bound = serving.addresses[0]
        for runner in self._runners:
            self._serving.append(await runner.start(host))
            self._start(runner.register(self._store))
        operator = Operator(
            self._store,
            self._machines,
            self.records,
            self._now,
        )
        for machine in self._machines:
            await machine.open_store((bound[0], bound[1]))
            self._start(machine.run())
        self._start(self._balancer.watch())
        async with asyncio.timeout(START_SECONDS):
            while not self._balancer.all_ready():
                await asyncio.sleep(0.1)
        self._start(operator.run())

    async def run(self) -> float:
        """Send requests under faults.

        :returns: seconds since the start at which all has recovered.
        """
        plan = self._plan
        addresses = [machine.callers for machine in self._machines]
        luck = random.Random(plan.seed)
        for _ in range(plan.callers):
            caller = Caller(
                addresses,
                self._balancer,
                self.records,
                self._now,
                random.Random(luck.random()),
            )
            self._start(caller.run())
        stage = Stage(self._machines, self._runners, self._store)
        faults = draw_faults(
            plan.seed,
            plan.seconds,
            plan.machines,
            len(self._runners),
        )
        await Injector(stage, self.records, self._now).run(faults)
        await asyncio.sleep(RECOVERY_SECONDS)
        calm_from = self._now()
        await asyncio.sleep(CALM_SECONDS + DEADLINE_SECONDS / 2)
        return calm_from

    async def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for machine in self._machines:
            machine.kill()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self._machines:
            await machine.store.stop()
        for runner in self._runners:
            await runner.proxy.stop()
        for serving in self._serving:
            await serving.cleanup()

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _now(self) -> float:
        return time.monotonic() - self._begun
