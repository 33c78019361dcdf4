import asyncio
import signal
import time

from galenaswitch.limits.cache import PERMIT_LIFETIME_SECONDS
from galenaswitch.membership.ranking import rank_nodes
from standins.plans import Plan, WorkerPlan

ZONES = ('north', 'south')
HOME = rank_nodes('home/lab', ZONES)[0]
AWAY = next(zone for zone in ZONES if zone != HOME)
REPORTS_LAPSE_SECONDS = 4
COST = 12


def make_plan(seconds):
    """Return a plan of a service whose calls take some seconds.

    Its calls may not be repeated, so that each costs one unit: no hedges.
    """
    return Plan(
        zones=ZONES,
        engines=(),
        workers=tuple(
            WorkerPlan(zone, 'orders', seconds=seconds) for zone in ZONES
        ),
    )


async def add_costs(deployment, call, node, times):
    """Send requests of one cost unit each to an entry; count the answered."""
    replies = []
    end = time.monotonic() + 30
    while len(replies) < times and time.monotonic() < end:
        status, found = await call(deployment, 'rescan', url=node.url)
        limit = found.get('error', {}).get('type')
        if limit in {None, 'over-cost-per-day'}:
            replies.append(status)
        await asyncio.sleep(0.05)
    assert len(replies) == times
    return replies.count(200)


async def read_costs(deployment):
    """Return the cost units that the store holds for the workspace."""
    state = await deployment.fetch(
        f'{deployment.urls["platform"]}/control/state',
    )
    return sum(
        sum(stored['body']['spent'].values())
        for stored in state['objects']
        if stored['kind'] == 'costs'
    )


async def wait_costs(deployment, units):
    """Wait until the store holds some cost units."""
    async with asyncio.timeout(30):
        while await read_costs(deployment) < units:
            await asyncio.sleep(0.1)


async def replace(deployment, number):
    """End all machines with a signal and start others in their place."""
    for name in deployment.nodes:
        for program in ('entry', 'control'):
            deployment.signal(f'{program}-{name}', number)
    for name in deployment.nodes:
        for program in ('entry', 'control'):
            end = time.monotonic() + 30
            await deployment.wait_exit(f'{program}-{name}', end)
        deployment.run_node(name)
    await deployment.wait_ready()


async def test_long_requests_of_another_zone_stay_counted(deploy, call):
    deployment = await deploy(
        make_plan(12),
        in_progress=4,
        queue_ms=1000,
        deadline_ms=30_000,
    )
    away = deployment.nodes[f'{AWAY}-1'].url
    jobs = []
    for _ in range(4):
        jobs.append(
            asyncio.create_task(call(deployment, 'rescan', url=away)),
        )
        await asyncio.sleep(0.3)
    await asyncio.sleep(REPORTS_LAPSE_SECONDS)
    assert not [job.result() for job in jobs if job.done()]
    home = deployment.nodes[f'{HOME}-1'].url
    reasons = set()
    for _ in range(3):
        status, found = await call(deployment, 'rescan', url=home)
        reasons.add(found['error']['type'])
        assert status == 429
    assert reasons == {'over-in-progress'}
    for job in jobs:
        job.cancel()


async def wait_known(deployment, units):
    """Wait until a holder of the home zone knows of some cost units."""
    async with asyncio.timeout(30):
        known = 0
        while known < units:
            for node in deployment.nodes.values():
                path = f'/v1/dump/{node.name}/control'
                _, state = await deployment.admin('GET', path)
                known = max(known, state['limits']['spent'].get('lab', 0))


async def start_spending(deploy, call):
    """Start, and spend two thirds of the day's cost at all entries alike."""
    deployment = await deploy(
        make_plan(0.005),
        cost_per_day=COST,
        shortage='shed',
    )
    for node in deployment.nodes.values():
        assert await add_costs(deployment, call, node, 2) == 2
    return deployment


async def test_costs_outlive_all_machines(deploy, call):
    deployment = await start_spending(deploy, call)
    await wait_costs(deployment, 8)
    await replace(deployment, signal.SIGKILL)
    for node in deployment.nodes.values():
        assert await add_costs(deployment, call, node, 1) == 1
    await wait_known(deployment, COST)
    for node in deployment.nodes.values():
        assert await add_costs(deployment, call, node, 1) == 0


async def test_planned_stop_keeps_costs(deploy, call):
    deployment = await start_spending(deploy, call)
    await wait_known(deployment, 8)
    await replace(deployment, signal.SIGTERM)
    assert await read_costs(deployment) == 8


async def test_costs_of_other_zones_count_at_home(deploy, call):
    deployment = await deploy(
        make_plan(0.005),
        cost_per_day=4,
        shortage='shed',
    )
    away = deployment.nodes[f'{AWAY}-1']
    home = deployment.nodes[f'{HOME}-1']
    assert await add_costs(deployment, call, away, 4) == 4
    # Permits that were in hand before the limit was reached lapse first.
    await asyncio.sleep(2 * PERMIT_LIFETIME_SECONDS)
    assert await add_costs(deployment, call, away, 1) == 0
    async with asyncio.timeout(10):
        found = {}
        while found.get('error', {}).get('type') != 'over-cost-per-day':
            _, found = await call(deployment, 'rescan', url=home.url)
            await asyncio.sleep(0.2)
