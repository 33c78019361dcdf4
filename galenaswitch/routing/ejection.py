"""Outlier ejection: failing or slow targets get no work for a pause.

A target is ejected after consecutive failures, or when its latency is an
outlier of its pool. Ejections are ignored in a pool where they leave less
than half of the targets. After the pause the target gets work again, and one
more failure ejects it for twice the pause. A success makes it healthy.
"""

from collections.abc import Sequence
from statistics import median
from typing import NamedTuple

FAILURES_TO_EJECT = 3
# A latency is an outlier above this multiple of the median of the other
# latencies, but never below this many seconds.
OUTLIER_FACTOR = 4
MIN_OUTLIER_SECONDS = 0.05
FIRST_PAUSE_SECONDS = 1
MAX_PAUSE_SECONDS = 20
MAX_EJECTED_SHARE = 0.5


class Health(NamedTuple):
    """Failures and ejection of one target.

    :param failures: consecutive failures.
    :param pause_seconds: length of the current or last ejection.
    :param paused_until: monotonic time at which the ejection ends, 0 when
        the target was not ejected.
    """

    failures: int = 0
    pause_seconds: float = 0
    paused_until: float = 0


class Ejector:
    """Tracks the health of the targets that one process uses."""

    def __init__(self) -> None:
        """Build an ejector for which all targets are healthy."""
        self._health: dict[str, Health] = {}

    def record_success(self, target: str) -> None:
        """Record a success, which makes the target healthy again."""
        self._health.pop(target, None)

    def record_failure(self, target: str, now: float) -> None:
        """Record a failure at a monotonic time.

        >>> ejector = Ejector()
        >>> for _ in range(3):
        ...     ejector.record_failure('a', 10)
        >>> ejector.is_ejected('a', 10.5), ejector.is_ejected('a', 11.5)
        (True, False)
        """
        health = self._health.get(target, Health())
        failures = health.failures + 1
        if failures < FAILURES_TO_EJECT:
            self._health[target] = health._replace(failures=failures)
            return
        self.eject(target, now)

    def eject(self, target: str, now: float) -> None:
        """Eject a target for a pause that doubles with each ejection.

        The failure count stays one below the limit, so that the next failure
        after the pause ejects the target again.
        """
        health = self._health.get(target, Health())
        pause = min(
            max(health.pause_seconds * 2, FIRST_PAUSE_SECONDS),
            MAX_PAUSE_SECONDS,
        )
        self._health[target] = Health(
            FAILURES_TO_EJECT - 1,
            pause,
            now + pause,
        )

    def is_ejected(self, target: str, now: float) -> bool:
        """Tell whether a target is ejected at a monotonic time."""
        health = self._health.get(target)
        return bool(health and health.paused_until > now)

    def select(self, targets: Sequence[str], now: float) -> list[str]:
        """Return the targets of a pool that are not ejected.

        Returns all targets when more than :data:`MAX_EJECTED_SHARE` of them
        are ejected.

        >>> ejector = Ejector()
        >>> for name in 'ab':
        ...     ejector.eject(name, 0)
        >>> ejector.select(['a', 'b'], 0.5)
        ['a', 'b']
        """
        healthy = [name for name in targets if not self.is_ejected(name, now)]
        if len(healthy) < len(targets) * (1 - MAX_EJECTED_SHARE):
            return list(targets)
        return healthy

    def dump(self) -> dict[str, float]:
        """Return the last pause in seconds of each ejected target.

        A target is listed until its next success, also after its pause.
        """
        return {
            name: health.pause_seconds
            for name, health in self._health.items()
            if health.paused_until
        }


def is_outlier(seconds: float, others: Sequence[float]) -> bool:
    """Tell whether a latency is far above the median of the others.

    >>> is_outlier(1.0, [0.1, 0.1, 0.12])
    True
    >>> is_outlier(0.2, [0.1, 0.1, 0.12])
    False
    """
    if not others:
        return False
    return seconds > max(median(others) * OUTLIER_FACTOR, MIN_OUTLIER_SECONDS)
