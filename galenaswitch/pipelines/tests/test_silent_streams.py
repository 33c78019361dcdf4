"""Token streams of sound targets that are silent for a while and go on."""

import asyncio
import time

import pytest

from galenaswitch.contracts.documents import Pipeline, parse_document
from galenaswitch.errors import TargetBrokenError
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.requests import Progress
from galenaswitch.pipelines.tests.conftest import ENCODER
from galenaswitch.pipelines.tests.test_silent_calls import FirstChooser, use_up
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.targets.messages import StreamEnd, Token
from standins.examples import PIPELINES

COUNT = 4
SILENCE = 1.5
FOREVER = 60.0
POOL = 'runners'
RUNNER = ENCODER._replace(pool=POOL, models=('scribe@1',))


class SilentStreams:
    """Client of engines that are silent before one part of their streams.

    :ivar silences: seconds of silence before the first token, in the middle
        and before the end, by the name of the target.
    :ivar calls: names of the targets that got a stream.
    """

    def __init__(self, silences):
        """Build a client without streams."""
        self.silences = silences
        self.calls = []

    async def stream(self, target, call, max_gap_seconds):
        """Yield the tokens that are left, as the client of targets does."""
        self.calls.append(target.name)
        ends_at = time.monotonic() + call.left_ms / 1000
        silences = self.silences[target.name]
        await self._be_silent(silences[0], ends_at - time.monotonic())
        for number in range(call.payload['from'], COUNT):
            if number == 2:
                await self._be_silent(silences[1], max_gap_seconds)
            yield [Token(number, str(number))]
        await self._be_silent(silences[2], max_gap_seconds)
        yield StreamEnd(COUNT)

    async def _be_silent(self, seconds, limit):
        await asyncio.sleep(min(seconds, max(0, limit)))
        if seconds > limit:
            raise TargetBrokenError('TimeoutError')


@pytest.fixture
def open_streams(open_attempts, stage_run):
    """Return a function that opens attempts at engines with silences.

    It also returns a function that reads one stream.
    """
    stage = parse_document(PIPELINES[1], Pipeline).stages[0]

    def open_for(*silences):
        targets = tuple(
            RUNNER._replace(name=f'engine{number}', incarnation=str(number))
            for number, _ in enumerate(silences)
        )
        names = [one.name for one in targets]
        client = SilentStreams(dict(zip(names, silences, strict=True)))
        attempts = open_attempts(client, targets)
        attempts._dispatcher._chooser = FirstChooser()
        attempts._dispatcher.predict = lambda *_: 0.05

        async def read():
            run = stage_run._replace(stage=stage, progress=Progress())
            groups = [group async for group in attempts.stream(run)]
            return ''.join(token.text for group in groups for token in group)

        return attempts, client, read

    return open_for


POSITIONS = ((SILENCE, 0, 0), (0, SILENCE, 0), (0, 0, SILENCE))


# Guards against a sound stream that is ended by a silence of its only engine.
@pytest.mark.parametrize('silence', POSITIONS)
async def test_silence_of_the_only_engine_ends_no_stream(open_streams, silence):
    attempts, client, read = open_streams(silence)
    assert await read() == '0123'
    assert client.calls == ['engine0']
    assert not attempts._ejector.dump()


# Guards against a sound stream that is ended though no other may be sent.
@pytest.mark.parametrize('silence', POSITIONS)
async def test_silence_ends_no_stream_if_the_budget_is_used_up(
    open_streams, silence
):
    attempts, client, read = open_streams(silence, (0, 0, 0))
    attempts._budgets = attempts._first_token_timeout._budgets = Budgets(0, 0)
    use_up(attempts._budgets.retries(POOL))
    assert await read() == '0123'
    assert client.calls == ['engine0']


# Guards against a stream that waits for a dead engine though another is idle.
@pytest.mark.parametrize('position', range(3))
async def test_stream_of_a_dead_engine_goes_on_elsewhere(
    open_streams, position
):
    silence = [0, 0, 0]
    silence[position] = FOREVER
    attempts, client, read = open_streams(silence, (0, 0, 0))
    attempts._budgets = attempts._first_token_timeout._budgets = Budgets(0, 0)
    started_at = time.monotonic()
    assert await read() == '0123'
    assert 0.9 < time.monotonic() - started_at < 2
    assert client.calls == ['engine0', 'engine1']
    budget = attempts._budgets.retries(POOL)
    use_up(budget)
    assert budget._allowance == 0


# Guards against a sound stream that is left for an engine that has failed it.
@pytest.mark.parametrize('silence', POSITIONS[1:])
async def test_silent_stream_is_not_left_for_engines_that_were_tried(
    open_streams, silence
):
    attempts, client, read = open_streams((0, FOREVER, 0), silence)
    assert await read() == '0123'
    assert client.calls == ['engine0', 'engine1']


# Guards against a stream of a suspect request that is left for nothing.
async def test_silent_stream_of_a_suspect_request_is_kept(open_streams):
    attempts, client, read = open_streams((0, SILENCE, 0), (0, 0, 0))
    attempts.guard.may_repeat = lambda job: False
    assert await read() == '0123'
    assert client.calls == ['engine0']


# Guards against a dead engine that gets streams for as long as it is listed.
async def test_engine_that_is_silent_for_ever_is_ejected(open_streams):
    attempts, client, read = open_streams((FOREVER, 0, 0), (0, 0, 0))
    await asyncio.gather(*(read() for _ in range(3)))
    assert list(attempts._ejector.dump()) == ['engine0']


# Guards against a stream that waits beyond its deadline.
async def test_stream_of_a_dead_engine_ends_at_its_deadline(
    open_streams, stage_run, monkeypatch
):
    attempts, client, read = open_streams((0, FOREVER, 0))
    started_at = time.monotonic()
    with pytest.raises(RefusedError) as caught:
        await read()
    assert 4.5 < time.monotonic() - started_at < 5.5
    assert caught.value.reason in {Reason.stage_failed, Reason.deadline}


# Guards against a caller that is cancelled by its stream, or the other way.
async def test_cancelled_caller_ends_a_silent_stream(open_streams):
    attempts, client, read = open_streams((0, FOREVER, 0))
    task = asyncio.create_task(read())
    await asyncio.sleep(1.2)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


# Guards against a stream that is left though it has gone on meanwhile.
async def test_stream_with_short_gaps_is_not_left(open_streams):
    attempts, client, read = open_streams((0, 0.6, 0.6), (0, 0, 0))
    assert await read() == '0123'
    assert client.calls == ['engine0']
