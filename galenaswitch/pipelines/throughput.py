"""Pieces a second that the targets of a service make together."""

from collections import deque

# Seconds over which finished work items are counted.
WINDOW_SECONDS = 2.0
# Part of the rate of full calls that is expected before it is known.
INITIAL_RATE_SHARE = 0.7
# Bounds of the measured rate in relation to that of full calls.
MIN_RATE_SHARE = 0.2
SMOOTHING = 0.2


class Throughput:
    """Rate at which work items are made while others wait.

    It is learned only from spans in which work items waited all the time: else
    it would show the demand and not what the targets can do.

    >>> rate = Throughput()
    >>> rate.estimate(max_rate=100)
    70.0
    >>> for step in range(21):
    ...     rate.observe(5, step / 10, waiting=True)
    >>> 45 < rate.estimate(max_rate=100) < 60
    True
    """

    def __init__(self) -> None:
        """Start without a measurement."""
        self._completed: deque[tuple[float, int]] = deque()
        self._span_start: float | None = None
        self._average_rate = 0.0

    def observe(self, work_items: int, now: float, *, waiting: bool) -> None:
        """Note work items made at a monotonic time in seconds.

        :param waiting: whether more work items wait for targets.
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

    def estimate(self, max_rate: float) -> float:
        """Return the work items a second that can be expected.

        :param max_rate: work items a second if all calls were full.
        """
        if not self._average_rate:
            return max_rate * INITIAL_RATE_SHARE
        return min(max(self._average_rate, max_rate * MIN_RATE_SHARE), max_rate)
