"""Resumable streams of engines that are silent and go on, or don't."""

import asyncio
import contextlib
import time

import pytest

from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.gateway.handover import (
    OVERLAP_SECONDS,
    RESUME_TIMEOUT_SECONDS,
)
from galenaswitch.gateway.messages import PlaceReply
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import LeavingSign
from galenaswitch.platform.tests.engines import (
    BEGUN,
    END,
    FOREVER,
    LATER,
    RESET,
    REST,
    WHOLE,
    chunk,
    pause,
)
from galenaswitch.platform.tests.test_streams import NOT_RUN, event, stream
from galenaswitch.refusals import Reason, RefusedError

# Longest time in seconds for which two engines may work on one request.
MAX_OVERLAP_SECONDS = 0.4
# Longest time in seconds for which an engine may work for a caller that left.
MAX_CLOSE_SECONDS = 0.5
SILENCES = (1.5, 2.5)


@pytest.fixture
def generate(run_stream, make_route, writer):
    """Return a function that runs a resumable stream on engines.

    No two engines work on the request for long, and none when it has ended.

    :returns: the refusal, ``None`` if the answer is complete.
    """

    async def run(engines, deadline=6.0, **route):
        fields = {'resumable': True, 'timeout': 9.0, **route}
        refusal = None
        try:
            await run_stream(
                make_route(CallKind.stream, **fields),
                *engines.targets,
                **{'X-Deadline-Ms': str(round(deadline * 1000))},
            )
        except RefusedError as error:
            refusal = error
        await engines.wait_idle(MAX_CLOSE_SECONDS)
        assert engines.find_overlap() <= MAX_OVERLAP_SECONDS
        assert refusal or (writer.finished and writer.body == WHOLE)
        return refusal

    return run


@pytest.fixture
def place_later(monkeypatch):
    """Return a function that changes all placements but the first.

    They are given ``seconds`` later, or not at all if ``refuses``.
    """

    def change(seconds, *, refuses=False):
        idents = []
        place = PlacementScheduler.place

        async def place_late(scheduler, query):
            idents.append(query.ident)
            if len(idents) == 1:
                return await place(scheduler, query)
            await asyncio.sleep(seconds)
            if refuses:
                return PlaceReply('', 0.5)
            return await place(scheduler, query)

        monkeypatch.setattr(PlacementScheduler, 'place', place_late)
        return idents

    return change


# Guards against part of an answer and a reset, as no retry is left.
@pytest.mark.parametrize('silence', SILENCES)
async def test_silent_engine_is_kept_without_retry_budget(
    start_engines, generate, budgets, silence
):
    while budgets.of('desk').acquire(time.monotonic()):
        pass
    engines = await start_engines(pause(silence))
    assert await generate(engines) is None
    assert len(engines.works) == 1


# Guards against part of an answer and a reset, as no other engine takes over.
@pytest.mark.parametrize('silence', SILENCES)
@pytest.mark.parametrize('other', [[NOT_RUN], [RESET], [b'oops\r\n\r\n']])
async def test_silent_engine_is_kept_when_the_others_refuse(
    start_engines, generate, silence, other
):
    engines = await start_engines(pause(silence), other)
    assert await generate(engines) is None
    assert len(engines.works) == 2


# Guards against an error in place of the first event of a sound engine.
@pytest.mark.parametrize('silence', SILENCES)
async def test_error_of_a_successor_is_not_forwarded(
    start_engines, generate, make_answer, silence
):
    failure = make_answer(status=b'500 Oops')
    engines = await start_engines(pause(silence, 'head'), [failure])
    assert await generate(engines) is None
    assert len(engines.works) == 2


async def stop_all(listed, targets):
    """Let engines refuse connections."""
    for target in targets:
        await target.stop()


async def announce_leaving(listed, targets):
    """Let engines announce that they leave."""
    addresses = {target.address for target in targets}
    for one in listed.targets('desk'):
        if one.url.removeprefix('http://') in addresses:
            listed.record_leaving(LeavingSign(one.name, one.incarnation))


