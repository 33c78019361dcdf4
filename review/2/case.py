"""A machine that is stopped takes streams that it then breaks off."""

import asyncio
import contextlib
import secrets
import signal
import time

from aiohttp import web

from review.kit import FRONT_PORT, Deployment, Machine, run_case

HOST = 'review.example'
KEY = 'key-of-the-lab'
GRACE_SECONDS = 8
# Requests sent up to this many seconds after SIGTERM are excused when their
# runner is still at work at the end of the grace time.
EXCUSED_SECONDS = 3.0
EVENTS, GAP_SECONDS = 45, 0.1
CLIENTS = 16
REQUESTS_PER_CONNECTION = 4
ROUNDS = 3


class Engine:
    """Sound model runner: an event each 100 ms, 45 events a stream."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        """Build a runner that isn't serving."""
        self.name = f'i-{number}'
        self._deployment = deployment
        self._born = int(time.time() * 1000)
        self.ran: dict[str, float] = {}
        self.failed: set[str] = set()

    async def start(self, zone: str, number: int) -> None:
        app = web.Application()
        app.router.add_route('*', '/{rest:.*}', self._handle)
        host, port = await self._deployment.serve(app, number)
        entry = {
            'service': 'llm',
            'address': f'{host}:{port}',
            'zone': zone,
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold-left-ms': 0,
            'sequence': 1,
            'born': self._born,
        }
        self._deployment.store.put('servers', self.name, entry)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        ident = request.headers.get('X-Attempt-Id', '')
        if request.headers.get('X-Expect-Instance', self.name) != self.name:
            return web.Response(
                status=421,
                headers={'X-Not-Executed': '1', 'X-Attempt-Id': ident},
            )
        await request.read()
        record = self._deployment.record
        self.ran[ident] = record.now()
        left = request.headers.get('X-Deadline-Ms')
        record.write(f'runner {self.name} begins {ident} deadline {left} ms')
        answer = web.StreamResponse(
            headers={'X-Attempt-Id': ident, 'X-Server-Seal': f'{self.name}.1'}
        )
        answer.content_type = 'text/event-stream'
        number = 0
        try:
            await answer.prepare(request)
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(GAP_SECONDS)
                await answer.write(f'id: {number}\ndata: x\n\n'.encode())
            await answer.write_eof()
        except (asyncio.CancelledError, ConnectionError):
            record.write(f'runner {self.name}: {ident} was closed at {number}')
            raise
        record.write(f'runner {self.name} ends {ident}')
        return answer


class Platform:
    """Sends new connections to machines in rotation, as the platform does."""

    def __init__(self, deployment: Deployment) -> None:
        """Build a platform for which all machines are in rotation."""
        self._deployment = deployment
        self._misses = {one.name: 0 for one in deployment.machines}

    async def run(self) -> None:
        """Ask each machine once a second."""
        while True:
            for machine in self._deployment.machines:
                is_ready = await machine.is_ready()
                misses = 0 if is_ready else self._misses[machine.name] + 1
                self._misses[machine.name] = misses
            await asyncio.sleep(1)

    def pick(self, zone: str) -> Machine:
        """Return the machine of a zone, or of the other one."""
        machines = sorted(
            self._deployment.machines, key=lambda one: one.zone != zone
        )
        rotation = [one for one in machines if self._misses[one.name] < 2]
        return (rotation or machines)[0]


