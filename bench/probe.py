"""Measurement of the resources that the processes of a run use."""

import asyncio
from collections import Counter
from typing import Any

import psutil

from standins.launcher import Deployment


def count_bytes(traffic: dict[str, int]) -> int:
    """Return the number of bytes that a control process sent and received.

    >>> count_bytes({'sent': 2, 'received': 3, 'unknown_messages': 1})
    5
    """
    return traffic.get('sent', 0) + traffic.get('received', 0)


class UsageProbe:
    """Measures CPU time, memory, store calls, traffic and cost of a run."""

    def __init__(self, deployment: Deployment, seconds: float) -> None:
        """Build a probe for a run of about ``seconds``; read CPU times."""
        self._deployment = deployment
        self._seconds = seconds
        self._start_cpu_seconds = self._read_cpu_seconds()
        self._start_traffic: dict[str, Counter[str]] = {}
        self._start_costs: Counter[str] = Counter()
        self._start_calls: dict[str, int] = {}
        psutil.cpu_percent()

    async def begin(self) -> None:
        """Read the start values of store calls, control traffic and cost."""
        self._start_calls = await self._read_calls()
        self._start_traffic = await self._read_traffic()
        self._start_costs = await self._read_costs()

    async def finish(self) -> dict[str, Any]:
        """Return the resources used since the start."""
        cores = self._find_core_shares()
        machine = psutil.cpu_percent()
        return {
            'machine_cpu': machine,
            'void': machine > 85,
            'cores_by_program': cores,
            'memory_mb_by_program': self._read_memory_mb(),
            'hit_share': await self._find_hit_share(),
            'store_calls': await self._find_store_call_rates(),
            **await self._find_control_traffic(),
            'cost': dict(await self._read_costs() - self._start_costs),
        }

    def _read_cpu_seconds(self) -> dict[str, float]:
        found = {}
        for name, process in self._deployment.processes.items():
            if process.poll() is None:
                times = psutil.Process(process.pid).cpu_times()
                found[name] = times.user + times.system
        return found

    def _find_core_shares(self) -> dict[str, float]:
        """Return the cores that the busiest process of each program uses."""
        largest: dict[str, float] = {}
        for name, cpu_seconds in self._read_cpu_seconds().items():
            kind = name.partition('-')[0]
            used = (
                cpu_seconds - self._start_cpu_seconds.get(name, cpu_seconds)
            ) / self._seconds
            largest[kind] = round(max(largest.get(kind, 0), used), 4)
        return largest

    def _read_memory_mb(self) -> dict[str, float]:
        largest: dict[str, float] = {}
        for name, process in self._deployment.processes.items():
            if process.poll() is None:
                size = psutil.Process(process.pid).memory_info().rss / 1e6
                kind = name.partition('-')[0]
                largest[kind] = round(max(largest.get(kind, 0), size), 1)
        return largest

    async def _find_hit_share(self) -> float:
        hit, asked = 0, 0
        for name, process in self._deployment.processes.items():
            if name.startswith('engine') and process.poll() is None:
                counts = await self._read_engine_counts(name)
                hit += counts.get('blocks_hit', 0)
                asked += counts.get('blocks_asked', 0)
        return round(hit / max(asked, 1), 4)

    async def _read_engine_counts(self, name: str) -> dict[str, int]:
        url = f'{self._deployment.urls[name]}/control/counts'
        try:
            async with asyncio.timeout(1):
                found: dict[str, int] = await self._deployment.fetch(url)
        except OSError:
            return {}
        return found

    async def _find_store_call_rates(self) -> dict[str, float]:
        return {
            call_kind: round(
                (count - self._start_calls.get(call_kind, 0)) / self._seconds,
                2,
            )
            for call_kind, count in (await self._read_calls()).items()
        }

    async def _find_control_traffic(self) -> dict[str, Any]:
        """Return the traffic of the busiest control process.

        The figures are bytes per second in both directions, and bytes sent
        per second by message type.
        """
        traffic = await self._read_traffic()
        used = [
            traffic[node] - self._start_traffic.get(node, Counter())
            for node in traffic
        ]
        busiest = max(used, key=count_bytes, default=Counter[str]())
        return {
            'control_bytes_a_second': round(
                count_bytes(busiest) / self._seconds,
                1,
            ),
            'control_sent_by_message': {
                name: round(amount / self._seconds, 1)
                for name, amount in busiest.most_common()
                if name.startswith('sent.')
            },
        }

    async def _read_calls(self) -> dict[str, int]:
        url = f'{self._deployment.urls["platform"]}/control/state'
        calls: dict[str, int] = (await self._deployment.fetch(url))['calls']
        return calls

    async def _read_traffic(self) -> dict[str, Counter[str]]:
        states = await self._read_dumps('control')
        return {node: Counter(state['traffic']) for node, state in states}

    async def _read_costs(self) -> Counter[str]:
        """Return the cost units of all entry VMs by use and stage."""
        found: Counter[str] = Counter()
        for _, state in await self._read_dumps('entry'):
            for name, units in state['counters'].items():
                if name.startswith('cost_'):
                    found[name.removeprefix('cost_')] += units
        return found

    async def _read_dumps(self, program: str) -> list[tuple[str, Any]]:
        found = []
        for node in self._deployment.nodes:
            status, state = await self._deployment.admin(
                'GET',
                f'/v1/dump/{node}/{program}',
            )
            if status == 200:
                found.append((node, state))
        return found
