"""Stand-ins and helpers of the cases 11 to 15: standard library only.

A case starts edge processes with the command of the deploy file, each at a
loopback address of its own, beside a store, runners and callers of this module.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KEY = 'key-of-the-lab'
HOST = 'lab.example'
PORTS = {'front': 8001, 'ready': 8002, 'control': 8003, 'metrics': 9464}
MEBIBYTE = 1_048_576
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Characters of an id that are recorded, its last ones.
SHOWN = 32
SETTINGS = """\
node-name={name}
role=edge
machine-class=edge
serves=edge,control_plane
ip={ip}
zone={zone}
region=north
zones.{zone}=north
listen.front={ip}:8001
listen.ready={ip}:8002
listen.control={ip}:8003
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
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
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
bounds.budget-slack=52
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


class NotRunError(Exception):
    """The case could not be run."""


class Call(NamedTuple):
    """A request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Record:
    """What was sent, answered and run, with the time of each line."""

    def __init__(self, folder: Path) -> None:
        """Open the record of a case."""
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start

    def write(self, line: str, *, show: bool = False) -> None:
        """Add a line, and print it if it is a result."""
        self._file.write(f'{self.now():8.3f} {line}\n')
        self._file.flush()
        if show:
            print(line, flush=True)


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Read one request; ``None`` when the connection has ended."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        name, _, field = line.partition(':')
        if name:
            headers[name.strip().lower()] = field.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Call(method, target, headers, body)


def make_answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b''
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {field}' for name, field in (headers or {}).items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def make_json(status: int, document: Any) -> bytes:
    """Return the bytes of a JSON answer of the store, in its first era."""
    return make_answer(
        status,
        {'Content-Type': 'application/json', 'Store-Era': '1'},
        json.dumps(document).encode(),
    )


class Server:
    """HTTP server of a stand-in; one task for each connection."""

    def __init__(self) -> None:
        """Build a server that isn't listening yet."""
        self.address = ''
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._accept, ip, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # A cancelled connection ends with its server.
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        while call := await read_call(reader):
            writer.write(await self.answer(call))
            await writer.drain()

    async def answer(self, call: Call) -> bytes:
        """Return the answer to a request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, and watches."""

    def __init__(self) -> None:
        """Build a store without objects."""
        super().__init__()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object and return it."""
        before = self.objects.get((kind, name))
        if before and before['spec'] == spec:
            return before
        self.revision += 1
        entry = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created-at': 9,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind, name] = entry
        self._note(kind, entry, deleted=False)
        return entry

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        entry = self.objects.pop((kind, name), None)
        if entry:
            self.revision += 1
            self._note(kind, entry, deleted=True)

    def names(self, kind: str) -> set[str]:
        """Return the names of all objects of a kind."""
        return {name for found, name in self.objects if found == kind}

    def _note(self, kind: str, entry: dict[str, Any], *, deleted: bool) -> None:
        self._history.append((self.revision, kind, entry, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, call: Call) -> bytes:
        """Answer a call as the page on the protocol says."""
        path, _, text = call.target.partition('?')
        query = dict(
            part.split('=', 1) for part in text.split('&') if '=' in part
        )
        kind, _, name = path.removeprefix('/api/objects/').partition('/')
        if call.method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if call.method == 'GET':
            return self._list(kind, query)
        if call.method == 'DELETE':
            return self._delete(kind, name, query)
        return self._write(call, kind)

    def _list(self, kind: str, query: dict[str, str]) -> bytes:
        items = [
            entry
            for (found, name), entry in sorted(self.objects.items())
            if found == kind and name > query.get('after', '')
        ]
        return make_json(
            200,
            {
                'items': items,
                'has-more': False,
                'store-revision': self.revision,
            },
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        after = int(query['watch'])
        end = time.monotonic() + int(query['wait-ms']) / 1000
        while True:
            changed = self._changed
            events = [
                {'object': entry, 'deleted': deleted}
                for revision, found, entry, deleted in self._history
                if found == kind and revision > after
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return make_json(
                    200, {'events': events, 'store-revision': self.revision}
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def _delete(self, kind: str, name: str, query: dict[str, str]) -> bytes:
        entry = self.objects.get((kind, name))
        if entry is None:
            return make_json(404, {})
        expected = query.get('revision')
        if expected and int(expected) != entry['metadata']['revision']:
            return make_json(409, entry)
        self.remove(kind, name)
        return make_json(200, {})

    def _write(self, call: Call, kind: str) -> bytes:
        document = json.loads(call.body)
        name = document['metadata']['name']
        expected = document['metadata'].get('revision')
        entry = self.objects.get((kind, name))
        if call.method == 'POST' and entry:
            return make_json(409, entry)
        if call.method == 'PUT' and entry is None:
            return make_json(404, {})
        if expected and entry and expected != entry['metadata']['revision']:
            return make_json(409, entry)
        return make_json(200, self.put(kind, name, document['spec']))


class Runner(Server):
    """A runner that registers itself, echoes ids and runs all it gets.

    :ivar on_run: makes the answer to a request of a caller; by default it is
        200 with the seal.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        slots: int = 64,
        born: int = 0,
    ) -> None:
        """Build a runner of a service."""
        super().__init__()
        self.name = f'i-{random.randbytes(4).hex()}'
        self.service = service
        self.slots = slots
        self.running = 0
        self.ran: list[tuple[float, str]] = []
        self.arrived: list[tuple[float, str]] = []
        self.on_run: Callable[[Call], Awaitable[bytes]] = self.run
        self._store = store
        self._record = record
        self._born = born or int(time.time() * 1000)
        self._sequence = 0
        self._made = 0

    def register(self, zone: str, state: str = 'ready') -> None:
        """Write the entry in the store."""
        self._sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold-left-ms': 0,
            'sequence': self._sequence,
            'born': self._born,
        }
        self._store.put('servers', self.name, entry)

    def seal(self, call: Call) -> dict[str, str]:
        """Return the headers of an answer of this runner."""
        return {
            'X-Attempt-Id': call.headers.get('x-attempt-id', ''),
            'X-Server-Seal': f'{self.name}.{random.randbytes(4).hex()}',
        }

    async def answer(self, call: Call) -> bytes:
        """Answer a request if it is meant for this runner."""
        expected = call.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            return make_answer(
                421,
                {
                    'X-Instance-Id': self.name,
                    'X-Attempt-Id': call.headers.get('x-attempt-id', ''),
                },
            )
        if call.target == '/health':
            return make_answer(200, {'X-Instance-Id': self.name})
        if call.target == '/api/report':
            return make_json(200, {'waiting': 0, 'busy': False, 'free-mb': 64})
        if call.target == '/api/stage-free':
            return make_answer(200)
        if call.target == '/api/stage-run':
            return await self._run_pieces(call)
        ident = call.headers.get('x-attempt-id', '')[-SHOWN:]
        self.arrived.append((self._record.now(), ident))
        return await self.on_run(call)

    async def run(self, call: Call) -> bytes:
        """Run a request and answer it with its id."""
        ident = call.headers.get('x-attempt-id', '')
        self.note_run(ident)
        await asyncio.sleep(0.02)
        return make_answer(200, self.seal(call), f'ran {ident}'.encode())

    def note_run(self, ident: str) -> None:
        """Record that this runner begins to work on a request."""
        self.ran.append((self._record.now(), ident))
        self._record.write(f'run {ident} at {self.service} {self.name}')

    async def _run_pieces(self, call: Call) -> bytes:
        items = json.loads(call.body)['items']
        self._record.write(f'{len(items)} pieces at {self.service} {self.name}')
        await asyncio.sleep(0.05 + 0.01 * len(items))
        made = []
        for _ in items:
            self._made += 1
            made.append({'handle': f'{self.address}/{self._made:x}'})
        body = json.dumps({'items': made}).encode()
        headers = {
            'Content-Type': 'application/json',
            'X-Server-Load': f'0,0,{self.slots}',
        }
        return make_answer(200, headers, body)


