"""Time for which the event loop of a process was held up.

A timer that runs late shows a callback that took long, a process that was
stopped, or a machine without a free core. What peers sent meanwhile wasn't
read, and what was written for them may not have left.
"""

import asyncio
import time
from weakref import WeakKeyDictionary

from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import MILLISECONDS, Metrics

# Time between two readings of the clock while something waits.
TICK_SECONDS = 0.25
# Shortest delay of a timer that counts as a hold-up.
MIN_HELD_UP_SECONDS = 0.02
# Shortest hold-up that is logged and counted.
MIN_LOGGED_SECONDS = 0.1


class LoopClock:
    """Sums up the time for which one event loop was held up.

    The timer behind it runs only while something waits, so that an idle
    process isn't woken up.

    :ivar metrics: receives the hold-ups, ``None`` for none.
    """

    def __init__(self) -> None:
        """Build a clock that is stopped."""
        self.metrics: Metrics | None = None
        self._waits = 0
        self._held_seconds = 0.0
        self._due_at = 0.0
        self._busy_seconds = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Measure until :meth:`stop` was called as often as this method."""
        self._waits += 1
        if self._handle is None:
            self._arm()

    def stop(self) -> None:
        """Undo one call of :meth:`start`."""
        self._waits -= 1

    def read(self) -> float:
        """Return the seconds for which the loop was held up until now."""
        late = time.monotonic() - self._due_at if self._handle else 0
        return self._held_seconds + _filter(late, MIN_HELD_UP_SECONDS)

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._due_at = time.monotonic() + TICK_SECONDS
        self._busy_seconds = time.thread_time()
        self._handle = loop.call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        late = time.monotonic() - self._due_at
        self._held_seconds += _filter(late, MIN_HELD_UP_SECONDS)
        if late > MIN_LOGGED_SECONDS:
            self._report(late)
        self._handle = None
        if self._waits:
            self._arm()

    def _report(self, seconds: float) -> None:
        """Log a hold-up; little processor time means that others caused it."""
        busy = time.thread_time() - self._busy_seconds
        get_logger().warning(
            'loop_held_up', seconds=round(seconds, 3), busy=round(busy, 3)
        )
        if self.metrics:
            self.metrics.time('loop_held_up', seconds * MILLISECONDS)


_clocks: WeakKeyDictionary[asyncio.AbstractEventLoop, LoopClock] = (
    WeakKeyDictionary()
)


def find_clock() -> LoopClock:
    """Return the clock of the running loop."""
    loop = asyncio.get_running_loop()
    clock = _clocks.get(loop)
    if clock is None:
        clock = LoopClock()
        _clocks[loop] = clock
    return clock


def _filter(seconds: float, least: float) -> float:
    return seconds if seconds > least else 0
