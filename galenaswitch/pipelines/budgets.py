"""Budgets that limit retries and hedges to a share of first attempts."""

# Extra attempts that each first attempt earns.
RETRY_SHARE = 0.1
HEDGE_SHARE = 0.05
INITIAL_ALLOWANCE = 10


class Budget:
    """Budget of extra attempts as a share of first attempts.

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
        """Build a budget with a full allowance.

        :param share: extra attempts that each first attempt earns.
        :param max_allowance: most extra attempts that can be saved up.
        """
        self._share = share
        self._max_allowance = max_allowance
        self._allowance = max_allowance

    def earn(self) -> None:
        """Add the extra attempts that one first attempt earns."""
        self._allowance = min(
            self._max_allowance, self._allowance + self._share
        )

    def can_acquire(self) -> bool:
        """Tell whether the budget allows one extra attempt."""
        return self._allowance >= 1

    def acquire(self) -> bool:
        """Use one extra attempt; return whether the budget allowed it."""
        if not self.can_acquire():
            return False
        self._allowance -= 1
        return True


class Budgets:
    """Retry and hedge budgets by pool."""

    def __init__(self, retry_share: float, hedge_share: float) -> None:
        """Build budgets from the shares of retries and hedges."""
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
