"""Which targets are cold, and for how long; it has no clock and no network.

A target tells how long it stays cold. One that may have become cold without a
word, since it was unreachable or its zone evacuated, is suspected to be cold
for as long as a start takes.
"""

from typing import NamedTuple

# Difference in seconds from which what a target tells begins a new period.
# Smaller ones come from the way of an entry.
TOLERANCE_SECONDS = 0.5
# Seconds for which a suspicion isn't ended by an entry that says otherwise. The
# entry may have been written before, and reach this VM later.
SETTLE_SECONDS = 1.0
# Entries whose version is remembered.
MAX_REMEMBERED = 8192


class ColdPeriod(NamedTuple):
    """Time for which a target is cold.

    :param service: service of the target.
    :param seconds: length, as it was known at the begin.
    :param began_at: monotonic time in seconds at which it became known.
    :param ends_at: monotonic time in seconds of its end.
    :param is_suspected: whether the target itself has not told it.
    """

    service: str
    seconds: float
    began_at: float
    ends_at: float
    is_suspected: bool = False


class ColdTimes:
    """Cold periods of targets, by their incarnation.

    :ivar revision: number that grows with each change of a period.

    >>> times = ColdTimes()
    >>> times.observe('t/1', 'desk', 3.0, now=10)
    True
    >>> times.observe('t/1', 'desk', 1.9, now=11.2)
    False
    >>> times.find('t/1', now=12) is None, times.find('t/1', now=13) is None
    (False, True)
    """

    def __init__(self) -> None:
        """Build a record in which no target is cold."""
        self.periods: dict[str, ColdPeriod] = {}
        self.revision = 0
        self._versions: dict[str, int] = {}

    def find(self, incarnation: str, now: float) -> ColdPeriod | None:
        """Return the cold period of a target, ``None`` if it isn't cold."""
        period = self.periods.get(incarnation)
        if period and period.ends_at <= now:
            self._change(incarnation, None)
            return None
        return period

    def observe_entry(
        self,
        incarnation: str,
        service: str,
        version: int,
        seconds: float,
        now: float,
    ) -> bool:
        """Record for how long an entry of the store says a target stays cold.

        Entries are read again when others change, and the time left counts from
        the first look at a version.

        :param version: version of the entry in the store.
        :param seconds: time left when the entry was written.
        :returns: whether that is news.
        """
        known = self._versions.pop(incarnation, None)
        self._versions[incarnation] = version
        if len(self._versions) > MAX_REMEMBERED:
            self._versions.pop(next(iter(self._versions)))
        if known == version:
            return False
        return self.observe(incarnation, service, seconds, now)

    def observe(
        self, incarnation: str, service: str, seconds: float, now: float
    ) -> bool:
        """Record for how long a target says that it stays cold.

        :param seconds: time left, 0 if it is warm.
        :returns: whether that is news.
        """
        known = self.find(incarnation, now)
        if seconds <= 0:
            if known is None or now < known.began_at + _find_settling(known):
                return False
            self._change(incarnation, None)
            return True
        ends_at = now + seconds
        if known and abs(ends_at - known.ends_at) <= TOLERANCE_SECONDS:
            return False
        period = ColdPeriod(service, seconds, now, ends_at)
        self._change(incarnation, period)
        return True

    def suspect(
        self, incarnation: str, service: str, seconds: float, now: float
    ) -> bool:
        """Record that a target may be cold from now on.

        :param seconds: longest time that a target stays cold.
        :returns: whether that is news.
        """
        known = self.find(incarnation, now)
        is_known = known and known.ends_at >= now + seconds - TOLERANCE_SECONDS
        if seconds <= 0 or is_known:
            return False
        period = ColdPeriod(
            service, seconds, now, now + seconds, is_suspected=True
        )
        self._change(incarnation, period)
        return True

    def drop_expired(self, now: float) -> None:
        """Forget the periods that have ended."""
        for incarnation in tuple(self.periods):
            self.find(incarnation, now)

    def _change(self, incarnation: str, period: ColdPeriod | None) -> None:
        self.revision += 1
        if period:
            self.periods[incarnation] = period
        else:
            self.periods.pop(incarnation)


def _find_settling(period: ColdPeriod) -> float:
    return SETTLE_SECONDS if period.is_suspected else 0
