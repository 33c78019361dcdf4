"""Generated answers that read stage results, which may be lost."""

import asyncio
import contextlib
import re

import pytest

from galenaswitch.gateway.batcher import Batcher
from galenaswitch.gateway.jobs import INPUT_READ_SECONDS
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.questions import BatchedService
from galenaswitch.gateway.routes import (
    BatchLimits,
    CallKind,
    EngineLimits,
    Service,
    StageSpec,
)
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.gateway.streams import StreamRunner
from galenaswitch.gateway.tests.fakes import LocalOwnerRouter
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.platform.tests.fakes import AnswerRecorder
from galenaswitch.platform.tests.test_streams import event, stream
from galenaswitch.refusals import RefusedError
from standins.scripted import ScriptedTarget, find_header

RESULTS_LOST = (
    b'HTTP/1.1 409 Conflict\r\nX-Attempt-Id: a1\r\n'
    b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
BATCHES = BatchLimits(1, 4, 0.05, 0.01, 9e6, 4)
SINGLE_ITEMS = BATCHES._replace(batch_size=1)
STAGED = {'X-Pieces': '1', 'X-Piece-Key': 'k'}
# Streams that wait for a stage and can all be on time.
WAITING = tuple(f'new-{number}' for number in range(12))
# Streams that may be served before one that goes on: those under way.
MAX_AHEAD = 3


class Producer(ScriptedTarget):
    """Target that makes the results of a stage, one per batch."""

    def __init__(self):
        """Build a producer that has made no results.

        :ivar call_seconds: duration of one batch.
        """
        super().__init__(self.serve)
        self.call_seconds = 0.0
        self.made_count = 0
        self.released = asyncio.Event()

    async def serve(self, reader, writer):
        """Answer all requests of a connection."""
        while True:
            head = await self.read_request(reader)
            if head.split()[1] == '/api/stage-run':
                await asyncio.sleep(self.call_seconds)
            writer.write(self.answer(head.split()[1]))

    def answer(self, path):
        """Return the answer to a request for ``path``."""
        document = b'{"free-mb":9}'
        if path == '/api/stage-run':
            self.made_count += 1
            handle = f'{self.address}/h{self.made_count}'
            document = b'{"items":[{"handle":"%b"}]}' % handle.encode()
        if path == '/api/stage-free':
            self.released.set()
        return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
            len(document),
            document,
        )


class Engine(ScriptedTarget):
    """Engine whose answers end before their second event if they are cut.

    :ivar cut: ids of the requests whose next answer is cut.
    :ivar sent: ids of the requests in order of arrival.
    """

    def __init__(self, cut, sent):
        """Build an engine that shares its lists with others."""
        super().__init__(self.serve)
        self.cut = cut
        self.sent = sent

    async def serve(self, reader, writer):
        """Answer all requests of a connection."""
        while True:
            head = await self.read_request(reader)
            ident = find_header(head, 'X-Attempt-Id')
            self.sent.append(ident)
            number = int(find_header(head, 'Last-Event-Id') or 0)
            answer = stream([event(number + 1)])
            if ident in self.cut:
                self.cut.remove(ident)
                answer = stream([event(number + 1)], end=b'')
            writer.write(answer.replace(b'a1', ident.encode()))
            if not answer.endswith(b'0\r\n\r\n'):
                return


@pytest.fixture
async def engines():
    """Two started engines that share their lists."""
    cut, sent = [], []
    started = [Engine(cut, sent), Engine(cut, sent)]
    for engine in started:
        await engine.start()
    yield started
    for engine in started:
        await engine.stop()


@pytest.fixture
async def producer():
    """Started producer of a stage's results."""
    target = Producer()
    await target.start()
    yield target
    await target.stop()


@pytest.fixture
def route(make_route):
    """Route of a resumable stream that reads the results of a stage."""
    return make_route(
        CallKind.stream,
        resumable=True,
        objective_seconds=1.2,
        stages=(StageSpec('intake', (), 1000),),
    )


@pytest.fixture
async def open_staged(
    sender, budgets, make_table, producer, containment, continuations
):
    """Return a function that makes a VM which runs a stage before a stream.

    :returns: the runner of streams, and the table with the given route.
    """
    tasks = TaskGroup()

    def start(route, *engines, limits=BATCHES):
        listed = Members()
        targets = [Target('m', 'm/1', 'z', 'intake', producer.address)]
        targets.extend(
            Target(f'e{n}', f'e{n}/1', 'z', 'desk', one.address)
            for n, one in enumerate(engines)
        )
        listed.accept(MemberList(1, (), tuple(targets)))
        wire = PlatformWire()
        batcher = Batcher(
            BatchedService('intake', lambda _: limits),
            listed,
            sender,
            wire,
            budgets,
            tasks,
            lambda held: stages.release(held),
            containment,
        )
        stages = StageRunner(
            'z', listed, wire, LocalOwnerRouter(), lambda _: batcher
        )
        scheduler = PlacementScheduler(
            'desk', lambda _: EngineLimits(4, 9999), listed, sender.turns.pacer
        )
        runner = StreamRunner(
            sender,
            wire,
            budgets,
            LocalOwnerRouter(),
            stages,
            lambda _: scheduler,
            containment,
            continuations(listed),
        )
        table = make_table(route)
        table.services['intake'] = Service('intake', 10, None, limits)
        return runner, table

    yield start
    await tasks.stop()


