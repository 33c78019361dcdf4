"""Batches of work items at targets that are busy, full or broken."""

import asyncio
import time
from unittest.mock import AsyncMock

import pytest

from galenaswitch.gateway.batcher import Batcher
from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.messages import (
    HeldResults,
    PiecesCancel,
    PiecesQuestion,
)
from galenaswitch.gateway.questions import BatchedService
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.limits.pacing import BURST_REQUESTS
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import MemberList, Target
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines import target_states
from galenaswitch.platform.headers import PlatformWire

BATCHES = BatchLimits(1, 4, 0.2, 0.01, 9e6, 4)


def answer(body, status=b'200 OK', extra=b''):
    """Return a complete answer of a target."""
    head = b'HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n'
    return head % (status, extra, len(body)) + body


FREE_MEMORY = answer(b'{"free-mb":9}')
MADE = answer(b'{"items":[{"handle":"127.0.0.1:1/h"}]}')
MADE_AGAIN = answer(b'{"items":[{"handle":"127.0.0.1:1/i"}]}')
NO_MEMORY = answer(b'{"items":[{"reason":"room"}]}')
INPUTS_LOST = answer(b'{"items":[{"reason":"gone"}]}')
BROKEN = b''
BUSY = answer(b'', b'503 Service Unavailable', b'X-Not-Executed: 1\r\n')


def make_refusal(retry_after):
    """Return the refusal of a target that asks for a pause."""
    headers = b'X-Not-Executed: 1\r\nRetry-After: %b\r\n' % retry_after
    return answer(b'', b'503 Service Unavailable', headers)


def make_query(left=3.0, **changes):
    """Return a query for one work item."""
    work_item = WorkItem('r', 0, 0, 'k', ())
    query = PiecesQuestion('intake', 'r', (work_item,), 1000, '', 1.0, left)
    return query._replace(**changes)


@pytest.fixture
async def open_batcher(scripted, sender, listed, containment):
    """Return a function that opens a batcher for one scripted target."""
    tasks = TaskGroup()

    async def open_for(*answers, min_retries=10):
        target = await scripted([FREE_MEMORY, *answers], keep=True)
        member = Target('m', 'm/1', 'z', 'intake', target.address)
        listed.accept(MemberList(1, (), (member,)))
        released = []
        batcher = Batcher(
            BatchedService('intake', lambda _: BATCHES),
            listed,
            sender,
            PlatformWire(),
            RetryBudgets(0, min_retries, 10),
            tasks,
            released.append,
            containment,
        )
        # The target's first answer reports its free result memory.
        batcher._result_memory.query_new(listed.usable('intake'), BATCHES)
        async with asyncio.timeout(5):
            while not target.requests:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        return batcher, target

    yield open_for
    await tasks.stop()


def count_batches(target):
    """Return the number of batches that a target received."""
    return sum('stage-run' in head for head in target.requests)


async def test_result_is_returned(open_batcher):
    batcher, target = await open_batcher(MADE)
    reply = await batcher.make_results(make_query())
    assert reply.handles == ('127.0.0.1:1/h',)
    assert count_batches(target) == 1


async def test_work_item_of_a_busy_target_is_retried(open_batcher):
    batcher, target = await open_batcher(BUSY, MADE)
    assert (await batcher.make_results(make_query())).handles
    assert count_batches(target) == 2


# Guards against batches to a target whose answer said that it leaves.
async def test_stage_target_that_leaves_gets_no_more_batches(open_batcher):
    leaving = answer(
        b'{"items":[{"handle":"127.0.0.1:1/h"}]}',
        extra=b'Server-Leaving: 1\r\n',
    )
    batcher, target = await open_batcher(leaving, MADE_AGAIN)
    assert (await batcher.make_results(make_query())).handles
    reply = await batcher.make_results(make_query(ident='s'))
    assert reply.failure == 'no-target'
    assert count_batches(target) == 1


# Guards against batches to a target that asked for a pause.
async def test_work_item_waits_for_the_pause_of_its_target(open_batcher):
    batcher, target = await open_batcher(make_refusal(b'0.7'), MADE)
    started_at = time.monotonic()
    assert (await batcher.make_results(make_query())).handles
    assert 0.6 < time.monotonic() - started_at < 1.5
    assert count_batches(target) == 2


