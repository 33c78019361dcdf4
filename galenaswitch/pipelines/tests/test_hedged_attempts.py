"""First success of attempts, seen from the event loop."""

import asyncio
import gc

import pytest

from galenaswitch.errors import TargetBrokenError
from galenaswitch.pipelines.hedging import find_first_success


async def fail_when_cancelled():
    """Fail like an attempt whose target breaks while it is cancelled."""
    try:
        await asyncio.sleep(9)
    except asyncio.CancelledError:
        raise TargetBrokenError('broken') from None


# Guards against logs of exceptions that nobody retrieved, when a caller leaves
# or another attempt succeeds.
@pytest.mark.parametrize('is_answered', [True, False])
async def test_failures_of_ended_attempts_are_retrieved(is_answered):
    unretrieved = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: unretrieved.append(context))
    first = asyncio.create_task(fail_when_cancelled())

    def hedge():
        return {asyncio.create_task(asyncio.sleep(0 if is_answered else 9))}

    race = asyncio.create_task(find_first_success(first, [0.01], hedge))
    await asyncio.sleep(0.05)
    race.cancel()
    await asyncio.wait({race})
    assert race.cancelled() is not is_answered
    del first, race
    gc.collect()
    assert not unretrieved
