import asyncio
import signal

import pytest

from standins.examples import GENERATE, LAB_TOKEN, make_contract
from standins.plans import EnginePlan, Plan

PLAN = Plan(zones=('north',), engines=(EnginePlan('north'),))
LOADED = ['scribe@1', 'scribe@2']


async def add_second_model(deployment):
    """Add a pipeline that needs another version of the model."""
    stage = {**GENERATE, 'version': '2'}
    pipeline = {'name': 'tour-note-2', 'stages': [stage]}
    await deployment.create('pipelines', pipeline)
    base = await deployment.admin('GET', '/v1/contracts')
    version = base[1]['objects'][0]['version']
    await deployment.admin(
        'PUT',
        '/v1/contracts/lab',
        {'If-Match': f'"{version}"'},
        json=make_contract('lab', LAB_TOKEN, pipelines=['tour-note-2']),
    )


async def wait_until_loaded(deployment, models):
    """Wait until the engine has loaded models and return its reply."""
    async with asyncio.timeout(25):
        while True:
            found = await deployment.fetch(
                f'{deployment.urls["engine-1"]}/orders',
            )
            if sorted(found['models']) == models:
                return found
            await asyncio.sleep(0.1)


async def find_lease_holder(deployment):
    """Return the name of the VM that holds the zone's lease."""
    async with asyncio.timeout(20):
        while True:
            for node in deployment.nodes:
                _, state = await deployment.admin(
                    'GET',
                    f'/v1/dump/{node}/control',
                )
                if state['orders']['held']:
                    return node
            await asyncio.sleep(0.1)


async def test_desired_model_is_loaded_and_serves(deploy, call):
    deployment = await deploy(PLAN)
    await add_second_model(deployment)
    await wait_until_loaded(deployment, LOADED)
    async with asyncio.timeout(10):
        while True:
            status, _ = await call(deployment, 'tour-note-2', prompt='ice')
            if status == 200:
                break


@pytest.mark.parametrize('checks', [True, False])
async def test_paused_lease_holder_is_replaced_and_models_stay_loaded(
    deploy, checks
):
    engine = EnginePlan('north', checks=checks)
    deployment = await deploy(PLAN._replace(engines=(engine,)))
    holder = await find_lease_holder(deployment)
    deployment.send_signal(f'control-{holder}', signal.SIGSTOP)
    await add_second_model(deployment)
    found = await wait_until_loaded(deployment, LOADED)
    fencing_tokens = [order['fence'] for order in found['orders']]
    deployment.send_signal(f'control-{holder}', signal.SIGCONT)
    late_command = {'fence': 1, 'models': ['scribe@1']}
    url = f'{deployment.urls["engine-1"]}/orders'
    async with deployment.http.post(url, json=late_command) as answer:
        assert (answer.status == 409) is checks
    found = await wait_until_loaded(deployment, LOADED)
    assert fencing_tokens == sorted(fencing_tokens)


async def test_planned_stop_releases_the_lease_at_once(deploy):
    deployment = await deploy(PLAN)
    holder = await find_lease_holder(deployment)
    for program in ('entry', 'control'):
        deployment.send_signal(f'{program}-{holder}', signal.SIGTERM)
    async with asyncio.timeout(8):
        while True:
            leases = (
                await deployment.fetch(
                    f'{deployment.urls["platform"]}/objects?kinds=leases',
                )
            )['objects']
            owner = leases[0]['body']['holder'].partition('/')[0]
            if owner and owner != holder:
                break
            await asyncio.sleep(0.1)
