"""Batches at sound targets that are silent for a while and go on."""

import asyncio
import contextlib
import time

import pytest

from galenaswitch.gateway.batcher import Batcher
from galenaswitch.gateway.messages import PiecesCancel
from galenaswitch.gateway.questions import BatchedService
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import LeavingSign, MemberList, Target
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.platform.tests.test_batcher import (
    FREE_MEMORY,
    answer,
    make_query,
)

SLOTS = 2
BATCHES = BatchLimits(SLOTS, 4, 0.1, 0.01, 9e6, 4)
RELEASED = answer(b'{}')
FOREVER = 60.0
# A batch of one work item is late after 0.575 s.
SILENCE = 1.2


class Producer:
    """Scripted target that makes results after a silence.

    :ivar silence: seconds before each part of the answer to a batch.
    :ivar failure: answer to each batch in place of results, if any.
    :ivar lost: batches whose connection was closed before the answer's end.
    """

    def __init__(self, target):
        """Build a target that makes results at once."""
        self.target = target
        self.silence = (0, 0)
        self.failure = None
        self.made = 0
        self.lost = 0
        target._script = self._run

    @property
    def batches(self):
        """Number of batches that arrived."""
        return sum('stage-run' in head for head in self.target.requests)

    @property
    def released(self):
        """Number of results that were released."""
        return sum(body.count(b':') - 1 for body in self._release_bodies())

    def _release_bodies(self):
        pairs = zip(self.target.requests, self.target.bodies, strict=True)
        return [body for head, body in pairs if 'stage-free' in head]

    async def _run(self, reader, writer):
        while True:
            head = await self.target.read_request(reader)
            if 'stage-run' in head:
                await self._make(reader, writer)
            else:
                is_report = head.startswith('GET')
                writer.write(FREE_MEMORY if is_report else RELEASED)
                await writer.drain()

    async def _make(self, reader, writer):
        self.made += 1
        handle = f'{self.target.address}/h{self.made}'
        content = self.failure
        if content is None:
            content = answer(b'{"items":[{"handle":"%b"}]}' % handle.encode())
        middle = len(content) // 2
        parts = (content[:middle], content[middle:])
        for part, seconds in zip(parts, self.silence, strict=True):
            await self._be_silent(reader, seconds)
            writer.write(part)
            await writer.drain()
        if not content:
            raise ConnectionResetError

    async def _be_silent(self, reader, seconds):
        try:
            async with asyncio.timeout(seconds):
                with contextlib.suppress(ConnectionResetError):
                    await reader.read(1)
        except TimeoutError:
            return
        self.lost += 1
        raise ConnectionResetError


@pytest.fixture
async def open_batcher(scripted, sender, listed, containment):
    """Return a function that opens a batcher for targets with silences."""
    tasks = TaskGroup()

    async def open_for(*silences, min_retries=10):
        producers = []
        for silence in silences:
            producers.append(Producer(await scripted([b''])))
            producers[-1].silence = silence
        listed.accept(
            MemberList(
                1,
                (),
                tuple(
                    Target(
                        f'm{n}', f'm{n}/1', 'z', 'intake', one.target.address
                    )
                    for n, one in enumerate(producers)
                ),
            )
        )
        batcher = Batcher(
            BatchedService('intake', lambda _: BATCHES),
            listed,
            sender,
            PlatformWire(),
            RetryBudgets(0, min_retries, 10),
            tasks,
            lambda _: None,
            containment,
        )
        batcher._result_memory.query_new(listed.usable('intake'), BATCHES)
        async with asyncio.timeout(5):
            while not all(one.target.requests for one in producers):
                await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        return batcher, producers

    yield open_for
    await tasks.stop()


def count_retries(batcher):
    """Return the number of retries that were acquired."""
    return len(batcher._budgets.of('intake')._retries)


async def wait_until_idle(batcher):
    """Wait until no batch is in flight and no result is being released."""
    async with asyncio.timeout(5):
        while batcher.dump()['calls']:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)


