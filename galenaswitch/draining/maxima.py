"""Largest of the recent values of a measurement."""

from typing import NamedTuple

# Time in seconds after which a new window begins. The last complete one counts
# as well.
WINDOW_SECONDS = 60.0


class _Window(NamedTuple):
    largest: float = 0
    measured: int = 0

    def add(self, one: float) -> '_Window':
        """Return the window with one more value."""
        return _Window(max(self.largest, one), self.measured + 1)


class RecentMaximum:
    """Largest value in the last one or two windows that have values.

    >>> longest = RecentMaximum(now=0)
    >>> longest.add(3, now=1)
    >>> longest.add(2, now=70)
    >>> longest.largest, longest.count
    (3, 2)
    >>> longest.add(1, now=140)
    >>> longest.largest, longest.find_age(150)
    (2, 10)
    """

    def __init__(self, now: float) -> None:
        """Begin a window at a monotonic time in seconds."""
        self._began_at = now
        self._added_at = now
        self._current = _Window()
        self._last = _Window()

    @property
    def largest(self) -> float:
        """Largest value, 0 without one."""
        return max(self._current.largest, self._last.largest)

    @property
    def count(self) -> int:
        """Number of values."""
        return self._current.measured + self._last.measured

    def find_age(self, now: float) -> float:
        """Return the seconds since the last value, at a monotonic time."""
        return now - self._added_at

    def add(self, measured: float, now: float) -> None:
        """Add a value of a monotonic time in seconds."""
        if now - self._began_at > WINDOW_SECONDS:
            self._began_at = now
            self._last = self._current
            self._current = _Window()
        self._added_at = now
        self._current = self._current.add(measured)
