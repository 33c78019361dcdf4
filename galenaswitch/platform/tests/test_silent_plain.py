"""Plain requests to sound targets that are silent for a while and go on."""

import asyncio
import contextlib
import time
from typing import NamedTuple
from unittest.mock import Mock

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import LeavingSign, MemberList
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from standins.scripted import find_header

REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\n'
    b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
FOREVER = 60.0


class Silence(NamedTuple):
    """Seconds for which a target is silent within one answer.

    :param head: before the head.
    :param middle: in the middle of the body.
    :param end: before the last byte.
    """

    head: float = 0
    middle: float = 0
    end: float = 0


class SilentTarget:
    """Scripted target whose answers have silences.

    :ivar lost: answers whose connection was closed before their end.
    """

    def __init__(self, target, answer):
        """Build a target that gives ``answer`` without a silence."""
        self.target = target
        self.answer = answer
        self.silence = Silence()
        self.silent_until = 0
        self.lost = 0
        target._script = self._run

    async def _run(self, reader, writer):
        while True:
            head = await self.target.read_request(reader)
            ident = find_header(head, 'X-Attempt-Id').encode()
            answer = self.answer.replace(b'a1', ident)
            silence = self.silence
            middle = answer.find(b'\r\n\r\n') + 6
            parts = (answer[:middle], answer[middle:-1], answer[-1:])
            rest = max(0, self.silent_until - time.monotonic())
            await self._be_silent(reader, silence.head + rest)
            for part, seconds in zip(parts, (*silence[1:], 0), strict=True):
                writer.write(part)
                await writer.drain()
                await self._be_silent(reader, seconds)

    async def _be_silent(self, reader, seconds):
        if not seconds:
            return
        try:
            async with asyncio.timeout(seconds):
                with contextlib.suppress(ConnectionResetError):
                    await reader.read(1)
        except TimeoutError:
            return
        self.lost += 1
        raise ConnectionResetError


@pytest.fixture
def silent(scripted, make_answer):
    """Return a function that starts targets with silences."""

    async def start(*silences):
        targets = []
        for silence in silences:
            one = SilentTarget(await scripted([b'']), make_answer())
            one.silence = silence
            targets.append(one)
        return targets

    return start


@pytest.fixture
def run_plain(make_plain_runner, make_route, make_caller_request, writer):
    """Return a function that runs one request at targets, the first first.

    The latency of the service is known, so the first is soon found silent.
    """

    async def run(*targets, kind=CallKind.repeatable, change=None, **route):
        runner = make_plain_runner(
            *(getattr(one, 'target', one) for one in targets)
        )
        runner._loads.observe_pool_latency('desk', 0.01)
        for number, _ in enumerate(targets):
            runner._loads.get_load(f't{number}').outstanding = number
        request = make_caller_request(
            make_route(kind, **route), **{'X-Deadline-Ms': '3000'}
        )
        if change:
            asyncio.get_running_loop().call_later(0.05, change, runner)
        try:
            await runner.run(request, writer)
        finally:
            loads = runner._loads.dump()
            assert loads == {
                f't{number}': number for number in range(len(loads))
            }
        return runner

    return run


# Guards against a sound answer that is given up for a target that refuses.
@pytest.mark.parametrize(
    'silence', [Silence(1.1), Silence(0, 1.1), Silence(0, 0, 1.1)]
)
@pytest.mark.parametrize('other', [REFUSAL, b'', b'gibberish\r\n\r\n'])
async def test_silent_answer_outlives_a_target_that_fails(
    run_plain, silent, scripted, writer, silence, other
):
    (first,) = await silent(silence)
    second = await scripted([other])
    await run_plain(first, second)
    assert (writer.head.status, writer.body) == (200, b'fine')
    assert first.lost == 0
    assert len(second.requests) == 1


# Guards against a sound answer that is given up for a target that is gone.
async def test_silent_answer_outlives_an_unreachable_target(
    run_plain, silent, scripted, writer
):
    (first,) = await silent(Silence(1.1))
    second = await scripted([b''])
    await second.stop()
    await run_plain(first, second)
    assert writer.body == b'fine'


def use_up_budget(runner):
    """Use all retries of the service."""
    while runner._budgets.of('desk').acquire(time.monotonic()):
        continue


def pause_others(runner):
    """Pause the second target for long."""
    runner._sender.notices._pauses.pause('t1/1', 30, time.monotonic())


def report_leaving(runner):
    """Report that the second target leaves."""
    runner._members.record_leaving(LeavingSign('t1', 't1/1'))


def limit_others(runner):
    """Limit the second target to one request in a long time."""
    pacer = runner._sender.turns.pacer
    now = time.monotonic()
    pacer.set_rate('t1/1', 0.01, now)
    while not pacer.find_wait('t1/1', now):
        pacer.take('t1/1', now)


def suspect_request(runner):
    """Suspect the request of ending targets."""
    runner._containment.may_repeat = Mock(return_value=False)


def quarantine_request(runner):
    """Quarantine the request."""
    refusal = RefusedError(Reason.request_quarantined)
    runner._containment.check = Mock(side_effect=refusal)


def unlist_all(runner):
    """List no targets any more."""
    members = runner._members
    members.accept(MemberList(members.member_list.revision + 1, (), ()))


# Guards against a sound answer that is given up though no target is left.
@pytest.mark.parametrize(
    'change',
    [
        use_up_budget,
        pause_others,
        report_leaving,
        limit_others,
        suspect_request,
        quarantine_request,
        unlist_all,
    ],
)
async def test_silent_answer_is_kept_if_no_other_target_can_be_had(
    run_plain, silent, writer, change
):
    first, second = await silent(Silence(1.1), Silence())
    await run_plain(first, second, change=change)
    assert writer.body == b'fine'
    assert first.lost == 0
    assert not second.target.requests


