"""Runners crash as they begin to write, and the part that does it goes on."""

import asyncio
import itertools
import os
import secrets
import time

from aiohttp import web

from galenaswitch.platform.soak.proxy import Proxy
from review.kit import FRONT_PORT, Deployment, Machine, run_case

HOST = 'review.example'
KEY = 'key-of-the-lab'
ZONES = ['a', 'b', 'c']
RUNNERS = 6
EVENTS, GAP_SECONDS = 8, 0.05
# Time from the first event of a harmful request until its runner crashes, and
# for which the runner is down.
CRASH_SECONDS = 0.03
DOWN_SECONDS = 2.0
HEARTBEAT_SECONDS = 1.2
HARMFUL_PART = '5c1e07a2'
# Requests a second, and the share and length of the page's day.
PER_SECOND = 20.0
HARMFUL_SHARE = 0.05
HARMFUL_SECONDS = 22.0
CONTACT_SECONDS = 3.0
CRASHES, ALLOWED = 5, 3
# Where a harmful request crashes its runner: behind its first event, or, to
# compare, before it.
WRITES_FIRST_EVENT = os.environ.get('BEFORE_EVENT') != '1'


class Engine:
    """Model runner that a part of a prompt may crash."""

    def __init__(
        self, deployment: Deployment, number: int, *, is_troubled: bool
    ) -> None:
        """Build a runner that isn't serving."""
        self.arrivals: list[tuple[str, float]] = []
        self.crashes: list[float] = []
        self._number = number
        self._is_troubled = is_troubled
        self._deployment = deployment
        self._address = ('', 0)
        self._proxy = Proxy(lambda: self._address)
        self._starts = itertools.count(1)
        self._name = ''
        self._is_down = False

    async def start(self) -> None:
        """Serve behind a proxy that can go down, and register."""
        app = web.Application()
        app.router.add_route('*', '/{rest:.*}', self._handle)
        self._address = await self._deployment.serve(app, 20 + self._number)
        await self._proxy.start(self._address[0])
        self._deployment.start_task(self._keep_registered())

    async def stop(self) -> None:
        """Stop the proxy."""
        await self._proxy.stop()

    async def _keep_registered(self) -> None:
        """Write the entry as long as the runner is up."""
        sequence, known, born = 0, '', 0
        while True:
            if not self._is_down:
                if not known or known != self._name:
                    known = f'i-{self._number}-{next(self._starts)}'
                    self._name = known
                    sequence, born = 0, int(time.time() * 1000)
                sequence += 1
                self._deployment.store.put(
                    'servers', known, self._make_entry(sequence, born)
                )
            await asyncio.sleep(HEARTBEAT_SECONDS if self._name else 0.05)

    def _make_entry(self, sequence: int, born: int) -> dict[str, object]:
        return {
            'service': 'llm',
            'address': self._proxy.address,
            'zone': ZONES[self._number % len(ZONES)],
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold-left-ms': 0,
            'sequence': sequence,
            'born': born,
        }

    async def _crash(self) -> None:
        """End without a notice; start again under another id."""
        if self._is_down:
            return
        record = self._deployment.record
        self._is_down = True
        self.crashes.append(record.now())
        record.write(f'runner {self._name} crashes')
        gone, self._name = self._name, ''
        expiry = asyncio.create_task(self._expire(gone))
        await self._proxy.go_down(DOWN_SECONDS)
        self._is_down = False
        await expiry

    async def _expire(self, name: str) -> None:
        """Let the store remove an entry after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self._deployment.store.remove('servers', name)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        ident = request.headers.get('X-Attempt-Id', '')
        headers = {'X-Attempt-Id': ident}
        if request.headers.get('X-Expect-Instance', '') != self._name:
            return web.Response(
                status=421, headers={'X-Not-Executed': '1', **headers}
            )
        await request.read()
        record = self._deployment.record
        is_harmful = HARMFUL_PART in request.headers['X-Prompt-Prefix']
        if is_harmful:
            self.arrivals.append((ident, record.now()))
        kind = 'harmful' if is_harmful else 'sound'
        record.write(f'runner {self._name} begins {kind} {ident}')
        headers['X-Server-Seal'] = f'{self._name}.1'
        answer = web.StreamResponse(headers=headers)
        answer.content_type = 'text/event-stream'
        if is_harmful and self._is_troubled and not WRITES_FIRST_EVENT:
            await asyncio.sleep(CRASH_SECONDS)
            self._deployment.start_task(self._crash())
            await asyncio.sleep(DOWN_SECONDS)
        await answer.prepare(request)
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(GAP_SECONDS)
            await answer.write(f'id: {number}\ndata: x\n\n'.encode())
            if is_harmful and self._is_troubled:
                await asyncio.sleep(CRASH_SECONDS)
                self._deployment.start_task(self._crash())
                await asyncio.sleep(DOWN_SECONDS)
        await answer.write_eof()
        return answer


async def send(
    deployment: Deployment, machine: Machine, *, is_harmful: bool
) -> None:
    """Send a request on a new connection and wait for its end."""
    ident = secrets.token_hex(8)
    part = HARMFUL_PART if is_harmful else 'e4402b7d'
    record = deployment.record
    head = (
        f'POST /notes/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {ident}\r\n'
        f'X-Deadline-Ms: 8000\r\nAuthorization: Bearer {KEY}\r\n'
        'X-Token-Usage: 900,24\r\n'
        f'X-Prompt-Prefix: 91bd3f06:500,{part}:300,{ident}:100\r\n'
        f'Content-Length: {len(ident)}\r\nConnection: close\r\n\r\n{ident}'
    ).encode()
    if is_harmful:
        record.write(f'client sends harmful {ident} to {machine.name}')
    content = b''
    try:
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection(
                machine.ip, FRONT_PORT
            )
            writer.write(head)
            content = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        pass
    ended = 'complete' if content.endswith(b'0\r\n\r\n') else 'incomplete'
    record.write(
        f'client has {"harmful" if is_harmful else "sound"} {ident}: '
        f'{content[9:12].decode()} {ended}'
    )


async def play(deployment: Deployment, is_troubled: bool) -> None:
    """Send sound requests, and among them some with the harmful part."""
    await deployment.start_store()
    deployment.store.put('config', 'main', make_configuration())
    engines = [
        Engine(deployment, number, is_troubled=is_troubled)
        for number in range(RUNNERS)
    ]
    for engine in engines:
        await engine.start()
    await deployment.start_machines(ZONES)
    await asyncio.sleep(4)
    record = deployment.record
    began_at = record.now()
    count = int(HARMFUL_SECONDS * PER_SECOND)
    for number in range(count):
        machine = deployment.machines[number % len(ZONES)]
        is_harmful = number % int(1 / HARMFUL_SHARE) == 0
        deployment.start_task(send(deployment, machine, is_harmful=is_harmful))
        due = began_at + (number + 1) / PER_SECOND
        await asyncio.sleep(max(0, due - record.now()))
    await asyncio.sleep(5)
    judge(deployment, engines)
    for engine in engines:
        await engine.stop()


def judge(deployment: Deployment, engines: list[Engine]) -> None:
    """Check the rule on what the runners saw."""
    crashes = sorted(at for engine in engines for at in engine.crashes)
    arrivals = sorted(
        (at, ident) for engine in engines for ident, at in engine.arrivals
    )
    late: list[str] = []
    if len(crashes) >= CRASHES:
        since = crashes[CRASHES - 1] + CONTACT_SECONDS
        late = [ident for at, ident in arrivals if at > since]
    summary = (
        f'{len(crashes)} crashes of runners; {len(arrivals)} requests with the '
        f'harmful part reached runners, {len(late)} of them later than '
        f'{CONTACT_SECONDS} s after the fifth crash'
    )
    deployment.record.write(summary)
    print(summary)
    if len(late) > ALLOWED:
        deployment.record.add_broken(summary)


def make_configuration() -> dict[str, object]:
    """Return a configuration with one route to the model runners."""
    return {
        'version': 3,
        'routes': [
            {
                'name': 'notes',
                'host': HOST,
                'path-prefix': '/notes/',
                'kind': 'streaming',
                'target-latency-ms': 1900,
                'target-itl-ms': 300,
                'timeout-ms': 6000,
                'priority': 1,
                'service': 'llm',
                'max-attempts': 1,
                'sticky-sessions': True,
            }
        ],
        'services': [
            {
                'name': 'llm',
                'health-path': '/health',
                'max-connections': 270,
                'engine': {'slots': 64, 'kv-capacity-tokens': 232000},
            }
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'lab', 'api-keys': [KEY]}],
    }


if __name__ == '__main__':
    run_case(__file__, play)
