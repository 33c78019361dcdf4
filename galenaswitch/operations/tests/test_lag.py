"""Hold-ups of the event loop, as the log and the metrics show them."""

import asyncio
import time

import pytest
from structlog.testing import capture_logs

from galenaswitch.operations import lag
from galenaswitch.operations.lag import find_clock
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.operations.timeouts import Timeout


@pytest.fixture
def metrics():
    """Return metrics that receive the hold-ups of the test's loop."""
    return LocalMetrics()


@pytest.fixture
async def observe(metrics):
    """Return a function that holds up the loop beside something that waits.

    The function returns what was logged meanwhile.
    """
    find_clock().metrics = metrics

    async def start(work):
        with capture_logs() as logs:
            async with Timeout(2):
                await asyncio.sleep(0.05)
                work()
                await asyncio.sleep(0.4)
        return [one for one in logs if one['event'] == 'loop_held_up']

    return start


def calculate():
    """Use 0.6 s of processor time."""
    end = time.thread_time() + 0.6
    while time.thread_time() < end:
        sum(range(1000))


# Guards against hold-ups that nobody can see.
async def test_hold_up_is_logged_and_counted(observe, metrics):
    (event,) = await observe(lambda: time.sleep(0.6))
    assert 0.3 < event['seconds'] < 0.7
    assert metrics.dump() == {'loop_held_up': 1}


# Guards against a process that was stopped, or got no core, and whose own work
# is suspected.
async def test_processor_time_tells_own_work_from_a_stop(observe):
    (stopped,) = await observe(lambda: time.sleep(0.6))
    (worked,) = await observe(calculate)
    assert stopped['busy'] < 0.1
    assert worked['busy'] > 0.5


# Guards against short lags that fill the log.
async def test_short_lag_is_not_logged(observe):
    assert not await observe(lambda: time.sleep(0.05))


# Guards against a timer that wakes up an idle process.
async def test_clock_stands_still_while_nothing_waits(observe):
    await observe(lambda: None)
    await asyncio.sleep(0.3)
    before = find_clock().read()
    time.sleep(0.4)
    await asyncio.sleep(0.3)
    assert find_clock().read() == before


# Guards against the connection of an idle watch that keeps the clock ticking.
async def test_watch_does_not_start_the_clock():
    async with Timeout(60, is_measured=False):
        time.sleep(0.4)
        assert find_clock().read() == 0


# Guards against a wait that goes on beyond the deadline of its request.
async def test_limit_holds_in_spite_of_a_hold_up():
    async def wait():
        async with Timeout(0.5, 0.6):
            await asyncio.sleep(0)
            time.sleep(0.5)
            await asyncio.sleep(5)

    began = time.monotonic()
    with pytest.raises(TimeoutError):
        await wait()
    assert 0.59 < time.monotonic() - began < 0.7


# Guards against a timeout that takes the cancellation of its task for its own.
async def test_cancellation_passes_through():
    async def wait():
        async with Timeout(0.05):
            time.sleep(0.1)
            await asyncio.sleep(5)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


# Guards against a timeout that hold-ups in series put off for ever.
async def test_hold_ups_in_series_give_at_most_the_same_time_again(monkeypatch):
    monkeypatch.setattr(lag, 'TICK_SECONDS', 0.01)
    loop = asyncio.get_running_loop()

    def hold_up():
        time.sleep(0.2)
        nonlocal again
        again = loop.call_later(0.005, hold_up)

    async def wait():
        async with Timeout(0.4):
            await asyncio.sleep(3)

    again = loop.call_later(0.005, hold_up)
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        await wait()
    again.cancel()
    assert 0.79 < time.monotonic() - began < 1.5
