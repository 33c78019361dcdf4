"""Addresses that are marked for a time."""

import time


class Marks:
    """Marks of addresses, each of which holds for the same time.

    >>> marks = Marks(60)
    >>> marks.set('10.0.0.1:80')
    >>> marks.hold('10.0.0.1:80'), marks.hold('10.0.0.2:80')
    (True, False)
    >>> marks.is_empty
    False
    """

    def __init__(self, seconds: float) -> None:
        """Build without marks.

        :param seconds: time for which a mark holds.
        """
        self._seconds = seconds
        self._ends: dict[str, float] = {}

    def hold(self, address: str) -> bool:
        """Tell whether an address is marked."""
        return self._ends.get(address, 0) > time.monotonic()

    @property
    def is_empty(self) -> bool:
        """Whether no address is marked."""
        return max(self._ends.values(), default=0) <= time.monotonic()

    def set(self, address: str) -> None:
        """Mark an address from now on, and forget marks that have ended."""
        now = time.monotonic()
        self._ends = {
            other: end for other, end in self._ends.items() if end > now
        }
        self._ends[address] = now + self._seconds

    def clear(self) -> None:
        """Remove all marks."""
        self._ends.clear()
