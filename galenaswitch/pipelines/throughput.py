"""Pieces a second that the targets of a service make together."""

from collections import deque

# Seconds over which finished work items are counted.
WINDOW_SECONDS = 2.0
# Part of the rate of full calls that is expected before it is known.
FIRST_PART = 0.7
# Bounds of the measured rate in relation to that of full calls.
LEAST_PART = 0.2
SMOOTHING = 0.2


class Throughput:
    """Rate at which work items are made while others wait.

    It is learned only from spans in which work items waited all the time: else
    it would show the demand and not what the targets can do.

    >>> rate = Throughput()
    >>> rate.find(full=100)
    70.0
    >>> for step in range(21):
    ...     rate.note(5, step / 10, waiting=True)
    >>> 45 < rate.find(full=100) < 60
    True
    """

    def __init__(self) -> None:
        """Start without a measurement."""
        self._made: deque[tuple[float, int]] = deque()
        self._since: float | None = None
        self._rate = 0.0

    def note(self, work_items: int, now: float, *, waiting: bool) -> None:
        """Note work items made at a monotonic time in seconds.

        :param waiting: whether more work items wait for targets.
        """
        if not waiting:
            self._since = None
            self._made.clear()
            return
        if self._since is None:
            self._since = now
            return
        self._made.append((now, work_items))
        while self._made and self._made[0][0] <= now - WINDOW_SECONDS:
            self._made.popleft()
        span = min(now - self._since, WINDOW_SECONDS)
        if span >= WINDOW_SECONDS / 2:
            seen = sum(count for _, count in self._made) / span
            self._rate += SMOOTHING * (seen - (self._rate or seen))
            self._rate = self._rate or seen

    def find(self, full: float) -> float:
        """Return the work items a second that can be expected.

        :param full: work items a second if all calls were full.
        """
        if not self._rate:
            return full * FIRST_PART
        return min(max(self._rate, full * LEAST_PART), full)
