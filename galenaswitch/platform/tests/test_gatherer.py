"""Gathering of pieces against targets that fail in their own ways."""

import asyncio

import pytest

from galenaswitch.gateway.calls import Piece
from galenaswitch.gateway.gatherer import Gatherer
from galenaswitch.gateway.messages import (
    HeldResults,
    PiecesCancel,
    PiecesQuestion,
)
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.headers import PlatformWire

BATCHES = BatchLimits(1, 4, 0.2, 0.01, 9e6, 4)


def answer(body, status=b'200 OK', extra=b''):
    """Return a whole answer of a target."""
    head = b'HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n'
    return head % (status, extra, len(body)) + body


ROOM = answer(b'{"free-mb":9}')
MADE = answer(b'{"items":[{"handle":"127.0.0.1:1/h"}]}')
NO_ROOM = answer(b'{"items":[{"reason":"room"}]}')
GONE = answer(b'{"items":[{"reason":"gone"}]}')
BROKEN = b''
BUSY = answer(b'', b'503 Service Unavailable', b'X-Not-Executed: 1\r\n')


def ask(left=3.0, **changes):
    """Return a question for one piece."""
    piece = Piece('r', 0, 0, 'k', ())
    question = PiecesQuestion('intake', 'r', (piece,), 1000, '', 1.0, left)
    return question._replace(**changes)


@pytest.fixture
async def gather(scripted, sender):
    """Return a gatherer of a target with some answers to calls."""
    tasks = TaskGroup()

    async def make(*answers, slack=10):
        target = await scripted([ROOM, *answers], keep=True)
        members = Members()
        listed = Target('m', 'm/1', 'z', 'intake', target.address)
        members.accept(MemberList(1, (), (listed,)))
        given_up = []
        gatherer = Gatherer(
            'intake',
            lambda _: BATCHES,
            members,
            sender,
            PlatformWire(),
            RetryBudgets(0, slack, 10),
            tasks,
            given_up.append,
        )
        # The first question is about the target's room.
        gatherer._rooms.greet(members.usable('intake'), BATCHES)
        async with asyncio.timeout(5):
            while not target.requests:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        return gatherer, target

    yield make
    await tasks.stop()


def count_calls(target):
    """Return the calls for pieces that a target got."""
    return sum('stage-run' in head for head in target.requests)


async def test_result_is_returned(gather):
    gatherer, target = await gather(MADE)
    reply = await gatherer.make(ask())
    assert reply.handles == ('127.0.0.1:1/h',)
    assert count_calls(target) == 1


async def test_piece_of_a_busy_target_waits_again(gather):
    gatherer, target = await gather(BUSY, MADE)
    assert (await gatherer.make(ask())).handles
    assert count_calls(target) == 2


async def test_piece_is_not_repeated_without_a_budget(gather):
    gatherer, target = await gather(BUSY, MADE, slack=0)
    reply = await gatherer.make(ask())
    assert reply.failure == 'TargetBusyError'
    assert count_calls(target) == 1


async def test_piece_without_room_waits_again_without_a_budget(gather):
    gatherer, target = await gather(NO_ROOM, MADE, slack=0)
    assert (await gatherer.make(ask())).handles


async def test_lost_input_ends_the_stage(gather):
    gatherer, target = await gather(GONE)
    assert (await gatherer.make(ask())).failure == 'gone'


async def test_pieces_made_again_need_a_budget(gather):
    gatherer, target = await gather(MADE, slack=0)
    reply = await gatherer.make(ask(again=True))
    assert reply.failure == 'budget'
    assert count_calls(target) == 0


async def test_request_without_time_is_refused_at_once(gather):
    gatherer, target = await gather(MADE)
    reply = await gatherer.make(ask(left=0.01))
    assert reply.failure == 'out-of-capacity'
    assert reply.retry_after > 0
    assert count_calls(target) == 0


async def test_failed_call_leaves_no_room_taken_behind(gather):
    gatherer, target = await gather(BUSY, MADE)
    await gatherer.make(ask())
    assert gatherer.dump()['held_bytes'] == 1000


async def test_cancelled_pieces_are_not_sent(gather):
    gatherer, target = await gather(MADE)
    worker = gatherer._gathering.worker
    (listed,) = gatherer._members.usable('intake')
    worker(listed).calls = 1
    job = asyncio.create_task(gatherer.make(ask()))
    await asyncio.sleep(0.02)
    gatherer.cancel(PiecesCancel('intake', 'r'))
    assert not (await job).handles
    worker(listed).calls = 0
    gatherer._look()
    await asyncio.sleep(0.05)
    assert count_calls(target) == 0


async def test_waiting_request_is_refused_when_it_gets_hopeless(gather):
    gatherer, target = await gather(MADE)
    (listed,) = gatherer._members.usable('intake')
    gatherer._gathering.worker(listed).pause(1e9)
    job = asyncio.create_task(gatherer.make(ask(left=0.5)))
    await asyncio.sleep(0)
    begun = asyncio.get_running_loop().time()
    reply = await job
    assert reply.failure == 'out-of-capacity'
    assert asyncio.get_running_loop().time() - begun < 0.48
    assert count_calls(target) == 0


async def test_call_that_breaks_after_its_inputs_were_freed_loses_them(gather):
    gatherer, target = await gather(BROKEN)
    held = HeldResults('billing', 'b', ('127.0.0.1:2/x',))
    question = ask(last_read=(held,))
    job = asyncio.create_task(gatherer.make(question))
    await asyncio.sleep(0)
    for demand in gatherer._gathering.demands.values():
        assert demand.free_inputs() == (held,)
    reply = await job
    assert reply.failure == 'gone'


@pytest.mark.parametrize('answers', [(MADE, MADE), (GONE, MADE)])
async def test_late_outcome_does_not_end_the_next_run_of_a_stage(
    gather,
    answers,
):
    gatherer, target = await gather(*answers, slack=10)
    first = asyncio.create_task(gatherer.make(ask()))
    await asyncio.sleep(0)
    (old,) = gatherer._gathering.demands.values()
    gatherer.cancel(PiecesCancel('intake', 'r'))
    second = asyncio.create_task(gatherer.make(ask(again=True)))
    assert not (await first).handles
    reply = await second
    assert reply.handles
    assert count_calls(target) == 2
    assert old.missing == 1


async def test_question_asked_again_replaces_the_one_that_waits(gather):
    gatherer, target = await gather(MADE, MADE)
    async with asyncio.timeout(1), asyncio.TaskGroup() as group:
        first = group.create_task(gatherer.make(ask()))
        await asyncio.sleep(0)
        second = group.create_task(gatherer.make(ask()))
    assert first.result().failure == 'replaced'
    assert second.result().handles
    assert gatherer.dump()['demands'] == 0