class ModelRunner(Runner):
    """Model runner that takes the time of a sheet and streams one event.

    It reads prompts one after another, and keeps none of their parts.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        step_ms: float,
        tokens_per_ms: float,
    ) -> None:
        """Build a model runner of a service.

        :param step_ms: time of the step that makes the event.
        :param tokens_per_ms: prompt tokens that are read in a millisecond.
        """
        super().__init__(store, record, service)
        self.on_run = self.stream
        self._step_seconds = step_ms / 1000
        self._tokens_per_second = tokens_per_ms * 1000
        self._reading = asyncio.Lock()

    async def stream(self, call: Call) -> bytes:
        """Run a request for a stream and answer it with one event."""
        ident = call.headers.get('x-attempt-id', '')[-SHOWN:]
        tokens = int(call.headers['x-token-usage'].partition(',')[0])
        async with self._reading:
            await asyncio.sleep(tokens / self._tokens_per_second)
        self.note_run(ident)
        await asyncio.sleep(self._step_seconds)
        event = b'id: 1\ndata: %b\n\n' % call.body
        headers = {**self.seal(call), 'Content-Type': 'text/event-stream'}
        return make_answer(200, headers, event)


class Edge:
    """Process of an edge machine; the platform restarts it when it ends.

    :ivar ends: how the process has ended by itself, or by its memory.
    """

    def __init__(
        self,
        ip: str,
        number: int,
        zone: str,
        folder: Path,
        record: Record,
        memory_mb: int = 300,
    ) -> None:
        """Build a machine whose process isn't running yet."""
        self.ip = ip
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        self.memory_mb = memory_mb
        self.peak_mb = 0.0
        self.ends: list[str] = []
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder
        self._record = record
        self._stopping = False
        self._killed = False
        self._settings = ''
        self._watch: asyncio.Task[None] | None = None

    def start(self, store: str, seeds: list[str]) -> None:
        """Start the process with the command of the deploy file."""
        path = self._folder / f'{self.name}.conf'
        self._settings = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=','.join(f'{seed}:8003' for seed in seeds),
            memory=self.memory_mb,
            store=store,
            first='{first}',
        )
        self._spawn(path, 'true')
        self._watch = asyncio.create_task(self._watch_process(path))

    def _spawn(self, path: Path, first: str) -> None:
        """Start the process; ``bootstrap`` is true at its first start only."""
        path.write_text(self._settings.format(first=first), encoding='utf-8')
        deploy = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )['roles']['edge']
        command = deploy['run'].split()
        command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= deploy['env']
        environment['GALENASWITCH_CONFIG'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._killed = False

    async def _watch_process(self, path: Path) -> None:
        """End a process over its memory, as DEPLOY.md says, and restart it."""
        while not self._stopping:
            process = self.process
            assert process
            memory = read_memory_mb(process.pid)
            self.peak_mb = max(self.peak_mb, memory)
            if memory > self.memory_mb and process.poll() is None:
                self._note_end(f'over its memory: {memory:.0f} MB')
                self._killed = True
                process.kill()
                process.wait()
            if process.poll() is not None:
                if not self._killed:
                    self._note_end(f'by itself: {process.returncode}')
                await asyncio.sleep(0.5)
                if not self._stopping:
                    self._spawn(path, 'false')
            await asyncio.sleep(0.01)

    def _note_end(self, how: str) -> None:
        self.ends.append(how)
        self._record.write(f'{self.name} ended {how}', show=True)

    def kill(self) -> None:
        """Kill the process, which the platform starts again."""
        self._record.write(f'kill {self.name}')
        if self.process:
            self._killed = True
            self.process.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """End the process for good."""
        self._stopping = True
        if self._watch:
            self._watch.cancel()
            await asyncio.gather(self._watch, return_exceptions=True)
        if self.process:
            self.process.kill()
            self.process.wait()

    async def is_ready(self, seconds: float = 1.0) -> bool:
        """Ask the process whether it is ready, as the platform does."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(self.ip, 8002)
                try:
                    writer.write(b'GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n')
                    return b' 200 ' in await reader.readline()
                finally:
                    writer.close()
        return False

    async def wait_ready(self, seconds: float = 25) -> None:
        """Wait until the process is ready."""
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end:
                raise NotRunError(f'{self.name} is not ready')
            await asyncio.sleep(0.1)


def read_memory_mb(pid: int) -> float:
    """Return the memory of a process in MB of 1,048,576 bytes.

    Pages of files that are mapped, as programs and libraries, don't count.
    """
    with contextlib.suppress(OSError, IndexError, ValueError):
        text = Path(f'/proc/{pid}/statm').read_text(encoding='ascii')
        resident, shared = map(int, text.split()[1:3])
        return (resident - shared) * os.sysconf('SC_PAGE_SIZE') / MEBIBYTE
    return 0.0


def find_network(machines: int) -> list[str]:
    """Return free loopback addresses: of the stand-ins, then of machines."""
    for _ in range(50):
        part = f'127.{random.randint(40, 230)}.{random.randint(1, 250)}'
        addresses = [f'{part}.{number}' for number in range(1, machines + 2)]
        with contextlib.suppress(OSError):
            for ip in addresses:
                for port in PORTS.values():
                    with socket.create_server((ip, port)):
                        pass
            return addresses
    raise NotRunError('no free addresses')


def make_route(
    name: str, service: str, kind: str, **fields: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 6000,
        'target-latency-ms': 1900,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'stages': [],
        'allow-anonymous': False,
        'sticky-sessions': kind == 'streaming',
        'stream-resume': False,
        'target-itl-ms': 300,
        **fields,
    }


def make_configuration(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the operator's first configuration."""
    return {
        'version': 7,
        'routes': routes,
        'services': services,
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'lab', 'api-keys': [KEY], 'priority': 1}],
    }


