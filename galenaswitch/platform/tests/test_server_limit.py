"""Targets that name the rate of requests that they take from all VMs."""

import asyncio

import pytest

CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
RATE_LIMIT = 1.5
# Most requests in a window: one and a half times the limit, and five more.
MAX_IN_WINDOW = 1.5 * RATE_LIMIT * WINDOW_SECONDS + 5


async def send_at_rate(driver, route, rate, seconds):
    """Send requests at a constant rate and return them."""
    end = driver.soak._now() + seconds
    tasks = []
    async with asyncio.TaskGroup() as group:
        while driver.soak._now() < end:
            part = f'p{len(tasks) % 7}'
            tasks.append(group.create_task(driver.send(route, 'first', part)))
            await asyncio.sleep(1 / rate)
    return [task.result() for task in tasks]


def find_largest_window(driver, since):
    """Return the most requests that one target got in a window."""
    starts = {}
    for run in driver.soak.records.ran:
        if run.started_at >= since:
            starts.setdefault(run.target, []).append(run.started_at)
    return max(
        sum(start <= other < start + WINDOW_SECONDS for other in times)
        for times in starts.values()
        for start in times
    )


# Guards against a limit that each VM keeps by itself, or none at all.
@pytest.mark.timeout(90)
@pytest.mark.parametrize(
    ('route', 'network'), [('plain', 62), ('once', 63), ('chat', 64)]
)
async def test_target_gets_no_more_than_the_limit_that_it_names(
    open_driver, route, network
):
    driver = await open_driver(network)
    for target in driver.soak._targets:
        target.rate_limit = RATE_LIMIT
    started_at = driver.soak._now()
    sent = await send_at_rate(driver, route, 12, 12)
    since = started_at + CONTACT_SECONDS
    assert find_largest_window(driver, since) <= MAX_IN_WINDOW
    statuses = [one.status for one in sent if one.sent_at > since]
    served = [status for status in statuses if status == 200]
    assert len(served) >= RATE_LIMIT * 2 * 5
    assert set(statuses) <= {200, 503}


# Guards against a limit that is kept anew by each owner of a service.
@pytest.mark.timeout(90)
@pytest.mark.parametrize(('route', 'network'), [('plain', 67), ('chat', 68)])
async def test_limit_holds_while_each_machine_is_killed_in_turn(
    open_driver, route, network
):
    driver = await open_driver(network)
    for target in driver.soak._targets:
        target.rate_limit = RATE_LIMIT
    started_at = driver.soak._now()
    async with asyncio.TaskGroup() as group:
        group.create_task(send_at_rate(driver, route, 12, 24))
        for machine in driver.soak._machines:
            await asyncio.sleep(WINDOW_SECONDS + 1)
            machine.kill()
    since = started_at + CONTACT_SECONDS
    assert find_largest_window(driver, since) <= MAX_IN_WINDOW


# Guards against requests that wait for a place until their deadline passes.
@pytest.mark.timeout(90)
async def test_request_without_a_place_in_time_is_refused_at_once(open_driver):
    driver = await open_driver(65)
    for target in driver.soak._targets:
        target.rate_limit = 0.5
    sent = await send_at_rate(driver, 'plain', 10, 8)
    refused = [one.seconds for one in sent if one.status == 503]
    assert len(refused) > 20
    assert sorted(refused)[len(refused) * 3 // 4] < 0.5


# Guards against a limit that outlives the need of the target.
@pytest.mark.timeout(90)
async def test_limit_that_is_withdrawn_no_longer_holds(open_driver):
    driver = await open_driver(66)
    for target in driver.soak._targets:
        target.rate_limit = 0.5
    await send_at_rate(driver, 'plain', 10, 6)
    for target in driver.soak._targets:
        target.rate_limit = 0
    await send_at_rate(driver, 'plain', 10, 6)
    sent = await send_at_rate(driver, 'plain', 10, 4)
    assert sum(one.status == 200 for one in sent) > len(sent) * 0.9