# Guards against work items that wait for a pause which ends too late.
async def test_work_item_is_refused_at_once_in_a_long_pause(open_batcher):
    batcher, target = await open_batcher(make_refusal(b'30'))
    for ident in ('r', 's'):
        started_at = time.monotonic()
        reply = await batcher.make_results(make_query(ident=ident))
        assert time.monotonic() - started_at < 0.3
        assert reply.failure == 'out-of-capacity'
        assert reply.retry_after > 20
    assert count_batches(target) == 1


# Guards against batches that don't count towards the limit of their target.
async def test_batches_keep_the_limit_of_their_target(open_batcher):
    limited = answer(
        b'{"items":[{"handle":"127.0.0.1:1/h"}]}',
        extra=b'Server-Limit: 0.5\r\n',
    )
    batcher, target = await open_batcher(limited)
    async with asyncio.TaskGroup() as group:
        for number in range(5):
            query = make_query(left=1.0, ident=f'r{number}')
            group.create_task(batcher.make_results(query))
            await asyncio.sleep(0.1)
    assert count_batches(target) <= 1 + BURST_REQUESTS


# Guards against a limit that the answer to a release or a report ends.
async def test_answer_to_a_report_does_not_end_a_limit(open_batcher):
    batcher, target = await open_batcher(FREE_MEMORY)
    (member,) = batcher._members.usable('intake')
    pacer = batcher._sender.turns.pacer
    pacer.set_rate(member.incarnation, 1.0, -100)
    batcher._result_memory._queried_at.clear()
    batcher._result_memory.query(member, BATCHES)
    async with asyncio.timeout(1):
        while len(target.requests) < 2:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    assert pacer.rates == {member.incarnation: 1.0}


# Guards against results that are taken from a head that is cut off or broken.
@pytest.mark.parametrize(
    'cut',
    [
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Len',
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\n',
        MADE[:-1],
        MADE.replace(b'Content-Length: ', b'Content-Length: -'),
        MADE.replace(b'Content-Length: ', b'Transfer-Encoding: gzip\r\nX-A: '),
    ],
)
async def test_batch_with_a_cut_head_is_sent_again(
    open_batcher, monkeypatch, cut
):
    monkeypatch.setattr(target_states, 'FAILURE_PAUSE_SECONDS', 0.01)
    batcher, target = await open_batcher()
    batcher._sender._pool.close()
    answers = [cut, MADE_AGAIN]

    async def serve(reader, writer):
        await target.read_request(reader)
        writer.write(answers.pop(0))
        await writer.drain()

    target._script = serve
    reply = await batcher.make_results(make_query())
    assert reply.handles == ('127.0.0.1:1/i',)
    assert count_batches(target) == 2


# Guards against a work item that ends one target after the other.
async def test_work_item_of_crashed_targets_is_sent_twice_at_most(
    open_batcher, containment, monkeypatch
):
    monkeypatch.setattr(target_states, 'FAILURE_PAUSE_SECONDS', 0.01)
    batcher, target = await open_batcher(BROKEN, BROKEN, BROKEN, MADE)

    async def is_listening(address):
        return False

    monkeypatch.setattr(containment._detector, '_is_listening', is_listening)
    reply = await batcher.make_results(make_query())
    assert reply.failure == 'TargetBrokenError'
    assert count_batches(target) == 2


# Guards against attempts of a caller whose work items end target after target.
async def test_crash_of_a_batch_implicates_its_requests(
    open_batcher, containment, monkeypatch
):
    monkeypatch.setattr(target_states, 'FAILURE_PAUSE_SECONDS', 0.01)
    batcher, _ = await open_batcher(BROKEN, MADE)

    async def is_listening(address):
        return False

    monkeypatch.setattr(containment._detector, '_is_listening', is_listening)
    await batcher.make_results(make_query(fingerprint='request-1'))
    assert containment._evidence.count_crashes('request-1') == 1


async def test_work_item_of_targets_that_broke_it_and_live_is_retried(
    open_batcher, monkeypatch
):
    monkeypatch.setattr(target_states, 'FAILURE_PAUSE_SECONDS', 0.01)
    batcher, target = await open_batcher(BROKEN, BROKEN, MADE)
    assert (await batcher.make_results(make_query())).handles
    assert count_batches(target) == 3


async def test_work_item_is_not_retried_without_a_budget(open_batcher):
    batcher, target = await open_batcher(BUSY, MADE, min_retries=0)
    reply = await batcher.make_results(make_query())
    assert reply.failure == 'TargetBusyError'
    assert count_batches(target) == 1


async def test_full_result_memory_is_retried_without_a_budget(open_batcher):
    batcher, target = await open_batcher(NO_MEMORY, MADE, min_retries=0)
    assert (await batcher.make_results(make_query())).handles


