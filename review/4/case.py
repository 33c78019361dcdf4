"""A restored store lets streams be lost when all processes are killed later."""

import asyncio
import os
import re
import secrets
import signal
import time

from aiohttp import web

from review.kit import FRONT_PORT, Deployment, Machine, run_case

HOST = 'review.example'
KEY = 'key-of-the-lab'
ZONES = ['a', 'b', 'c']
RUNNERS = 4
EVENTS, GAP_SECONDS = 30, 0.1
DEADLINE_SECONDS = 15.0
CLIENTS = 40
# Age of the copy, and for how long the store is away, as on the page's day.
COPY_SECONDS, AWAY_SECONDS = 9.0, 2.0
# Between the restore and the kill; all machines are long in touch again.
QUIET_SECONDS = 12.0
RESTART_SECONDS = 0.5
CONTACT_SECONDS = 3.0
# A client takes a stream up this long after it broke off, and again.
TAKE_UP_SECONDS = (1.0, 2.0, 2.0, 2.0)
COUNT, SHARE = 12, 0.5
ROUNDS = 2
EVENT = re.compile(rb'id: (\d+)\ndata: x\n\n')
# To compare: RESTORE=0 plays the same without the restore of the store.
RESTORES = os.environ.get('RESTORE') != '0'


class Engine:
    """Sound model runner; all are of one software version."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        """Build a runner that isn't serving."""
        self.name = f'i-{number}'
        self._number = number
        self._deployment = deployment
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._address = ''

    async def start(self) -> None:
        """Serve, and keep the entry in the store up to date."""
        app = web.Application()
        app.router.add_route('*', '/{rest:.*}', self._handle)
        host, port = await self._deployment.serve(app, 20 + self._number)
        self._address = f'{host}:{port}'
        self._write_entry()
        self._deployment.start_task(self._keep_registered())

    async def _keep_registered(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            self._write_entry()

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            'service': 'llm',
            'address': self._address,
            'zone': ZONES[self._number % len(ZONES)],
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold-left-ms': 0,
            'sequence': self._sequence,
            'born': self._born,
        }
        self._deployment.store.put('servers', self.name, entry)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        ident = request.headers.get('X-Attempt-Id', '')
        headers = {'X-Attempt-Id': ident}
        if request.headers.get('X-Expect-Instance', '') != self.name:
            return web.Response(
                status=421, headers={'X-Not-Executed': '1', **headers}
            )
        await request.read()
        headers['X-Server-Seal'] = f'{self.name}.1'
        after = int(request.headers.get('Last-Event-Id', '0'))
        self._deployment.record.write(
            f'runner {self.name} begins {ident} after event {after}'
        )
        answer = web.StreamResponse(headers=headers)
        answer.content_type = 'text/event-stream'
        await answer.prepare(request)
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(GAP_SECONDS)
            await answer.write(f'id: {number}\ndata: x\n\n'.encode())
        await answer.write_eof()
        return answer


class Counts:
    """Attempts of clients at machines in touch after a kill."""

    def __init__(self) -> None:
        """Build counts of nothing."""
        self.taken_up = self.gone_on = 0
        self.new = self.begun = 0