class Client:
    """Client that sends one stream's request after the other.

    It keeps its connection as long as the machine allows that.
    """

    def __init__(
        self, deployment: Deployment, platform: Platform, name: str
    ) -> None:
        """Build a client of zone a."""
        self.sent: list[Sent] = []
        self._name = name
        self._deployment = deployment
        self._platform = platform

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            machine = self._platform.pick('a')
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(
                        machine.ip, FRONT_PORT
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                for _ in range(REQUESTS_PER_CONNECTION):
                    if not await self._send(machine, reader, writer):
                        break
            finally:
                writer.close()

    async def _send(
        self,
        machine: Machine,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send a request; tell whether the connection may be used again."""
        ident = secrets.token_hex(8)
        record = self._deployment.record
        sent = Sent(ident, machine, record.now())
        head = (
            f'POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: {ident}\r\nX-Deadline-Ms: 15000\r\n'
            f'Authorization: Bearer {KEY}\r\nX-Token-Usage: 300,140\r\n'
            f'X-Prompt-Prefix: aa:200,{ident}:100\r\nContent-Length: 2\r\n\r\n'
        )
        record.write(f'{self._name} sends {ident} to {machine.name}')
        content = bytearray()
        try:
            writer.write(head.encode() + b'{}')
            while not is_complete(bytes(content)):
                chunk = await reader.read(65536)
                if not chunk:
                    break
                content += chunk
        except OSError as error:
            record.write(f'{self._name}: {error!r}')
        sent.has_ended = True
        sent.is_complete = is_complete(bytes(content))
        sent.status = bytes(content).partition(b'\r\n')[0]
        self.sent.append(sent)
        record.write(
            f'{self._name} has {ident}: complete {sent.is_complete}, '
            f'{sent.status!r}, {content.count(b"id: ")} events'
        )
        if b' 503 ' in sent.status:
            await asyncio.sleep(0.05)
        is_closed = (
            b'connection: close' in content.partition(b'\r\n\r\n')[0].lower()
        )
        return sent.is_complete and not is_closed


class Sent:
    """A request that a client has sent, and its end."""

    def __init__(self, ident: str, machine: Machine, sent_at: float) -> None:
        """Build a request without an answer."""
        self.ident = ident
        self.machine = machine
        self.sent_at = sent_at
        self.has_ended = False
        self.is_complete = False
        self.status = b''


def is_complete(content: bytes) -> bool:
    """Tell whether an answer has ended as HTTP/1.1 says."""
    head, separator, body = content.partition(b'\r\n\r\n')
    if not separator:
        return False
    if b'transfer-encoding: chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.partition(b':')[2])
    return False


async def play(deployment: Deployment, is_troubled: bool) -> None:
    """Stop the only machine of a zone while its clients send streams."""
    await deployment.start_store()
    engines = [Engine(deployment, number) for number in range(2)]
    for number, engine in enumerate(engines):
        await engine.start(('a', 'b')[number], 20 + number)
    deployment.store.put('config', 'main', make_configuration())
    await deployment.start_machines(['a', 'b'])
    await asyncio.sleep(4)
    platform = Platform(deployment)
    deployment.start_task(platform.run())
    clients = [
        Client(deployment, platform, f'client-{number}')
        for number in range(CLIENTS)
    ]
    for client in clients:
        deployment.start_task(client.run())
        await asyncio.sleep(EVENTS * GAP_SECONDS / CLIENTS)
    for _ in range(ROUNDS):
        await play_round(deployment, is_troubled)
    judge(deployment, clients, engines, is_troubled)


async def play_round(deployment: Deployment, is_troubled: bool) -> None:
    """Send SIGTERM, and SIGKILL after the grace time, and start again."""
    machine = deployment.machines[0]
    record = deployment.record
    await asyncio.sleep(EVENTS * GAP_SECONDS)
    if not is_troubled or machine.process is None:
        await asyncio.sleep(GRACE_SECONDS + 12)
        return
    machine.send_signal(signal.SIGTERM)
    machine.stopped_at.append(record.now())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(GRACE_SECONDS):
            await machine.process.wait()
    machine.send_signal(signal.SIGKILL)
    await machine.process.wait()
    record.write(f'machine {machine.name} has ended')
    await machine.start()
    while not await machine.is_ready():
        await asyncio.sleep(0.1)
    await asyncio.sleep(12)


def judge(
    deployment: Deployment,
    clients: list[Client],
    engines: list[Engine],
    is_troubled: bool,
) -> None:
    """Check the rule on all requests that have ended."""
    for sent in (one for client in clients for one in client.sent):
        was_run = any(sent.ident in engine.ran for engine in engines)
        if not was_run or sent.is_complete:
            continue
        ages = [
            sent.sent_at - stopped_at
            for stopped_at in sent.machine.stopped_at
            if -GRACE_SECONDS <= sent.sent_at - stopped_at <= GRACE_SECONDS + 1
        ]
        if is_troubled and (not ages or ages[-1] <= EXCUSED_SECONDS):
            continue
        deployment.record.add_broken(
            f'{sent.ident}, sent on a kept connection {ages} s after SIGTERM, '
            'was passed on to a sound runner, and its connection ended '
            f'without a complete answer: {sent.status!r}'
        )


def make_configuration() -> dict[str, object]:
    """Return a configuration with one route to the model runners."""
    return {
        'version': 3,
        'routes': [
            {
                'name': 'chat',
                'host': HOST,
                'path-prefix': '/chat/',
                'kind': 'streaming',
                'target-latency-ms': 400,
                'target-itl-ms': 300,
                'timeout-ms': 15000,
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
