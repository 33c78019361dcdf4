"""Callers that send requests, and the balancer that picks their machines.

A caller reuses its connection until it fails, the machine closes it, or the
caller has sent ``REQUESTS_PER_CONNECTION`` requests.
"""

import asyncio
import random
import re
import secrets
from collections.abc import Callable, Sequence
from typing import NamedTuple

import aiohttp
from yarl import URL

from galenaswitch.platform.soak.records import Records, SentRequest

API_KEY = 'key-of-the-lab'
HOST = 'soak.example'
DEADLINE_SECONDS = 5.0
# Mean pause between two requests of a caller.
MEAN_PAUSE_SECONDS = 0.12
# Requests that a caller sends before it opens a new connection.
REQUESTS_PER_CONNECTION = 25
# Interval and timeout of the balancer's readiness probes, and the number of
# consecutive failed probes after which a machine gets no new connections.
PROBE_SECONDS = 0.5
MAX_FAILED_PROBES = 2
MAX_EVENTS = 30
OK = 200
_EVENT_PATTERN = re.compile(r'id: (\d+)\ndata: [\w.]+\n\n')
REQUEST_KINDS = ('plain', 'once', 'chat', 'notes')
# Kinds of streams that callers take up, and the most attempts at it.
RESUMABLE_KINDS = frozenset(('notes',))
MAX_TAKE_UPS = 4
MAX_TAKE_UP_PAUSE_SECONDS = 1.0
# Value of the header X-Pieces: number of work items of each stage.
WORK_ITEM_COUNTS_FIELD = '2,3'


