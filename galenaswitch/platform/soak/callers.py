"""Callers: each keeps a connection until it ends or the machine leaves."""

import asyncio
import random
import secrets
from collections.abc import Callable, Sequence
from typing import NamedTuple

import aiohttp
from yarl import URL

from galenaswitch.platform.soak.records import Records, Sent

KEY = 'key-of-the-lab'
HOST = 'soak.example'
DEADLINE_SECONDS = 4.0
# Seconds between two requests of a caller, on average.
PAUSE_SECONDS = 0.12
# Requests after which a caller opens another connection.
SESSION_REQUESTS = 25
# Seconds between two questions whether a machine is ready, and misses after
# which it gets no new connections.
READY_SECONDS = 0.5
MISSES = 2
MOST_EVENTS = 30
OK = 200
KINDS = ('plain', 'once', 'chat', 'notes')
STAGE_PIECES = '2,3'


class Balancer:
    """Machines that say that they are ready."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """Ask the readiness ``addresses`` of machines in their order."""
        self._addresses = addresses
        self._misses = [MISSES for _ in addresses]

    def pick(self, luck: random.Random) -> int | None:
        """Return a machine that is ready."""
        ready = [
            number
            for number, missed in enumerate(self._misses)
            if missed < MISSES
        ]
        return luck.choice(ready) if ready else None

    def all_ready(self) -> bool:
        """Tell whether all machines are ready."""
        return all(missed < MISSES for missed in self._misses)

    async def watch(self) -> None:
        """Ask again and again."""
        timeout = aiohttp.ClientTimeout(total=READY_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for number, address in enumerate(self._addresses):
                    self._misses[number] = await _count_miss(
                        session,
                        address,
                        self._misses[number],
                    )
                await asyncio.sleep(READY_SECONDS)


async def _count_miss(
    session: aiohttp.ClientSession,
    address: str,
    missed: int,
) -> int:
    try:
        async with session.get(f'http://{address}/api/ready') as answer:
            return 0 if answer.status == OK else missed + 1
    except (aiohttp.ClientError, TimeoutError, OSError):
        return missed + 1


class Caller:
    """One caller."""

    def __init__(
        self,
        addresses: Sequence[str],
        balancer: Balancer,
        records: Records,
        now: Callable[[], float],
        luck: random.Random,
    ) -> None:
        """Send to the callers' ``addresses`` of machines."""
        self._addresses = addresses
        self._balancer = balancer
        self._records = records
        self._now = now
        self._luck = luck

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            machine = self._balancer.pick(self._luck)
            if machine is None:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                await self._use(session, machine)

    async def _use(self, session: aiohttp.ClientSession, machine: int) -> None:
        for turn in range(SESSION_REQUESTS):
            if not await self._send(session, machine, fresh=turn == 0):
                return
            pause = self._luck.uniform(0, 2 * PAUSE_SECONDS)
            await asyncio.sleep(pause)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        machine: int,
        *,
        fresh: bool,
    ) -> bool:
        """Send a request; tell whether its connection may be used again."""
        kind = self._luck.choice(KINDS)
        ident = secrets.token_hex(8)
        count = self._luck.randint(3, MOST_EVENTS)
        path = f'/{kind}/%20x/{count}?q=%2f'
        sent_at = self._now()
        self._records.asked[ident] = path
        url = URL(f'http://{self._addresses[machine]}{path}', encoded=True)
        answer = await _exchange(session, url, _make_headers(kind, ident))
        self._records.sent.append(
            Sent(
                ident,
                kind,
                machine,
                sent_at,
                self._now(),
                answer.status,
                answer.sealed,
                answer.body.decode('utf-8', 'replace'),
                answer.whole,
                fresh,
            ),
        )
        return answer.kept


class Answer(NamedTuple):
    """An answer as far as it came.

    :param status: 0 when there was none.
    :param kept: whether the connection may be used again.
    """

    status: int
    sealed: bool
    body: bytes
    whole: bool
    kept: bool


def _make_headers(kind: str, ident: str) -> dict[str, str]:
    headers = {
        'Host': HOST,
        'X-Attempt-Id': ident,
        'X-Deadline-Ms': str(int(DEADLINE_SECONDS * 1000)),
        'Authorization': f'Bearer {KEY}',
        'X-Tenant': 'another',
        'X-Token-Usage': '300,40',
        'X-Prompt-Prefix': f'aa:200,{ident}:100',
    }
    if kind == 'notes':
        headers['X-Pieces'] = STAGE_PIECES
        headers['X-Piece-Key'] = f'piece-{ident}'
    return headers


async def _exchange(
    session: aiohttp.ClientSession,
    url: URL,
    headers: dict[str, str],
) -> Answer:
    """Send a request and read what comes of its answer."""
    timeout = aiohttp.ClientTimeout(total=DEADLINE_SECONDS + 2)
    body = f'body-{headers["X-Attempt-Id"]}'
    content = bytearray()
    status, sealed = 0, False
    try:
        async with session.post(
            url,
            headers=headers,
            data=body,
            timeout=timeout,
        ) as answer:
            status = answer.status
            sealed = 'X-Server-Seal' in answer.headers
            async for chunk in answer.content.iter_any():
                content.extend(chunk)
            kept = answer.headers.get('Connection', '') != 'close'
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Answer(status, sealed, bytes(content), whole=False, kept=False)
    return Answer(status, sealed, bytes(content), whole=True, kept=kept)