async def test_lost_input_fails_the_stage(open_batcher):
    batcher, target = await open_batcher(INPUTS_LOST)
    assert (await batcher.make_results(make_query())).failure == 'gone'


async def test_rerun_needs_a_retry_budget(open_batcher):
    batcher, target = await open_batcher(MADE, min_retries=0)
    reply = await batcher.make_results(make_query(again=True))
    assert reply.failure == 'budget'
    assert count_batches(target) == 0


async def test_request_without_time_is_refused_at_once(open_batcher):
    batcher, target = await open_batcher(MADE)
    reply = await batcher.make_results(make_query(left=0.01))
    assert reply.failure == 'out-of-capacity'
    assert reply.retry_after > 0
    assert count_batches(target) == 0


async def test_failed_batch_releases_its_result_memory(open_batcher):
    batcher, target = await open_batcher(BUSY, MADE)
    await batcher.make_results(make_query())
    assert batcher.dump()['held_bytes'] == 1000


async def test_cancelled_work_items_are_not_sent(open_batcher):
    batcher, target = await open_batcher(MADE)
    target_state = batcher._batch_queue.target_state
    (member,) = batcher._members.usable('intake')
    target_state(member).calls = 1
    reply_task = asyncio.create_task(batcher.make_results(make_query()))
    await asyncio.sleep(0.02)
    batcher.cancel(PiecesCancel('intake', 'r'))
    assert not (await reply_task).handles
    target_state(member).calls = 0
    batcher._dispatch()
    await asyncio.sleep(0.05)
    assert count_batches(target) == 0


async def test_pending_stage_is_refused_when_it_becomes_infeasible(
    open_batcher,
):
    batcher, target = await open_batcher(MADE)
    (member,) = batcher._members.usable('intake')
    batcher._batch_queue.target_state(member).pause(1e9)
    reply_task = asyncio.create_task(batcher.make_results(make_query(left=0.5)))
    await asyncio.sleep(0)
    started_at = asyncio.get_running_loop().time()
    reply = await reply_task
    assert reply.failure == 'out-of-capacity'
    assert asyncio.get_running_loop().time() - started_at < 0.48
    assert count_batches(target) == 0


async def test_batch_that_fails_after_its_inputs_were_released_is_lost(
    open_batcher,
):
    batcher, target = await open_batcher(BROKEN)
    held = HeldResults('billing', 'b', ('127.0.0.1:2/x',))
    query = make_query(last_read=(held,))
    reply_task = asyncio.create_task(batcher.make_results(query))
    await asyncio.sleep(0)
    for pending in batcher._batch_queue.pending_stages.values():
        assert pending.release_inputs() == (held,)
    reply = await reply_task
    assert reply.failure == 'gone'


@pytest.mark.parametrize('answers', [(MADE, MADE_AGAIN), (INPUTS_LOST, MADE)])
async def test_late_outcome_does_not_finish_a_rerun(
    open_batcher,
    answers,
):
    batcher, target = await open_batcher(*answers, min_retries=10)
    first = asyncio.create_task(batcher.make_results(make_query()))
    await asyncio.sleep(0)
    (cancelled,) = batcher._batch_queue.pending_stages.values()
    batcher.cancel(PiecesCancel('intake', 'r'))
    second = asyncio.create_task(batcher.make_results(make_query(again=True)))
    assert not (await first).handles
    reply = await second
    assert reply.handles
    assert count_batches(target) == 2
    assert cancelled.missing_results == 1


async def test_second_query_replaces_the_waiting_one(open_batcher):
    batcher, target = await open_batcher(MADE, MADE_AGAIN)
    async with asyncio.timeout(1), asyncio.TaskGroup() as group:
        first = group.create_task(batcher.make_results(make_query()))
        await asyncio.sleep(0)
        second = group.create_task(batcher.make_results(make_query()))
    assert first.result().failure == 'replaced'
    assert second.result().handles
    assert batcher.dump()['demands'] == 0


# Guards against crashes under batches that a change of the list hides.
async def test_stage_target_that_is_no_longer_listed_may_have_crashed(
    open_batcher, containment, listed
):
    containment.record_broken = AsyncMock(return_value=True)
    batcher, _ = await open_batcher(BROKEN)
    send = batcher._send_batch

    async def unlist_and_send(batch):
        listed.accept(MemberList(2, (), ()))
        return await send(batch)

    batcher._send_batch = unlist_and_send
    await batcher.make_results(make_query(left=0.5, fingerprint='request-a'))
    assert containment.record_broken.await_count == 1
