"""Evacuated zones: nothing is sent there, on no way."""

import asyncio
import time

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.evacuation.zones import EvacuatedZones
from galenaswitch.gateway.messages import PlaceReply
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import MemberList, Target
from galenaswitch.platform.evacuations import EvacuationEntries

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
# Seconds after the store's acknowledgement within which an evacuation is in
# force here; the bound of the settings is 5 s.
GOAL_SECONDS = 1.0
BOUND_SECONDS = 5.0
SENDS = 25
EVENT = b'id: 1\ndata: x\n\n'


@pytest.fixture
def zones():
    """Return the evacuated zones of a VM."""
    return EvacuatedZones()


@pytest.fixture
async def servers(scripted, make_answer):
    """Return a target in the zone ``a`` and one in ``b``."""
    return [await scripted([make_answer()], keep=True) for _ in range(2)]


@pytest.fixture
def list_zones(listed, zones):
    """Return a function that lists servers in the zones ``a`` and ``b``."""

    def put(servers):
        targets = tuple(
            Target(f't{zone}', f't{zone}/1', zone, 'desk', one.address)
            for zone, one in zip('ab', servers, strict=True)
        )
        listed.accept(MemberList(listed.member_list.revision + 1, (), targets))
        listed.apply_zone_rule(zones)
        return targets

    return put


def evacuate(listed, zones, *names):
    """Bring evacuations into force on a VM."""
    zones.apply(names, time.monotonic())
    listed.apply_zone_rule(zones)


# Guards against plain requests to a zone, during and after its evacuation.
@pytest.mark.parametrize('kind', [CallKind.once, CallKind.repeatable])
async def test_plain_requests_leave_an_evacuated_zone_and_return(
    kind,
    make_plain_runner,
    servers,
    list_zones,
    listed,
    zones,
    make_route,
    make_caller_request,
    writer,
):
    runner = make_plain_runner()
    list_zones(servers)
    counts = []
    # Without an evacuation, each request goes to a random one of the two.
    for names, sends in ((('a',), 4), (('b',), 4), ((), SENDS)):
        evacuate(listed, zones, *names)
        before = len(servers[0].requests)
        for _ in range(sends):
            writer.started = False
            await runner.run(make_caller_request(make_route(kind)), writer)
        counts.append(len(servers[0].requests) - before)
    assert counts[:2] == [0, 4]
    assert counts[2] > 0
    assert not runner.dump()


# Guards against a request that was given a target before the evacuation: it
# has to get another one, without retry budget and without an ejection.
@pytest.mark.parametrize('kind', [CallKind.once, CallKind.repeatable])
async def test_request_that_waits_for_a_turn_goes_to_another_zone(
    kind,
    make_plain_runner,
    servers,
    list_zones,
    listed,
    zones,
    turns,
    budgets,
    make_route,
    make_caller_request,
    writer,
    monkeypatch,
):
    runner = make_plain_runner()
    list_zones(servers)
    evacuate(listed, zones, 'b')
    turns.pacer.set_rate('ta/1', 4.0, 0)
    for _ in range(2):
        turns.pacer.take('ta/1', time.monotonic())
    monkeypatch.setattr(budgets.of('desk'), 'acquire', lambda now: False)
    request = make_caller_request(make_route(kind, attempts=1))
    running = asyncio.create_task(runner.run(request, writer))
    await asyncio.sleep(0.1)
    evacuate(listed, zones, 'a')
    await running
    assert [len(one.requests) for one in servers] == [0, 1]
    assert not runner.dump()


# Guards against releases, queries for free memory and batches, which choose
# their target long before they send.
@pytest.mark.parametrize('names_limit', [False, True])
async def test_no_call_is_sent_to_an_evacuated_zone(
    names_limit, sender, servers, list_zones, listed, zones
):
    target, other = list_zones(servers)
    evacuate(listed, zones, 'a')
    with pytest.raises(TargetClosedError):
        async with sender.send(target, GET, b'', 3.0, names_limit=names_limit):
            pytest.fail('the call was sent')
    async with sender.send(other, GET, b'', 3.0) as attempt:
        await attempt.read_head(1)
    assert [len(one.requests) for one in servers] == [0, 1]


# Guards against an evacuation that begins while the connection is opened.
async def test_zone_is_checked_right_before_the_send(
    sender, servers, list_zones, listed, zones, monkeypatch
):
    target, _ = list_zones(servers)
    acquire = sender._pool.acquire

    async def acquire_late(*args):
        connection = await acquire(*args)
        evacuate(listed, zones, 'a')
        return connection

    monkeypatch.setattr(sender._pool, 'acquire', acquire_late)
    with pytest.raises(TargetClosedError):
        async with sender.send(target, GET, b'', 3.0):
            pytest.fail('the request was sent')
    assert not servers[0].requests


# Guards against an owner that doesn't know of the evacuation: it hears which
# targets get nothing, and what it places there all the same isn't sent.
async def test_stream_that_an_unaware_owner_places_goes_to_another_zone(
    run_stream,
    scripted,
    make_answer,
    list_zones,
    listed,
    zones,
    make_route,
    monkeypatch,
):
    stream = make_answer(EVENT, extra=b'Content-Type: text/event-stream\r\n')
    servers = [await scripted([stream]) for _ in range(2)]
    targets = list_zones(servers)
    asked = []

    async def place(self, query):
        asked.append(query.closed)
        return PlaceReply(targets[0 if len(asked) == 1 else 1].name)

    evacuate(listed, zones, 'a')
    monkeypatch.setattr(PlacementScheduler, 'place', place)
    monkeypatch.setattr(listed, 'accept', lambda _: False)
    await run_stream(make_route(CallKind.stream, attempts=1), *servers)
    assert asked == [('ta/1',), ('ta/1',)]
    assert [len(one.requests) for one in servers] == [0, 1]


async def _send_many(driver, route):
    for number in range(SENDS):
        await driver.send(route, f'p{number}')
        await asyncio.sleep(0.02)


def _find_reached(driver, zone, since):
    """Return the requests that began at a zone's targets after a time."""
    zones = {one.name: one.zone for one in driver.soak._targets}
    return [
        run
        for run in driver.soak.records.ran
        if zones[run.target] == zone and run.started_at > since
    ]


# Guards against machines that send to an evacuated zone: at first, while the
# store is away, after a kill, and after a store that lost the entry; and
# against a zone that gets nothing afterwards.
@pytest.mark.timeout(90)
@pytest.mark.parametrize(('route', 'network'), [('plain', 171), ('chat', 172)])
async def test_machines_keep_an_evacuated_zone_empty(
    open_driver, route, network
):
    driver = await open_driver(network)
    store = driver.soak._store
    copy = store.copy()
    await _send_many(driver, route)
    assert _find_reached(driver, 'north', 0)
    store.put(EvacuationEntries.kind, 'north', {})
    await asyncio.sleep(GOAL_SECONDS)
    evacuated_at = driver.soak._now()
    await _send_many(driver, route)
    driver.soak._machines[0].kill()
    store.mode = 'silent'
    await _send_many(driver, route)
    store.mode = 'well'
    store.restore(copy)
    store.put(EvacuationEntries.kind, 'north', {})
    await _send_many(driver, route)
    assert not _find_reached(driver, 'north', evacuated_at)
    assert _find_reached(driver, 'south', evacuated_at)
    store.remove(EvacuationEntries.kind, 'north')
    await asyncio.sleep(BOUND_SECONDS)
    ended_at = driver.soak._now()
    await _send_many(driver, route)
    assert _find_reached(driver, 'north', ended_at)
