"""Batching of work items against targets that fail in their own ways."""

import asyncio

import pytest

from galenaswitch.gateway.batcher import Batcher
from galenaswitch.gateway.calls import WorkItem
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
    """Return a question for one work item."""
    work_item = WorkItem('r', 0, 0, 'k', ())
    question = PiecesQuestion('intake', 'r', (work_item,), 1000, '', 1.0, left)
    return question._replace(**changes)


@pytest.fixture
async def gather(scripted, sender):
    """Return a batcher of a target with some answers to calls."""
    tasks = TaskGroup()

    async def make(*answers, slack=10):
        target = await scripted([ROOM, *answers], keep=True)
        members = Members()
        listed = Target('m', 'm/1', 'z', 'intake', target.address)
        members.accept(MemberList(1, (), (listed,)))
        given_up = []
        batcher = Batcher(
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
        batcher._result_memory.query_new(members.usable('intake'), BATCHES)
        async with asyncio.timeout(5):
            while not target.requests:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        return batcher, target

    yield make
    await tasks.stop()


def count_calls(target):
    """Return the calls for work items that a target got."""
    return sum('stage-run' in head for head in target.requests)


async def test_result_is_returned(gather):
    batcher, target = await gather(MADE)
    reply = await batcher.make(ask())
    assert reply.handles == ('127.0.0.1:1/h',)
    assert count_calls(target) == 1


async def test_piece_of_a_busy_target_waits_again(gather):
    batcher, target = await gather(BUSY, MADE)
    assert (await batcher.make(ask())).handles
    assert count_calls(target) == 2


async def test_piece_is_not_repeated_without_a_budget(gather):
    batcher, target = await gather(BUSY, MADE, slack=0)
    reply = await batcher.make(ask())
    assert reply.failure == 'TargetBusyError'
    assert count_calls(target) == 1


async def test_piece_without_room_waits_again_without_a_budget(gather):
    batcher, target = await gather(NO_ROOM, MADE, slack=0)
    assert (await batcher.make(ask())).handles


async def test_lost_input_ends_the_stage(gather):
    batcher, target = await gather(GONE)
    assert (await batcher.make(ask())).failure == 'gone'


async def test_pieces_made_again_need_a_budget(gather):
    batcher, target = await gather(MADE, slack=0)
    reply = await batcher.make(ask(again=True))
    assert reply.failure == 'budget'
    assert count_calls(target) == 0


async def test_request_without_time_is_refused_at_once(gather):
    batcher, target = await gather(MADE)
    reply = await batcher.make(ask(left=0.01))
    assert reply.failure == 'out-of-capacity'
    assert reply.retry_after > 0
    assert count_calls(target) == 0


async def test_failed_call_leaves_no_room_taken_behind(gather):
    batcher, target = await gather(BUSY, MADE)
    await batcher.make(ask())
    assert batcher.dump()['held_bytes'] == 1000


async def test_cancelled_pieces_are_not_sent(gather):
    batcher, target = await gather(MADE)
    target_state = batcher._batch_queue.target_state
    (listed,) = batcher._members.usable('intake')
    target_state(listed).calls = 1
    job = asyncio.create_task(batcher.make(ask()))
    await asyncio.sleep(0.02)
    batcher.cancel(PiecesCancel('intake', 'r'))
    assert not (await job).handles
    target_state(listed).calls = 0
    batcher._look()
    await asyncio.sleep(0.05)
    assert count_calls(target) == 0


async def test_waiting_request_is_refused_when_it_gets_hopeless(gather):
    batcher, target = await gather(MADE)
    (listed,) = batcher._members.usable('intake')
    batcher._batch_queue.target_state(listed).pause(1e9)
    job = asyncio.create_task(batcher.make(ask(left=0.5)))
    await asyncio.sleep(0)
    begun = asyncio.get_running_loop().time()
    reply = await job
    assert reply.failure == 'out-of-capacity'
    assert asyncio.get_running_loop().time() - begun < 0.48
    assert count_calls(target) == 0


async def test_call_that_breaks_after_its_inputs_were_freed_loses_them(gather):
    batcher, target = await gather(BROKEN)
    held = HeldResults('billing', 'b', ('127.0.0.1:2/x',))
    question = ask(last_read=(held,))
    job = asyncio.create_task(batcher.make(question))
    await asyncio.sleep(0)
    for pending in batcher._batch_queue.pending_stages.values():
        assert pending.release_inputs() == (held,)
    reply = await job
    assert reply.failure == 'gone'


@pytest.mark.parametrize('answers', [(MADE, MADE), (GONE, MADE)])
async def test_late_outcome_does_not_end_the_next_run_of_a_stage(
    gather,
    answers,
):
    batcher, target = await gather(*answers, slack=10)
    first = asyncio.create_task(batcher.make(ask()))
    await asyncio.sleep(0)
    (old,) = batcher._batch_queue.pending_stages.values()
    batcher.cancel(PiecesCancel('intake', 'r'))
    second = asyncio.create_task(batcher.make(ask(again=True)))
    assert not (await first).handles
    reply = await second
    assert reply.handles
    assert count_calls(target) == 2
    assert old.missing_results == 1


async def test_question_asked_again_replaces_the_one_that_waits(gather):
    batcher, target = await gather(MADE, MADE)
    async with asyncio.timeout(1), asyncio.TaskGroup() as group:
        first = group.create_task(batcher.make(ask()))
        await asyncio.sleep(0)
        second = group.create_task(batcher.make(ask()))
    assert first.result().failure == 'replaced'
    assert second.result().handles
    assert batcher.dump()['demands'] == 0
