"""Stand-ins and processes that the scripts of the second review share.

The store, the runners and the clients are plain asyncio programs that speak
the HTTP/1.1 of the users' pages. The product's own processes are started with
the command and the environment of the deploy file, each on a loopback address
of its own.
"""

import asyncio
import contextlib
import json
import os
import random
import secrets
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = 'desk.example'
KEY = 'key-of-the-lab'
TENANT = 'lab'
FRONT, READY, CONTROL = 8625, 8621, 8628
BROKEN, HELD, UNABLE = 1, 0, 2
MAX_HEAD = 65_536
Document = dict[str, Any]
SETTINGS = """\
node-name={name}
role=edge
machine-class=edge
serves=edge,control_plane
ip={ip}
zone={zone}
region=region
{zones}
listen.front={ip}:8625
listen.ready={ip}:8621
listen.control={ip}:8628
port-range=7740,7755
seeds={seeds}
bootstrap={first}
in-tolerance=false
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb={memory}
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=virtual_ip
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault-tolerance.machines=1
fault-tolerance.zones=1
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.stretch-max-ms=5000
bounds.strict-revoke=false
bounds.revoke-ms=5000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack={slack}
bounds.recovery-s=12
bounds.delivery-slack-ms=120
bounds.reuse-window-s=7.3
platform.address={store}
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-retention-s=20
platform.max-value-bytes=1048576
platform.min-ttl-ms=1000
"""


