"""Keeping work away from targets that fail or are far slower than others.

A target is ejected after consecutive failures or when its latency is an
outlier of its pool; never more than a share of a pool at one time. It comes
back through single probes, with a pause that doubles at each relapse.
"""

from collections.abc import Sequence
from statistics import median
from typing import NamedTuple

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 4
MIN_SLOW_SECONDS = 0.05
FIRST_PAUSE_SECONDS = 1
MAX_PAUSE_SECONDS = 20
MAX_EJECTED_SHARE = 0.5


class Health(NamedTuple):
    """What is remembered of one target.

    :param failures: consecutive failures.
    :param pause: seconds of the current or last ejection.
    :param until: monotonic time of the next probe, 0 when not ejected.
    """

    failures: int = 0
    pause: float = 0
    until: float = 0


class Ejector:
    """Health of all targets that an entry uses."""

    def __init__(self) -> None:
        """Start with all targets healthy."""
        self._health: dict[str, Health] = {}

    def record_success(self, target: str) -> None:
        """Note a success: the target is healthy again."""
        self._health.pop(target, None)

    def record_failure(self, target: str, now: float) -> None:
        """Note a failure at a monotonic time.

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
        """Keep work away for a pause, longer at each relapse."""
        health = self._health.get(target, Health())
        pause = min(
            max(health.pause * 2, FIRST_PAUSE_SECONDS),
            MAX_PAUSE_SECONDS,
        )
        self._health[target] = Health(
            FAILURES_TO_EJECT - 1,
            pause,
            now + pause,
        )

    def is_ejected(self, target: str, now: float) -> bool:
        """Tell whether a target is paused at a monotonic time."""
        health = self._health.get(target)
        return bool(health and health.until > now)

    def select(self, targets: Sequence[str], now: float) -> list[str]:
        """Return the targets in use, at least a fixed share of them.

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
        """Return the pause of each ejected target in seconds."""
        return {
            name: health.pause
            for name, health in self._health.items()
            if health.until
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
    return seconds > max(median(others) * SLOW_FACTOR, MIN_SLOW_SECONDS)
