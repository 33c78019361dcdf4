"""Bench scenarios: the deployment, and load and fault of each scenario."""

import signal
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bench.trace import ANSWER_TOKENS, GENERATING_SHARE
from standins.launcher import Deployment
from standins.plans import EnginePlan, Plan, WorkerPlan

ZONES = ('east', 'north', 'south', 'west')
SLOTS = 8
STEP_SECONDS = 0.02
ENGINE_PARAMETERS = {
    'slots': SLOTS,
    'step_seconds': STEP_SECONDS,
    'prefill_rate': 8000,
    'cache_blocks': 800,
}
ENGINE_ZONES = ('east', 'north', 'south', 'west', 'east', 'north')
SERVICE_POOLS = ('bookings', 'encoders', 'retrievers', 'rerankers')
FaultAction = Callable[[Deployment], Awaitable[None]]


def make_plan(routing: str) -> Plan:
    """Return the plan of a deployment of 8 entry VMs and 6 model engines.

    :param routing: lines of the INI section ``[routing]``.
    """
    return Plan(
        zones=ZONES,
        entries_per_zone=2,
        engines=tuple(
            EnginePlan(zone, shape=ENGINE_PARAMETERS) for zone in ENGINE_ZONES
        ),
        workers=tuple(
            WorkerPlan(zone, pool) for pool in SERVICE_POOLS for zone in ZONES
        ),
        settings={'entry': f'[routing]\n{routing}\n'},
    )


def estimate_request_capacity() -> float:
    """Return an upper bound of the requests per second that engines serve.

    The bound is the decoding rate of all engines; it ignores prefill time.
    """
    answers_per_second = (
        len(ENGINE_ZONES) * SLOTS / (ANSWER_TOKENS * STEP_SECONDS)
    )
    return answers_per_second / GENERATING_SHARE


async def do_nothing(deployment: Deployment) -> None:
    """Inject no fault."""


async def slow_engine(deployment: Deployment) -> None:
    """Make one engine ten times slower."""
    await deployment.set_faults('engine-2', slow=10)


async def freeze_engine(deployment: Deployment) -> None:
    """Suspend the process of one engine with SIGSTOP."""
    deployment.send_signal('engine-2', signal.SIGSTOP)


async def cut_platform(deployment: Deployment) -> None:
    """Cut the network between one zone and the platform."""
    await deployment.set_faults('cut', cuts=[['north', 'platform']])


async def stop_platform_store(deployment: Deployment) -> None:
    """Make all calls of the platform API fail, as in an outage."""
    await deployment.set_faults('platform', outage=True)


async def kill_entry(deployment: Deployment) -> None:
    """Kill the entry and control processes of one entry VM."""
    await deployment.kill('entry-north-1')
    await deployment.kill('control-north-1')


async def lose_zone(deployment: Deployment) -> None:
    """Kill the entry VMs and the engine of one zone."""
    for name in list(deployment.processes):
        if 'west' in name or name == 'engine-4':
            await deployment.kill(name)


async def lose_cache_events(deployment: Deployment) -> None:
    """Make all engines lose half of their cache events."""
    for name in deployment.targets:
        if name.startswith('engine'):
            await deployment.set_faults(name, gap_share=0.5)


async def delay_load_reports(deployment: Deployment) -> None:
    """Make all engines report their load two seconds late."""
    for name in deployment.targets:
        if name.startswith('engine'):
            await deployment.set_faults(name, load_lag=2)


class Scenario(NamedTuple):
    """Load and fault of one bench run.

    :param load: offered load as a share of the capacity.
    :param inject_fault: action after a third of the run.
    :param burst: factor on the load of the first large workspace.
    """

    name: str
    load: float
    inject_fault: FaultAction = do_nothing
    burst: float = 1


SCENARIOS = (
    Scenario('calm', 0.7),
    Scenario('full', 1.0),
    Scenario('overload', 1.5),
    Scenario('large-burst', 0.7, burst=4),
    Scenario('slow-engine', 0.6, slow_engine),
    Scenario('frozen-engine', 0.6, freeze_engine),
    Scenario('platform-cut', 0.6, cut_platform),
    Scenario('store-down', 0.6, stop_platform_store),
    Scenario('entry-killed', 0.6, kill_entry),
    Scenario('zone-lost', 0.5, lose_zone),
    Scenario('event-gaps', 0.7, lose_cache_events),
    Scenario('load-lag', 0.7, delay_load_reports),
)


def find_scenario(name: str) -> Scenario:
    """Return the scenario with this name.

    :raises KeyError: if no scenario has the name.
    """
    return {scenario.name: scenario for scenario in SCENARIOS}[name]
