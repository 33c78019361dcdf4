"""Successors that have a stream and refuse or break before they answer."""

import time

import pytest

from galenaswitch.platform.tests.engines import RESET, pause
from galenaswitch.platform.tests.test_silent_streams import generate
from galenaswitch.platform.tests.test_streams import NOT_RUN

__all__ = ['generate']


# Guards against part of an answer and a reset, as a sound engine was left for
# one that queues the request and then refuses or breaks it.
@pytest.mark.parametrize('other', [[0.5, NOT_RUN], [0.5, RESET]])
@pytest.mark.parametrize('retries_left', [1, 8])
@pytest.mark.parametrize('silence', [1.8, 2.5])
async def test_silent_engine_outlives_a_successor_that_fails_later(
    start_engines, generate, budgets, silence, other, retries_left
):
    budget = budgets.of('desk')
    while budget.acquire(time.monotonic()):
        pass
    if retries_left == 1:
        budget._retries.pop()
    else:
        budget._retries.clear()
    engines = await start_engines(pause(silence), other)
    assert await generate(engines) is None