class Record:
    """What was sent, answered and run, which is written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        """Begin a record; its times count from now."""
        self._path = folder / 'record.txt'
        self._began_at = time.monotonic()
        self._lines: list[str] = []

    @property
    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._began_at

    def add(self, event: str, **fields: object) -> None:
        """Add a line with the time of an event."""
        shown = ' '.join(f'{name}={found}' for name, found in fields.items())
        self._lines.append(f'{self.now:8.3f} {event} {shown}'.rstrip())

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text('\n'.join(self._lines) + '\n', encoding='utf-8')


class Message:
    """Head and body of a request or an answer."""

    def __init__(self, line: str, headers: list[tuple[str, str]]) -> None:
        """Build a message without a body."""
        self.line = line
        self.headers = headers
        self.body = b''
        self.complete = True

    def find(self, name: str) -> str:
        """Return the first value of a header, empty when it is absent."""
        for known, found in self.headers:
            if known.lower() == name.lower():
                return found
        return ''

    @property
    def status(self) -> int:
        """Status of an answer, 0 when there is none."""
        parts = self.line.split()
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0

    @property
    def path(self) -> str:
        """Target of a request."""
        return self.line.split()[1]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.line.split()[0]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head.

    :raises EOFError: when the connection ends before.
    """
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *rest = raw.decode('latin-1').strip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in rest)
    return Message(first, [(name, found.strip()) for name, _, found in pairs])


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Read the body that a head announces.

    :raises EOFError: when the connection ends before.
    """
    if head.find('transfer-encoding').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0] or b'0', 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    length = int(head.find('content-length') or 0)
    return await reader.readexactly(length)


def encode(line: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message with the length of its body."""
    lines = [line, *(f'{name}: {found}' for name, found in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Store:
    """The platform's store: objects with revisions, listings and watches.

    :ivar revision: revision of the last change.
    """

    def __init__(self, record: Record) -> None:
        """Build an empty store."""
        self.revision = 1
        self.address = ''
        self._record = record
        self._objects: dict[tuple[str, str], Document] = {}
        self._history: list[tuple[int, str, Document, bool]] = []
        self._changed = asyncio.Event()

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator, a runner or another writer does."""
        self.revision += 1
        known = self._objects.get((kind, name))
        created = known['metadata']['created-at'] if known else self.revision
        entry = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created-at': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = entry
        self._note(kind, entry, deleted=False)

    def beat(self, name: str, entry: Document) -> None:
        """Write a runner's entry, which changes with more than its sequence."""
        known = self._objects.get(('servers', name))
        found = known['spec'] if known else {}
        if {**found, 'sequence': 0} != {**entry, 'sequence': 0}:
            self.put('servers', name, entry)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        entry = self._objects.pop((kind, name), None)
        if entry:
            self.revision += 1
            self._note(kind, entry, deleted=True)

    def _note(self, kind: str, entry: Document, *, deleted: bool) -> None:
        self._history.append((self.revision, kind, entry, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(EOFError, OSError, asyncio.LimitOverrunError):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                status, document = await self._answer(head, body)
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': '1',
                }
                writer.write(
                    encode(
                        f'HTTP/1.1 {status} Status',
                        headers,
                        json.dumps(document).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, head: Message, body: bytes) -> tuple[int, Document]:
        parts = urlsplit(head.path)
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        names = [unquote(part) for part in parts.path.split('/')[3:]]
        kind, name = names[0], names[1] if len(names) > 1 else ''
        if head.method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if head.method == 'GET':
            return self._read(kind, name)
        known = self._objects.get((kind, name))
        document = json.loads(body) if body else {}
        metadata = document.get('metadata', {})
        if head.method == 'POST':
            name = metadata['name']
            known = self._objects.get((kind, name))
            if known:
                return 409, known
            self.put(kind, name, document.get('spec'))
            return 201, self._objects[kind, name]
        if known is None:
            return 404, {}
        asked = metadata.get('revision', query.get('revision'))
        if asked is not None and int(asked) != known['metadata']['revision']:
            return 409, known
        if head.method == 'DELETE':
            self.remove(kind, name)
            return 200, known
        if len(names) > 2:
            known['status'] = document.get('status')
            return 200, known
        if known['spec'] != document.get('spec'):
            self.put(kind, name, document.get('spec'))
        return 200, self._objects[kind, name]

    def _read(self, kind: str, name: str) -> tuple[int, Document]:
        if name:
            known = self._objects.get((kind, name))
            return (200, known) if known else (404, {})
        found = sorted(self._objects.items(), key=lambda one: one[0])
        items = [entry for (one, _), entry in found if one == kind]
        return 200, {
            'items': items,
            'has-more': False,
            'store-revision': self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, Document]:
        after = int(query['watch'])
        until = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        while True:
            changed = self._changed
            events = [
                {'object': entry, 'deleted': deleted}
                for revision, one, entry, deleted in self._history
                if one == kind and revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'store-revision': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


Handler = Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class Runner:
    """A runner of one service, registered in the store.

    :ivar born: Unix millisecond of its start.
    """

    def __init__(
        self, store: Store, service: str, zone: str, handle: Handler
    ) -> None:
        """Build a runner that isn't started.

        :param handle: answers a request whose head was read, and tells whether
            the connection is kept.
        """
        self.name = f'i-{secrets.token_hex(4)}'
        self.address = ''
        self.born = int(time.time() * 1000)
        self.service = service
        self.slots = 8
        self.version = '1.0'
        self.receive_buffer = 0
        self._zone = zone
        self._store = store
        self._handle = handle
        self._sequence = 0
        self._beats: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen, and write the entry at each heartbeat."""
        listener = socket.create_server((ip, 0))
        if self.receive_buffer:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        limit = max(MAX_HEAD, self.receive_buffer)
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=limit
        )
        host, port = listener.getsockname()[:2]
        self.address = f'{host}:{port}'
        self._beats = asyncio.create_task(self._register())

    def leave(self) -> None:
        """Remove the entry; the runner goes on to serve."""
        if self._beats:
            self._beats.cancel()
        self._store.remove('servers', self.name)

    def stop(self) -> None:
        """End without a notice and drop all connections; the entry stays."""
        if self._beats:
            self._beats.cancel()
        self.end()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def start_again(self, seconds: float) -> None:
        """Listen again under the same name and address.

        :param seconds: time until the runner writes its entry.
        """
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_HEAD
        )
        self._sequence = 0
        self._beats = asyncio.create_task(self._register(seconds))

    def end(self) -> None:
        """Accept no more connections, as the runner has ended."""
        if self._server:
            self._server.close()

    def make_entry(self, state: str = 'ready') -> Document:
        """Return the runner's entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self._zone,
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'cold-left-ms': 0,
            'sequence': self._sequence,
            'born': self.born,
        }

    async def _register(self, seconds: float = 0) -> None:
        await asyncio.sleep(seconds)
        while True:
            self._sequence += 1
            self._store.beat(self.name, self.make_entry())
            await asyncio.sleep(1.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        kept = True
        self._writers.add(writer)
        with contextlib.suppress(EOFError, OSError, asyncio.LimitOverrunError):
            while kept:
                head = await read_head(reader)
                expected = head.find('x-expect-instance')
                if expected and expected != self.name:
                    await read_body(reader, head)
                    writer.write(
                        encode(
                            'HTTP/1.1 421 Misdirected Request',
                            {
                                'X-Attempt-Id': head.find('x-attempt-id'),
                                'X-Not-Executed': '1',
                            },
                        )
                    )
                    continue
                kept = await self._handle(head, reader, writer)
        self._writers.discard(writer)
        writer.close()


class Machine:
    """One machine with a process of the product."""

    def __init__(
        self,
        number: int,
        ip: str,
        zone: str,
        store: Store,
        folder: Path,
        seeds: str,
        *,
        memory: int = 300,
        slack: float = 52,
    ) -> None:
        """Build a machine whose process isn't running."""
        self.name = f'edge-{zone}-{number}'
        self.ip = ip
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self._path = folder / f'{self.name}.conf'
        self._log = folder / f'{self.name}.log'
        self._fields = {
            'name': self.name,
            'ip': ip,
            'zone': zone,
            'zones': f'zones.{zone}=region',
            'seeds': seeds,
            'memory': memory,
            'slack': slack,
            'store': store.address,
        }

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        first = str(not self.starts).lower()
        text = SETTINGS.format(**self._fields, first=first)
        self._path.write_text(text, encoding='utf-8')
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        role = next(iter(deploy['roles'].values()))
        command = role['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            **{name: os.environ[name] for name in kept if name in os.environ},
            **role.get('env', {}),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'GALENASWITCH_CONFIG': str(self._path),
        }
        self.starts += 1
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Tell whether the machine reports itself ready."""
        try:
            answer = await call(
                f'{self.ip}:{READY}',
                'GET /api/ready HTTP/1.1',
                {'Host': self.ip},
                seconds=1,
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    def find_memory_mb(self) -> float:
        """Return the memory of the process in MiB, 0 if it ended.

        Pages of files, such as the code of libraries, aren't counted.
        """
        pid = self.process.pid if self.process else 0
        with contextlib.suppress(OSError):
            status = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
            for line in status.splitlines():
                if line.startswith('RssAnon'):
                    return int(line.split()[1]) / 1024
        return 0

    async def stop(self) -> None:
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


async def call(
    address: str,
    line: str,
    headers: dict[str, str],
    body: bytes = b'',
    seconds: float = 10,
) -> Message:
    """Send a request on a new connection and return the answer.

    The answer is marked when the connection ended before it was complete.

    :raises EOFError: when the connection ends before the head.
    """
    ip, _, port = address.rpartition(':')
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(
            ip, int(port), limit=4_194_304
        )
        try:
            writer.write(encode(line, headers, body))
            answer = await read_head(reader)
            try:
                answer.body = await read_body(reader, answer)
            except (EOFError, OSError, ValueError):
                answer.complete = False
            return answer
        finally:
            writer.close()


def make_headers(deadline_ms: int = 5000, **more: str) -> dict[str, str]:
    """Return the headers of a client's request with an id of its own."""
    return {
        'Host': HOST,
        'X-Attempt-Id': secrets.token_hex(8),
        'X-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
        **{name.replace('_', '-'): found for name, found in more.items()},
    }


def make_route(name: str, service: str, kind: str, **more: object) -> Document:
    """Return a route with the path prefix ``/name/``."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 5000,
        'target-latency-ms': 400,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'allow-anonymous': False,
        **more,
    }


def make_configuration(
    version: int,
    routes: list[Document],
    services: list[Document],
) -> Document:
    """Return a configuration of the operator."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'health-path': '/health',
                'max-connections': 270,
                'protocol': 'h1',
                'tls': False,
                **service,
            }
            for service in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 5000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [KEY]}],
    }


class Site:
    """A small deployment: a store, runners and machines."""

    def __init__(self, record: Record, folder: Path) -> None:
        """Build a deployment of which nothing runs."""
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.machines: list[Machine] = []
        self.runners: list[Runner] = []
        self._net = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        self._hosts = 1

    def next_ip(self) -> str:
        """Return another loopback address."""
        self._hosts += 1
        return f'{self._net}.{self._hosts}'

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start(self.next_ip())

    async def add_runner(
        self, service: str, zone: str, handle: Handler, **fields: Any
    ) -> Runner:
        """Start a runner."""
        runner = Runner(self.store, service, zone, handle)
        for name, found in fields.items():
            setattr(runner, name, found)
        await runner.start(self.next_ip())
        self.runners.append(runner)
        return runner

    async def start_machines(self, zones: list[str], **limits: Any) -> None:
        """Start one machine for each entry and wait until all are ready."""
        ips = [self.next_ip() for _ in zones]
        seeds = ','.join(f'{ip}:{CONTROL}' for ip in ips[:3])
        for number, (ip, zone) in enumerate(zip(ips, zones, strict=True)):
            self.machines.append(
                Machine(
                    number, ip, zone, self.store, self.folder, seeds, **limits
                )
            )
        await asyncio.gather(*(one.start() for one in self.machines))
        until = time.monotonic() + 25
        while not all([await one.is_ready() for one in self.machines]):
            if time.monotonic() > until:
                raise RuntimeError('a machine is not ready')
            await asyncio.sleep(0.2)
        self.record.add('ready', machines=len(self.machines))


def run_case(play: Callable[[Site], Awaitable[bool]], folder: Path) -> None:
    """Play a case and exit with its result.

    :param play: returns whether the rule was broken.
    """
    record = Record(folder)
    loop = asyncio.new_event_loop()
    task = loop.create_task(_run(play, record))
    # A script that is told to stop ends its processes, too.
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        result = loop.run_until_complete(task)
    except asyncio.CancelledError:
        result = UNABLE
    # Connections of the stand-ins may be open; nothing waits for their ends.
    os._exit(result)


async def _run(play: Callable[[Site], Awaitable[bool]], record: Record) -> int:
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as name:
        site = Site(record, Path(os.environ.get('CASE_LOGS') or name))
        try:
            async with asyncio.timeout(115):
                await site.start_store()
                is_broken = await play(site)
        except Exception as error:
            record.add('unable', error=repr(error))
            return UNABLE
        finally:
            for machine in site.machines:
                await machine.stop()
            record.write()
    return BROKEN if is_broken else HELD
