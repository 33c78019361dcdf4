"""Machines under test: processes that are started, signalled and restarted."""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path

from galenaswitch.platform.soak.proxy import Proxy
from galenaswitch.platform.soak.records import Records

RESTART_SECONDS = 0.3
GRACE_SECONDS = 6
SETTINGS = """\
node-name=edge-{zone}-{number}
role=edge
zone={zone}
ip={ip}
listen.front={ip}:8001
listen.ready={ip}:8002
listen.control={ip}:8003
seeds={seeds}
limits.memory-mb={memory}
limits.max-fds={descriptors}
limits.cpu-share=0.6
limits.cores=1
heartbeat-ms=600
bootstrap={first_start}
bounds.drain-ms=2000
bounds.grace-s={grace}
bounds.config-apply-ms=2000
bounds.evacuate-ms=5000
bounds.retry-budget-ratio={ratio}
bounds.budget-window-s=10
bounds.budget-slack={slack}
platform.address={store}
"""

# Ports of the settings that start with ``listen``.
PORTS = (8001, 8002, 8003)


class Machine:
    """Machine with its settings file, its process and its proxy to the store.

    :ivar start_count: number of times that the process has started.
    :ivar retry_ratio: retries for each request that the settings allow.
    :ivar retry_slack: retries that they allow in addition.
    :ivar memory_mb: most memory of the process in the settings, in MB.
    :ivar max_descriptors: most open descriptors in the settings.
    :ivar inherited: descriptors that the process inherits.
    """

    def __init__(
        self,
        number: int,
        zone: str,
        address: str,
        seeds: str,
        folder: Path,
        records: Records,
        now: Callable[[], float],
    ) -> None:
        """Build a machine whose process isn't running yet.

        :param address: loopback address that the process listens on.
        :param seeds: addresses for peers on other machines.
        :param folder: folder of the settings file and the log.
        :param now: returns the seconds since the start of the soak.
        """
        self.number = number
        self.zone = zone
        self.address = address
        self.store = Proxy(lambda: ('', 0))
        self.start_count = 0
        self._seeds = seeds
        self._settings = folder / f'machine-{number}.conf'
        self._log = folder / f'machine-{number}.log'
        self._records = records
        self._now = now
        self._process: asyncio.subprocess.Process | None = None
        self._exit_expected = False
        self.retry_ratio = 0.2
        self.retry_slack = 50
        self.memory_mb = 300
        self.max_descriptors = 4096
        self.inherited: tuple[int, ...] = ()

    @property
    def callers(self) -> str:
        """Address and port that accept callers' connections."""
        return f'{self.address}:8001'

    @property
    def readiness(self) -> str:
        """Address and port that the balancer probes."""
        return f'{self.address}:8002'

    def check_address(self) -> None:
        """Check that no process of another run has this machine's address.

        :raises OSError: when a port of the machine is in use.
        """
        for port in PORTS:
            socket.create_server((self.address, port)).close()

    async def start_store_proxy(self, address: tuple[str, int]) -> None:
        """Start the machine's own proxy in front of the store.

        :param address: host and port of the store.
        """
        self.store = Proxy(lambda: address)
        await self.store.start(self.address)

    async def run(self) -> None:
        """Start the process, and restart it at each exit until cancelled."""
        environment = {
            **os.environ,
            'GALENASWITCH_CONFIG': str(self._settings),
            'GALENA_PEER_SECRET': 'secret of the soak',
        }
        with self._log.open('ab') as log:
            while True:
                self._exit_expected = False
                self._write_settings()
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'galenaswitch.programs.edge',
                    env=environment,
                    stdout=log,
                    stderr=log,
                    pass_fds=self.inherited,
                )
                self.start_count += 1
                code = await self._process.wait()
                if not self._exit_expected:
                    self._records.violations.append(
                        f'machine {self.number} ended by itself with {code}',
                    )
                await asyncio.sleep(RESTART_SECONDS)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the machine's process if it is running."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self._exit_expected = True
        process.send_signal(number)

    async def stop_gracefully(self) -> None:
        """Send SIGTERM, and SIGKILL when the grace period has passed."""
        process = self._process
        self.signal(signal.SIGTERM)
        if process is None:
            return
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await process.wait()
        except TimeoutError:
            if process.returncode is None:
                process.kill()

    def change_settings(self) -> None:
        """Change the settings file and send SIGHUP to the process."""
        self.retry_slack += 1
        self._write_settings()
        self.signal(signal.SIGHUP)

    def kill(self) -> None:
        """Kill the process, even if it is stopped by SIGSTOP."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    async def wait_ended(self) -> None:
        """Wait until a process that was killed has ended."""
        if self._process:
            await self._process.wait()

    def _write_settings(self) -> None:
        text = SETTINGS.format(
            zone=self.zone,
            number=self.number,
            ip=self.address,
            seeds=self._seeds,
            store=self.store.address,
            grace=GRACE_SECONDS,
            ratio=self.retry_ratio,
            slack=self.retry_slack,
            memory=self.memory_mb,
            descriptors=self.max_descriptors,
            first_start=str(not self.start_count).lower(),
        )
        new_file = self._settings.with_suffix('.new')
        new_file.write_text(text, encoding='utf-8')
        new_file.replace(self._settings)
