"""Throughput of all targets of a service, in work items per second.

The batch queue measures it to estimate how long queued work items wait.
"""

from collections import deque

# Sliding window in seconds over which completed work items are counted.
WINDOW_SECONDS = 2.0
# Before the first measurement, the estimate is this fraction of the rate of
# full batches.
INITIAL_RATE_SHARE = 0.7
# The estimate is at least this fraction of the rate of full batches.
MIN_RATE_SHARE = 0.2
SMOOTHING = 0.2


class Throughput:
    """Rate at which targets complete work items while others are queued.

    Only spans with a non-empty queue are measured. Without a queue, the rate
    shows the arrivals and not what the targets can do.

    >>> rate = Throughput()
    >>> rate.estimate(full=100)
    70.0
    >>> for step in range(21):
    ...     rate.observe(5, step / 10, waiting=True)
    >>> 45 < rate.estimate(full=100) < 60
    True
    """

    def __init__(self) -> None:
        """Build a throughput without measurements."""
        self._completed: deque[tuple[float, int]] = deque()
        self._span_start: float | None = None
        self._average_rate = 0.0
        self._measured_at: float | None = None

    def observe(self, work_items: int, now: float, *, waiting: bool) -> None:
        """Record work items that were completed at a monotonic time.

        :param waiting: whether more work items are queued.
        """
        if not waiting:
            self._span_start = None
            self._completed.clear()
            return
        if self._span_start is None:
            self._span_start = now
            return
        self._completed.append((now, work_items))
        while self._completed and self._completed[0][0] <= now - WINDOW_SECONDS:
            self._completed.popleft()
        span = min(now - self._span_start, WINDOW_SECONDS)
        if span >= WINDOW_SECONDS / 2:
            observed_rate = sum(count for _, count in self._completed) / span
            self._average_rate += SMOOTHING * (
                observed_rate - (self._average_rate or observed_rate)
            )
            self._average_rate = self._average_rate or observed_rate
            self._measured_at = now

    def estimate(self, full: float) -> float:
        """Return the expected work items per second.

        :param full: work items per second if all batches were full.
        """
        if not self._average_rate:
            return full * INITIAL_RATE_SHARE
        return min(max(self._average_rate, full * MIN_RATE_SHARE), full)

    def find_age(self, now: float) -> float | None:
        """Return the age of the measurement in seconds, if there is one."""
        return None if self._measured_at is None else now - self._measured_at

    def find_recent(self, now: float) -> float:
        """Return the measured work items per second, 0 if it isn't recent.

        An earlier measurement may be one of other targets.
        """
        age = self.find_age(now)
        is_recent = age is not None and age <= WINDOW_SECONDS
        return self._average_rate if is_recent else 0
