import asyncio
import signal
import time

from galenaswitch.limits.cache import PERMIT_LIFETIME_SECONDS
from galenaswitch.membership.ranking import rank_nodes
from standins.plans import Plan, WorkerPlan

ZONES = ('north', 'south')
HOME_ZONE = rank_nodes('home/lab', ZONES)[0]
REMOTE_ZONE = next(zone for zone in ZONES if zone != HOME_ZONE)
# Seconds after which an origin's last report has surely expired; longer than
# ``REPORT_LIFETIME_SECONDS`` of the ledger.
REPORT_EXPIRY_SECONDS = 4
COST_PER_DAY = 12


def make_plan(seconds):
    """Return a plan of a service whose calls take some seconds.

    Its calls aren't idempotent, so none is hedged and each costs one unit.
    """
    return Plan(
        zones=ZONES,
        engines=(),
        workers=tuple(
            WorkerPlan(zone, 'orders', seconds=seconds) for zone in ZONES
        ),
    )


async def send_requests(deployment, call, node, times):
    """Send requests of one cost unit each; return the number answered."""
    replies = []
    deadline = time.monotonic() + 30
    while len(replies) < times and time.monotonic() < deadline:
        status, body = await call(deployment, 'rescan', url=node.url)
        limit = body.get('error', {}).get('type')
        if limit in {None, 'over-cost-per-day'}:
            replies.append(status)
        await asyncio.sleep(0.05)
    assert len(replies) == times
    return replies.count(200)


async def read_stored_costs(deployment):
    """Return the workspace's cost units in the store."""
    state = await deployment.fetch(
        f'{deployment.urls["platform"]}/control/state',
    )
    return sum(
        sum(stored['body']['spent'].values())
        for stored in state['objects']
        if stored['kind'] == 'costs'
    )


async def wait_stored_costs(deployment, units):
    """Wait until the store holds at least ``units`` cost units."""
    async with asyncio.timeout(30):
        while await read_stored_costs(deployment) < units:
            await asyncio.sleep(0.1)


async def replace_all_machines(deployment, signal_number):
    """End the processes of all VMs with a signal and restart them."""
    for name in deployment.nodes:
        for program in ('entry', 'control'):
            deployment.send_signal(f'{program}-{name}', signal_number)
    for name in deployment.nodes:
        for program in ('entry', 'control'):
            deadline = time.monotonic() + 30
            await deployment.wait_exit(f'{program}-{name}', deadline)
        deployment.run_node(name)
    await deployment.wait_ready()


async def test_long_requests_of_another_zone_stay_counted(deploy, call):
    deployment = await deploy(
        make_plan(12),
        in_progress=4,
        queue_ms=1000,
        deadline_ms=30_000,
    )
    remote_url = deployment.nodes[f'{REMOTE_ZONE}-1'].url
    jobs = []
    for _ in range(4):
        jobs.append(
            asyncio.create_task(call(deployment, 'rescan', url=remote_url)),
        )
        await asyncio.sleep(0.3)
    await asyncio.sleep(REPORT_EXPIRY_SECONDS)
    assert not [job.result() for job in jobs if job.done()]
    home_url = deployment.nodes[f'{HOME_ZONE}-1'].url
    reasons = set()
    for _ in range(3):
        status, body = await call(deployment, 'rescan', url=home_url)
        reasons.add(body['error']['type'])
        assert status == 429
    assert reasons == {'over-in-progress'}
    for job in jobs:
        job.cancel()


async def wait_owner_costs(deployment, units):
    """Wait until an owner in the home zone counts ``units`` cost units."""
    async with asyncio.timeout(30):
        units_known = 0
        while units_known < units:
            for node in deployment.nodes.values():
                path = f'/v1/dump/{node.name}/control'
                _, state = await deployment.admin('GET', path)
                units_known = max(
                    units_known, state['limits']['spent'].get('lab', 0)
                )


async def start_with_costs(deploy, call):
    """Deploy, and use two thirds of the daily cost, equally at all entries."""
    deployment = await deploy(
        make_plan(0.005),
        cost_per_day=COST_PER_DAY,
        shortage='shed',
    )
    for node in deployment.nodes.values():
        assert await send_requests(deployment, call, node, 2) == 2
    return deployment


async def test_costs_survive_restart_of_all_machines(deploy, call):
    deployment = await start_with_costs(deploy, call)
    await wait_stored_costs(deployment, 8)
    await replace_all_machines(deployment, signal.SIGKILL)
    for node in deployment.nodes.values():
        assert await send_requests(deployment, call, node, 1) == 1
    await wait_owner_costs(deployment, COST_PER_DAY)
    for node in deployment.nodes.values():
        assert await send_requests(deployment, call, node, 1) == 0


async def test_graceful_stop_keeps_costs(deploy, call):
    deployment = await start_with_costs(deploy, call)
    await wait_owner_costs(deployment, 8)
    await replace_all_machines(deployment, signal.SIGTERM)
    assert await read_stored_costs(deployment) == 8


async def test_costs_of_other_zones_count_in_home_zone(deploy, call):
    deployment = await deploy(
        make_plan(0.005),
        cost_per_day=4,
        shortage='shed',
    )
    remote_node = deployment.nodes[f'{REMOTE_ZONE}-1']
    home_node = deployment.nodes[f'{HOME_ZONE}-1']
    assert await send_requests(deployment, call, remote_node, 4) == 4
    # Permits that were granted before the limit was reached stay usable until
    # they expire.
    await asyncio.sleep(2 * PERMIT_LIFETIME_SECONDS)
    assert await send_requests(deployment, call, remote_node, 1) == 0
    async with asyncio.timeout(10):
        body = {}
        while body.get('error', {}).get('type') != 'over-cost-per-day':
            _, body = await call(deployment, 'rescan', url=home_node.url)
            await asyncio.sleep(0.2)
