"""Configuration changes during a soak, and the check that they take effect."""

import asyncio
import secrets
from collections.abc import Callable, Sequence

import aiohttp
from yarl import URL

from galenaswitch.platform.soak.callers import API_KEY, HOST
from galenaswitch.platform.soak.machines import Machine
from galenaswitch.platform.soak.records import Records
from galenaswitch.platform.soak.store import Document, FakeStore

# A change takes effect within the time of the setting bounds.config-apply-ms;
# the margin allows for a busy computer.
CHANGE_INTERVAL_SECONDS = 2.0
APPLY_SECONDS = 2.0
APPLY_MARGIN_SECONDS = 1.0
# A machine has to serve an added route only if its last fault, and that of the
# store, ended more than this time before the change.
FAULT_FREE_SECONDS = 3.0
NOT_FOUND = 404
# Longest time after a restore of the store until the operator has written the
# configuration again.
REPEAT_SECONDS = 0.5


# Changes of the limits that a storm of changes brings, one after another. No
# change allows a caller less time than its deadline.
STORM_INTERVAL_SECONDS = 0.2
TIMEOUTS_MS = (5000, 5500, 6500)
IDLE_TIMEOUTS_MS = (15000, 12000)
STREAM_ATTEMPTS = (3, 2)
# A stream may take four times as long until its first event.
LATENCY_MS = 1250
CONNECTIONS = (100, 90, 80)


def make_configuration(
    version: int, added: Sequence[str], variant: int = 0
) -> Document:
    """Return a configuration document.

    :param added: names of additional routes to the plain service.
    :param variant: number of the variant of timeouts, attempts and limits.
    """
    timeout = TIMEOUTS_MS[variant % len(TIMEOUTS_MS)]
    idle_timeout = IDLE_TIMEOUTS_MS[variant % len(IDLE_TIMEOUTS_MS)]
    attempts = STREAM_ATTEMPTS[variant % len(STREAM_ATTEMPTS)]
    connections = CONNECTIONS[variant % len(CONNECTIONS)]
    routes = [
        _make_route('plain', 'desk', 'idempotent', 2),
        _make_route('once', 'desk', 'non_idempotent', 1),
        _make_route('chat', 'llm', 'streaming', 1),
        {
            **_make_route('notes', 'llm', 'streaming', attempts),
            'stream-resume': True,
            'stages': [
                {'service': 'scan', 'after': [], 'bytes': 8000},
                {'service': 'scan', 'after': [0], 'bytes': 1000},
            ],
        },
    ]
    routes.extend(_make_route(name, 'desk', 'idempotent', 2) for name in added)
    for route in routes:
        route['timeout-ms'] = timeout
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'desk', 'max-connections': connections},
            {
                'name': 'llm',
                'max-connections': connections,
                'engine': {'slots': 16, 'kv-capacity-tokens': 100_000},
            },
            {
                'name': 'scan',
                'max-connections': connections,
                'pieces': {
                    'slots': 1,
                    'queue': 2,
                    'batch': 6,
                    'call-overhead-ms': 60,
                    'item-time-ms': 10,
                    'headroom-mb': 2.0,
                    'handle-s': 4,
                },
            },
        ],
        'limits': {'idle-timeout-ms': idle_timeout},
        'tenants': [{'name': 'lab', 'api-keys': [API_KEY]}],
    }


def _make_route(
    name: str,
    service: str,
    kind: str,
    attempts: int,
) -> Document:
    return {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'target-latency-ms': LATENCY_MS,
        'priority': 1,
        'service': service,
        'max-attempts': attempts,
        'target-itl-ms': 300,
    }


class Operator:
    """Operator that adds routes and checks that the machines serve them."""

    def __init__(
        self,
        store: FakeStore,
        machines: Sequence[Machine],
        records: Records,
        now: Callable[[], float],
    ) -> None:
        """Write the first configuration to ``store``.

        :param now: returns the seconds since the start of the soak.
        """
        self._store = store
        self._machines = machines
        self._records = records
        self._now = now
        self._added_routes: list[str] = []
        self._variant = 0
        self._newest_served: dict[tuple[int, int], int] = {}
        self._write_configuration()

    async def run(self) -> None:
        """Add a route at each interval until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._repeat_after_restores())
            while True:
                await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
                self._added_routes.append(f'added{len(self._added_routes)}')
                self._write_configuration()
                route_number = len(self._added_routes) - 1
                group.create_task(self._check_route(route_number, self._now()))

    async def change_often(self, seconds: float) -> None:
        """Change timeouts, attempts and limits again and again."""
        end = self._now() + seconds
        while self._now() < end:
            self._variant += 1
            self._write_configuration()
            await asyncio.sleep(STORM_INTERVAL_SECONDS)

    async def _repeat_after_restores(self) -> None:
        """Write the newest configuration again whenever the store lost it."""
        while True:
            era = self._store.era
            await asyncio.sleep(REPEAT_SECONDS)
            if self._store.era != era:
                self._write_configuration()

    def _write_configuration(self) -> None:
        document = make_configuration(
            3 * len(self._added_routes) + 1 + self._variant,
            self._added_routes,
            self._variant,
        )
        self._store.put('config', 'main', document)

    async def _check_route(self, route_number: int, written_at: float) -> None:
        await asyncio.sleep(APPLY_SECONDS + APPLY_MARGIN_SECONDS)
        for machine in self._machines:
            await self._check_machine(machine, route_number, written_at)

    async def _check_machine(
        self,
        machine: Machine,
        route_number: int,
        written_at: float,
    ) -> None:
        start_count = machine.start_count
        status = await self._send(machine, route_number)
        if machine.start_count != start_count:
            return
        newest_served = self._newest_served.get(
            (machine.number, start_count), -1
        )
        if status == NOT_FOUND and newest_served >= route_number:
            self._records.violations.append(
                f'machine {machine.number} reverted to a configuration'
                f' from before route {newest_served}',
            )
        must_serve = self._is_fault_free(machine.number, written_at)
        if (
            status == NOT_FOUND
            and must_serve
            and machine.start_count == start_count
        ):
            self._records.violations.append(
                f'machine {machine.number} does not know route {route_number}'
                f' written at {written_at:.2f}',
            )
        if status and status != NOT_FOUND:
            self._newest_served[machine.number, start_count] = max(
                newest_served, route_number
            )

    def _is_fault_free(self, machine: int, written_at: float) -> bool:
        """Tell whether all faults of a machine and the store ended long ago.

        :param written_at: time of the change that the machine has to apply.
        """
        return all(
            fault.ended_at + FAULT_FREE_SECONDS < written_at
            for fault in self._records.faults
            if fault.subject in {machine, -1}
        )

    async def _send(self, machine: Machine, route_number: int) -> int:
        """Return the status of a request to an added route, 0 if no answer."""
        ident = secrets.token_hex(8)
        path = f'/added{route_number}/1'
        self._records.paths_by_ident[ident] = path
        headers = {
            'Host': HOST,
            'X-Attempt-Id': ident,
            'X-Deadline-Ms': '1500',
            'Authorization': f'Bearer {API_KEY}',
        }
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    URL(f'http://{machine.callers}{path}', encoded=True),
                    headers=headers,
                    data=f'body-{ident}',
                ) as answer,
            ):
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
