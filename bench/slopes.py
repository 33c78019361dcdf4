"""Measurements behind docs/CAPACITY.md: resource use as load grows.

Each measurement varies one quantity, such as streams, targets or contracts;
the slope of a figure is the cost of one more of them.

Run as ``python -m bench.slopes [relay|claims|nodes|lists|workspaces]``.
"""

import asyncio
import itertools
import json
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import defopt
import numpy

from bench.probe import UsageProbe
from standins.examples import LAB_TOKEN, PIPELINES, make_contract
from standins.launcher import Deployment
from standins.plans import EnginePlan, Plan, WorkerPlan

MAX_STREAMS = 220
STEP_SECONDS = 0.029
STREAM_TOKENS = 340
BOOKING_COUNT = 300
HEADERS = {'Authorization': f'Bearer {LAB_TOKEN}'}


def print_figures(**figures: Any) -> None:
    """Print the figures of one measurement as a line of JSON."""
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()


async def start_deployment(folder: str, plan: Plan) -> Deployment:
    """Start a deployment with the example pipelines and one contract."""
    deployment = await Deployment(plan, Path(folder)).__aenter__()
    for pipeline in PIPELINES:
        await deployment.create('pipelines', pipeline)
    contract = make_contract('lab', LAB_TOKEN, deadline_ms=60_000)
    await deployment.create('contracts', contract)
    await deployment.wait_ready()
    return deployment


async def read_entry_stream(deployment: Deployment, url: str) -> list[float]:
    """Return the delay of each token that an entry VM relays, in seconds.

    The engine sends its clock as the text of each token.
    """
    delays = []
    async with deployment.http.post(
        f'{url}/v1/pipelines/tour-note',
        json={'prompt': 'ice', 'max_tokens': STREAM_TOKENS, 'stream': True},
        headers=HEADERS,
    ) as answer:
        async for line in answer.content:
            if line.startswith(b'data: {"index"'):
                text = json.loads(line[len(b'data: ') :])['text']
                delays.append(time.monotonic() - float(text))
    return delays


async def read_engine_stream(deployment: Deployment, url: str) -> list[float]:
    """Return the delay of each token read directly from an engine."""
    delays = []
    call = {
        'request': 'r',
        'stage': 's',
        'attempt': 'a',
        'model': 'scribe',
        'version': '1',
        'priority': 1,
        'payload': {
            'prompt': 'ice',
            'max_tokens': STREAM_TOKENS,
            'blocks': [],
            'digest': EMPTY_DIGEST,
        },
    }
    async with deployment.http.post(f'{url}/generate', json=call) as answer:
        async for line in answer.content:
            event = json.loads(line)
            if 'text' in event:
                delays.append(time.monotonic() - float(event['text']))
    return delays


EMPTY_DIGEST = (
    'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855'
)


