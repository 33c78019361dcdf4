"""Placements on engines: waiting, order by urgency, and expiry."""

import asyncio

import pytest
import uvloop

from galenaswitch.gateway.messages import (
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    TargetLimit,
)
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.limits.pacing import Pacer
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.routing.engines import EnginePlacements

ONE_SLOT = EngineLimits(slots=1, kv_cache_tokens=100_000)


@pytest.fixture
def scheduler():
    """Return the scheduler of one engine that runs one request at a time."""
    members = Members()
    engine = Target('e', 'e/1', 'z', 'llm', '127.0.0.1:1')
    members.accept(MemberList(1, (), (engine,)))
    return PlacementScheduler('llm', lambda _: ONE_SLOT, members, Pacer())


def make_query(ident, priority=1, left=2.0, start_in=1.0, tokens=100):
    """Return a query for a placement."""
    return PlaceQuestion(
        'llm',
        ident,
        (),
        tokens,
        10,
        'z',
        {},
        (),
        priority,
        start_in,
        left,
    )


def make_end(ident, failed=False):
    """Return the message that a request has ended."""
    return PlaceEnd('llm', ident, 'e', failed)


async def test_idle_engine_is_assigned_at_once(scheduler):
    assert (await scheduler.place(make_query('a'))).target == 'e'


# Guards against a query without a reply: a check that is due at once has no
# timer on the event loop of the processes.
def test_query_is_answered_beside_one_whose_time_is_over(scheduler):
    async def place_both():
        await scheduler.place(make_query('a'))
        queries = [make_query('b', left=0.0), make_query('c', left=-0.1)]
        return await asyncio.gather(*map(scheduler.place, queries))

    replies = uvloop.run(place_both())
    assert [reply.target for reply in replies] == ['', '']


async def test_request_without_a_placement_gets_a_retry_delay(scheduler):
    await scheduler.place(make_query('a'))
    reply = await scheduler.place(make_query('b', left=0.2))
    assert reply.target == ''
    assert reply.retry_after > 0
    assert scheduler.dump()['waiting'] == 0


async def test_waiting_request_is_placed_when_another_request_ends(scheduler):
    await scheduler.place(make_query('a'))
    waiting = asyncio.create_task(scheduler.place(make_query('b')))
    await asyncio.sleep(0.01)
    scheduler.record_end(make_end('a'))
    assert (await waiting).target == 'e'


# Guards against the wait in the queue that counts for the age of a turn.
async def test_placement_tells_how_long_the_request_has_waited(scheduler):
    assert (await scheduler.place(make_query('a'))).waited < 0.05
    waiting = asyncio.create_task(scheduler.place(make_query('b')))
    await asyncio.sleep(0.1)
    scheduler.record_end(make_end('a'))
    assert 0.1 <= (await waiting).waited < 0.2


@pytest.mark.parametrize('first', ['urgent', 'other'])
async def test_most_urgent_request_gets_the_next_placement(scheduler, first):
    await scheduler.place(make_query('a'))
    queries = {
        'urgent': make_query('urgent', 0),
        'other': make_query('other', 2),
    }
    order = [first, *(set(queries) - {first})]
    tasks = {}
    for name in order:
        tasks[name] = asyncio.create_task(scheduler.place(queries[name]))
        await asyncio.sleep(0)
    scheduler.record_end(make_end('a'))
    assert (await tasks['urgent']).target == 'e'
    assert not tasks['other'].done()
    scheduler.record_end(make_end('urgent'))
    assert (await tasks['other']).target == 'e'


async def test_placement_of_a_lost_machine_expires(scheduler):
    await scheduler.place(make_query('a', left=0.2))
    await asyncio.sleep(0.25)
    assert (await scheduler.place(make_query('b', left=0.5))).target == 'e'


async def test_request_larger_than_the_kv_cache_gets_an_idle_engine(scheduler):
    reply = await scheduler.place(make_query('a', tokens=200_000))
    assert reply.target == 'e'


async def test_end_of_an_unknown_request_is_ignored(scheduler):
    scheduler.record_first_event(PlaceFirst('llm', 'x'))
    scheduler.record_end(make_end('x'))
    assert (await scheduler.place(make_query('a'))).target == 'e'


@pytest.fixture
def limited():
    """Return a scheduler of two engines of which ``e1`` takes one a second."""
    members = Members()
    engines = tuple(
        Target(name, f'{name}/1', 'z', 'llm', '127.0.0.1:1')
        for name in ('e1', 'e2')
    )
    members.accept(MemberList(1, (), engines))
    pacer = Pacer()
    pacer.set_rate('e1/1', 1.0, 0)
    roomy = EngineLimits(slots=50, kv_cache_tokens=1_000_000)
    return PlacementScheduler('llm', lambda _: roomy, members, pacer)


