import asyncio
import signal

import pytest

from standins.examples import LAB_TOKEN, make_contract
from standins.plans import Plan, WorkerPlan

ZONES = ('north', 'south')
PLAN = Plan(
    zones=ZONES,
    engines=(),
    workers=tuple(WorkerPlan(zone, 'bookings') for zone in ZONES),
)
IN_FORCE_SECONDS = 5


async def read_versions_in_force(deployment, nodes=None, name='contracts/lab'):
    """Return the version of an item in force at each entry, by node."""
    found = {}
    for node in nodes or deployment.nodes:
        _, state = await deployment.admin('GET', f'/v1/dump/{node}/entry')
        found[node] = state.get('configuration', {}).get(name, 0)
    return found


async def wait_until_in_force(deployment, version, nodes=None, seconds=20):
    """Wait until a version is in force at all nodes and return the time.

    :param seconds: time after which the wait fails.
    :returns: the waiting time in seconds.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with asyncio.timeout(seconds):
        while True:
            found = await read_versions_in_force(deployment, nodes)
            if all(held >= version for held in found.values()):
                return loop.time() - started
            await asyncio.sleep(0.05)


async def change_contract(deployment, base, **changes):
    """Change the contract of the lab, and return status and document."""
    return await deployment.admin(
        'PUT',
        '/v1/contracts/lab',
        {'If-Match': f'"{base}"'},
        json=make_contract('lab', LAB_TOKEN, **changes),
    )


async def read_stored_version(deployment):
    """Return the version of the contract of the lab in the store."""
    url = f'{deployment.urls["platform"]}/objects/contracts/lab'
    return (await deployment.fetch(url))['version']


async def replace_node(deployment, name):
    """Kill both processes of an entry VM and restart them without state."""
    for program in ('entry', 'control'):
        await deployment.kill(f'{program}-{name}')
    deployment.run_node(name)


async def test_change_is_in_force_everywhere_within_seconds(deploy):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    for deadline in (1000, 2000, 3000):
        status, found = await change_contract(
            deployment, base, deadline_ms=deadline
        )
        assert status == 200
        base = found['version']
        assert await wait_until_in_force(deployment, base) < IN_FORCE_SECONDS
    _, status = await deployment.admin('GET', '/v1/status')
    assert set(status['zones']) == set(ZONES)


async def test_of_concurrent_changes_one_wins_and_others_conflict(deploy):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    replies = await asyncio.gather(
        *(
            change_contract(deployment, base, queue_ms=100 + one)
            for one in range(5)
        ),
    )
    won = [found['version'] for status, found in replies if status == 200]
    lost = [found for status, found in replies if status == 412]
    assert (len(won), len(lost)) == (1, 4)
    assert {found['error']['current'] for found in lost} == {str(won[0])}


@pytest.mark.parametrize('fault', ['lose_answers', 'late_writes'])
async def test_accepted_change_with_lost_answers_is_in_store(deploy, fault):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    await deployment.set_faults('platform', **{fault: 1, 'late_seconds': 0.2})
    status, found = await change_contract(deployment, base, queue_ms=77)
    assert status == 200
    assert found['version'] == await read_stored_version(deployment)
    await wait_until_in_force(deployment, found['version'])


async def test_missed_watch_event_is_repaired(deploy):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    await deployment.set_faults('platform', miss_events=6)
    _, found = await change_contract(deployment, base, queue_ms=88)
    seconds = await wait_until_in_force(deployment, found['version'])
    assert seconds < IN_FORCE_SECONDS


async def test_machine_started_in_an_outage_syncs_from_its_zone(deploy):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    _, found = await change_contract(deployment, base, queue_ms=99)
    await wait_until_in_force(deployment, found['version'])
    await deployment.set_faults('platform', outage=True)
    await replace_node(deployment, 'north-1')
    node = deployment.nodes['north-1']
    await deployment.wait_http(f'{node.url}/health/ready')
    held = await read_versions_in_force(deployment, ('north-1',))
    assert held == {'north-1': found['version']}
    await deployment.set_faults('platform', outage=False)
    await wait_until_in_force(deployment, found['version'])


async def test_zone_replaced_at_once_in_an_outage_syncs_elsewhere(deploy):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    _, found = await change_contract(deployment, base, queue_ms=97)
    await wait_until_in_force(deployment, found['version'])
    await deployment.set_faults('platform', outage=True)
    for name in ('north-1', 'north-2'):
        for program in ('entry', 'control'):
            await deployment.kill(f'{program}-{name}')
    for name in ('north-1', 'north-2'):
        await replace_node(deployment, name)
    for name in ('north-1', 'north-2'):
        node = deployment.nodes[name]
        await deployment.wait_http(f'{node.url}/health/ready')
    held = await read_versions_in_force(deployment, ('north-1', 'north-2'))
    assert set(held.values()) == {found['version']}


async def test_sole_machine_of_a_zone_syncs_elsewhere_in_an_outage(deploy):
    deployment = await deploy(PLAN._replace(entries_per_zone=1))
    base = await read_stored_version(deployment)
    _, found = await change_contract(deployment, base, queue_ms=96)
    await wait_until_in_force(deployment, found['version'])
    await deployment.set_faults('platform', outage=True)
    await replace_node(deployment, 'north-1')
    node = deployment.nodes['north-1']
    await deployment.wait_http(f'{node.url}/health/ready')
    held = await read_versions_in_force(deployment, ('north-1',))
    assert held == {'north-1': found['version']}


async def test_machine_without_store_or_synced_peer_is_not_ready(deploy):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    _, found = await change_contract(deployment, base, queue_ms=98)
    await wait_until_in_force(deployment, found['version'])
    await deployment.set_faults(
        'cut',
        cuts=[['north', 'platform'], ['north', 'south']],
    )
    for program in ('entry', 'control'):
        await deployment.kill(f'{program}-north-2')
    await replace_node(deployment, 'north-1')
    node = deployment.nodes['north-1']
    await deployment.wait_log('control-north-1', 'store_watch_failed', 3)
    _, state = await deployment.admin('GET', '/v1/dump/north-1/control')
    assert state['ready'] is False
    await deployment.wait_http(f'{node.url}/health/ready', 503)
    await deployment.set_faults('cut', cuts=[])
    await deployment.wait_http(f'{node.url}/health/ready')
    held = await read_versions_in_force(deployment, ('north-1',))
    assert held == {'north-1': found['version']}


async def test_killed_relays_are_replaced(deploy):
    deployment = await deploy(PLAN._replace(entries_per_zone=3))
    base = await read_stored_version(deployment)
    _, state = await deployment.admin('GET', '/v1/dump/north-1/control')
    for node in state['relays']:
        await deployment.kill(f'control-{node}')
    _, found = await change_contract(deployment, base, queue_ms=55)
    alive = set(deployment.nodes) - set(state['relays'])
    seconds = await wait_until_in_force(deployment, found['version'], alive)
    assert seconds < IN_FORCE_SECONDS


async def test_frozen_relays_are_replaced(deploy):
    deployment = await deploy(PLAN._replace(entries_per_zone=3))
    base = await read_stored_version(deployment)
    _, state = await deployment.admin('GET', '/v1/dump/north-1/control')
    for node in state['relays']:
        deployment.send_signal(f'control-{node}', signal.SIGSTOP)
    _, found = await change_contract(deployment, base, queue_ms=56)
    alive = set(deployment.nodes) - set(state['relays'])
    seconds = await wait_until_in_force(deployment, found['version'], alive)
    assert seconds < IN_FORCE_SECONDS


async def test_zone_cut_from_platform_syncs_from_other_zones(deploy):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    await deployment.set_faults('cut', cuts=[['north', 'platform']])
    _, found = await change_contract(deployment, base, queue_ms=66)
    seconds = await wait_until_in_force(deployment, found['version'])
    assert seconds < IN_FORCE_SECONDS


async def test_zone_cut_off_serves_and_syncs_without_revert(deploy, call):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    await deployment.set_faults(
        'cut',
        cuts=[['north', 'platform'], ['north', 'south']],
    )
    _, found = await change_contract(deployment, base, queue_ms=67)
    south = {'south-1', 'south-2'}
    await wait_until_in_force(deployment, found['version'], south)
    held = await read_versions_in_force(deployment)
    assert held['north-1'] == base
    async with asyncio.timeout(10):
        while True:
            url = deployment.nodes['north-1'].url
            status, _ = await call(deployment, 'seats', url=url)
            if status == 200:
                break
    await deployment.set_faults('cut', cuts=[])
    assert await wait_until_in_force(deployment, found['version']) < (
        IN_FORCE_SECONDS
    )


async def test_zone_replaced_one_by_one_in_an_outage_keeps_serving(
    deploy,
    call,
):
    deployment = await deploy(PLAN)
    base = await read_stored_version(deployment)
    _, found = await change_contract(deployment, base, queue_ms=44)
    await wait_until_in_force(deployment, found['version'])
    await deployment.set_faults('platform', outage=True)
    for name in ('north-1', 'north-2'):
        await replace_node(deployment, name)
        node = deployment.nodes[name]
        await deployment.wait_http(f'{node.url}/health/ready')
        status, answer = await call(deployment, 'seats', url=node.url)
        assert status == 200
        assert answer['contract_version'] == found['version']
