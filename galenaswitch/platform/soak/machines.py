"""The processes under test, started, signalled and restarted."""

import asyncio
import os
import signal
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
limits.memory-mb=300
limits.cpu-share=0.6
limits.cores=1
heartbeat-ms=600
bounds.drain-ms=2000
bounds.grace-s={grace}
bounds.config-apply-ms=2000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-slack={slack}
platform.address={store}
"""


class Machine:
    """One machine: its settings, its process, its link to the store."""

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
        """Run at the loopback ``address``, logging into ``folder``."""
        self.number = number
        self.zone = zone
        self.address = address
        self.store = Proxy(lambda: ('', 0))
        self.life = 0
        self._seeds = seeds
        self._settings = folder / f'machine-{number}.conf'
        self._log = folder / f'machine-{number}.log'
        self._records = records
        self._now = now
        self._process: asyncio.subprocess.Process | None = None
        self._expected = False
        self._slack = 50

    @property
    def callers(self) -> str:
        """Address for callers."""
        return f'{self.address}:8001'

    @property
    def readiness(self) -> str:
        """Address for the balancer."""
        return f'{self.address}:8002'

    async def open_store(self, address: tuple[str, int]) -> None:
        """Reach the store through a proxy of its own."""
        self.store = Proxy(lambda: address)
        await self.store.start(self.address)

    async def run(self) -> None:
        """Keep the process running, until cancelled."""
        self._write_settings()
        environment = {
            **os.environ,
            'GALENASWITCH_CONFIG': str(self._settings),
            'GALENA_PEER_SECRET': 'secret of the soak',
        }
        with self._log.open('ab') as log:
            while True:
                self._expected = False
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'galenaswitch.programs.edge',
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
                self.life += 1
                code = await self._process.wait()
                if not self._expected:
                    self._records.notes.append(
                        f'machine {self.number} ended by itself with {code}',
                    )
                await asyncio.sleep(RESTART_SECONDS)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this machine has started."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self._expected = True
        process.send_signal(number)

    async def stop_gracefully(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace."""
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
        """Change the settings file and tell the process."""
        self._slack += 1
        self._write_settings()
        self.signal(signal.SIGHUP)

    def kill(self) -> None:
        """End the process for good."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    def _write_settings(self) -> None:
        text = SETTINGS.format(
            zone=self.zone,
            number=self.number,
            ip=self.address,
            seeds=self._seeds,
            store=self.store.address,
            grace=GRACE_SECONDS,
            slack=self._slack,
        )
        fresh = self._settings.with_suffix('.new')
        fresh.write_text(text, encoding='utf-8')
        fresh.replace(self._settings)
