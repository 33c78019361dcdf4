"""Arrival rate of work items whose requests can be on time.

A late request ranks behind all requests that can be on time, including those
that arrive later. During a burst of several seconds, a late request gets only
the throughput that requests on time leave free. So the work items ahead of a
late request, divided by the full throughput, don't predict its wait.
"""

from collections import deque

# Sliding window in seconds over which arrivals are counted. It is longer than a
# random cluster of arrivals and shorter than a burst.
WINDOW_SECONDS = 2.0
# The free rate is at least this fraction of the throughput, because bursts
# don't last.
MIN_FREE_SHARE = 0.05


class ArrivalRate:
    """Rate of work items that arrived in a sliding window.

    >>> arrivals = ArrivalRate()
    >>> for step in range(20):
    ...     arrivals.record(4, step / 10)
    >>> arrivals.estimate_free_rate(rate=100, now=2.0)
    60.0
    >>> arrivals.estimate_free_rate(rate=30, now=2.0)
    1.5
    """

    def __init__(self) -> None:
        """Build an arrival rate without arrivals."""
        self._arrivals: deque[tuple[float, int]] = deque()
        self._window_total = 0

    def record(self, work_items: int, now: float) -> None:
        """Record work items that arrived at a monotonic time in seconds."""
        self._arrivals.append((now, work_items))
        self._window_total += work_items
        self._drop_expired(now)

    def estimate(self, now: float) -> float:
        """Return the work items per second that arrived of late."""
        self._drop_expired(now)
        return self._window_total / WINDOW_SECONDS

    def estimate_free_rate(self, rate: float, now: float) -> float:
        """Return the work items per second that late requests can get.

        :param rate: work items per second of all targets.
        """
        free_rate = rate - self.estimate(now)
        return max(free_rate, rate * MIN_FREE_SHARE)

    def _drop_expired(self, now: float) -> None:
        while self._arrivals and self._arrivals[0][0] < now - WINDOW_SECONDS:
            _, work_items = self._arrivals.popleft()
            self._window_total -= work_items