@pytest.fixture
def run_staged(open_staged, make_caller_request, writer):
    """Return a function that runs a stage and then a stream on engines."""

    async def run(route, *engines):
        runner, table = open_staged(route, *engines)
        await runner.run(make_caller_request(route, **STAGED), table, writer)

    return run


def find_sent_inputs(engine):
    """Return the final parts of the input handles sent to an engine."""
    sent = [find_header(head, 'X-Inputs') for head in engine.requests]
    return [re.sub('.*/', '', one) for one in sent]


async def test_stages_rerun_when_an_engine_lacks_their_results(
    run_staged,
    route,
    writer,
    producer,
):
    answers = [RESULTS_LOST, stream([event(1)])]

    async def answer_next(reader, target_writer):
        await engines[0].read_request(reader)
        target_writer.write(answers.pop(0))

    engines = [ScriptedTarget(answer_next), ScriptedTarget(answer_next)]
    for engine in engines:
        await engine.start()
    await run_staged(route, *engines)
    for engine in engines:
        await engine.stop()
    assert writer.body == event(1)
    assert find_sent_inputs(engines[0]) == ['h1', 'h2']
    assert producer.made_count == 2


async def test_stages_rerun_for_a_resumed_stream(
    run_staged,
    route,
    scripted,
    writer,
    producer,
):
    cut = await scripted([stream([event(1)], end=b'')])
    other = await scripted([stream([event(1)], end=b'')])
    with pytest.raises(RefusedError, match='stage-failed'):
        await run_staged(route, cut, other)
    assert producer.made_count == 2
    assert sorted(find_sent_inputs(cut) + find_sent_inputs(other)) == [
        'h1',
        'h2',
    ]


async def test_results_are_released_before_a_slow_first_event(
    run_staged,
    make_route,
    writer,
    producer,
):
    """Results that fill the producer's memory are released early."""

    async def answer_late(reader, target_writer):
        await engine.read_request(reader)
        await asyncio.wait_for(producer.released.wait(), 5)
        target_writer.write(stream([event(1)]))

    engine = ScriptedTarget(answer_late)
    await engine.start()
    large = StageSpec('intake', (), 6_000_000)
    await run_staged(make_route(CallKind.stream, stages=(large,)), engine)
    await engine.stop()
    assert writer.finished


async def test_results_are_kept_for_a_second_engine(
    run_staged,
    route,
    writer,
    producer,
):
    """An engine that fails after it has read its inputs is replaced.

    Without memory pressure the results are still held for the next engine.
    """
    released = []

    async def stay_silent(reader, target_writer):
        await silent.read_request(reader)
        await asyncio.sleep(INPUT_READ_SECONDS * 2)
        released.append(producer.released.is_set())

    async def answer(reader, target_writer):
        await other.read_request(reader)
        target_writer.write(stream([event(1)]))

    silent, other = ScriptedTarget(stay_silent), ScriptedTarget(answer)
    for engine in (silent, other):
        await engine.start()
    await run_staged(route, silent, other)
    for engine in (silent, other):
        await engine.stop()
    assert writer.finished
    assert not any(released)
    assert producer.made_count == 1


@pytest.fixture
def send_streams(open_staged, route, engines, producer, make_caller_request):
    """Return a function that sends streams to a VM with a slow stage.

    The streams come one after the other; it waits for all their answers.
    """
    runner, table = open_staged(route, *engines, limits=SINGLE_ITEMS)
    producer.call_seconds = SINGLE_ITEMS.call_overhead_seconds

    async def send(*idents, **headers):
        async with asyncio.TaskGroup() as tasks:
            for ident in idents:
                tasks.create_task(answer(ident, **headers))
                await asyncio.sleep(0)

    async def answer(ident, **headers):
        request = make_caller_request(route, ident, **STAGED, **headers)
        with contextlib.suppress(RefusedError):
            await runner.run(request, table, AnswerRecorder())

    return send


# Guards against streams that callers take up in vain while others wait.
async def test_taken_up_stream_is_served_before_new_ones_that_wait(
    send_streams, engines
):
    engines[0].cut.extend(['a1', 'a1'])
    await send_streams('a1')
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(send_streams(*WAITING))
        await asyncio.sleep(SINGLE_ITEMS.call_overhead_seconds / 2)
        await send_streams('a2', **{'Last-Event-Id': '2', 'Resumes': 'a1'})
    later = [ident for ident in engines[0].sent if ident != 'a1']
    assert later.index('a2') <= MAX_AHEAD
    assert set(later) & set(WAITING)


# Guards against answers that end midway while other streams wait.
async def test_answer_goes_on_before_new_streams_that_wait(
    send_streams, engines
):
    engines[0].cut.append('a1')
    await send_streams('a1', *WAITING)
    assert engines[0].sent[:MAX_AHEAD].count('a1') == 2
    assert set(engines[0].sent) & set(WAITING)


# Guards against stages that run for a stream which can't go on.
async def test_no_stage_runs_for_a_take_up_whose_version_has_left(
    open_staged, route, engines, producer, make_caller_request, versions
):
    versions.find_only_version.return_value = 'v1'
    runner, table = open_staged(route, *engines)
    request = make_caller_request(
        route, 'a2', **STAGED, **{'Last-Event-Id': '1', 'Resumes': 'a1'}
    )
    with pytest.raises(RefusedError, match='stream-version-gone'):
        await runner.run(request, table, AnswerRecorder())
    assert not producer.made_count
