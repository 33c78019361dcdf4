"""Scenarios: size of the deployment, load, and a fault in the middle."""

import signal
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bench.trace import ANSWER_TOKENS, GENERATING_SHARE
from standins.launcher import Deployment
from standins.plans import EnginePlan, Plan, WorkerPlan

ZONES = ('east', 'north', 'south', 'west')
SLOTS = 8
STEP_SECONDS = 0.02
SHAPE = {
    'slots': SLOTS,
    'step_seconds': STEP_SECONDS,
    'prefill_rate': 8000,
    'cache_blocks': 800,
}
ENGINE_ZONES = ('east', 'north', 'south', 'west', 'east', 'north')
SERVICE_POOLS = ('bookings', 'encoders', 'retrievers', 'rerankers')
Act = Callable[[Deployment], Awaitable[None]]


def make_plan(routing: str) -> Plan:
    """Return the deployment of one firm: 8 entry VMs, 6 model runners.

    :param routing: entries of the INI section ``[routing]``.
    """
    return Plan(
        zones=ZONES,
        entries_per_zone=2,
        engines=tuple(EnginePlan(zone, shape=SHAPE) for zone in ENGINE_ZONES),
        workers=tuple(
            WorkerPlan(zone, pool) for pool in SERVICE_POOLS for zone in ZONES
        ),
        settings={'entry': f'[routing]\n{routing}\n'},
    )


def find_capacity() -> float:
    """Return the requests a second that the engines can decode at most.

    Prefill isn't counted, so it is an upper bound.
    """
    answers = len(ENGINE_ZONES) * SLOTS / (ANSWER_TOKENS * STEP_SECONDS)
    return answers / GENERATING_SHARE


async def do_nothing(deployment: Deployment) -> None:
    """Leave all as it is."""


async def slow_engine(deployment: Deployment) -> None:
    """Make one engine ten times slow."""
    await deployment.set_faults('engine-2', slow=10)


async def freeze_engine(deployment: Deployment) -> None:
    """Freeze one engine."""
    deployment.send_signal('engine-2', signal.SIGSTOP)


async def cut_platform(deployment: Deployment) -> None:
    """Cut one zone off from the platform."""
    await deployment.set_faults('cut', cuts=[['north', 'platform']])


async def stop_store(deployment: Deployment) -> None:
    """Take the platform's store down."""
    await deployment.set_faults('platform', outage=True)


async def kill_entry(deployment: Deployment) -> None:
    """Kill both processes of one entry VM."""
    await deployment.kill('entry-north-1')
    await deployment.kill('control-north-1')


async def lose_zone(deployment: Deployment) -> None:
    """Kill all machines and engines of one zone."""
    for name in list(deployment.processes):
        if 'west' in name or name == 'engine-4':
            await deployment.kill(name)


async def gap_events(deployment: Deployment) -> None:
    """Lose half of all cache events."""
    for name in deployment.targets:
        if name.startswith('engine'):
            await deployment.set_faults(name, gap_share=0.5)


async def lag_loads(deployment: Deployment) -> None:
    """Have engines report their load two seconds late."""
    for name in deployment.targets:
        if name.startswith('engine'):
            await deployment.set_faults(name, load_lag=2)


class Scenario(NamedTuple):
    """What is run.

    :param load: offered load as a part of the capacity.
    :param act: what happens a third of the way through.
    :param burst: factor on the first large workspace's share.
    """

    name: str
    load: float
    act: Act = do_nothing
    burst: float = 1


SCENARIOS = (
    Scenario('calm', 0.7),
    Scenario('full', 1.0),
    Scenario('overload', 1.5),
    Scenario('large-burst', 0.7, burst=4),
    Scenario('slow-engine', 0.6, slow_engine),
    Scenario('frozen-engine', 0.6, freeze_engine),
    Scenario('platform-cut', 0.6, cut_platform),
    Scenario('store-down', 0.6, stop_store),
    Scenario('entry-killed', 0.6, kill_entry),
    Scenario('zone-lost', 0.5, lose_zone),
    Scenario('event-gaps', 0.7, gap_events),
    Scenario('load-lag', 0.7, lag_loads),
)


def find_scenario(name: str) -> Scenario:
    """Return a scenario by its name.

    :raises KeyError: when there is none.
    """
    return {scenario.name: scenario for scenario in SCENARIOS}[name]