# Guards against a batch that is sent again though its only target is sound.
@pytest.mark.parametrize('silence', [(SILENCE, 0), (0, SILENCE)])
async def test_late_batch_of_the_only_target_is_kept(open_batcher, silence):
    batcher, (only,) = await open_batcher(silence)
    assert (await batcher.make_results(make_query())).handles
    await wait_until_idle(batcher)
    assert (only.batches, only.lost, count_retries(batcher)) == (1, 0, 0)
    assert batcher.dump()['held_bytes'] == 1000


def pause_second(batcher):
    """Pause the second target for long."""
    batcher._notices._pauses.pause('m1/1', 30, time.monotonic())


def report_leaving(batcher):
    """Report that the second target leaves."""
    batcher._members.record_leaving(LeavingSign('m1', 'm1/1'))


def release_inputs(batcher):
    """Release the inputs of all work items, which their target has read."""
    for pending in batcher._batch_queue.pending_stages.values():
        pending.release_inputs()


def use_up_budget(batcher):
    """Use all retries of the service."""
    while batcher._budgets.of('intake').acquire(time.monotonic()):
        continue


# Guards against a sound batch that is given up though no other can be had.
@pytest.mark.parametrize(
    'change', [pause_second, report_leaving, release_inputs, use_up_budget]
)
async def test_late_batch_is_kept_if_no_other_can_be_had(open_batcher, change):
    batcher, (first, second) = await open_batcher((SILENCE, 0), (0, 0))
    results = asyncio.create_task(batcher.make_results(make_query()))
    await asyncio.sleep(0.05)
    change(batcher)
    used = count_retries(batcher)
    reply = await results
    assert count_retries(batcher) == used
    assert reply.handles == (f'{first.target.address}/h1',)
    assert (first.batches, first.lost, second.batches) == (1, 0, 0)


# Guards against retries that are used up while all targets are silent.
async def test_pause_of_all_targets_costs_no_retries(open_batcher):
    batcher, producers = await open_batcher((SILENCE, 0), (SILENCE, 0))
    async with asyncio.TaskGroup() as group:
        queries = [make_query(ident=f'r{number}') for number in range(4)]
        replies = []
        for query in queries:
            replies.append(group.create_task(batcher.make_results(query)))
            await asyncio.sleep(0.01)
    assert all(one.result().handles for one in replies)
    assert sum(one.batches for one in producers) == 4
    assert count_retries(batcher) == 0


# Guards against work items that wait for a silent target beside an idle one,
# and against results that stay where they aren't used.
async def test_late_work_item_is_made_elsewhere_and_its_copy_released(
    open_batcher,
):
    batcher, (first, second) = await open_batcher((SILENCE, 0), (0, 0))
    started_at = time.monotonic()
    reply = await batcher.make_results(make_query())
    assert 0.5 < time.monotonic() - started_at < 1.0
    assert reply.handles == (f'{second.target.address}/h1',)
    await wait_until_idle(batcher)
    assert (first.lost, first.released, second.released) == (0, 1, 0)
    assert count_retries(batcher) == 1
    assert batcher.dump()['held_bytes'] == 1000
    assert batcher.dump()['stored'] == 1


# Guards against a late answer that isn't used.
async def test_late_answer_is_used_before_that_of_the_other_target(
    open_batcher,
):
    batcher, (first, second) = await open_batcher((0.9, 0), (SILENCE, 0))
    reply = await batcher.make_results(make_query())
    assert reply.handles == (f'{first.target.address}/h1',)
    await wait_until_idle(batcher)
    assert (first.released, second.batches, second.released) == (0, 1, 1)
    assert batcher.dump()['held_bytes'] == 1000


# Guards against retries for targets that are at work and may be silent, too,
# and against late work items that wait while the others answer.
@pytest.mark.parametrize('answers', [False, True])
async def test_late_work_item_is_queued_if_busy_targets_answer(
    open_batcher, answers
):
    batcher, (first, second) = await open_batcher((0.9, 0), (0, 0))
    other = batcher._batch_queue.target_state(
        batcher._members.usable('intake')[1]
    )
    other.calls = SLOTS
    results = asyncio.create_task(batcher.make_results(make_query()))
    await asyncio.sleep(0.3)
    other.answered_at = time.monotonic() if answers else 0
    await asyncio.sleep(0.4)
    (pending,) = batcher._batch_queue.pending_stages.values()
    assert len(pending.queued) == pending.retries == answers
    assert count_retries(batcher) == answers
    # The late answer ends the copy that is queued.
    assert (await results).handles == (f'{first.target.address}/h1',)
    other.calls = 0
    batcher._dispatch()
    await asyncio.sleep(0.1)
    assert second.batches == 0
    assert batcher.dump()['waiting_pieces'] == 0


