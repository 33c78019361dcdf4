"""Calls of stages at sound targets that are silent for a while and go on."""

import asyncio
import time

import pytest

from galenaswitch.errors import TargetBrokenError, TargetBusyError
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.requests import Progress
from galenaswitch.pipelines.tests.conftest import ENCODER
from galenaswitch.pipelines.tests.test_attempts import RecordingClient
from galenaswitch.routing.choice import RoundRobin

SILENCE = 1.5
FOREVER = 60.0


class SilentClient(RecordingClient):
    """Client of targets that are silent before they answer.

    :ivar silences: seconds of silence of each target by its name.
    :ivar busy: names of targets that refuse calls.
    """

    def __init__(self, silences, busy=()):
        """Build a client without calls."""
        super().__init__()
        self.silences = silences
        self.busy = busy

    async def call(self, target, call, repeatable):
        """Answer after the silence, or fail as the client of targets does."""
        self.calls.append(target.name)
        try:
            async with asyncio.timeout(call.left_ms / 1000):
                await asyncio.sleep(self.silences.get(target.name, 0))
        except TimeoutError as error:
            raise TargetBrokenError(target.name) from error
        if target.name in self.busy:
            raise TargetBusyError(target.name)
        return {'by': target.name}


class FirstChooser(RoundRobin):
    """Chooses the first usable target."""

    def choose(self, candidates, work):
        """Return the first candidate."""
        return candidates[0]


@pytest.fixture
def open_silent(open_attempts, encoders):
    """Return a function that opens attempts at targets with silences.

    The latency of the pool is known, so a target is soon found silent.
    """

    def open_for(*silences, busy=(), targets=None):
        names = [one.name for one in encoders]
        client = SilentClient(dict(zip(names, silences, strict=False)), busy)
        count = targets or len(silences)
        attempts = open_attempts(client, encoders[:count])
        attempts._dispatcher._chooser = FirstChooser()
        attempts._loads.observe_pool_latency(ENCODER.pool, 0.01)
        return attempts, client

    return open_for


def use_up(budget):
    """Use all extra attempts of a budget."""
    while budget.acquire():
        continue


# Guards against a sound call that is ended by a silence of its only target.
async def test_silence_of_the_only_target_ends_no_call(open_silent, stage_run):
    attempts, client = open_silent(SILENCE)
    assert await attempts.run(stage_run) == {'by': 'encoder0'}
    assert client.calls == ['encoder0']
    assert not attempts._ejector.dump()


# Guards against a sound call that is ended though no other may be sent.
async def test_silence_ends_no_call_if_the_budgets_are_used_up(
    open_silent, stage_run
):
    attempts, client = open_silent(SILENCE, 0)
    attempts._budgets = Budgets(0, 0)
    use_up(attempts._budgets.retries(ENCODER.pool))
    use_up(attempts._budgets.hedges(ENCODER.pool))
    assert await attempts.run(stage_run) == {'by': 'encoder0'}
    assert client.calls == ['encoder0']


# Guards against a sound call that is ended for targets that are full.
async def test_silent_call_outlives_targets_that_are_full(
    open_silent, stage_run
):
    attempts, client = open_silent(SILENCE, 0, 0, busy=('encoder1', 'encoder2'))
    assert await attempts.run(stage_run) == {'by': 'encoder0'}
    assert sorted(client.calls) == ['encoder0', 'encoder1', 'encoder2']


# Guards against a call that waits for a dead target though others are idle.
async def test_silent_call_is_sent_again_without_hedges(open_silent, stage_run):
    attempts, client = open_silent(FOREVER, 0)
    attempts._budgets = Budgets(1, 0)
    use_up(attempts._budgets.hedges(ENCODER.pool))
    started_at = time.monotonic()
    assert await attempts.run(stage_run) == {'by': 'encoder1'}
    assert 0.4 <= time.monotonic() - started_at < 1.0


# Guards against a dead target that gets calls for as long as it is listed.
async def test_target_that_is_silent_for_ever_is_ejected(
    open_silent, stage_run
):
    attempts, client = open_silent(FOREVER, 0)
    attempts._budgets = Budgets(1, 0)
    use_up(attempts._budgets.hedges(ENCODER.pool))
    for _ in range(8):
        attempts._loads.observe_pool_latency(ENCODER.pool, 0.01)
        run = stage_run._replace(progress=Progress())
        assert await attempts.run(run) == {'by': 'encoder1'}
    assert 'encoder0' in attempts._ejector.dump()


# Guards against a pause of all targets that ends calls or ejects targets.
async def test_pause_of_all_targets_ends_no_call_and_ejects_none(
    open_silent, stage_run
):
    attempts, client = open_silent(SILENCE, SILENCE, SILENCE)
    runs = [stage_run._replace(progress=Progress()) for _ in range(12)]
    outputs = await asyncio.gather(*map(attempts.run, runs))
    assert all(outputs)
    assert not attempts._ejector.dump()
