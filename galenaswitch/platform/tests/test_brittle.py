"""Targets that end when they turn too many requests away in a second."""

import asyncio

import pytest

CONTACT_SECONDS = 3.0
OVERLOAD_SECONDS = 22
SLOTS = 4
RUN_SECONDS = 0.2
LIMIT = 3
TARGETS = 6
# Falls that the targets may have: two and a tenth of their number.
MAX_FALLS = 2 + TARGETS / 10
# Requests that all targets together answer in a second.
CAPACITY = {
    'plain': TARGETS * SLOTS / (RUN_SECONDS + 0.03),
    'once': TARGETS * SLOTS / (RUN_SECONDS + 0.03),
    'chat': TARGETS * SLOTS / (RUN_SECONDS + 0.09),
    'notes': TARGETS * 6 / (0.06 + 6 * 0.01) / 5,
}
SERVICES = {'plain': 'desk', 'once': 'desk', 'chat': 'llm', 'notes': 'scan'}


class Overload:
    """VMs and targets under more load than the targets can serve."""

    def __init__(self, driver, route):
        """Send to a running soak, whose first targets are brittle later."""
        self.driver = driver
        self.targets = driver.soak._targets[:TARGETS]
        self.route = route

    @property
    def falls(self):
        """Number of times at which a target ended because it refused."""
        return sum(len(target._room.falls) for target in self.targets)

    @property
    def refused(self):
        """Number of requests that the targets have turned away."""
        return sum(target._room.refused for target in self.targets)

    async def run(self, load):
        """Make the targets brittle under a load relative to their capacity.

        :returns: requests per second that were served, relative to it.
        """
        rate = CAPACITY[self.route]
        await self.send(rate / 2, 3)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._make_brittle())
            sending = group.create_task(
                self.send(rate * load, OVERLOAD_SECONDS)
            )
        served = sum(one.status == 200 for one in sending.result())
        return served / OVERLOAD_SECONDS / rate

    async def send(self, rate, seconds):
        """Send requests at a constant rate and return them."""
        soak = self.driver.soak
        started_at = soak._now()
        tasks = []
        async with asyncio.TaskGroup() as group:
            while soak._now() < started_at + seconds:
                due = int((soak._now() - started_at) * rate)
                while len(tasks) < due:
                    sending = self.driver.send(
                        self.route,
                        'first',
                        f'p{len(tasks) % 7}',
                        work_items='2,3' if self.route == 'notes' else '',
                    )
                    tasks.append(group.create_task(sending))
                await asyncio.sleep(0.005)
        return [task.result() for task in tasks]

    async def _make_brittle(self):
        """Say that targets are brittle, and let fewer wait after some time."""
        for target in self.targets:
            target._room.limit = LIMIT
        await asyncio.sleep(CONTACT_SECONDS)
        for target in self.targets:
            target._room.queue = 2
            target._room.fragile = True


@pytest.fixture
def open_overload(open_driver):
    """Return a function that starts VMs and targets with few slots."""

    async def start(network, route):
        is_batched = route == 'notes'
        others = ('llm', 'llm') if is_batched else ('scan',)
        services = (SERVICES[route],) * TARGETS + others
        driver = await open_driver(network, machines=3, services=services)
        overload = Overload(driver, route)
        for target in overload.targets:
            target._room.slots = 1 if is_batched else SLOTS
            target._room.queue = 2 * SLOTS
            target._room.run_seconds = 0 if is_batched else RUN_SECONDS
        return overload

    return start


# Guards against VMs that learn by refusals that a brittle target is full.
@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    ('route', 'load', 'network'),
    [
        ('plain', 1.8, 101),
        ('plain', 2.6, 102),
        ('once', 1.8, 103),
        ('chat', 1.8, 104),
        ('chat', 2.6, 105),
        ('notes', 1.8, 108),
        ('notes', 2.6, 109),
    ],
)
async def test_overload_does_not_end_brittle_targets(
    open_overload, route, load, network
):
    overload = await open_overload(network, route)
    served = await overload.run(load)
    assert overload.falls <= MAX_FALLS, overload.refused
    assert served >= 0.3


# Guards against an owner of a service that forgets what is in flight.
@pytest.mark.timeout(120)
@pytest.mark.parametrize(('route', 'network'), [('plain', 106), ('chat', 107)])
async def test_brittle_targets_outlive_each_machine_in_turn(
    open_overload, route, network
):
    overload = await open_overload(network, route)
    async with asyncio.TaskGroup() as group:
        running = group.create_task(overload.run(1.8))
        await asyncio.sleep(CONTACT_SECONDS * 2)
        for machine in overload.driver.soak._machines:
            await asyncio.sleep(5)
            machine.kill()
    assert overload.falls <= MAX_FALLS, overload.refused
    assert running.result() >= 0.3
