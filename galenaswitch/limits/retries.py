"""One budget of repeated sends over all machines.

Each machine may repeat a share of the requests that it has itself seen,
and its part of a slack that is for all machines in sum. So the sum holds
though machines can't talk to each other.
"""

from collections import deque

# Part of the allowance that is used: what is in flight when a window slides
# may be counted in either.
USED_SHARE = 0.85


class RetryBudget:
    """Repeated sends to one service in a sliding window.

    >>> budget = RetryBudget(ratio=0.5, min_retries=0, window_seconds=10)
    >>> budget.acquire(0)
    False
    >>> for _ in range(3):
    ...     budget.record_request(0)
    >>> budget.acquire(1), budget.acquire(1)
    (True, False)
    """

    def __init__(
        self, ratio: float, min_retries: float, window_seconds: float
    ) -> None:
        """Allow ``ratio`` for each request and ``slack`` besides.

        :param window: seconds in which sends are counted.
        """
        self.min_retries = min_retries
        self._ratio = ratio
        self._window_seconds = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def change(
        self, ratio: float, min_retries: float, window_seconds: float
    ) -> None:
        """Take other figures into force."""
        self.min_retries = min_retries
        self._ratio = ratio
        self._window_seconds = window_seconds

    def record_request(self, now: float) -> None:
        """Count a request at a monotonic time in seconds."""
        self._requests.append(now)
        self._drop_expired(now)

    def acquire(self, now: float, count: int = 1) -> bool:
        """Use some repeated sends if there are as many left, else none."""
        if not self.can_acquire(now, count):
            return False
        self._retries.extend(now for _ in range(count))
        return True

    def can_acquire(self, now: float, count: int = 1) -> bool:
        """Tell whether some repeated sends are allowed."""
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + self.min_retries
        return len(self._retries) + count <= allowed * USED_SHARE

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_seconds:
                times.popleft()


class RetryBudgets:
    """Budgets of all services on one machine."""

    def __init__(
        self, ratio: float, min_retries: float, window_seconds: float
    ) -> None:
        """Share ``slack`` between all machines."""
        self._ratio = ratio
        self._min_retries = min_retries
        self._window_seconds = window_seconds
        self._machine_count = 1
        self._budgets: dict[str, RetryBudget] = {}

    def change(
        self, ratio: float, min_retries: float, window_seconds: float
    ) -> None:
        """Take other figures into force; what was counted stays counted."""
        self._ratio = ratio
        self._min_retries = min_retries
        self._window_seconds = window_seconds
        for budget in self._budgets.values():
            budget.change(
                ratio, min_retries / self._machine_count, window_seconds
            )

    def update_machine_count(self, machines: int) -> None:
        """Take this machine's part of the slack."""
        self._machine_count = max(1, machines)
        for budget in self._budgets.values():
            budget.min_retries = self._min_retries / self._machine_count

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            min_retries = self._min_retries / self._machine_count
            budget = RetryBudget(self._ratio, min_retries, self._window_seconds)
            self._budgets[service] = budget
        return budget
