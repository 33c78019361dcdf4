"""One budget of repeated sends over all machines.

Each machine may repeat a share of the requests that it has itself seen,
and its part of a slack that is for all machines in sum. So the sum holds
though machines can't talk to each other.
"""

from collections import deque

# Part of the allowance that is used: what is in flight when a window slides
# may be counted in either.
USED_PART = 0.85


class RetryBudget:
    """Repeated sends to one service in a sliding window.

    >>> budget = RetryBudget(ratio=0.5, slack=0, window=10)
    >>> budget.acquire(0)
    False
    >>> for _ in range(3):
    ...     budget.record_request(0)
    >>> budget.acquire(1), budget.acquire(1)
    (True, False)
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Allow ``ratio`` for each request and ``slack`` besides.

        :param window: seconds in which sends are counted.
        """
        self.slack = slack
        self._ratio = ratio
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def change(self, ratio: float, slack: float, window: float) -> None:
        """Take other figures into force."""
        self.slack = slack
        self._ratio = ratio
        self._window = window

    def record_request(self, now: float) -> None:
        """Count a request at a monotonic time in seconds."""
        self._requests.append(now)
        self._forget(now)

    def acquire(self, now: float, count: int = 1) -> bool:
        """Use some repeated sends if there are as many left, else none."""
        if not self.can_acquire(now, count):
            return False
        self._repeats.extend(now for _ in range(count))
        return True

    def can_acquire(self, now: float, count: int = 1) -> bool:
        """Tell whether some repeated sends are allowed."""
        self._forget(now)
        allowed = self._ratio * len(self._requests) + self.slack
        return len(self._repeats) + count <= allowed * USED_PART

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()


class RetryBudgets:
    """Budgets of all services on one machine."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Share ``slack`` between all machines."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._machines = 1
        self._budgets: dict[str, RetryBudget] = {}

    def change(self, ratio: float, slack: float, window: float) -> None:
        """Take other figures into force; what was counted stays counted."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        for budget in self._budgets.values():
            budget.change(ratio, slack / self._machines, window)

    def set_machine_count(self, machines: int) -> None:
        """Take this machine's part of the slack."""
        self._machines = max(1, machines)
        for budget in self._budgets.values():
            budget.slack = self._slack / self._machines

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            slack = self._slack / self._machines
            budget = RetryBudget(self._ratio, slack, self._window)
            self._budgets[service] = budget
        return budget
