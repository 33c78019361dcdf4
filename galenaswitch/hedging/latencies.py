"""Recent latencies of the responses of one service, and their quantiles."""

from collections import deque
from typing import NamedTuple

# Most samples that are kept, so that the time to sort them stays below 0.1 ms.
MAX_SAMPLES = 512
# Seconds after which a sample no longer counts. One VM of many gets less than
# a request a second for a service, so a shorter time has too few samples.
MAX_AGE_SECONDS = 60.0
# Fewest samples from which a quantile is estimated.
MIN_SAMPLES = 20


class Quantile(NamedTuple):
    """Estimate of a quantile.

    :param seconds: the latency.
    :param age: seconds since the last sample.
    :param samples: number of samples.
    """

    seconds: float
    age: float
    samples: int


class RecentLatencies:
    """Window of the latest latencies.

    >>> latencies = RecentLatencies()
    >>> for number in range(1, 101):
    ...     latencies.observe(number / 100, now=5)
    >>> latencies.find_quantile(0.9, now=6)
    Quantile(seconds=0.91, age=1, samples=100)
    """

    def __init__(self) -> None:
        """Build a window without samples."""
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def observe(self, seconds: float, now: float) -> None:
        """Add a latency at a monotonic time."""
        self._samples.append((now, seconds))

    def find_quantile(self, share: float, now: float) -> Quantile | None:
        """Return the latency that a share of the samples don't exceed.

        :returns: ``None`` when there are too few recent samples.
        """
        while self._samples and self._samples[0][0] <= now - MAX_AGE_SECONDS:
            self._samples.popleft()
        count = len(self._samples)
        if count < MIN_SAMPLES:
            return None
        ordered = sorted(seconds for _, seconds in self._samples)
        rank = min(count - 1, int(share * count))
        return Quantile(ordered[rank], now - self._samples[-1][0], count)