class Client:
    """Client that sends streams, and takes up those that break off."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        """Build a client."""
        self.counts = Counts()
        self._deployment = deployment
        self._number = number

    async def run(self) -> None:
        """Send one stream after the other until cancelled."""
        while True:
            await self._send_stream()
            await asyncio.sleep(0.1)

    async def _send_stream(self) -> None:
        record = self._deployment.record
        began_at = record.now()
        origin, after = secrets.token_hex(8), 0
        status, after, is_complete = await self._attempt(
            origin, '', after, DEADLINE_SECONDS
        )
        if not after:
            # Nothing of it came; that isn't a stream to be taken up.
            return
        for pause in TAKE_UP_SECONDS:
            if is_complete:
                return
            await asyncio.sleep(pause)
            left = DEADLINE_SECONDS - (record.now() - began_at)
            status, after, is_complete = await self._attempt(
                secrets.token_hex(8), origin, after, left
            )

    async def _attempt(
        self, ident: str, origin: str, after: int, left: float
    ) -> tuple[str, int, bool]:
        """Send one attempt; return status, last event, and whether it ended.

        :param origin: attempt that brought the first event, empty for none.
        """
        machine = self._pick()
        record = self._deployment.record
        head = (
            f'POST /notes/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: {ident}\r\nX-Deadline-Ms: {int(left * 1000)}\r\n'
            f'Authorization: Bearer {KEY}\r\nX-Token-Usage: 300,90\r\n'
            f'X-Prompt-Prefix: aa:200,bb{self._number}:100\r\n'
            'Content-Length: 2\r\nConnection: close\r\n'
        )
        if origin:
            head += f'Resumes: {origin}\r\nLast-Event-Id: {after}\r\n'
        sent_at = record.now()
        content = b''
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    machine.ip, FRONT_PORT
                )
        except (OSError, TimeoutError):
            return '', after, False
        try:
            async with asyncio.timeout(left):
                writer.write(head.encode() + b'\r\n{}')
                while chunk := await reader.read(65536):
                    content += chunk
        except (OSError, TimeoutError):
            pass
        writer.close()
        status = content[9:12].decode()
        events = EVENT.findall(content)
        last = int(events[-1]) if events else after
        is_complete = status == '200' and content.endswith(b'0\r\n\r\n')
        self._count(machine, sent_at, origin, bool(events))
        record.write(
            f'{ident} at {machine.name}, sent {sent_at:.3f}, '
            f'{"takes up " + origin if origin else "new"}: {status} '
            f'events {after} to {last}, complete {is_complete}'
        )
        return status, last, is_complete

    def _pick(self) -> Machine:
        machines = self._deployment.machines
        return machines[secrets.randbelow(len(machines))]

    def _count(
        self, machine: Machine, sent_at: float, origin: str, has_events: bool
    ) -> None:
        """Count an attempt if its machine was in touch after a kill."""
        killed_at = machine.stopped_at[-1] if machine.stopped_at else None
        if killed_at is None:
            return
        age = sent_at - killed_at - RESTART_SECONDS
        if not CONTACT_SECONDS < age < DEADLINE_SECONDS:
            return
        if origin:
            self.counts.taken_up += 1
            self.counts.gone_on += has_events
        else:
            self.counts.new += 1
            self.counts.begun += has_events


async def play(deployment: Deployment, is_troubled: bool) -> None:
    """Restore the store, and kill all processes some time later."""
    await deployment.start_store()
    deployment.store.put('config', 'main', make_configuration())
    for number in range(RUNNERS):
        await Engine(deployment, number).start()
    await deployment.start_machines(ZONES)
    await asyncio.sleep(4)
    clients = [Client(deployment, number) for number in range(CLIENTS)]
    for client in clients:
        deployment.start_task(client.run())
        await asyncio.sleep(EVENTS * GAP_SECONDS / CLIENTS)
    if is_troubled and RESTORES:
        await restore(deployment)
    await asyncio.sleep(QUIET_SECONDS)
    for _ in range(ROUNDS):
        if is_troubled:
            await kill_all(deployment)
        await asyncio.sleep(QUIET_SECONDS)
    judge(deployment, clients)


async def restore(deployment: Deployment) -> None:
    """Let the store come back from a copy, as in the page's drill."""
    store, record = deployment.store, deployment.record
    copy = store.copy()
    await asyncio.sleep(COPY_SECONDS)
    store.mode = 'busy'
    record.write('the store is away')
    await asyncio.sleep(AWAY_SECONDS)
    store.restore(copy)
    store.mode = 'well'
    record.write(f'the store is back from a copy, era {store.era}')
    # What the operator and the runners wrote is written again.
    await asyncio.sleep(0.2)
    store.put('config', 'main', make_configuration())


async def kill_all(deployment: Deployment) -> None:
    """Kill all processes at the same moment, and start them again."""
    for machine in deployment.machines:
        machine.send_signal(signal.SIGKILL)
        machine.stopped_at.append(deployment.record.now())
    for machine in deployment.machines:
        if machine.process:
            await machine.process.wait()
    await asyncio.sleep(RESTART_SECONDS)
    for machine in deployment.machines:
        await machine.start()


def judge(deployment: Deployment, clients: list[Client]) -> None:
    """Check the rule on all attempts at machines in touch."""
    taken_up = sum(one.counts.taken_up for one in clients)
    gone_on = sum(one.counts.gone_on for one in clients)
    new = sum(one.counts.new for one in clients)
    begun = sum(one.counts.begun for one in clients)
    summary = (
        f'at machines in touch {taken_up} streams were taken up and {gone_on} '
        f'of them went on; of {new} new ones {begun} began'
    )
    deployment.record.write(summary)
    print(summary)
    if taken_up < COUNT or not new:
        return
    if gone_on / taken_up < SHARE * begun / new:
        deployment.record.add_broken(summary)


def make_configuration() -> dict[str, object]:
    """Return a configuration with one route whose streams may be resumed."""
    return {
        'version': 3,
        'routes': [
            {
                'name': 'notes',
                'host': HOST,
                'path-prefix': '/notes/',
                'kind': 'streaming',
                'stream-resume': True,
                'target-latency-ms': 1900,
                'target-itl-ms': 300,
                'timeout-ms': int(DEADLINE_SECONDS * 1000),
                'priority': 0,
                'service': 'llm',
                'max-attempts': 2,
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