async def test_engine_with_room_gets_what_the_limit_of_others_leaves(limited):
    replies = [
        await limited.place(make_query(str(number))) for number in range(20)
    ]
    targets = [reply.target for reply in replies]
    assert targets.count('e1') <= 2
    assert targets.count('e2') >= 18


async def test_request_without_a_turn_in_time_is_refused_at_once(limited):
    limited._assignment._pacer.set_rate('e2/1', 0.5, 0)
    async with asyncio.timeout(0.5):
        replies = [
            await limited.place(make_query(str(number), left=0.9))
            for number in range(6)
        ]
    assert [bool(reply.target) for reply in replies] == [True] * 4 + [False] * 2
    assert all(0.05 < reply.retry_after < 2 for reply in replies[4:])


async def test_request_waits_for_the_turn_of_a_limited_engine(limited):
    limited._assignment._pacer.set_rate('e2/1', 2.0, 0)
    for number in range(4):
        await limited.place(make_query(str(number)))
    started_at = asyncio.get_running_loop().time()
    assert (await limited.place(make_query('late', left=2))).target
    assert 0.3 < asyncio.get_running_loop().time() - started_at < 1.2


# Guards against a turn for a request that is cut off as it begins.
async def test_request_that_a_turn_leaves_little_time_is_refused(limited):
    limited._assignment._pacer.set_rate('e1/1', 0.5, 0)
    limited._assignment._pacer.set_rate('e2/1', 0.5, 0)
    for number in range(4):
        await limited.place(make_query(str(number)))
    async with asyncio.timeout(0.5):
        late = await limited.place(make_query('a', start_in=-1, left=2.5))
        on_time = await limited.place(make_query('b', start_in=1, left=9))
    assert (late.target, on_time.target) == ('', '')
    assert 0.5 <= late.retry_after < 2


# Guards against an owner that has not heard of a limit and places freely.
async def test_owner_learns_the_limits_of_engines_from_a_query(scheduler):
    limits = (TargetLimit('e/1', 1.0),)
    replies = []
    for number in range(4):
        query = make_query(str(number), left=0.3)._replace(limits=limits)
        replies.append(await scheduler.place(query))
        scheduler.record_end(make_end(str(number)))
    assert [reply.target for reply in replies] == ['e', 'e', '', '']


@pytest.fixture
def two_versions():
    """Return the scheduler of one engine of each version."""
    members = Members()
    engines = tuple(
        Target(version, version, 'z', 'llm', '127.0.0.1:1', version=version)
        for version in ('v1', 'v2')
    )
    members.accept(MemberList(1, (), engines))
    return PlacementScheduler('llm', lambda _: ONE_SLOT, members, Pacer())


async def test_continued_stream_is_placed_at_its_version_only(two_versions):
    for version in ('v2', 'v1'):
        query = make_query(version)._replace(version=version)
        assert (await two_versions.place(query)).target == version
    query = make_query('a', left=0.2)._replace(version='v1')
    assert not (await two_versions.place(query)).target


# Guards against all requests waiting behind a stream whose version is full.
async def test_stream_that_waits_for_its_version_holds_up_no_other(
    two_versions,
):
    running = make_query('a')._replace(version='v1')
    await two_versions.place(running)
    pinned = make_query('b', priority=0)._replace(version='v1')
    waiting = asyncio.create_task(two_versions.place(pinned))
    await asyncio.sleep(0.01)
    async with asyncio.timeout(0.5):
        assert (await two_versions.place(make_query('c'))).target == 'v2'
    two_versions.record_end(PlaceEnd('llm', 'a', 'v1', failed=False))
    assert (await waiting).target == 'v1'


async def test_engine_of_a_version_is_left_to_the_stream_that_waits_for_it(
    two_versions,
):
    for version in ('v1', 'v2'):
        query = make_query(version)._replace(version=version)
        await two_versions.place(query)
    pinned = make_query('b', priority=0)._replace(version='v1')
    tasks = [
        asyncio.create_task(two_versions.place(query))
        for query in (make_query('c'), pinned)
    ]
    await asyncio.sleep(0.01)
    two_versions.record_end(PlaceEnd('llm', 'v1', 'v1', failed=False))
    assert (await tasks[1]).target == 'v1'
    assert not tasks[0].done()
    two_versions.record_end(PlaceEnd('llm', 'v2', 'v2', failed=False))
    assert (await tasks[0]).target == 'v2'