# Guards against a failure of one copy that ends the stage, or queues another,
# while its late batch is alive.
@pytest.mark.parametrize(
    'failure', [b'', answer(b'{"items":[{"reason":"gone"}]}')]
)
async def test_failed_copy_does_not_end_a_late_work_item(open_batcher, failure):
    batcher, (first, second) = await open_batcher((SILENCE, 0), (0, 0))
    second.failure = failure
    reply = await batcher.make_results(make_query())
    assert reply.handles == (f'{first.target.address}/h1',)
    assert first.batches == 1


# Guards against a late batch that fails and ends a stage whose copy is made.
async def test_failed_late_batch_does_not_end_its_copy(open_batcher):
    batcher, (first, second) = await open_batcher((0.8, 0), (0.5, 0))
    first.failure = answer(b'{"items":[{"reason":"gone"}]}')
    reply = await batcher.make_results(make_query())
    assert reply.handles == (f'{second.target.address}/h1',)
    assert (first.batches, second.batches) == (1, 1)


# Guards against more batches to a target while one of its batches is late.
async def test_target_with_a_late_batch_gets_no_other(open_batcher):
    batcher, (only,) = await open_batcher((SILENCE, 0))
    first = asyncio.create_task(batcher.make_results(make_query()))
    await asyncio.sleep(0.8)
    second = asyncio.create_task(
        batcher.make_results(make_query(ident='s', left=5.0))
    )
    await asyncio.sleep(0.3)
    assert only.batches == 1
    assert (await first).handles
    only.silence = (0, 0)
    assert (await second).handles


# Guards against a dead target that holds its batch beyond the deadline.
async def test_batch_that_gets_no_answer_ends_at_its_deadline(open_batcher):
    batcher, (only,) = await open_batcher((FOREVER, 0))
    reply = await batcher.make_results(make_query(left=1.0))
    assert not reply.handles
    await wait_until_idle(batcher)
    assert (only.batches, only.lost) == (1, 1)
    assert batcher.dump()['held_bytes'] == 1000
    assert not batcher._batch_queue.pending_stages


# Guards against a late answer to a cancelled request that stays held, and
# against copies of its work items.
async def test_late_answer_to_a_cancelled_request_is_released(open_batcher):
    batcher, (first, second) = await open_batcher((SILENCE, 0), (0, 0))
    results = asyncio.create_task(batcher.make_results(make_query()))
    await asyncio.sleep(0.3)
    batcher.cancel(PiecesCancel('intake', 'r'))
    assert not (await results).handles
    await wait_until_idle(batcher)
    assert (first.lost, first.released) == (0, 1)
    assert second.batches == count_retries(batcher) == 0
    assert batcher.dump()['held_bytes'] == 0


# Guards against a failure of a target that answers after a short deadline.
async def test_batch_is_not_late_before_its_usual_time(open_batcher):
    batcher, (only,) = await open_batcher((0.45, 0))
    assert not (await batcher.make_results(make_query(left=0.3))).handles
    await wait_until_idle(batcher)
    assert (only.lost, only.released) == (0, 1)
    assert batcher.dump()['held_bytes'] == 0


# Guards against a sound target that counts as slow after a silence.
async def test_silence_does_not_make_a_target_slow(open_batcher):
    batcher, producers = await open_batcher((2.5, 0), (0, 0))
    assert (await batcher.make_results(make_query(left=4.0))).handles
    await wait_until_idle(batcher)
    producers[0].silence = (0, 0)
    await asyncio.sleep(0.2)
    reply = await batcher.make_results(make_query(ident='s'))
    (silent, _) = batcher._members.usable('intake')
    assert reply.handles
    assert batcher._batch_queue.target_state(silent).slowdown < 1.6
