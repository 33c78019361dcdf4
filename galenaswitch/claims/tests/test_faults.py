import asyncio
import signal

import pytest

from galenaswitch.claims.journal import find_shard
from galenaswitch.membership.ranking import rank_nodes
from standins.plans import Plan, WorkerPlan

ORDER = {'order': 'slide-1'}


async def read_ledger(deployment, pool='orders'):
    """Return the keys of all orders that the services of a pool ran."""
    ran = []
    for name in deployment.targets:
        if name.startswith(pool):
            url = f'{deployment.urls[name]}/control/ledger'
            ran += [entry['key'] for entry in await deployment.fetch(url)]
    return ran


def find_owner(deployment, key):
    """Return the first machine in the ranking of a key's shard."""
    number = find_shard('lab', key)
    return rank_nodes(f'slice/{number}', deployment.nodes)[0]


async def test_retry_at_every_entry_gets_first_outcome(deploy, call):
    deployment = await deploy()
    replayed = []
    for node in deployment.nodes.values():
        status, found = await call(
            deployment,
            'rescan',
            'key-1',
            url=node.url,
            fields=ORDER,
        )
        assert status == 200
        replayed.append(found['replayed'])
    assert replayed == [False, True, True, True]
    assert await read_ledger(deployment) == ['slide-1']


async def test_same_key_with_another_body_is_refused(deploy, call):
    deployment = await deploy()
    await call(deployment, 'rescan', 'key-1', fields=ORDER)
    status, found = await call(
        deployment,
        'rescan',
        'key-1',
        fields={'order': 'slide-2'},
    )
    assert status == 422
    assert found['error']['run'] == 'not-run'
    assert await read_ledger(deployment) == ['slide-1']


async def test_store_outage_refuses_keyed_calls_as_not_run(deploy, call):
    deployment = await deploy()
    await call(deployment, 'rescan', 'key-0', fields={'order': 'first'})
    await deployment.set_faults('platform', outage=True)
    status, found = await call(deployment, 'rescan', 'key-1', fields=ORDER)
    assert status == 503
    assert found['error']['run'] == 'not-run'
    status, _ = await call(deployment, 'rescan', fields={'order': 'keyless'})
    assert status == 200
    await deployment.set_faults('platform', outage=False)
    assert sorted(await read_ledger(deployment)) == ['first', 'keyless']


async def test_key_is_usable_after_an_outage(deploy, call):
    deployment = await deploy()
    await deployment.set_faults('platform', outage=True)
    await call(deployment, 'rescan', 'key-1', fields=ORDER)
    await deployment.set_faults('platform', outage=False)
    async with asyncio.timeout(20):
        while True:
            status, found = await call(
                deployment,
                'rescan',
                'key-1',
                fields=ORDER,
            )
            if status == 200:
                break
            assert found['error']['run'] == 'not-run', found
    assert await read_ledger(deployment) == ['slide-1']


@pytest.mark.parametrize('fault', ['lose_answers', 'late_writes'])
async def test_lost_answers_and_late_writes_run_once(deploy, call, fault):
    deployment = await deploy()
    for number in range(6):
        await deployment.set_faults(
            'platform', **{fault: 2, 'late_seconds': 0.3}
        )
        async with asyncio.timeout(20):
            while True:
                status, _ = await call(
                    deployment,
                    'rescan',
                    f'key-{number}',
                    fields={'order': f'slide-{number}'},
                )
                if status == 200:
                    break
    ran = sorted(await read_ledger(deployment))
    assert ran == [f'slide-{number}' for number in range(6)]


async def test_killed_owner_is_taken_over(deploy, call):
    deployment = await deploy()
    await call(deployment, 'rescan', 'key-1', fields=ORDER)
    owner = find_owner(deployment, 'key-1')
    await deployment.kill(f'control-{owner}')
    other = next(
        node for node in deployment.nodes.values() if node.name != owner
    )
    status, found = await call(
        deployment,
        'rescan',
        'key-1',
        url=other.url,
        fields=ORDER,
    )
    assert (status, found.get('replayed')) == (200, True), found
    assert await read_ledger(deployment) == ['slide-1']


async def test_frozen_owner_cannot_grant_after_takeover(deploy, call):
    deployment = await deploy()
    keys = [f'key-{number}' for number in range(40)]
    keys = [key for key in keys if find_owner(deployment, key) == 'north-1']
    assert len(keys) > 3
    await call(deployment, 'rescan', keys[0], fields={'order': keys[0]})
    deployment.send_signal('control-north-1', signal.SIGSTOP)
    others = [
        node for node in deployment.nodes.values() if node.name != 'north-1'
    ]

    async def rescan(node, key):
        status, _ = await call(
            deployment,
            'rescan',
            key,
            url=node.url,
            fields={'order': key},
        )
        return status

    for key in keys[:3]:
        statuses = await asyncio.gather(
            *(rescan(node, key) for node in others),
        )
        assert 200 in statuses
    deployment.send_signal('control-north-1', signal.SIGCONT)
    for node in deployment.nodes.values():
        for key in keys[:4]:
            await rescan(node, key)
    ran = sorted(await read_ledger(deployment))
    assert ran == sorted(keys[:4])


async def test_broken_call_is_unknown_and_never_run_again(deploy, call):
    deployment = await deploy()
    for name in deployment.targets:
        if name.startswith('orders'):
            await deployment.set_faults(name, **{'break': 1})
    status, found = await call(deployment, 'rescan', 'key-1', fields=ORDER)
    assert status == 502
    assert found['error']['run'] == 'unknown'
    for node in deployment.nodes.values():
        status, found = await call(
            deployment,
            'rescan',
            'key-1',
            url=node.url,
            fields=ORDER,
        )
        assert status == 409
        assert found['error']['type'] == 'outcome-unknown'
    assert await read_ledger(deployment) == ['slide-1']


async def test_caller_that_left_gets_the_outcome_by_a_retry(deploy, call):
    plan = Plan(
        zones=('north',),
        engines=(),
        workers=(WorkerPlan('north', 'orders', seconds=0.8),),
    )
    deployment = await deploy(plan)
    abandoned_call = asyncio.create_task(
        call(deployment, 'rescan', 'key-1', fields=ORDER),
    )
    while not await read_ledger(deployment):
        await asyncio.sleep(0.02)
    abandoned_call.cancel()
    async with asyncio.timeout(10):
        while True:
            status, found = await call(
                deployment,
                'rescan',
                'key-1',
                fields=ORDER,
            )
            if status == 200:
                break
            assert found['error']['type'] == 'still-running'
            await asyncio.sleep(0.05)
    assert found['replayed']
    assert await read_ledger(deployment) == ['slide-1']
