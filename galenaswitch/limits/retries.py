"""Retry budgets that hold for the sum of all VMs.

Each VM may send retries for a ratio of the requests that it has received, plus
its share of a minimum that is divided between all VMs. So the sum of retries
stays within the budget even if VMs can't reach each other.
"""

from collections import deque

# Share of the allowed retries that may be sent. The margin covers requests and
# retries in flight at the end of a window, which may count in the next one.
USED_SHARE = 0.85


class RetryBudget:
    """Budget of retries to one service in a sliding window.

    >>> budget = RetryBudget(ratio=0.5, min_retries=0, window_seconds=10)
    >>> budget.acquire(0)
    False
    >>> for _ in range(3):
    ...     budget.record_request(0)
    >>> budget.acquire(1), budget.acquire(1)
    (True, False)
    """

    def __init__(
        self,
        ratio: float,
        min_retries: float,
        window_seconds: float,
    ) -> None:
        """Build a budget without recorded requests.

        :param ratio: retries that are allowed for each request.
        :param min_retries: retries that are allowed in addition.
        :param window_seconds: time in which requests and retries are counted.
        """
        self.min_retries = min_retries
        self._ratio = ratio
        self._window_seconds = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def change(
        self,
        ratio: float,
        min_retries: float,
        window_seconds: float,
    ) -> None:
        """Change the limits of the budget."""
        self.min_retries = min_retries
        self._ratio = ratio
        self._window_seconds = window_seconds

    def record_request(self, now: float) -> None:
        """Record a request at a monotonic time in seconds."""
        self._requests.append(now)
        self._drop_expired(now)

    def acquire(self, now: float, count: int = 1) -> bool:
        """Acquire ``count`` retries, or none if fewer are left.

        :returns: whether the retries are allowed.
        """
        if not self.can_acquire(now, count):
            return False
        self._retries.extend(now for _ in range(count))
        return True

    def can_acquire(
        self, now: float, count: int = 1, used_share: float = 1
    ) -> bool:
        """Tell whether ``count`` retries are left.

        :param used_share: share of the budget that may be used afterwards.
        """
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + self.min_retries
        return len(self._retries) + count <= allowed * USED_SHARE * used_share

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_seconds:
                times.popleft()


class RetryBudgets:
    """Retry budgets of all services on one VM."""

    def __init__(
        self,
        ratio: float,
        min_retries: float,
        window_seconds: float,
    ) -> None:
        """Build budgets with one set of limits for all services.

        :param ratio: retries that are allowed for each request.
        :param min_retries: retries that are allowed in addition, divided
            between all VMs.
        :param window_seconds: time in which requests and retries are counted.
        """
        self._ratio = ratio
        self._min_retries = min_retries
        self._window_seconds = window_seconds
        self._machine_count = 1
        self._budgets: dict[str, RetryBudget] = {}

    def change(
        self,
        ratio: float,
        min_retries: float,
        window_seconds: float,
    ) -> None:
        """Change the limits; recorded requests and retries still count."""
        self._ratio = ratio
        self._min_retries = min_retries
        self._window_seconds = window_seconds
        for budget in self._budgets.values():
            budget.change(
                ratio,
                min_retries / self._machine_count,
                window_seconds,
            )

    def update_machine_count(self, machines: int) -> None:
        """Divide the minimum number of retries between all VMs.

        :param machines: number of VMs.
        """
        self._machine_count = max(1, machines)
        for budget in self._budgets.values():
            budget.min_retries = self._min_retries / self._machine_count

    def of(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            min_retries = self._min_retries / self._machine_count
            budget = RetryBudget(self._ratio, min_retries, self._window_seconds)
            self._budgets[service] = budget
        return budget
