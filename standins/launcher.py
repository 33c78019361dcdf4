"""Launcher that runs a whole deployment as processes on loopback.

The demo, the fault tests and the bench use the launcher. No program of
galenaswitch starts another program.
"""

import asyncio
import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from galenaswitch.contracts.documents import hash_token
from standins.plans import Plan
from standins.ports import PortPool

PEER_SECRET = 'a-secret-of-the-deployment'
OPERATOR_TOKEN = 'operator-token'
READER_TOKEN = 'reader-token'
START_TIMEOUT_SECONDS = 30
STOP_TIMEOUT_SECONDS = 30
POLL_INTERVAL_SECONDS = 0.05


class Node(NamedTuple):
    """Entry VM of a deployment.

    :param control: port on which its control process listens.
    :param listed_port: control port in the platform's list of machines; the
        fake network between zones forwards it to ``control``.
    :param callers: HTTP port for callers.
    """

    name: str
    zone: str
    address: str
    control: int
    listed_port: int
    callers: int

    @property
    def url(self) -> str:
        """Base URL of the entry VM for callers."""
        return f'http://{self.address}:{self.callers}'


class Deployment:
    """Running processes of a deployment, with their URLs and logs.

    :ivar revision: revision of the last published membership list.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Build a deployment with its INI files and logs in ``folder``."""
        self.plan = plan
        self.folder = folder
        self.nodes: dict[str, Node] = {}
        self.targets: dict[str, dict[str, Any]] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.commands: dict[str, list[str]] = {}
        self.urls: dict[str, str] = {}
        self.revision = 0
        self._ports = PortPool()
        self.http: aiohttp.ClientSession

    async def __aenter__(self) -> 'Deployment':
        """Start all processes and wait until they serve."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all processes."""
        await self.stop()

    async def start(self) -> None:
        """Start the fake servers, then the programs of galenaswitch."""
        self._plan_nodes()
        self._run_platform()
        self._run_targets()
        await self.wait_http(f'{self.urls["platform"]}/control/state')
        await self.publish_members()
        for node in self.nodes.values():
            self._write_settings(node)
            self.run_node(node.name)
        self._run_admin()
        self._run_balancer()
        await self.wait_http(f'{self.urls["admin"]}/v1/status', 401)
        for target in self.targets.values():
            await self.wait_http(f'{target["url"]}/load')

    async def stop(self) -> None:
        """Stop all processes with SIGTERM; kill the late ones."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for name in list(self.processes):
            await self.wait_exit(name, deadline)
        self._ports.release()
        await self.http.close()

    def run_node(self, name: str) -> None:
        """Start the control and entry processes of an entry VM."""
        for program in ('control', 'entry'):
            path = self.folder / f'{name}-{program}.ini'
            self.run(
                f'{program}-{name}',
                [
                    '-m',
                    f'galenaswitch.programs.{program}',
                    '--settings',
                    str(path),
                ],
            )

    def run(self, name: str, arguments: list[str]) -> None:
        """Start one Python process that appends its output to a log file."""
        self.commands[name] = arguments
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the deployment."""
        self.processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self.send_signal(name, signal.SIGKILL)
        await self.wait_exit(name, time.monotonic() + STOP_TIMEOUT_SECONDS)

    async def wait_exit(self, name: str, deadline: float) -> int:
        """Wait for a process and return its exit code.

        A process that still runs at ``deadline`` is killed.
        """
        process = self.processes[name]
        while process.poll() is None:
            if time.monotonic() > deadline:
                process.kill()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return process.returncode

    async def wait_http(self, url: str, status: int = 200) -> None:
        """Wait until a GET of a URL answers with this status."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if await self._fetch_status(url) == status:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        raise TimeoutError(f'{url} did not answer {status}')

    async def wait_log(self, name: str, event: str, times: int) -> None:
        """Wait until a process logs an event this many more times."""
        path = self.folder / f'{name}.log'
        start_size = path.stat().st_size if path.exists() else 0
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while path.read_bytes()[start_size:].count(event.encode()) < times:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_ready(self) -> None:
        """Wait until all running entry VMs and the balancer are ready."""
        for node in self.nodes.values():
            if self.processes[f'entry-{node.name}'].poll() is None:
                await self.wait_http(f'{node.url}/health/ready')
        await self.wait_http(f'{self.urls["balancer"]}/health/ready')

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a fake server through its control API."""
        url = f'{self.urls[name]}/control/faults'
        async with self.http.put(url, json=faults) as answer:
            answer.raise_for_status()

    async def fetch(self, url: str) -> Any:
        """Fetch the JSON document at a URL."""
        async with self.http.get(url) as answer:
            return await answer.json()

    async def admin(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        **options: Any,
    ) -> tuple[int, Any]:
        """Call the operators' API; return the HTTP status and document."""
        sent = {'Authorization': f'Bearer {OPERATOR_TOKEN}', **(headers or {})}
        async with self.http.request(
            method,
            f'{self.urls["admin"]}{path}',
            headers=sent,
            **options,
        ) as answer:
            return answer.status, await answer.json()

    async def create(self, kind: str, document: dict[str, Any]) -> int:
        """Create a contract or pipeline; return the version of the object."""
        name = document.get('workspace') or document['name']
        status, found = await self.admin(
            'PUT',
            f'/v1/{kind}/{name}',
            {'If-None-Match': '*'},
            json=document,
        )
        if status != 200:
            raise ValueError(f'cannot create {kind}/{name}: {found}')
        version: int = found['version']
        return version

    async def publish_members(self) -> None:
        """Publish the current machines and targets as the platform's list."""
        self.revision += 1
        machines = [
            {
                'name': node.name,
                'zone': node.zone,
                'address': node.address,
                'port': node.listed_port,
            }
            for node in self.nodes.values()
        ]
        document = {
            'revision': self.revision,
            'machines': machines,
            'targets': list(self.targets.values()),
        }
        url = f'{self.urls["platform"]}/control/lists'
        async with self.http.put(url, json=document) as answer:
            answer.raise_for_status()

    def _plan_nodes(self) -> None:
        for zone_number, zone in enumerate(self.plan.zones, start=1):
            for number in range(1, self.plan.entries_per_zone + 1):
                name = f'{zone}-{number}'
                self.nodes[name] = Node(
                    name,
                    zone,
                    f'127.0.{zone_number}.{number}',
                    self._ports.reserve(),
                    self._ports.reserve(),
                    self._ports.reserve(),
                )

    def _run_platform(self) -> None:
        port, cut = self._ports.reserve(), self._ports.reserve()
        self.urls['platform'] = f'http://127.0.0.1:{port}'
        self.urls['cut'] = f'http://127.0.0.1:{cut}'
        self.run('platform', ['-m', 'standins.platform', str(port)])
        zones = {
            str(zone_number): zone
            for zone_number, zone in enumerate(self.plan.zones, start=1)
        }
        routes: list[dict[str, Any]] = [
            {
                'listen': (node.address, node.listed_port),
                'to': (node.address, node.control),
                'zone': node.zone,
                'zones': zones,
            }
            for node in self.nodes.values()
        ]
        for zone_number, zone in zones.items():
            store_port = self._ports.reserve()
            self.urls[f'store-{zone}'] = (
                f'http://127.0.{zone_number}.250:{store_port}'
            )
            routes.append(
                {
                    'listen': (f'127.0.{zone_number}.250', store_port),
                    'to': ('127.0.0.1', port),
                    'zone': 'platform',
                    'zones': zones,
                },
            )
        self.run('cut', ['-m', 'standins.cut', str(cut), json.dumps(routes)])

    def _run_targets(self) -> None:
        for number, engine in enumerate(self.plan.engines, start=1):
            name = f'engine-{number}'
            setup = {
                'models': engine.models,
                'shape': engine.shape,
                'checks': engine.checks,
            }
            self._add_target(name, engine.zone, engine.pool)
            self.targets[name].update(
                models=engine.models,
                checks_fencing=engine.checks,
                capacity=engine.shape.get('slots', 8),
            )
            self._run_target(name, 'engine', [json.dumps(setup)])
        for number, worker in enumerate(self.plan.workers, start=1):
            name = f'{worker.pool}-{number}'
            self._add_target(name, worker.zone, worker.pool)
            self.targets[name]['capacity'] = worker.capacity
            self._run_target(
                name,
                'worker',
                [str(worker.capacity), str(worker.seconds)],
            )

    def _add_target(self, name: str, zone: str, pool: str) -> None:
        url = f'http://127.0.0.1:{self._ports.reserve()}'
        self.urls[name] = url
        self.targets[name] = {
            'name': name,
            'incarnation': f'{name}-1',
            'zone': zone,
            'pool': pool,
            'url': url,
        }

    def _run_target(
        self, name: str, kind: str, extra_arguments: list[str]
    ) -> None:
        target = self.targets[name]
        port = target['url'].rpartition(':')[2]
        self.run(
            name,
            [
                '-m',
                f'standins.{kind}',
                port,
                target['incarnation'],
                *extra_arguments,
            ],
        )

    def _write_settings(self, node: Node) -> None:
        common = (
            f'[node]\nname={node.name}\nzone={node.zone}\n'
            f'address={node.address}\n'
            f'[peers]\nsecret={PEER_SECRET}\nport={node.control}\n'
        )
        store = f'[store]\nurl={self.urls[f"store-{node.zone}"]}\nseconds=1\n'
        callers = f'[callers]\nport={node.callers}\ndrain_seconds=1.5\n'
        texts = {'control': common + store, 'entry': common + callers}
        for program, text in texts.items():
            extra_settings = self.plan.settings.get(program, '')
            path = self.folder / f'{node.name}-{program}.ini'
            path.write_text(text + extra_settings, encoding='utf-8')

    def _run_admin(self) -> None:
        port = self._ports.reserve()
        self.urls['admin'] = f'http://127.0.0.1:{port}'
        path = self.folder / 'admin.ini'
        path.write_text(
            '[node]\nname=admin\nzone=platform\n'
            f'[peers]\nsecret={PEER_SECRET}\nport=1\n'
            f'[store]\nurl={self.urls["platform"]}\n'
            f'[api]\nport={port}\n'
            f'[operators]\nwrite={hash_token(OPERATOR_TOKEN)}\n'
            f'read={hash_token(READER_TOKEN)}\n',
            encoding='utf-8',
        )
        control = self.folder / 'galenactl.ini'
        control.write_text(
            f'[admin]\nurl={self.urls["admin"]}\ntoken={OPERATOR_TOKEN}\n',
            encoding='utf-8',
        )
        self.run(
            'admin',
            ['-m', 'galenaswitch.programs.admin', '--settings', str(path)],
        )

    def _run_balancer(self) -> None:
        port = self._ports.reserve()
        self.urls['balancer'] = f'http://127.0.0.1:{port}'
        backends = [
            (node.address, node.callers) for node in self.nodes.values()
        ]
        self.run(
            'balancer',
            ['-m', 'standins.balancer', str(port), json.dumps(backends)],
        )

    async def _fetch_status(self, url: str) -> int:
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with self.http.get(url, timeout=timeout) as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
