"""Operators' changes of the configuration, and whether they are in force."""

import asyncio
import secrets
from collections.abc import Callable, Sequence

import aiohttp
from yarl import URL

from galenaswitch.platform.soak.callers import HOST, KEY
from galenaswitch.platform.soak.machines import Machine
from galenaswitch.platform.soak.records import Records
from galenaswitch.platform.soak.store import Document, SoakStore

# Seconds between two changes, and the bound of the settings in which one is
# in force, with the slack of a busy machine.
CHANGE_SECONDS = 2.0
APPLY_SECONDS = 2.0
APPLY_SLACK_SECONDS = 1.0
# Seconds without trouble after which a machine is bound by the bound.
TOUCH_SECONDS = 3.0
NOT_FOUND = 404


def make_configuration(version: int, added: Sequence[str]) -> Document:
    """Return a configuration with some routes added.

    :param added: names of routes to the plain service.
    """
    routes = [
        _make_route('plain', 'desk', 'idempotent', 2),
        _make_route('once', 'desk', 'non_idempotent', 1),
        _make_route('chat', 'llm', 'streaming', 1),
        {
            **_make_route('notes', 'llm', 'streaming', 3),
            'stream-resume': True,
            'stages': [
                {'service': 'scan', 'after': [], 'bytes': 8000},
                {'service': 'scan', 'after': [0], 'bytes': 1000},
            ],
        },
    ]
    routes.extend(_make_route(name, 'desk', 'idempotent', 2) for name in added)
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'desk', 'max-connections': 100},
            {
                'name': 'llm',
                'max-connections': 100,
                'engine': {'slots': 16, 'kv-capacity-tokens': 100_000},
            },
            {
                'name': 'scan',
                'max-connections': 100,
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
        'limits': {'idle-timeout-ms': 15000},
        'tenants': [{'name': 'lab', 'api-keys': [KEY]}],
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
        'timeout-ms': 4000,
        'target-latency-ms': 800,
        'priority': 1,
        'service': service,
        'max-attempts': attempts,
        'target-itl-ms': 300,
    }


class Operator:
    """Adds routes, and asks calm machines whether they serve them."""

    def __init__(
        self,
        store: SoakStore,
        machines: Sequence[Machine],
        records: Records,
        now: Callable[[], float],
    ) -> None:
        """Write to ``store``."""
        self._store = store
        self._machines = machines
        self._records = records
        self._now = now
        self._added: list[str] = []
        self._seen: dict[tuple[int, int], int] = {}
        self._write()

    async def run(self) -> None:
        """Add a route again and again, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(CHANGE_SECONDS)
                self._added.append(f'added{len(self._added)}')
                self._write()
                newest = len(self._added) - 1
                group.create_task(self._check(newest, self._now()))

    def _write(self) -> None:
        document = make_configuration(3 * len(self._added) + 1, self._added)
        self._store.put('config', 'main', document)

    async def _check(self, newest: int, written_at: float) -> None:
        await asyncio.sleep(APPLY_SECONDS + APPLY_SLACK_SECONDS)
        for machine in self._machines:
            await self._ask(machine, newest, written_at)

    async def _ask(
        self,
        machine: Machine,
        newest: int,
        written_at: float,
    ) -> None:
        life = machine.life
        status = await self._send(machine, newest)
        if machine.life != life:
            return
        seen = self._seen.get((machine.number, life), -1)
        if status == NOT_FOUND and seen >= newest:
            self._records.notes.append(
                f'machine {machine.number} went back before route {seen}',
            )
        bound = self._is_calm(machine.number, written_at)
        if status == NOT_FOUND and bound and machine.life == life:
            self._records.notes.append(
                f'machine {machine.number} does not know route {newest}'
                f' written at {written_at:.2f}',
            )
        if status and status != NOT_FOUND:
            self._seen[machine.number, life] = max(seen, newest)

    def _is_calm(self, machine: int, written_at: float) -> bool:
        """Tell whether nothing has harmed a machine or the store."""
        return all(
            trouble.ended + TOUCH_SECONDS < written_at
            for trouble in self._records.troubles
            if trouble.subject in {machine, -1}
        )

    async def _send(self, machine: Machine, newest: int) -> int:
        """Send a request on an added route; 0 when there is no answer."""
        ident = secrets.token_hex(8)
        path = f'/added{newest}/1'
        self._records.asked[ident] = path
        headers = {
            'Host': HOST,
            'X-Attempt-Id': ident,
            'X-Deadline-Ms': '1500',
            'Authorization': f'Bearer {KEY}',
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
