"""Token streams that are left for an engine that doesn't take them."""

import pytest

from galenaswitch.errors import (
    TargetBrokenError,
    TargetBusyError,
    TargetUnreachableError,
)
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.tests.test_silent_streams import (
    POOL,
    SILENCE,
    open_streams,
)

__all__ = ['open_streams']


# Guards against a sound stream that is ended by its silence, since the engine
# that it was left for doesn't take it and no retry is left.
@pytest.mark.parametrize(
    'error', [TargetBusyError, TargetUnreachableError, TargetBrokenError]
)
@pytest.mark.parametrize('silence', [(SILENCE, 0, 0), (0, SILENCE, 0)])
async def test_silent_stream_outlives_an_engine_that_refuses(
    open_streams, silence, error
):
    attempts, client, read = open_streams(silence, (0, 0, 0))
    budgets = Budgets(0, 0)
    attempts._budgets = attempts._first_token_timeout._budgets = budgets
    retries = budgets.retries(POOL)
    while retries._allowance >= 2:
        retries.acquire()
    stream = client.stream

    async def refuse(target, call, gap):
        if target.name == 'engine1':
            raise error('the other engine')
        async for part in stream(target, call, gap):
            yield part

    client.stream = refuse
    assert await read() == '0123'
