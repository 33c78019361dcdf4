"""Slopes behind docs/CAPACITY.md: what one more of something costs.

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

from bench.probe import Probe
from standins.examples import LAB_TOKEN, PIPELINES, make_contract
from standins.launcher import Deployment
from standins.plans import EnginePlan, Plan, WorkerPlan

STREAMS = 220
STEP_SECONDS = 0.029
STREAM_TOKENS = 340
BOOKINGS = 300
HEADERS = {'Authorization': f'Bearer {LAB_TOKEN}'}


def say(**figures: Any) -> None:
    """Print figures as one line of JSON."""
    sys.stdout.write(f'{json.dumps(figures)}\n')
    sys.stdout.flush()


async def start(folder: str, plan: Plan) -> Deployment:
    """Start a deployment with the example pipelines and one contract."""
    deployment = await Deployment(plan, Path(folder)).__aenter__()
    for pipeline in PIPELINES:
        await deployment.create('pipelines', pipeline)
    contract = make_contract('lab', LAB_TOKEN, deadline_ms=60_000)
    await deployment.create('contracts', contract)
    await deployment.wait_ready()
    return deployment


async def read_stream(deployment: Deployment, url: str) -> list[float]:
    """Return the delay of each stamped token through an entry."""
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


async def read_direct(deployment: Deployment, url: str) -> list[float]:
    """Return the delay of each stamped token straight from an engine."""
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
    """One entry relays the target's share of tokens of one node."""
    shape = {'slots': 64, 'step_seconds': STEP_SECONDS}
    plan = Plan(
        zones=('north',),
        entries_per_zone=1,
        engines=(EnginePlan('north', shape=shape),) * 4,
    )
    with TemporaryDirectory() as folder:
        deployment = await start(folder, plan)
        engines = [deployment.urls[name] for name in deployment.targets]
        for name in deployment.targets:
            await deployment.set_faults(name, stamp=True)
        entry = deployment.nodes['north-1'].url
        for streams in (1, STREAMS // 4, STREAMS // 2, STREAMS):
            await _relay(deployment, streams, engines, read_direct, 'direct')
            await _relay(deployment, streams, [entry], read_stream, 'entry')
        await deployment.stop()


async def _relay(
    deployment: Deployment,
    streams: int,
    urls: list[str],
    read: Callable[[Deployment, str], Awaitable[list[float]]],
    way: str,
) -> None:
    begun = time.monotonic()
    probe = Probe(deployment, STREAM_TOKENS * STEP_SECONDS)
    parts = await asyncio.gather(
        *(
            read(deployment, urls[number % len(urls)])
            for number in range(streams)
        ),
    )
    seconds = time.monotonic() - begun
    delays = numpy.concatenate([numpy.array(part) for part in parts]) * 1000
    used = await probe.finish()
    say(
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
    """Bookings with and without a key beside a store that takes 3 ms."""
    plan = Plan(
        zones=('north', 'south'),
        engines=(),
        workers=(
            WorkerPlan('north', 'orders', seconds=0.002),
            WorkerPlan('south', 'orders', seconds=0.002),
        ),
    )
    with TemporaryDirectory() as folder:
        deployment = await start(folder, plan)
        await deployment.set_faults('platform', delay=0.003)
        for at_once in (1, 8, 32):
            for keyed in (False, True):
                await _book(deployment, at_once, keyed=keyed)
        await deployment.stop()


async def _book(
    deployment: Deployment,
    at_once: int,
    *,
    keyed: bool,
) -> None:
    writes = await _count_writes(deployment)
    begun = time.monotonic()
    parts = await asyncio.gather(
        *(
            _book_in_turn(deployment, at_once, worker, keyed=keyed)
            for worker in range(at_once)
        ),
    )
    seconds = time.monotonic() - begun
    written = await _count_writes(deployment) - writes
    _say_bookings(parts, seconds, written, at_once, keyed)


def _say_bookings(
    parts: list[list[float]],
    seconds: float,
    written: int,
    at_once: int,
    keyed: bool,  # noqa: FBT001
) -> None:
    times = numpy.concatenate([numpy.array(part) for part in parts]) * 1000
    say(
        measure='claims',
        keyed=keyed,
        at_once=at_once,
        bookings_a_second=round(len(times) / seconds, 1),
        writes_a_second=round(written / seconds, 1),
        p50_ms=round(float(numpy.percentile(times, 50)), 2),
        p99_ms=round(float(numpy.percentile(times, 99)), 2),
    )


async def _book_in_turn(
    deployment: Deployment,
    at_once: int,
    worker: int,
    *,
    keyed: bool,
) -> list[float]:
    nodes = list(deployment.nodes.values())
    url = nodes[worker % len(nodes)].url
    times = []
    for number in range(BOOKINGS // at_once):
        headers = dict(HEADERS)
        if keyed:
            headers['Idempotency-Key'] = f'{at_once}-{worker}-{number}'
        begun = time.monotonic()
        async with deployment.http.post(
            f'{url}/v1/pipelines/rescan',
            json={'fields': {'order': str(number)}},
            headers=headers,
        ) as answer:
            await answer.read()
            answer.raise_for_status()
        times.append(time.monotonic() - begun)
    return times


async def _count_writes(deployment: Deployment) -> int:
    url = f'{deployment.urls["platform"]}/control/state'
    calls: dict[str, int] = (await deployment.fetch(url))['calls']
    return calls.get('writes', 0)


async def measure_nodes() -> None:
    """Controls of one zone at rest, by machines and by targets."""
    for nodes, targets in ((2, 4), (12, 4), (2, 32), (24, 48)):
        plan = Plan(
            zones=('north',),
            entries_per_zone=nodes,
            engines=(),
            workers=(WorkerPlan('north', 'bookings'),) * targets,
        )
        with TemporaryDirectory() as folder:
            deployment = await start(folder, plan)
            await _rest(deployment, nodes=nodes, targets=targets)
            await deployment.stop()


async def measure_lists() -> None:
    """Controls of one zone, by the targets that the platform lists."""
    plan = Plan(
        zones=('north',),
        engines=(),
        workers=(WorkerPlan('north', 'bookings'),),
    )
    for listed in (0, 760):
        with TemporaryDirectory() as folder:
            deployment = await start(folder, plan)
            real = deployment.targets['bookings-1']
            for number in range(listed):
                name = f'elsewhere-{number}'
                deployment.targets[name] = {
                    **real,
                    'name': name,
                    'zone': 'elsewhere',
                    'pool': 'others',
                }
            changing = asyncio.create_task(_change_list(deployment))
            await _rest(deployment, listed=listed + 1)
            changing.cancel()
            await deployment.stop()


async def _change_list(deployment: Deployment) -> None:
    """Change one target of the list every two seconds."""
    target = deployment.targets['bookings-1']
    for number in itertools.count(1):
        target['capacity'] = 16 + number % 2
        await deployment.publish_members()
        await asyncio.sleep(2)


async def measure_workspaces() -> None:
    """Controls and entries of one zone, by contracts."""
    plan = Plan(
        zones=('north',),
        engines=(),
        workers=(WorkerPlan('north', 'bookings'),),
    )
    with TemporaryDirectory() as folder:
        deployment = await start(folder, plan)
        made = 0
        for wanted in (0, 200, 710):
            for number in range(made, wanted):
                contract = make_contract(f'w{number}', f'token-{number}')
                await deployment.create('contracts', contract)
            made = wanted
            await _rest(deployment, workspaces=wanted + 1)
        await deployment.stop()


async def _rest(deployment: Deployment, **size: int) -> None:
    """Measure at rest, after the start has settled."""
    seconds = 10
    await asyncio.sleep(4)
    probe = Probe(deployment, seconds)
    await probe.begin()
    await asyncio.sleep(seconds)
    used = await probe.finish()
    say(
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
    """Measure slopes.

    :param measures: relay, claims, nodes, lists or workspaces; all by default
    """
    for name in measures or tuple(MEASURES):
        asyncio.run(MEASURES[name]())


if __name__ == '__main__':
    defopt.run(main)