async def measure_relay() -> None:
    """Measure the token delay and CPU use of one entry VM that relays streams.

    The largest number of streams is one node's share of the target load.
    """
    shape = {'slots': 64, 'step_seconds': STEP_SECONDS}
    plan = Plan(
        zones=('north',),
        entries_per_zone=1,
        engines=(EnginePlan('north', shape=shape),) * 4,
    )
    with TemporaryDirectory() as folder:
        deployment = await start_deployment(folder, plan)
        engines = [deployment.urls[name] for name in deployment.targets]
        for name in deployment.targets:
            await deployment.set_faults(name, stamp=True)
        entry = deployment.nodes['north-1'].url
        for streams in (1, MAX_STREAMS // 4, MAX_STREAMS // 2, MAX_STREAMS):
            await _measure_streams(
                deployment, streams, engines, read_engine_stream, 'direct'
            )
            await _measure_streams(
                deployment, streams, [entry], read_entry_stream, 'entry'
            )
        await deployment.stop()


async def _measure_streams(
    deployment: Deployment,
    streams: int,
    urls: list[str],
    read: Callable[[Deployment, str], Awaitable[list[float]]],
    way: str,
) -> None:
    started_at = time.monotonic()
    probe = UsageProbe(deployment, STREAM_TOKENS * STEP_SECONDS)
    parts = await asyncio.gather(
        *(
            read(deployment, urls[number % len(urls)])
            for number in range(streams)
        ),
    )
    seconds = time.monotonic() - started_at
    delays = numpy.concatenate([numpy.array(part) for part in parts]) * 1000
    used = await probe.finish()
    print_figures(
        measure='relay',
        way=way,
        streams=streams,
        tokens_a_second=round(len(delays) / seconds),
        p50_ms=round(float(numpy.percentile(delays, 50)), 2),
        p99_ms=round(float(numpy.percentile(delays, 99)), 2),
        entry_cores=used['cores_by_program']['entry'],
        entry_mb=used['memory_mb_by_program']['entry'],
        machine_cpu=used['machine_cpu'],
    )


async def measure_claims() -> None:
    """Measure bookings with and without an idempotency key.

    Each call of the store takes 3 ms.
    """
    plan = Plan(
        zones=('north', 'south'),
        engines=(),
        workers=(
            WorkerPlan('north', 'orders', seconds=0.002),
            WorkerPlan('south', 'orders', seconds=0.002),
        ),
    )
    with TemporaryDirectory() as folder:
        deployment = await start_deployment(folder, plan)
        await deployment.set_faults('platform', delay=0.003)
        for at_once in (1, 8, 32):
            for keyed in (False, True):
                await _measure_bookings(deployment, at_once, keyed=keyed)
        await deployment.stop()


async def _measure_bookings(
    deployment: Deployment,
    at_once: int,
    *,
    keyed: bool,
) -> None:
    writes = await _count_writes(deployment)
    started_at = time.monotonic()
    parts = await asyncio.gather(
        *(
            _book_sequentially(deployment, at_once, worker, keyed=keyed)
            for worker in range(at_once)
        ),
    )
    seconds = time.monotonic() - started_at
    written = await _count_writes(deployment) - writes
    _print_bookings(parts, seconds, written, at_once, keyed)


def _print_bookings(
    parts: list[list[float]],
    seconds: float,
    written: int,
    at_once: int,
    keyed: bool,  # noqa: FBT001
) -> None:
    times = numpy.concatenate([numpy.array(part) for part in parts]) * 1000
    print_figures(
        measure='claims',
        keyed=keyed,
        at_once=at_once,
        bookings_a_second=round(len(times) / seconds, 1),
        writes_a_second=round(written / seconds, 1),
        p50_ms=round(float(numpy.percentile(times, 50)), 2),
        p99_ms=round(float(numpy.percentile(times, 99)), 2),
    )


async def _book_sequentially(
    deployment: Deployment,
    at_once: int,
    worker: int,
    *,
    keyed: bool,
) -> list[float]:
    nodes = list(deployment.nodes.values())
    url = nodes[worker % len(nodes)].url
    times = []
    for number in range(BOOKING_COUNT // at_once):
        headers = dict(HEADERS)
        if keyed:
            headers['Idempotency-Key'] = f'{at_once}-{worker}-{number}'
        started_at = time.monotonic()
        async with deployment.http.post(
            f'{url}/v1/pipelines/rescan',
            json={'fields': {'order': str(number)}},
            headers=headers,
        ) as answer:
            await answer.read()
            answer.raise_for_status()
        times.append(time.monotonic() - started_at)
    return times


async def _count_writes(deployment: Deployment) -> int:
    url = f'{deployment.urls["platform"]}/control/state'
    calls: dict[str, int] = (await deployment.fetch(url))['calls']
    return calls.get('writes', 0)


async def measure_nodes() -> None:
    """Measure idle control processes by number of machines and targets."""
    for nodes, targets in ((2, 4), (12, 4), (2, 32), (24, 48)):
        plan = Plan(
            zones=('north',),
            entries_per_zone=nodes,
            engines=(),
            workers=(WorkerPlan('north', 'bookings'),) * targets,
        )
        with TemporaryDirectory() as folder:
            deployment = await start_deployment(folder, plan)
            await _measure_idle(deployment, nodes=nodes, targets=targets)
            await deployment.stop()


async def measure_lists() -> None:
    """Measure control processes by number of targets in the platform's list."""
    plan = Plan(
        zones=('north',),
        engines=(),
        workers=(WorkerPlan('north', 'bookings'),),
    )
    for listed in (0, 760):
        with TemporaryDirectory() as folder:
            deployment = await start_deployment(folder, plan)
            listed_target = deployment.targets['bookings-1']
            for number in range(listed):
                name = f'elsewhere-{number}'
                deployment.targets[name] = {
                    **listed_target,
                    'name': name,
                    'zone': 'elsewhere',
                    'pool': 'others',
                }
            list_change_task = asyncio.create_task(_change_list(deployment))
            await _measure_idle(deployment, listed=listed + 1)
            list_change_task.cancel()
            await deployment.stop()


async def _change_list(deployment: Deployment) -> None:
    """Publish a list with one changed target every two seconds."""
    target = deployment.targets['bookings-1']
    for number in itertools.count(1):
        target['capacity'] = 16 + number % 2
        await deployment.publish_members()
        await asyncio.sleep(2)


async def measure_workspaces() -> None:
    """Measure control and entry processes by number of contracts."""
    plan = Plan(
        zones=('north',),
        engines=(),
        workers=(WorkerPlan('north', 'bookings'),),
    )
    with TemporaryDirectory() as folder:
        deployment = await start_deployment(folder, plan)
        created = 0
        for contract_count in (0, 200, 710):
            for number in range(created, contract_count):
                contract = make_contract(f'w{number}', f'token-{number}')
                await deployment.create('contracts', contract)
            created = contract_count
            await _measure_idle(deployment, workspaces=contract_count + 1)
        await deployment.stop()


async def _measure_idle(deployment: Deployment, **size: int) -> None:
    """Measure a deployment without requests, a few seconds after its start."""
    seconds = 10
    await asyncio.sleep(4)
    probe = UsageProbe(deployment, seconds)
    await probe.begin()
    await asyncio.sleep(seconds)
    used = await probe.finish()
    print_figures(
        measure='rest',
        **size,
        control_cores=used['cores_by_program']['control'],
        control_mb=used['memory_mb_by_program']['control'],
        entry_cores=used['cores_by_program']['entry'],
        entry_mb=used['memory_mb_by_program']['entry'],
        control_bytes_a_second=used['control_bytes_a_second'],
        store_calls=used['store_calls'],
        machine_cpu=used['machine_cpu'],
    )


MEASURES = {
    'relay': measure_relay,
    'claims': measure_claims,
    'nodes': measure_nodes,
    'lists': measure_lists,
    'workspaces': measure_workspaces,
}


def main(*measures: str) -> None:
    """Measure how resource use grows with load and size.

    :param measures: relay, claims, nodes, lists or workspaces; all by default
    """
    for name in measures or tuple(MEASURES):
        asyncio.run(MEASURES[name]())


if __name__ == '__main__':
    defopt.run(main)