def make_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service of the configuration."""
    return {
        'name': name,
        'health-path': '/health',
        'max-connections': 370,
        'protocol': 'h1',
        'tls': False,
        **fields,
    }


def make_engine_service(name: str, tokens: int = 232000) -> dict[str, Any]:
    """Return a service of model runners."""
    return make_service(
        name,
        engine={
            'slots': 64,
            'kv-capacity-tokens': tokens,
            'kv-token-bytes': 327680,
            'link-mbps': 740000.0,
        },
    )


def make_stage_service(name: str) -> dict[str, Any]:
    """Return a service that produces pieces."""
    return make_service(
        name,
        pieces={
            'slots': 1,
            'queue': 2,
            'batch': 8,
            'call-overhead-ms': 50.0,
            'item-time-ms': 10.0,
            'headroom-mb': 18.0,
            'handle-s': 4.0,
            'link-mbps': 10000,
        },
    )


def make_request(
    ident: str,
    path: str,
    body: bytes = b'',
    *,
    method: str = 'POST',
    deadline_ms: int = 6000,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a caller's request."""
    fields = {
        'Host': HOST,
        'X-Attempt-Id': ident,
        'X-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
        **(headers or {}),
    }
    if body or method == 'POST':
        fields['Content-Length'] = str(len(body))
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {field}' for name, field in fields.items())
    return '\r\n'.join((*lines, '', '')).encode() + body


