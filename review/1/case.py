"""A machine that is stopped takes streams that it then breaks off."""

import asyncio
import secrets
import signal
import time

from aiohttp import web

from review.kit import FRONT_PORT, Deployment, run_case

HOST = 'review.example'
KEY = 'key-of-the-lab'
GRACE_SECONDS = 8
# Requests sent up to this many seconds after SIGTERM are excused when their
# runner is still at work at the end of the grace time.
EXCUSED_SECONDS = 3.0
SEND_SECONDS = tuple(number * 0.25 for number in range(16))
EVENTS, GAP_SECONDS = 45, 0.1
ROUNDS = 2


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


async def send(deployment: Deployment, ip: str) -> tuple[str, str, bytes]:
    """Send a stream's request on a new connection.

    :returns: id of the attempt, how it ended, and the status line.
    """
    ident = secrets.token_hex(8)
    record = deployment.record
    body = b'{}'
    head = (
        f'POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {ident}\r\n'
        f'X-Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\n'
        f'X-Token-Usage: 300,140\r\nX-Prompt-Prefix: aa:200,{ident}:100\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode()
    content = bytearray()
    ending = 'closed'
    record.write(f'client sends {ident}')
    try:
        reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
        writer.write(head + body)
        while chunk := await reader.read(65536):
            content += chunk
            if is_complete(bytes(content)):
                ending = 'complete'
                break
        writer.close()
    except OSError as error:
        ending = type(error).__name__
    status = bytes(content).partition(b'\r\n')[0]
    events = content.count(b'\n\n')
    record.write(f'client has {ident}: {ending} {status!r} {events} events')
    return ident, ending, status


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
    for _ in range(ROUNDS):
        await play_round(deployment, engines, is_troubled)


async def play_round(
    deployment: Deployment, engines: list[Engine], is_troubled: bool
) -> None:
    """Send SIGTERM, and SIGKILL after the grace time, and start again."""
    machine = deployment.machines[0]
    record = deployment.record
    began_at = record.now()
    sends = []
    if is_troubled:
        machine.send_signal(signal.SIGTERM)
    for seconds in SEND_SECONDS:
        await asyncio.sleep(began_at + seconds - record.now())
        # Zone a has one machine. While it isn't ready, fewer than half of the
        # zone's machines are in rotation, so the platform uses all of them.
        sends.append(
            (seconds, asyncio.ensure_future(send(deployment, machine.ip)))
        )
    await asyncio.sleep(began_at + GRACE_SECONDS - record.now())
    if is_troubled:
        machine.send_signal(signal.SIGKILL)
    for seconds, sending in sends:
        ident, ending, status = await sending
        was_run = any(ident in engine.ran for engine in engines)
        is_excused = is_troubled and seconds <= EXCUSED_SECONDS
        if was_run and ending != 'complete' and not is_excused:
            record.add_broken(
                f'{ident}, sent {seconds} s after SIGTERM, was passed on to a '
                'sound runner, and its connection ended without a complete '
                f'answer: {ending} {status!r}'
            )
    if is_troubled and machine.process:
        await machine.process.wait()
        await machine.start()
        while not await machine.is_ready():
            await asyncio.sleep(0.1)
    await asyncio.sleep(4)


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
