import asyncio
import signal
import time

from standins.plans import EnginePlan, Plan, WorkerPlan

ZONES = ('north', 'south')
PLAN = Plan(
    zones=ZONES,
    engines=tuple(EnginePlan(zone) for zone in ZONES),
    workers=tuple(
        WorkerPlan(zone, pool, seconds=0.1)
        for zone in ZONES
        for pool in ('orders', 'bookings')
    ),
)
PROMPT = 'ice ' * 100


class LoadGenerator:
    """Workers that send requests until ``running`` is cleared."""

    def __init__(self, deployment, call):
        self.deployment = deployment
        self.call = call
        self.running = True
        self.failures = []
        self.answered = 0
        self.accepted_orders = []

    async def run(self, worker):
        number = 0
        while self.running:
            number += 1
            await self._send(worker, number)

    async def _send(self, worker, number):
        order = f'slide-{worker}-{number}'
        status, document = await self.call(
            self.deployment,
            'rescan',
            f'key-{worker}-{number}',
            fields={'order': order},
        )
        if status == 200:
            self.accepted_orders.append(order)
        self._record(status, document)
        status, document = await self.call(
            self.deployment,
            'tour-note',
            prompt=PROMPT,
            max_tokens=30,
        )
        self._record(status, document)

    def _record(self, status, document):
        if status == 200:
            self.answered += 1
            return
        self.failures.append((status, document))


async def stop_under_load(deployment, call, programs):
    """Send SIGTERM to programs under load and wait until they have exited.

    Each program must exit with code 0, and the machines that remain must
    answer further requests.
    """
    load = LoadGenerator(deployment, call)
    workers = [asyncio.create_task(load.run(worker)) for worker in range(6)]
    while load.answered < 6:
        await asyncio.sleep(0.02)
    for program in programs:
        deployment.send_signal(program, signal.SIGTERM)
    for program in programs:
        end = time.monotonic() + 30
        assert await deployment.wait_exit(program, end) == 0
    answered = load.answered
    while load.answered < answered + 6 and not load.failures:
        await asyncio.sleep(0.02)
    load.running = False
    await asyncio.gather(*workers)
    return load


async def test_graceful_shutdown_of_machine_loses_no_request(deploy, call):
    deployment = await deploy(PLAN)
    load = await stop_under_load(
        deployment,
        call,
        ['entry-north-1', 'control-north-1'],
    )
    assert load.failures == []
    ran = []
    for name in deployment.targets:
        if name.startswith('orders'):
            url = f'{deployment.urls[name]}/control/ledger'
            ran += [entry['key'] for entry in await deployment.fetch(url)]
    assert sorted(ran) == sorted(load.accepted_orders)


async def test_graceful_shutdown_of_control_loses_no_request(deploy, call):
    deployment = await deploy(PLAN)
    deployment.send_signal('entry-north-1', signal.SIGTERM)
    end = time.monotonic() + 30
    assert await deployment.wait_exit('entry-north-1', end) == 0
    load = await stop_under_load(deployment, call, ['control-north-1'])
    assert load.failures == []


async def test_graceful_shutdown_of_admin_finishes_its_request(deploy):
    deployment = await deploy(PLAN)
    await deployment.set_faults('platform', delay=0.5)
    listing = asyncio.create_task(deployment.admin('GET', '/v1/contracts'))
    await asyncio.sleep(0.2)
    deployment.send_signal('admin', signal.SIGTERM)
    status, found = await listing
    assert (status, len(found['objects'])) == (200, 1)
    end = time.monotonic() + 30
    assert await deployment.wait_exit('admin', end) == 0


async def test_entry_without_its_control_becomes_unready(
    deploy,
    call,
):
    deployment = await deploy(PLAN)
    url = deployment.nodes['north-1'].url
    for _ in range(10):
        await call(deployment, 'seats', url=url)
    await deployment.kill('control-north-1')
    replies = [await call(deployment, 'seats', url=url) for _ in range(3)]
    assert 200 in {status for status, _ in replies}, replies
    await deployment.wait_http(f'{url}/health/ready', 503)
    # The entry process may still answer on a connection that was already open,
    # so the status of this request is not checked.
    await call(deployment, 'seats')
    for _ in range(8):
        status, _ = await call(deployment, 'seats')
        assert status == 200