# Guards against an owner that stalls, as each change wakes all that wait.
async def test_change_costs_the_same_however_many_wait(scheduler, monkeypatch):
    trials = []
    place = EnginePlacements.place

    def place_counted(placements, request, *others):
        trials.append(request.ident)
        return place(placements, request, *others)

    monkeypatch.setattr(EnginePlacements, 'place', place_counted)
    await scheduler.place(make_query('running'))
    tasks = [
        asyncio.create_task(scheduler.place(make_query(str(number), left=9)))
        for number in range(400)
    ]
    await asyncio.sleep(0.01)
    trials.clear()
    for ended in ('running', *map(str, range(20))):
        scheduler.record_end(make_end(ended))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert len(trials) <= 2 * 21 + 5
    assert sum(task.done() for task in tasks) >= 20
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    assert scheduler.dump()['waiting'] == 0


# Guards against a query that is never answered since another has its id.
async def test_second_query_with_the_same_id_ends_the_first(scheduler):
    await scheduler.place(make_query('running'))
    first = asyncio.create_task(scheduler.place(make_query('a')))
    await asyncio.sleep(0.01)
    second = asyncio.create_task(scheduler.place(make_query('a')))
    assert not (await first).target
    scheduler.record_end(make_end('running'))
    assert (await second).target == 'e'


@pytest.fixture
async def overloaded(scheduler):
    """Return a scheduler whose engine ends ten requests a second."""
    for number in range(10):
        await scheduler.place(make_query(f'm{number}'))
        scheduler.record_first_event(PlaceFirst('llm', f'm{number}'))
        await asyncio.sleep(0.1)
        scheduler.record_end(make_end(f'm{number}'))
    await scheduler.place(make_query('running', left=9))
    return scheduler


# Guards against requests that wait for their deadline behind many others.
async def test_request_that_cannot_be_served_in_time_is_refused_at_once(
    overloaded,
):
    tasks = [
        asyncio.create_task(
            overloaded.place(
                make_query(f'w{number}', left=2)._replace(
                    complete_in=2.0, fingerprint=f'f{number}'
                )
            )
        )
        for number in range(60)
    ]
    await asyncio.sleep(0.02)
    refused = [task.result() for task in tasks if task.done()]
    assert 20 <= len(refused) <= 56
    assert {reply.reason for reply in refused} == {'deadline-unreachable'}
    assert all(0.1 <= reply.retry_after <= 2 for reply in refused)
    counts = overloaded._control._metrics.dump()
    assert counts['place_refused.deadline-unreachable'] == len(refused)
    for task in tasks:
        task.cancel()


# Guards against rejections while the capacity isn't exceeded.
async def test_few_requests_wait_for_a_busy_engine(overloaded):
    waiting = [
        asyncio.create_task(overloaded.place(make_query(f'w{number}')))
        for number in range(3)
    ]
    await asyncio.sleep(0.15)
    assert not any(task.done() for task in waiting)
    for task in waiting:
        task.cancel()


# Guards against rejections without a measurement.
async def test_requests_wait_before_anything_is_measured(scheduler):
    await scheduler.place(make_query('running'))
    waiting = [
        asyncio.create_task(scheduler.place(make_query(f'w{number}')))
        for number in range(60)
    ]
    await asyncio.sleep(0.15)
    assert not any(task.done() for task in waiting)
    for task in waiting:
        task.cancel()


# Guards against a placement that a caller's final response leaves behind.
async def test_end_of_a_waiting_request_takes_it_out_of_the_queue(overloaded):
    waiting = asyncio.create_task(overloaded.place(make_query('gone')))
    await asyncio.sleep(0.01)
    overloaded.record_end(PlaceEnd('llm', 'gone', '', failed=False))
    overloaded.record_end(make_end('running'))
    assert not (await waiting).target
    assert (await overloaded.place(make_query('next'))).target == 'e'


# Guards against an owner that goes on after a freeze, and reads a query and its
# withdrawal at once.
async def test_end_that_is_read_with_its_query_ends_the_wait(scheduler):
    await scheduler.place(make_query('running'))
    waiting = asyncio.create_task(scheduler.place(make_query('gone')))
    scheduler.record_end(PlaceEnd('llm', 'gone', '', failed=False))
    scheduler.record_end(make_end('running'))
    async with asyncio.timeout(0.5):
        assert not (await waiting).target
        assert (await scheduler.place(make_query('next'))).target == 'e'
