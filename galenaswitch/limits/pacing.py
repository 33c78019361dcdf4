"""Pace of requests to targets that name how many a second they take.

A target in need names a rate for all VMs together. One VM, the owner of the
target's service, gives out the turns, so the sum of all VMs keeps the rate
however small it is.

The pace follows the generic cell rate algorithm: each turn moves the time of
the next one by the interval of the rate, and a turn may be earlier by a burst
tolerance.

Reference: ITU-T Recommendation I.371, annex A.
"""

# Requests that a target may get at one moment after a pause.
BURST_REQUESTS = 2
# Smallest rate in requests per second, also for a target that names 0. Without
# any request, no answer would show that the limit has ended.
MIN_RATE = 0.05
# Relative change from which a new rate replaces the known one and is spread.
MIN_RATE_CHANGE = 0.02
# An answer without a rate ends a limit only this many seconds after the last
# answer with one, because answers overtake each other.
OVERTAKING_SECONDS = 1.0


class Pacer:
    """Rates that targets have named, and the turns given out.

    >>> pacer = Pacer()
    >>> pacer.set_rate('t/1', 2.0, now=0)
    True
    >>> [pacer.take('t/1', now=0) for _ in range(3)]
    [0, 0, 0.5]
    """

    def __init__(self) -> None:
        """Build a pacer for targets without limits."""
        self.rates: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._next_at: dict[str, float] = {}

    def observe(self, incarnation: str, rate: float | None, now: float) -> bool:
        """Apply what an answer of a target says about its limit.

        :param rate: named requests per second, ``None`` for no limit.
        :param now: monotonic time in seconds.
        :returns: whether the known limit changed.
        """
        if rate is not None:
            return self.set_rate(incarnation, rate, now)
        named_at = self._named_at.get(incarnation)
        if named_at is None or now - named_at < OVERTAKING_SECONDS:
            return False
        self.remove(incarnation)
        return True

    def set_rate(self, incarnation: str, rate: float, now: float) -> bool:
        """Set the limit of a target and return whether it changed."""
        self._named_at[incarnation] = now
        rate = max(rate, MIN_RATE)
        known = self.rates.get(incarnation)
        if known and abs(rate - known) <= known * MIN_RATE_CHANGE:
            return False
        self.rates[incarnation] = rate
        return True

    def learn(self, incarnation: str, rate: float, now: float) -> None:
        """Set the limit of a target unless one is known."""
        if incarnation not in self.rates:
            self.set_rate(incarnation, rate, now)

    def remove(self, incarnation: str) -> None:
        """Remove the limit of a target."""
        self.rates.pop(incarnation, None)
        self._named_at.pop(incarnation, None)
        self._next_at.pop(incarnation, None)

    def retain(self, incarnations: set[str]) -> None:
        """Remove the limits of all other targets."""
        for incarnation in set(self.rates) - incarnations:
            self.remove(incarnation)

    def find_wait(self, incarnation: str, now: float) -> float:
        """Return the seconds until a target's next turn, 0 without a limit."""
        rate = self.rates.get(incarnation)
        if rate is None:
            return 0
        next_at = self._next_at.get(incarnation, now)
        return max(0, next_at - (BURST_REQUESTS - 1) / rate - now)

    def take(self, incarnation: str, now: float) -> float:
        """Take a target's next turn and return the seconds until it."""
        rate = self.rates.get(incarnation)
        if rate is None:
            return 0
        wait = self.find_wait(incarnation, now)
        next_at = max(self._next_at.get(incarnation, now), now + wait)
        self._next_at[incarnation] = next_at + 1 / rate
        return wait
