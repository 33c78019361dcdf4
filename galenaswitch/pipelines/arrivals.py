"""Pieces a second that arrive for requests that can be on time.

Pattern answered: a burst lasts for several seconds. A request that can't be
on time goes behind those that can, also behind those that are still to come,
so it is served only by what these leave free. The time that the work items
ahead of it take at the full rate says nothing of that.
"""

from collections import deque

# Seconds over which arrivals are counted: longer than clumps of arrivals,
# shorter than a burst.
WINDOW_SECONDS = 2.0
# Part of the rate that is expected to be left at the least: a burst ends.
MIN_FREE_SHARE = 0.05


class ArrivalRate:
    """Arrivals in a sliding window.

    >>> arrivals = ArrivalRate()
    >>> for step in range(20):
    ...     arrivals.record(4, step / 10)
    >>> arrivals.estimate_free_rate(rate=100, now=2.0)
    60.0
    >>> arrivals.estimate_free_rate(rate=30, now=2.0)
    1.5
    """

    def __init__(self) -> None:
        """Start without arrivals."""
        self._arrivals: deque[tuple[float, int]] = deque()
        self._window_total = 0

    def record(self, work_items: int, now: float) -> None:
        """Note work items that arrived at a monotonic time in seconds."""
        self._arrivals.append((now, work_items))
        self._window_total += work_items
        self._drop_expired(now)

    def estimate_free_rate(self, rate: float, now: float) -> float:
        """Return the work items a second that are left for all others.

        :param rate: work items a second that are made in all.
        """
        self._drop_expired(now)
        free_rate = rate - self._window_total / WINDOW_SECONDS
        return max(free_rate, rate * MIN_FREE_SHARE)

    def _drop_expired(self, now: float) -> None:
        while self._arrivals and self._arrivals[0][0] < now - WINDOW_SECONDS:
            _, work_items = self._arrivals.popleft()
            self._window_total -= work_items
