"""Token bucket for rate limits.

Reference: J. Turner, "New Directions in Communications (or Which Way to the
Information Age?)", IEEE Communications Magazine 24 (10), 1986.
"""

BURST_SECONDS = 0.25
MIN_BURST = 1.5


class Bucket:
    """Token bucket that fills at a rate up to a small burst.

    >>> bucket = Bucket(rate=8, now=0)
    >>> bucket.level(0), bucket.level(10)
    (1, 2.0)
    """

    def __init__(
        self,
        rate: float,
        now: float,
        initial_level: float = 1,
    ) -> None:
        """Build a bucket with ``initial_level`` units.

        :param rate: units per second that are added.
        :param now: monotonic time in seconds.
        :param initial_level: units at first, which may exceed the burst.
        """
        self._rate = rate
        self._level = initial_level
        self._updated_at = now

    def change_rate(self, rate: float, now: float) -> None:
        """Change the fill rate from ``now`` on."""
        self._level = self.level(now)
        self._updated_at = now
        self._rate = rate

    def level(self, now: float) -> float:
        """Return the available units, negative while the bucket is in debt."""
        burst = max(MIN_BURST, self._rate * BURST_SECONDS)
        filled = self._level + (now - self._updated_at) * self._rate
        return max(self._level, min(burst, filled))

    def acquire(self, amount: float, now: float) -> None:
        """Acquire units; the bucket goes into debt if it has fewer."""
        self._level = self.level(now) - amount
        self._updated_at = now
