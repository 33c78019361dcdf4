"""Stand-ins and processes that the scripts of the review share.

The store is the project's own stand-in. Machines are the program of the deploy
file as separate processes, each behind a proxy of its own to the store.
"""

import asyncio
import contextlib
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

from galenaswitch.platform.soak.store import FakeStore

ROOT = Path(__file__).resolve().parent.parent
CASE_SECONDS = 115
STARTUP_SECONDS = 20
METRICS_PORT = 9464
FRONT_PORT, READY_PORT, CONTROL_PORT = 8001, 8002, 8003
BROKEN, HELD, NOT_RUN = 1, 0, 2
SETTINGS = """\
node-name={name}
role=edge
machine-class=edge
serves=edge,control_plane
ip={ip}
zone={zone}
region=north
listen.front={ip}:8001
listen.ready={ip}:8002
listen.control={ip}:8003
port-range=7740,7755
seeds={seeds}
bootstrap={first_start}
in-tolerance=false
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=virtual_ip
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
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


class CannotRunError(Exception):
    """The case can't run here."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        """Start a new record."""
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()
        self.broken: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def add_broken(self, text: str) -> None:
        """Write that the rule was broken."""
        self.broken.append(text)
        self.write(f'BROKEN {text}')


class Link:
    """Proxy of one machine to the store; it can go silent, as in a cut."""

    def __init__(self, upstream: tuple[str, int]) -> None:
        """Build a proxy that isn't listening yet."""
        self.is_cut = False
        self.watched_at = 0.0
        self.address = ''
        self._upstream = upstream
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, ip, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def cut(self) -> None:
        """Lose all bytes in both directions from now on."""
        self.is_cut = True

    def heal(self) -> None:
        """End the cut; connections that lost bytes are reset."""
        self.is_cut = False
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Close everything."""
        if self._server:
            self._server.close()
        self.heal()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        if self.is_cut:
            with contextlib.suppress(OSError):
                while await reader.read(65536):
                    pass
            writer.close()
            return
        try:
            other_reader, other = await asyncio.open_connection(*self._upstream)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(other)
        try:
            await asyncio.gather(
                self._copy(reader, other, is_request=True),
                self._copy(other_reader, writer, is_request=False),
            )
        finally:
            for one in (writer, other):
                one.close()
                self._writers.discard(one)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        try:
            while chunk := await reader.read(65536):
                if self.is_cut:
                    continue
                if is_request and b'/servers?watch=' in chunk:
                    self.watched_at = time.monotonic()
                writer.write(chunk)
                await writer.drain()
            writer.close()
        except (OSError, RuntimeError):
            writer.transport.abort()


class Machine:
    """Process of the deploy file on one loopback address."""

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        folder: Path,
        link: Link,
        record: Record,
    ) -> None:
        """Build a machine whose process isn't running."""
        self.name, self.zone, self.ip = name, zone, ip
        self.link = link
        self.seeds = ''
        self.process: asyncio.subprocess.Process | None = None
        self._starts = 0
        self.stopped_at: list[float] = []
        self._settings = folder / f'{name}.conf'
        self.log = folder / f'{name}.log'
        self._record = record

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                seeds=self.seeds,
                store=self.link.address,
                first_start=str(not self._starts).lower(),
            ),
            encoding='utf-8',
        )
        self._starts += 1
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['edge']
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= role.get('env', {})
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['GALENASWITCH_CONFIG'] = str(self._settings)
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role['run']),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f'machine {self.name} starts')

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process and self.process.returncode is None:
            self._record.write(f'machine {self.name} gets {number.name}')
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the machine as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, READY_PORT
                )
                writer.write(
                    b'GET /api/ready HTTP/1.1\r\nHost: ready\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class Deployment:
    """Store, machines and runners of one case."""

    def __init__(self, record: Record, folder: Path) -> None:
        """Build a deployment on loopback addresses that nobody uses."""
        self.record = record
        self.store = FakeStore()
        self.machines: list[Machine] = []
        self._folder = folder
        self._network = _find_network()
        self._servers: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._store_address = ('', 0)

    async def start_store(self) -> None:
        """Start the store."""
        self._store_address = await self.serve(self.store.make_application(), 9)

    async def serve(self, app: web.Application, number: int) -> tuple[str, int]:
        """Start an HTTP server and return its address."""
        runner = web.AppRunner(app, handler_cancellation=True)
        await runner.setup()
        self._servers.append(runner)
        site = web.TCPSite(
            runner, f'127.{self._network}.200.{number}', 0, shutdown_timeout=0.1
        )
        await site.start()
        host, port = runner.addresses[0]
        return host, port

    async def start_machines(self, zones: list[str]) -> None:
        """Start one machine for each entry and wait until all are ready."""
        for number, zone in enumerate(zones):
            ip = f'127.{self._network}.1.{number + 1}'
            link = Link(self._store_address)
            await link.start(ip)
            name = f'edge-{zone}-{number + 1}'
            self.machines.append(
                Machine(name, zone, ip, self._folder, link, self.record)
            )
        seeds = ','.join(f'{one.ip}:8003' for one in self.machines[:3])
        for machine in self.machines:
            machine.seeds = seeds
            await machine.start()
        deadline = time.monotonic() + STARTUP_SECONDS
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)
        self.record.write('all machines are ready')

    def start_task(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run something until the end of the case."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def close(self) -> None:
        """End all processes, servers and tasks."""
        for machine in self.machines:
            await machine.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            await machine.link.stop()
        for server in self._servers:
            await server.cleanup()


def _find_network() -> int:
    """Return the second number of addresses on which no port is in use."""
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT)
    for network in random.sample(range(20, 250), 40):
        try:
            for port in ports:
                for number in (1, 2, 3, 4, 5, 6):
                    host = f'127.{network}.1.{number}'
                    socket.create_server((host, port)).close()
        except OSError:
            continue
        return network
    raise CannotRunError('no free loopback addresses')


Case = Callable[[Deployment, bool], Awaitable[None]]


def run_case(script: str, case: Case) -> None:
    """Run a case and exit with its result.

    :param script: file of the case, beside which ``record.txt`` is written.
    :param case: plays the case; the flag tells whether with the disruption.
    """
    record = Record(Path(script).resolve().parent / 'record.txt')
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'TROUBLE={int(is_troubled)}')
    code = asyncio.run(_run(record, case, is_troubled))
    record.write(f'exit {code}')
    print(f'exit {code}: {len(record.broken)} broken')
    for line in record.broken[:5]:
        print(f'  {line}')
    sys.exit(code)


async def _play(deployment: Deployment, case: Case, is_troubled: bool) -> None:
    async with asyncio.timeout(CASE_SECONDS):
        await case(deployment, is_troubled)


async def _run(record: Record, case: Case, is_troubled: bool) -> int:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(record, Path(folder))
        task = asyncio.ensure_future(_play(deployment, case, is_troubled))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await task
        except (Exception, asyncio.CancelledError) as error:
            record.write(f'the case could not run: {error!r}')
            print(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            await deployment.close()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                Path(keep).mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob('*.log'):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    return BROKEN if record.broken else HELD
