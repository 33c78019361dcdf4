"""Retry times of rejected callers, and who returns in time.

The retry times of all rejected callers are spread over the time in which the
engines can serve them. A caller who keeps its time ranks before new requests of
its rank. Only the owner that rejected it knows this: if the owner is lost, it
returns as a new caller.
"""

import random
from collections import OrderedDict

# Share of the engines' rate that is promised to callers who return. The rest is
# for new ones, who would otherwise all be rejected once.
RETURN_SHARE = 0.5
# Seconds by which a caller may return before its time, and after it, since the
# clocks and timers of callers aren't exact and a new connection takes time.
EARLY_SECONDS = 0.1
LATE_SECONDS = 2.0
# Most callers who are remembered; more than an owner rejects in the longest
# time that a promise lasts.
MAX_PROMISES = 10_000


class ReturnSchedule:
    """Times at which rejected callers may return.

    >>> schedule = ReturnSchedule()
    >>> [schedule.promise('a', 0.5, 9, rate=4, now=0) for _ in range(3)]
    [0.5, 1.0, 1.5]
    >>> schedule.claim('a', now=0.2), schedule.claim('a', now=0.6)
    (False, True)
    """

    def __init__(self) -> None:
        """Build a schedule in which no caller is expected."""
        self._next_at = 0.0
        self._promises: OrderedDict[tuple[str, float], None] = OrderedDict()
        self._by_key: dict[str, list[float]] = {}

    def promise(
        self, key: str, earliest: float, latest: float, rate: float, now: float
    ) -> float:
        """Return the seconds after which a rejected caller may return.

        A time that would be too late is replaced by a random one for which
        nothing is promised.

        :param key: id of the request over its attempts, empty if unknown.
        :param earliest: seconds before which no capacity is expected.
        :param latest: longest useful time in seconds.
        :param rate: requests that end per second.
        :param now: monotonic time in seconds.
        """
        return_at = max(now + earliest, self._next_at)
        if return_at > now + latest:
            return random.uniform(min(earliest, latest / 2), latest)
        self._next_at = return_at + 1 / (rate * RETURN_SHARE)
        if key:
            self._add(key, return_at)
        return return_at - now

    def claim(self, key: str, now: float) -> bool:
        """Tell whether a caller returns in time, and end its promise."""
        self._drop_expired(now)
        times = self._by_key.get(key)
        if not times or times[0] - EARLY_SECONDS > now:
            return False
        self._drop(key, times[0])
        return True

    def _add(self, key: str, return_at: float) -> None:
        self._promises[key, return_at] = None
        self._by_key.setdefault(key, []).append(return_at)
        if len(self._promises) > MAX_PROMISES:
            self._drop(*next(iter(self._promises)))

    def _drop(self, key: str, return_at: float) -> None:
        self._promises.pop((key, return_at), None)
        times = self._by_key[key]
        times.remove(return_at)
        if not times:
            self._by_key.pop(key)

    def _drop_expired(self, now: float) -> None:
        while self._promises:
            key, return_at = next(iter(self._promises))
            if return_at + LATE_SECONDS >= now:
                return
            self._drop(key, return_at)