class Reply(NamedTuple):
    """What a caller got: status 0 when the connection ended without one."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one final answer, whose body has a length or is chunked.

    :raises ValueError: when the bytes are no answer in the protocol.
    """
    while True:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        if not lines[0].startswith('HTTP/1.1 '):
            raise ValueError(f'no status line: {lines[0]!r}')
        status = int(lines[0].split(' ')[1])
        if status >= 200:
            break
    headers = {}
    for line in lines[1:]:
        name, _, field = line.partition(':')
        if name:
            headers[name.lower()] = field.strip()
    if headers.get('transfer-encoding') == 'chunked':
        return Reply(status, headers, await read_chunks(reader))
    length = int(headers.get('content-length', '0'))
    return Reply(status, headers, await reader.readexactly(length))


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body.

    :raises ValueError: when the bytes are no chunk.
    """
    body = b''
    while True:
        line = await reader.readline()
        if not line.endswith(b'\r\n'):
            raise asyncio.IncompleteReadError(line, None)
        try:
            size = int(line.strip(), 16)
        except ValueError:
            raise ValueError(f'no chunk: {line!r}') from None
        chunk = await reader.readexactly(size + 2)
        if not chunk.endswith(b'\r\n'):
            raise ValueError(f'no end of a chunk: {chunk[-20:]!r}')
        if not size:
            return body
        body += chunk[:-2]


async def send(ip: str, request: bytes, seconds: float = 8) -> Reply:
    """Send a request on a new connection and return its answer."""
    reader = writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, 8001)
            writer.write(request)
            return await read_reply(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Reply(0, {}, b'')
    finally:
        if writer:
            writer.close()


class Deployment:
    """Store, runners and machines of one case."""

    def __init__(self, case: Path, machines: int, memory_mb: int = 300) -> None:
        """Build a deployment; nothing runs yet."""
        self.record = Record(case)
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record.write(f'TROUBLE={int(self.trouble)}', show=True)
        addresses = find_network(machines)
        self.own = addresses[0]
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store()
        self.runners: list[Runner] = []
        self.edges = [
            Edge(ip, number, 'perth', self.folder, self.record, memory_mb)
            for number, ip in enumerate(addresses[1:], start=1)
        ]

    async def add_runner(
        self, service: str, slots: int = 64, runner: Runner | None = None
    ) -> Runner:
        """Start a runner and let it register itself."""
        runner = runner or Runner(self.store, self.record, service, slots)
        await runner.start(self.own)
        runner.register('perth')
        self.runners.append(runner)
        return runner

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store and all machines, and wait until they are ready."""
        await self.store.start(self.own)
        self.store.put('config', 'main', configuration)
        seeds = [edge.ip for edge in self.edges[:3]]
        for edge in self.edges:
            edge.start(self.store.address, seeds)
        for edge in self.edges:
            await edge.wait_ready()
        self.record.write('all machines are ready')

    async def stop(self) -> None:
        """End all that was started."""
        for edge in self.edges:
            await edge.stop()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            for log in sorted(self.folder.glob('*.log')):
                print(log.name, log.read_text(encoding='utf-8')[-6000:])
        self._temporary.cleanup()


def run_case(
    play: Callable[[Path], Awaitable[int]], case: Path, seconds: float = 110
) -> None:
    """Run a case and exit with its result."""

    async def bounded() -> int:
        async with asyncio.timeout(seconds):
            return await play(case)

    try:
        code = asyncio.run(bounded())
    except (NotRunError, TimeoutError, OSError) as error:
        print(f'the case could not run: {type(error).__name__} {error}')
        code = NOT_RUN
    print({BROKEN: 'rule broken', HELD: 'rule held'}.get(code, 'not run'))
    sys.exit(code)
