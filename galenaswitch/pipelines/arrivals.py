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
# Arrivals above this fraction of the throughput are a burst. After a burst, the
# rest of the throughput is expected to be free.
BURST_SHARE = 0.5


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
        self._burst_from: float | None = None
        self._burst_until = 0.0

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

    def estimate_late_wait(
        self, work_items: int, rate: float, now: float
    ) -> float:
        """Return the seconds in which late work items are made.

        A burst is expected to go on for as long as it has lasted.

        :param rate: work items per second of all targets.
        """
        free_rate = self.estimate_free_rate(rate, now)
        after_rate = rate * (1 - BURST_SHARE)
        if free_rate >= after_rate:
            self._burst_from = None
            return work_items / free_rate
        if self._burst_from is None or now > self._burst_until:
            self._burst_from = self._arrivals[0][0]
        self._burst_until = now + WINDOW_SECONDS
        lasted = now - self._burst_from
        rest = work_items - free_rate * lasted
        if rest <= 0:
            return work_items / free_rate
        return lasted + rest / after_rate

    def _drop_expired(self, now: float) -> None:
        while self._arrivals and self._arrivals[0][0] < now - WINDOW_SECONDS:
            _, work_items = self._arrivals.popleft()
            self._window_total -= work_items
