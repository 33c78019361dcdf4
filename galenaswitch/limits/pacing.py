"""Pace of requests to targets that name how many a second they take.

A target in need names a rate for all VMs together. One VM, the owner of the
target's service, gives out the turns, so the sum of all VMs keeps the rate
however small it is.

The pace follows the generic cell rate algorithm: each turn moves the time of
the next one by the interval of the rate, and a turn may be earlier by a burst
tolerance.

A cold target has a limit as well, which ends with its cold time. Of that rate a
VM gives out only the part that it may grant. A target that names a limit while
it is cold has the smaller one of both.

Reference: ITU-T Recommendation I.371, annex A.
"""

import math
from collections.abc import Callable, Iterable

from galenaswitch.cold.grants import NO_GRANT, Grant, GrantRule
from galenaswitch.cold.times import ColdTimes

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
# Seconds after which a target is tried again at which no turn may be granted.
NO_GRANT_SECONDS = 0.25


class Pacer:
    """Rates that targets have named, and the turns given out.

    >>> pacer = Pacer()
    >>> pacer.set_rate('t/1', 2.0, now=0)
    True
    >>> [pacer.take('t/1', now=0) for _ in range(3)]
    [0, 0, 0.5]
    """

    def __init__(
        self,
        cold_times: ColdTimes | None = None,
        grants: GrantRule | None = None,
        find_cold_rate: Callable[[str], float] | None = None,
    ) -> None:
        """Build a pacer for targets without limits.

        :param cold_times: tells which targets are cold, by default none.
        :param grants: tells which part of the rate of a cold target this VM
            may grant; by default all.
        :param find_cold_rate: returns the requests a second that a cold target
            of a service takes, 0 for any number, which is the default.
        """
        self.rates: dict[str, float] = {}
        self.cold_times = cold_times or ColdTimes()
        self._grants = grants
        self._find_cold_rate = find_cold_rate
        self._named_rates: dict[str, float] = {}
        self._cold_rates: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._next_at: dict[str, float] = {}
        self._refreshed = (-1, -math.inf)

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
        known = self._named_rates.get(incarnation)
        if known and abs(rate - known) <= known * MIN_RATE_CHANGE:
            return False
        self._named_rates[incarnation] = rate
        self._merge()
        return True

    @property
    def named_rates(self) -> dict[str, float]:
        """Limits that targets have named, without those of cold targets."""
        return dict(self._named_rates)

    def learn(self, incarnation: str, rate: float, now: float) -> None:
        """Set the limit of a target unless one is known."""
        self.refresh(now)
        if incarnation not in self.rates:
            self.set_rate(incarnation, rate, now)

    def learn_all(
        self,
        service: str,
        limits: Iterable[tuple[str, float]],
        cold: Iterable[tuple[str, float]],
        now: float,
    ) -> None:
        """Set the limits that another VM knows, unless they are known.

        :param limits: incarnations of targets of a service, and their rates.
        :param cold: incarnations that are cold, and for how many seconds.
        """
        left = dict(cold)
        find_rate = self._find_cold_rate or _find_no_rate
        for incarnation, rate in limits:
            if incarnation not in left:
                self.learn(incarnation, rate, now)
                continue
            # The rate of a cold target that named a smaller one.
            is_named = rate < find_rate(service)
            if is_named and incarnation not in self._named_rates:
                self.set_rate(incarnation, rate, now)
            if self.cold_times.find(incarnation, now) is None:
                self.cold_times.suspect(
                    incarnation, service, left[incarnation], now
                )

    def remove(self, incarnation: str) -> None:
        """Remove the limit that a target has named."""
        self._named_rates.pop(incarnation, None)
        self._named_at.pop(incarnation, None)
        self._merge()

    def retain(self, incarnations: set[str]) -> None:
        """Remove the limits of all other targets."""
        for incarnation in set(self._named_rates) - incarnations:
            self.remove(incarnation)

    def is_cold(self, incarnation: str) -> bool:
        """Tell whether a target has a limit since it is cold."""
        return incarnation in self._cold_rates

    def refresh(self, now: float, *, is_forced: bool = False) -> None:
        """Bring the limits of cold targets into force, and end the others.

        :param now: monotonic time in seconds.
        :param is_forced: whether rates of services may have changed.
        """
        revision, next_end = self._refreshed
        is_same = revision == self.cold_times.revision and now < next_end
        if is_same and not is_forced:
            return
        self.cold_times.drop_expired(now)
        periods = self.cold_times.periods
        find_rate = self._find_cold_rate or _find_no_rate
        found = {
            incarnation: find_rate(period.service)
            for incarnation, period in periods.items()
        }
        self._cold_rates = {one: rate for one, rate in found.items() if rate}
        ends = [period.ends_at for period in periods.values()]
        self._refreshed = (
            self.cold_times.revision,
            min(ends, default=math.inf),
        )
        self._merge()

    def find_wait(self, incarnation: str, now: float) -> float:
        """Return the seconds until a target's next turn, 0 without a limit."""
        self.refresh(now)
        rate, burst = self._find_pace(incarnation, now)
        if rate is None:
            return 0
        if not burst:
            return NO_GRANT_SECONDS
        next_at = self._next_at.get(incarnation, now)
        return max(0, next_at - (burst - 1) / rate - now)

    def find_horizon(self, incarnation: str, now: float) -> float:
        """Return for how many seconds in advance a turn may be given.

        Turns of a cold target end with the grant that they come from.
        """
        if self._grants is None or not self.is_cold(incarnation):
            return math.inf
        return self._find_grant(incarnation, now).ends_at - now

    def take(self, incarnation: str, now: float) -> float:
        """Take a target's next turn and return the seconds until it."""
        wait = self.find_wait(incarnation, now)
        rate, _ = self._find_pace(incarnation, now)
        if rate is None:
            return 0
        next_at = max(self._next_at.get(incarnation, now), now + wait)
        self._next_at[incarnation] = next_at + 1 / rate
        return wait

    def _find_pace(
        self, incarnation: str, now: float
    ) -> tuple[float | None, int]:
        """Return the rate that this VM may give out, and the burst.

        :returns: the rate, ``None`` without a limit; no burst if it may give
            out nothing now.
        """
        rate = self.rates.get(incarnation)
        if (
            rate is None
            or self._grants is None
            or not self.is_cold(incarnation)
        ):
            return rate, BURST_REQUESTS
        grant = self._find_grant(incarnation, now)
        share = grant.share or 1
        return min(rate, self._cold_rates[incarnation] * share), grant.burst

    def _find_grant(self, incarnation: str, now: float) -> Grant:
        period = self.cold_times.find(incarnation, now)
        if self._grants is None or period is None:
            return NO_GRANT
        rate = self._cold_rates[incarnation]
        return self._grants.find(period.service, rate, now)

    def _merge(self) -> None:
        rates = dict(self._cold_rates)
        for incarnation, rate in self._named_rates.items():
            rates[incarnation] = min(rate, rates.get(incarnation, rate))
        self.rates = rates
        for incarnation in self._next_at.keys() - rates.keys():
            self._next_at.pop(incarnation)


def _find_no_rate(service: str) -> float:
    return 0