def choose_slowly(runner):
    """Limit the second target, and take some time for each turn at it."""
    turns = runner._sender.turns
    find_turn = turns.find_turn

    async def find_slowly(*query):
        await asyncio.sleep(0.4)
        return await find_turn(*query)

    turns.find_turn = find_slowly
    turns.pacer.set_rate('t1/1', 1000.0, time.monotonic())


def choose_slowly_without_budget(runner):
    """Use all retries while a turn is awaited."""
    choose_slowly(runner)
    asyncio.get_running_loop().call_later(0.25, use_up_budget, runner)


# Guards against a request that reaches a target twice, or beyond the budget,
# since attempts choose their targets at the same time.
@pytest.mark.parametrize(
    ('change', 'expected'),
    [(choose_slowly, 1), (choose_slowly_without_budget, 0)],
)
async def test_limits_hold_after_a_target_was_chosen(
    run_plain, silent, writer, budgets, change, expected
):
    first, second = await silent(Silence(1.3), Silence(1.3))
    await run_plain(first, second, attempts=3, change=change)
    assert writer.body == b'fine'
    assert len(second.target.requests) == expected
    if expected:
        assert len(budgets.of('desk')._retries) == expected


# Guards against an answer that is awaited beyond the deadline.
async def test_answer_that_does_not_end_is_given_up_at_the_deadline(
    run_plain, silent
):
    (only,) = await silent(Silence(0.5, FOREVER))
    started_at = time.monotonic()
    with pytest.raises(RefusedError) as caught:
        await run_plain(only, timeout=0.8)
    assert time.monotonic() - started_at < 1.1
    assert caught.value.response.status == 504


# Guards against a retry that is acquired though no other target is left.
async def test_failure_of_the_only_target_costs_no_retry(
    run_plain, scripted, writer, make_answer, budgets
):
    only = await scripted([make_answer(b'oops', b'500 Failed')])
    await run_plain(only)
    assert writer.body == b'oops'
    assert not budgets.of('desk')._retries


# Guards against a silent target that holds up a request, and for nobody.
async def test_other_target_answers_in_place_of_a_silent_one(
    run_plain, silent, writer, budgets
):
    first, second = await silent(Silence(FOREVER), Silence())
    budget = budgets.of('desk')
    started_at = time.monotonic()
    await run_plain(first, second)
    assert time.monotonic() - started_at < 0.6
    assert writer.body == b'fine'
    await asyncio.sleep(0.05)
    assert (first.lost, len(budget._retries)) == (1, 1)
    left = [
        int(find_header(one.target.requests[0], 'X-Deadline-Ms'))
        for one in (first, second)
    ]
    assert left[0] - 500 < left[1] <= left[0] - 100


# Guards against a target that works on after another one has answered.
async def test_silent_target_that_goes_on_ends_the_other_attempt(
    run_plain, silent, writer
):
    first, second = await silent(Silence(0.5), Silence(FOREVER))
    runner = await run_plain(first, second)
    assert writer.body == b'fine'
    await asyncio.sleep(0.05)
    assert (first.lost, second.lost) == (0, 1)
    assert not runner._ejector.dump()


# Guards against requests that run at more targets than their route allows.
@pytest.mark.parametrize(
    ('attempts', 'expected'), [(1, 1), (2, 2), (3, 3), (9, 4)]
)
async def test_silent_targets_get_a_request_as_often_as_the_route_allows(
    run_plain, silent, writer, attempts, expected
):
    targets = await silent(*[Silence(1.2)] * 5)
    await run_plain(*targets, attempts=attempts)
    assert writer.body == b'fine'
    assert sum(len(one.target.requests) for one in targets) == expected


# Guards against a promise for a request that a silent target may have run.
@pytest.mark.parametrize('end', [b'', REFUSAL])
async def test_request_that_a_silent_target_may_have_run_promises_nothing(
    run_plain, silent, scripted, end
):
    (first,) = await silent(Silence(0.6))
    first.answer = b'gibberish' * 3
    second = await scripted([end])
    with pytest.raises(RefusedError) as caught:
        await run_plain(first, second)
    assert caught.value.response.status == 502
    assert caught.value.run is not ExecutionState.not_run


# Guards against a failure in place of an answer that no target has run.
async def test_request_that_all_targets_refuse_is_refused_as_not_run(
    run_plain, silent, scripted
):
    (first,) = await silent(Silence(0.6))
    first.answer = REFUSAL
    second = await scripted([REFUSAL])
    with pytest.raises(RefusedError) as caught:
        await run_plain(first, second)
    assert caught.value.run is ExecutionState.not_run
    assert caught.value.reason is Reason.no_target


# Guards against an error of one target that hides the answer of another.
async def test_error_of_the_other_target_does_not_replace_a_sound_answer(
    run_plain, silent, scripted, writer, make_answer
):
    (first,) = await silent(Silence(0.6))
    second = await scripted([make_answer(b'oops', b'500 Failed')])
    await run_plain(first, second)
    assert (writer.head.status, writer.body) == (200, b'fine')


# Guards against a target's own answer that is replaced by a failure.
async def test_error_of_a_target_is_forwarded_if_the_others_fail(
    run_plain, silent, scripted, writer, make_answer
):
    (first,) = await silent(Silence(0.6))
    first.answer = b'gibberish' * 3
    second = await scripted([make_answer(b'oops', b'500 Failed')])
    await run_plain(first, second)
    assert (writer.head.status, writer.body) == (500, b'oops')