# Guards against engines that are gone in the moment they are needed.
@pytest.mark.parametrize('silence', SILENCES)
@pytest.mark.parametrize('trouble', [stop_all, announce_leaving])
async def test_silent_engine_is_kept_when_the_others_are_gone(
    start_engines, generate, listed, silence, trouble
):
    engines = await start_engines(pause(silence), count=3)
    engines.on_first = lambda others: trouble(listed, others)
    assert await generate(engines) is None
    assert len(engines.works) == 1


# Guards against a refusal of the owner that ends a stream which goes on.
@pytest.mark.parametrize('silence', SILENCES)
@pytest.mark.parametrize('position', ['head', 'middle', 'event', 'end'])
async def test_silent_engine_is_kept_without_a_placement(
    start_engines, generate, place_later, silence, position
):
    place_later(0.05, refuses=True)
    engines = await start_engines(pause(silence, position))
    assert await generate(engines) is None
    assert len(engines.works) == 1


# Guards against a silent attempt that is ended although it is the last.
@pytest.mark.parametrize('silence', SILENCES)
async def test_last_attempt_is_kept(start_engines, generate, silence):
    later = stream([event(2)], end=b'')
    engines = await start_engines(
        [BEGUN], [later, silence, chunk(event(3)) + END], count=3
    )
    assert await generate(engines) is None
    assert len(engines.works) == 2


# Guards against an error nobody foresaw beside a sound engine.
@pytest.mark.parametrize('silence', SILENCES)
async def test_unexpected_error_does_not_end_a_silent_attempt(
    start_engines, generate, monkeypatch, silence
):
    place = PlacementScheduler.place
    idents = []

    async def fail(scheduler, query):
        idents.append(query.ident)
        if len(idents) > 1:
            raise KeyError(query.ident)
        return await place(scheduler, query)

    monkeypatch.setattr(PlacementScheduler, 'place', fail)
    engines = await start_engines(pause(silence))
    assert await generate(engines) is None
    assert len(set(idents)) == len(idents) > 1


# Guards against a stream that a dead engine holds.
@pytest.mark.parametrize('position', ['head', 'middle', 'event'])
async def test_dead_engine_hands_its_stream_over(
    start_engines, generate, writer, position
):
    first = pause(FOREVER, position)
    rest = stream([event(1), event(2), event(3)])
    engines = await start_engines(first, [rest if position == 'head' else REST])
    began = time.monotonic()
    assert await generate(engines) is None
    assert time.monotonic() - began < RESUME_TIMEOUT_SECONDS + 0.3
    assert [one.last_event for one in engines.works] == [
        '',
        '' if position == 'head' else '1',
    ]


# Guards against a pause of all engines that ends the streams of each.
@pytest.mark.parametrize('silence', [0.8, 1.1, *SILENCES])
@pytest.mark.parametrize('count', [2, 4])
async def test_pause_of_all_engines_ends_no_stream(
    start_engines, generate, silence, count
):
    thaw = asyncio.Event()
    asyncio.get_running_loop().call_later(silence, thaw.set)
    engines = await start_engines(
        [BEGUN, thaw, LATER], [thaw, REST], count=count
    )
    assert await generate(engines) is None


# Guards against an engine that works on beside its successor, and against a
# successor that is ended for a pause of its own.
@pytest.mark.parametrize('silence', SILENCES)
async def test_successor_that_is_silent_too_has_the_request(
    start_engines, generate, silence
):
    engines = await start_engines([BEGUN, FOREVER], [silence, REST], count=3)
    assert await generate(engines) is None
    first, second = engines.works
    overlap = first.ended - second.began
    assert OVERLAP_SECONDS - 0.05 < overlap < MAX_OVERLAP_SECONDS


# Guards against pieces of two runs, and against an engine that works in vain.
async def test_engine_that_goes_on_first_keeps_the_request(
    start_engines, generate
):
    silence = RESUME_TIMEOUT_SECONDS + OVERLAP_SECONDS / 2
    engines = await start_engines(pause(silence), [FOREVER])
    assert await generate(engines) is None
    first, second = engines.works
    assert second.ended - second.began < OVERLAP_SECONDS
    assert first.ended - first.began > silence


# Guards against a placement that is held for a successor nobody needs.
@pytest.mark.parametrize('silence', SILENCES)
async def test_engine_goes_on_while_a_placement_is_awaited(
    start_engines, generate, place_later, silence
):
    idents = place_later(silence)
    engines = await start_engines(pause(silence))
    assert await generate(engines) is None
    assert len(engines.works) == 1
    assert len(idents) == 2


