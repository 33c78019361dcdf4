"""Machines that are cut off from all targets while callers reach them."""

import asyncio
import random

import aiohttp
import pytest

from galenaswitch.platform.soak.callers import (
    OK,
    REQUEST_KINDS,
    Caller,
    Stream,
)
from galenaswitch.platform.soak.faults import (
    Fault,
    FaultInjector,
    FaultSubjects,
)
from galenaswitch.platform.soak.promises import (
    check_answers,
    check_refusals,
    check_single_runs,
    check_stream_ends,
)
from galenaswitch.platform.soak.proxy import UNREAD
from galenaswitch.platform.soak.reachability import (
    check_partitions,
    measure_partition,
)
from galenaswitch.platform.soak.soundness import CONTACT_SECONDS

CALM_SECONDS = 2.0
# Interval of the requests, which go to all machines in turn, ready or not.
INTERVAL_SECONDS = 0.06
EVENTS = 12
PARTITION_SECONDS = 9.0
# What is sent late on a connection that isn't read is answered after its end.
UNREAD_SECONDS = 18.0
# Fewest first tries at partitioned machines that a test has to see.
MIN_TRIES = 20
# Smallest share of first tries served at the other machines.
MIN_OTHERS_SHARE = 0.9
# Machines of the zone north have even numbers.
ONE, ZONE, MOST = (0,), (0, 2), (0, 1, 2)


async def send_steadily(soak):
    """Send requests to all machines in turn, until cancelled."""
    addresses = [machine.callers for machine in soak._machines]
    rng = random.Random(1)
    caller = Caller(addresses, soak._balancer, soak.records, soak._now, rng)
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        while True:
            for number in range(len(addresses)):
                kind = rng.choice(REQUEST_KINDS)
                stream = Stream(kind, f'/{kind}/%20x/{EVENTS}?q=%2f')
                group.create_task(
                    caller._send_attempt(session, number, stream, first=False)
                )
                await asyncio.sleep(INTERVAL_SECONDS)


async def partition(soak, numbers, mode):
    """Cut machines off from all targets for a time."""
    subjects = FaultSubjects(
        soak._machines, soak._targets, soak._store, soak._operator
    )
    injector = FaultInjector(subjects, soak.records, soak._now)
    seconds = UNREAD_SECONDS if mode == UNREAD else PARTITION_SECONDS
    await injector.run(
        [Fault(0, 'partition', number, seconds, mode) for number in numbers]
    )


# Guards against machines that refuse their callers while they alone can't
# reach the targets, and against others that fail with them.
@pytest.mark.timeout(90)
@pytest.mark.parametrize(
    ('network', 'numbers', 'mode'),
    [
        pytest.param(151, ONE, 'hang', id='one-hang'),
        pytest.param(152, ONE, 'live_on', id='one-live-on'),
        pytest.param(153, ONE, 'refuse', id='one-refuse'),
        pytest.param(154, ZONE, 'reset', id='zone-reset'),
        pytest.param(155, ZONE, 'hang', id='zone-hang'),
        pytest.param(156, MOST, 'hang', id='most-hang'),
        pytest.param(157, MOST, 'reset', id='most-reset'),
        pytest.param(168, ONE, UNREAD, id='one-unread'),
    ],
)
async def test_machines_without_a_path_to_targets_serve_callers(
    open_driver, network, numbers, mode
):
    soak = (await open_driver(network)).soak
    sending = asyncio.create_task(send_steadily(soak))
    await asyncio.sleep(CALM_SECONDS)
    since = soak._now() + CONTACT_SECONDS
    await partition(soak, numbers, mode)
    until = soak._now()
    await asyncio.sleep(CALM_SECONDS)
    sending.cancel()
    checks = (
        check_partitions,
        check_single_runs,
        check_refusals,
        check_answers,
        check_stream_ends,
    )
    found = [broken for check in checks for broken in check(soak.records)]
    assert not found, '\n'.join(found)
    cut_off, others = measure_partition(soak.records, since, until)
    assert cut_off.tries >= MIN_TRIES
    assert others.served >= MIN_OTHERS_SHARE * others.tries, str(others)
    statuses = [
        one.status for one in soak.records.sent if one.sent_at >= until + 1
    ]
    assert statuses.count(OK) >= MIN_OTHERS_SHARE * len(statuses)
