"""Command line of the bench, which compares routing policies.

The policies alternate within a run and use the same traces.
"""

import asyncio
import json
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import defopt

from bench.load import run_open_loop
from bench.plots import plot_attainment
from bench.probe import UsageProbe
from bench.report import render_run, summarize_run
from bench.scenarios import (
    SCENARIOS,
    Scenario,
    estimate_request_capacity,
    find_scenario,
    make_plan,
)
from bench.trace import WORKSPACES, make_trace
from standins.examples import PIPELINES, make_contract
from standins.launcher import Deployment

ROUTING_SETTINGS = {
    'predicted': 'chooser=predicted',
    'least': 'chooser=least\nhedge_share=0\nshedding=false',
    'robin': 'chooser=robin\nhedge_share=0\nshedding=false',
}
DEFAULT_FOLDER = Path('bench/results')
VOID = 'void: the machine was saturated'


async def run_once(
    scenario: Scenario,
    policy: str,
    seed: int,
    seconds: float,
) -> dict[str, Any]:
    """Run one trace of a scenario under one policy; return its figures."""
    workspaces = WORKSPACES
    if scenario.burst != 1:
        first = WORKSPACES[0]
        burst = first._replace(share=first.share * scenario.burst)
        workspaces = (burst, *WORKSPACES[1:])
    rate = scenario.load * estimate_request_capacity()
    rate *= sum(workspace.share for workspace in workspaces)
    trace = make_trace(seed, rate, seconds, workspaces)
    with TemporaryDirectory() as folder:
        plan = make_plan(ROUTING_SETTINGS[policy])
        async with Deployment(plan, Path(folder)) as deployment:
            await create_configuration(deployment)
            probe = UsageProbe(deployment, seconds)
            await probe.begin()
            fault_task = asyncio.create_task(
                inject_fault_later(deployment, scenario, seconds / 3),
            )
            outcomes = await run_open_loop(deployment, trace)
            await fault_task
            used = await probe.finish()
    return {**summarize_run(outcomes, trace, seconds / 3), **used}


async def inject_fault_later(
    deployment: Deployment,
    scenario: Scenario,
    seconds: float,
) -> None:
    """Inject the fault of a scenario after this many seconds."""
    await asyncio.sleep(seconds)
    await scenario.inject_fault(deployment)


async def create_configuration(deployment: Deployment) -> None:
    """Create the example pipelines and a contract for each workspace."""
    for pipeline in PIPELINES:
        await deployment.create('pipelines', pipeline)
    for workspace in WORKSPACES:
        contract = make_contract(
            workspace.name,
            workspace.token,
            queue_ms=3000,
            weight=1,
        )
        await deployment.create('contracts', contract)
    await deployment.wait_ready()


async def run_all(
    names: list[str],
    policies: list[str],
    seeds: int,
    seconds: float,
    folder: Path,
) -> None:
    """Run scenarios under alternating policies; write figures and a plot."""
    folder.mkdir(parents=True, exist_ok=True)
    figures: dict[str, list[dict[str, Any]]] = {}
    for name in names:
        scenario = find_scenario(name)
        for seed in range(1, seeds + 1):
            for policy in policies:
                found = await run_once(scenario, policy, seed, seconds)
                key = f'{name}/{policy}'
                figures.setdefault(key, []).append(found)
                sys.stdout.write(f'{render_run(f"{key}/{seed}", found)}\n')
                if found['void']:
                    sys.stdout.write(f'{VOID}\n')
                sys.stdout.flush()
    path = folder / 'figures.json'
    path.write_text(json.dumps(figures, indent=1), encoding='utf-8')
    plot_attainment(figures, folder / 'attainment.png')


def main(
    *,
    scenario: list[str] | None = None,
    policy: list[str] | None = None,
    seeds: int = 1,
    seconds: float = 20,
    folder: Path = DEFAULT_FOLDER,
) -> None:
    """Compare routing policies under load.

    :param scenario: names of scenarios; all by default
    :param policy: predicted, least or robin; predicted and robin by default
    :param seeds: number of traces for each scenario
    :param seconds: duration of a run
    :param folder: folder for the figures and the plot
    """
    names = scenario or [known.name for known in SCENARIOS]
    policies = policy or ['predicted', 'robin']
    asyncio.run(run_all(names, policies, seeds, seconds, folder))


if __name__ == '__main__':
    defopt.run(main)
