"""Targets that end when they turn too many requests away in a second."""

import asyncio

import pytest

CONTACT_SECONDS = 3.0
SLOTS = 4
RUN_SECONDS = 0.2
LIMIT = 3
TARGETS = 6
# Falls that the targets may have: two and a tenth of their number.
MAX_FALLS = 2 + TARGETS / 10


@pytest.fixture
def open_brittle(open_driver):
    """Return a function that starts VMs and targets with few slots."""

    async def start(network, service):
        others = ('scan',) * (service != 'scan')
        driver = await open_driver(
            network, machines=3, services=(service,) * TARGETS + others
        )
        for target in driver.soak._targets[:TARGETS]:
            target._room.slots = SLOTS
            target._room.queue = 2 * SLOTS
            target._room.run_seconds = RUN_SECONDS
        return driver

    return start


async def send_at_rate(driver, route, rate, seconds):
    """Send requests at a constant rate and return them."""
    started_at = driver.soak._now()
    tasks = []
    async with asyncio.TaskGroup() as group:
        while driver.soak._now() < started_at + seconds:
            due = int((driver.soak._now() - started_at) * rate)
            while len(tasks) < due:
                part = f'p{len(tasks) % 7}'
                tasks.append(
                    group.create_task(driver.send(route, 'first', part))
                )
            await asyncio.sleep(0.005)
    return [task.result() for task in tasks]


async def make_brittle(targets):
    """Say that targets are brittle, and let fewer wait after some time."""
    for target in targets:
        target._room.limit = LIMIT
    await asyncio.sleep(CONTACT_SECONDS)
    for target in targets:
        target._room.queue = 2
        target._room.fragile = True


# Guards against VMs that learn by refusals that a brittle target is full.
@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    ('route', 'service', 'load', 'network'),
    [
        ('plain', 'desk', 1.8, 101),
        ('plain', 'desk', 2.6, 102),
        ('once', 'desk', 1.8, 103),
        ('chat', 'llm', 1.8, 104),
    ],
)
async def test_overload_does_not_end_brittle_targets(
    open_brittle, route, service, load, network
):
    driver = await open_brittle(network, service)
    targets = driver.soak._targets[:TARGETS]
    run_seconds = RUN_SECONDS + (0.03 if service == 'desk' else 0.09)
    capacity = TARGETS * SLOTS / run_seconds
    await send_at_rate(driver, route, capacity / 2, 3)
    async with asyncio.TaskGroup() as group:
        group.create_task(make_brittle(targets))
        sending = group.create_task(
            send_at_rate(driver, route, capacity * load, 22)
        )
    served = sum(one.status == 200 for one in sending.result())
    falls = sum(len(target._room.falls) for target in targets)
    refused = sum(target._room.refused for target in targets)
    print(f'falls={falls} refused={refused} served={served}')
    assert falls <= MAX_FALLS
    assert served >= capacity * 22 * 0.7