class Balancer:
    """Balancer that picks machines whose readiness probes succeed.

    :ivar excluded: numbers of machines that it doesn't pick.
    """

    def __init__(self, addresses: Sequence[str]) -> None:
        """Build a balancer for which no machine is ready yet.

        :param addresses: addresses to probe, in the order of the machines.
        """
        self._addresses = addresses
        self.excluded: set[int] = set()
        self._failed_probes = [MAX_FAILED_PROBES for _ in addresses]

    def pick(self, rng: random.Random) -> int | None:
        """Return the number of a random ready machine, ``None`` if none is."""
        ready = [
            number
            for number, failed in enumerate(self._failed_probes)
            if failed < MAX_FAILED_PROBES and number not in self.excluded
        ]
        return rng.choice(ready) if ready else None

    def all_ready(self) -> bool:
        """Tell whether all machines are ready."""
        return all(failed < MAX_FAILED_PROBES for failed in self._failed_probes)

    async def watch(self) -> None:
        """Probe all machines at each interval until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for number, address in enumerate(self._addresses):
                    self._failed_probes[number] = await _count_failed_probes(
                        session,
                        address,
                        self._failed_probes[number],
                    )
                await asyncio.sleep(PROBE_SECONDS)


async def _count_failed_probes(
    session: aiohttp.ClientSession,
    address: str,
    failed: int,
) -> int:
    try:
        async with session.get(f'http://{address}/api/ready') as answer:
            return 0 if answer.status == OK else failed + 1
    except (aiohttp.ClientError, TimeoutError, OSError):
        return failed + 1


class Stream(NamedTuple):
    """A request, and how much of its stream the caller has.

    :param origin: id of the attempt that brought the first event, empty before.
    :param after: number of the last event, 0 for none.
    """

    kind: str
    path: str
    origin: str = ''
    after: int = 0

    def advance(self, sent: SentRequest) -> 'Stream':
        """Return the stream after an attempt that brought some events."""
        numbers = _EVENT_PATTERN.findall(sent.body)
        if sent.status != OK or not numbers:
            return self
        return self._replace(
            origin=self.origin or sent.ident, after=int(numbers[-1])
        )


class Caller:
    """Caller that sends random requests and records their outcomes."""

    def __init__(
        self,
        addresses: Sequence[str],
        balancer: Balancer,
        records: Records,
        now: Callable[[], float],
        rng: random.Random,
        kinds: Sequence[str] = REQUEST_KINDS,
    ) -> None:
        """Build a caller that has not sent a request yet.

        :param addresses: addresses that accept callers' connections, in the
            order of the machines.
        :param now: returns the seconds since the start of the soak.
        :param rng: source of the kinds, lengths and pauses of requests.
        :param kinds: kinds of requests that it sends.
        """
        self._kinds = kinds
        self._addresses = addresses
        self._balancer = balancer
        self._records = records
        self._now = now
        self._rng = rng

    async def run(self) -> None:
        """Send requests to ready machines until cancelled."""
        while True:
            machine = await self._wait_for_machine()
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                await self._send_requests(session, machine)

    async def _wait_for_machine(self) -> int:
        """Return the number of a ready machine as soon as there is one."""
        while True:
            machine = self._balancer.pick(self._rng)
            if machine is not None:
                return machine
            await asyncio.sleep(MEAN_PAUSE_SECONDS)

    async def _send_requests(
        self, session: aiohttp.ClientSession, machine: int
    ) -> None:
        for index in range(REQUESTS_PER_CONNECTION):
            if not await self._send(
                session, machine, first_on_connection=index == 0
            ):
                return
            pause = self._rng.uniform(0, 2 * MEAN_PAUSE_SECONDS)
            await asyncio.sleep(pause)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        machine: int,
        *,
        first_on_connection: bool,
    ) -> bool:
        """Send and record a request; tell if its connection is reusable."""
        kind = self._rng.choice(self._kinds)
        count = self._rng.randint(3, MAX_EVENTS)
        path = f'/{kind}/%20x/{count}?q=%2f'
        sent = await self._send_attempt(
            session, machine, Stream(kind, path), first=first_on_connection
        )
        if kind in RESUMABLE_KINDS:
            await self._take_up(Stream(kind, path), sent)
        return sent.reusable

    async def _take_up(self, stream: Stream, sent: SentRequest) -> None:
        """Take a stream up that broke off, at other machines if need be."""
        for _ in range(MAX_TAKE_UPS):
            stream = stream.advance(sent)
            if sent.complete and sent.status == OK or not stream.after:
                return
            await asyncio.sleep(self._rng.uniform(0, MAX_TAKE_UP_PAUSE_SECONDS))
            machine = await self._wait_for_machine()
            async with aiohttp.ClientSession() as session:
                sent = await self._send_attempt(
                    session, machine, stream, first=True
                )

    async def _send_attempt(
        self,
        session: aiohttp.ClientSession,
        machine: int,
        stream: Stream,
        *,
        first: bool,
    ) -> SentRequest:
        """Send one attempt and record it.

        :param first: whether it is the first on its connection.
        """
        ident = secrets.token_hex(8)
        sent_at = self._now()
        self._records.paths_by_ident[ident] = stream.path
        self._records.machines_by_ident[ident] = machine
        url = URL(
            f'http://{self._addresses[machine]}{stream.path}', encoded=True
        )
        content = bytearray()
        self._records.received[ident] = content
        headers = _make_headers(stream, ident)
        try:
            answer = await _exchange(session, url, headers, content)
        finally:
            self._records.received.pop(ident)
        sent = SentRequest(
            ident,
            stream.kind,
            machine,
            sent_at,
            self._now(),
            answer.status,
            answer.from_target,
            answer.body.decode('utf-8', 'replace'),
            answer.complete,
            first,
            stream.origin,
            stream.after,
            answer.reusable,
            answer.leaving,
        )
        self._records.sent.append(sent)
        return sent


class Answer(NamedTuple):
    """Part of an answer that a caller received.

    :param status: status of the answer, 0 when there was none.
    :param from_target: whether a target produced the answer.
    :param complete: whether the answer was complete.
    :param reusable: whether the connection may be used again.
    :param leaving: name of the target, if its answer said that it leaves.
    """

    status: int
    from_target: bool
    body: bytes
    complete: bool
    reusable: bool
    leaving: str


def _make_headers(stream: Stream, ident: str) -> dict[str, str]:
    headers = {
        'Host': HOST,
        'X-Attempt-Id': ident,
        'X-Deadline-Ms': str(int(DEADLINE_SECONDS * 1000)),
        'Authorization': f'Bearer {API_KEY}',
        'X-Tenant': 'another',
        'X-Token-Usage': '300,40',
        'X-Prompt-Prefix': f'aa:200,{ident}:100',
    }
    if stream.after:
        headers['Last-Event-Id'] = str(stream.after)
        headers['Resumes'] = stream.origin
    if stream.kind in RESUMABLE_KINDS:
        headers['X-Pieces'] = WORK_ITEM_COUNTS_FIELD
        headers['X-Piece-Key'] = f'piece-{ident}'
    return headers


async def _exchange(
    session: aiohttp.ClientSession,
    url: URL,
    headers: dict[str, str],
    content: bytearray,
) -> Answer:
    """Send a request and read its answer until it ends or fails.

    :param content: gets the bytes of the answer as they are received.
    """
    timeout = aiohttp.ClientTimeout(total=DEADLINE_SECONDS + 2)
    body = f'body-{headers["X-Attempt-Id"]}'
    status, from_target, leaving = 0, False, ''
    try:
        async with session.post(
            url,
            headers=headers,
            data=body,
            timeout=timeout,
        ) as answer:
            status = answer.status
            from_target = 'X-Server-Seal' in answer.headers
            if 'Server-Leaving' in answer.headers:
                seal = answer.headers.get('X-Server-Seal', '')
                leaving = seal.partition('.')[0]
            async for chunk in answer.content.iter_any():
                content.extend(chunk)
            reusable = answer.headers.get('Connection', '') != 'close'
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Answer(
            status, from_target, bytes(content), False, False, leaving
        )
    return Answer(status, from_target, bytes(content), True, reusable, leaving)
