"""Budgets that bound retries and hedges by the work they repeat."""

RETRY_SHARE = 0.1
HEDGE_SHARE = 0.05
INITIAL_ALLOWANCE = 10


class Budget:
    """Extra attempts allowed as a share of first attempts.

    >>> budget = Budget(share=0.5, max_allowance=1)
    >>> budget.acquire(), budget.acquire()
    (True, False)
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.acquire()
    True
    """

    def __init__(
        self, share: float, max_allowance: float = INITIAL_ALLOWANCE
    ) -> None:
        """Start with the largest allowance.

        :param share: extra attempts earned by each first attempt.
        :param max_allowance: largest allowance saved up.
        """
        self._share = share
        self._max_allowance = max_allowance
        self._allowance = max_allowance

    def earn(self) -> None:
        """Note a first attempt."""
        self._allowance = min(
            self._max_allowance, self._allowance + self._share
        )

    def acquire(self) -> bool:
        """Use up one extra attempt if there is one."""
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


class Budgets:
    """Retry and hedge budgets of each pool."""

    def __init__(self, retry_share: float, hedge_share: float) -> None:
        """Allow these shares of extra attempts."""
        self._retry_share = retry_share
        self._hedge_share = hedge_share
        self._retries: dict[str, Budget] = {}
        self._hedges: dict[str, Budget] = {}

    def retries(self, pool: str) -> Budget:
        """Return the retry budget of a pool."""
        return self._retries.setdefault(pool, Budget(self._retry_share))

    def hedges(self, pool: str) -> Budget:
        """Return the hedge budget of a pool."""
        return self._hedges.setdefault(pool, Budget(self._hedge_share))