@pytest.fixture
def connect_later(monkeypatch):
    """Return a function that makes all connections but the first slow."""

    def change(seconds):
        acquire = ConnectionPool.acquire
        addresses = []

        async def acquire_late(pool, address, *details):
            addresses.append(address)
            if len(addresses) > 1:
                await asyncio.sleep(seconds)
            return await acquire(pool, address, *details)

        monkeypatch.setattr(ConnectionPool, 'acquire', acquire_late)
        return addresses

    return change


# Guards against an engine that counts as tried though it got no request.
@pytest.mark.parametrize('silence', SILENCES)
async def test_engine_goes_on_while_its_successor_connects(
    start_engines, generate, connect_later, silence
):
    addresses = connect_later(silence)
    first = [BEGUN, silence, chunk(event(2)), FOREVER]
    engines = await start_engines(first, [stream([event(3)])])
    assert await generate(engines, deadline=9.0) is None
    assert [one.last_event for one in engines.works] == ['', '2']
    assert len(addresses) == 3
    assert addresses[1] == addresses[2]


# Guards against a request that ends with its first attempt although another
# one is under way.
@pytest.mark.parametrize('silence', SILENCES)
@pytest.mark.parametrize('ending', [[], [RESET], [b'oops'], [b'oops', FOREVER]])
async def test_successor_carries_on_when_the_first_breaks(
    start_engines, generate, place_later, silence, ending
):
    place_later(silence)
    engines = await start_engines([BEGUN, silence, *ending], [REST])
    assert await generate(engines) is None
    first, _ = engines.works
    assert first.ended - first.began < silence + 0.3


# Guards against a request that isn't repeated as its successor failed first.
async def test_first_that_breaks_after_its_successor_is_repeated(
    start_engines, generate
):
    engines = await start_engines(
        [BEGUN, 1.5, RESET], [NOT_RUN], [REST], count=3
    )
    assert await generate(engines) is None
    assert len(engines.works) == 3


# Guards against a stream that ends with the successor it was handed to.
@pytest.mark.parametrize('ending', [RESET, FOREVER])
async def test_successor_that_breaks_is_succeeded(
    start_engines, generate, ending
):
    engines = await start_engines(
        [BEGUN, FOREVER],
        [stream([event(2)], end=b''), ending],
        [stream([event(3)])],
        count=3,
    )
    assert await generate(engines, attempts=3) is None
    assert [one.last_event for one in engines.works] == ['', '1', '2']


# Guards against engines that work for a caller that has left.
@pytest.mark.parametrize('seconds', [0.6, 1.3, 1.7])
async def test_caller_that_leaves_ends_all_attempts(
    start_engines, generate, seconds
):
    engines = await start_engines([BEGUN, FOREVER], [FOREVER])
    running = asyncio.create_task(generate(engines))
    await asyncio.sleep(seconds)
    running.cancel()
    await engines.wait_idle(MAX_CLOSE_SECONDS)
    with contextlib.suppress(asyncio.CancelledError):
        await running
    assert len(engines.works) == 1 + (seconds > RESUME_TIMEOUT_SECONDS)
    assert engines.find_overlap() <= MAX_OVERLAP_SECONDS


# Guards against engines that work on after the deadline.
@pytest.mark.parametrize('deadline', [1.0, 1.35, 1.8])
async def test_deadline_ends_all_attempts(start_engines, generate, deadline):
    engines = await start_engines([BEGUN, FOREVER], [FOREVER])
    began = time.monotonic()
    refusal = await generate(engines, deadline)
    assert refusal.reason is Reason.deadline
    assert time.monotonic() - began < deadline + 0.2


# Guards against a silence that ends an answer which can't go on elsewhere.
@pytest.mark.parametrize('silence', [0.8, 1.1, *SILENCES])
@pytest.mark.parametrize('position', ['head', 'middle', 'event', 'end'])
@pytest.mark.parametrize('route', [{'resumable': False}, {'attempts': 1}])
async def test_stream_without_another_attempt_waits(
    start_engines, generate, silence, position, route
):
    engines = await start_engines(pause(silence, position))
    assert await generate(engines, **route) is None
    assert len(engines.works) == 1
