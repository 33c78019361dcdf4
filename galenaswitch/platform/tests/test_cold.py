"""Cold targets, which take few requests a second from all machines together."""

import asyncio

import pytest

from galenaswitch.platform.evacuations import EvacuationEntries
from galenaswitch.platform.soak import configuration
from galenaswitch.platform.tests.test_server_limit import send_at_rate

RATE = 7.3
START_SECONDS = 3.0
MAX_IN_SECOND = 1.5 * RATE + 5
REQUESTS_PER_SECOND = 50


@pytest.fixture
def configure_cold(monkeypatch):
    """Let the operator of a soak write limits of cold targets."""
    make = configuration.make_configuration

    def make_cold(*args, **kwargs):
        document = make(*args, **kwargs)
        for service in document['services']:
            service['cold-per-s'] = RATE
            service['cold-start-s'] = START_SECONDS
        return document

    monkeypatch.setattr(configuration, 'make_configuration', make_cold)


def find_largest_second(driver, targets, since, until):
    """Return the most requests that one of some targets got in a second."""
    largest = 0
    for target in targets:
        times = [
            run.started_at
            for run in driver.soak.records.ran
            if run.target == target.name and since <= run.started_at < until
        ]
        for start in times:
            count = sum(start <= one < start + 1 for one in times)
            largest = max(largest, count)
    return largest


async def send_for(driver, route, seconds):
    """Send requests of a burst and return their statuses."""
    sent = await send_at_rate(driver, route, REQUESTS_PER_SECOND, seconds)
    return [one.status for one in sent]


# Guards against targets that crash as they return cold all at once after an
# evacuation, in a burst, while a machine is lost.
@pytest.mark.timeout(90)
@pytest.mark.parametrize(('route', 'network'), [('plain', 173), ('chat', 174)])
async def test_zone_that_returns_cold_gets_few_requests(
    configure_cold, open_driver, route, network
):
    driver = await open_driver(network)
    soak = driver.soak
    north = [one for one in soak._targets if one.zone == 'north']
    soak._store.put(EvacuationEntries.kind, 'north', {})
    await asyncio.sleep(2)
    sending = asyncio.create_task(send_for(driver, route, 7))
    await asyncio.sleep(1)
    returned_at = soak._now()
    for target in north:
        target.cold_until = returned_at + START_SECONDS
    soak._store.remove(EvacuationEntries.kind, 'north')
    await asyncio.sleep(1)
    soak._machines[0].kill()
    statuses = await sending
    cold_end = returned_at + START_SECONDS
    largest = find_largest_second(driver, north, returned_at, cold_end)
    assert largest <= MAX_IN_SECOND
    assert statuses.count(200) > len(statuses) / 2
    await asyncio.sleep(START_SECONDS)
    warm_at = soak._now()
    await send_for(driver, route, 2)
    assert find_largest_second(driver, north, warm_at, soak._now())
