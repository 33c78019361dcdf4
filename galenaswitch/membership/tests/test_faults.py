import asyncio

from standins.plans import Plan, WorkerPlan

ZONES = ('north', 'south')
PLAN = Plan(
    zones=ZONES,
    engines=(),
    workers=tuple(WorkerPlan('north', 'bookings') for _ in range(2)),
)
NOTICE_TIMEOUT_SECONDS = 3


async def count_calls(deployment, name):
    """Return the number of calls that a worker has begun to run."""
    url = f'{deployment.urls[name]}/control/ledger'
    return len(await deployment.fetch(url))


async def wait_until_known_leaving(deployment, target):
    """Wait until every entry lists a target as leaving."""
    for node in deployment.nodes:
        while True:
            _, state = await deployment.admin('GET', f'/v1/dump/{node}/entry')
            if target in state['leaving']:
                break
            await asyncio.sleep(0.02)


async def test_leaving_target_gets_no_requests_while_the_list_lags(
    deploy,
    call,
):
    deployment = await deploy(PLAN)
    await deployment.set_faults('platform', list_lag=600)
    await deployment.set_faults('bookings-1', leaving=True)
    async with asyncio.timeout(NOTICE_TIMEOUT_SECONDS):
        await wait_until_known_leaving(deployment, 'bookings-1')
    before = await count_calls(deployment, 'bookings-1')
    for node in deployment.nodes.values():
        for _ in range(5):
            status, _ = await call(deployment, 'seats', url=node.url)
            assert status == 200
    assert await count_calls(deployment, 'bookings-1') == before


async def test_one_refused_call_notifies_all_entries(deploy, call):
    deployment = await deploy(PLAN)
    await deployment.set_faults('platform', list_lag=600)
    await deployment.set_faults('bookings-1', leaving=True)
    url = deployment.nodes['south-1'].url
    statuses = [
        (await call(deployment, 'seats', url=url))[0] for _ in range(10)
    ]
    assert set(statuses) == {200}
    async with asyncio.timeout(NOTICE_TIMEOUT_SECONDS):
        await wait_until_known_leaving(deployment, 'bookings-1')


async def test_calls_move_to_another_target_when_one_leaves(deploy, call):
    workers = tuple(WorkerPlan('north', 'orders') for _ in range(2))
    deployment = await deploy(PLAN._replace(workers=workers))
    await deployment.set_faults('orders-1', leaving=True)
    for number in range(6):
        order = {'order': f'slide-{number}'}
        status, _ = await call(
            deployment,
            'rescan',
            f'key-{number}',
            fields=order,
        )
        assert status == 200
    assert await count_calls(deployment, 'orders-1') == 0
    assert await count_calls(deployment, 'orders-2') == 6


async def test_restarted_target_gets_requests_again(deploy, call):
    deployment = await deploy(PLAN)
    await deployment.set_faults('bookings-1', leaving=True)
    await wait_until_known_leaving(deployment, 'bookings-1')
    await deployment.kill('bookings-1')
    target = deployment.targets['bookings-1']
    target['incarnation'] = 'bookings-1-2'
    command = deployment.commands['bookings-1']
    command[3] = 'bookings-1-2'
    deployment.run('bookings-1', command)
    await deployment.wait_http(f'{target["url"]}/load')
    await deployment.publish_members()
    async with asyncio.timeout(20):
        while not await count_calls(deployment, 'bookings-1'):
            status, _ = await call(deployment, 'seats')
            assert status == 200
