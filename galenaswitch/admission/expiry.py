"""Placements whose time has run out."""

import heapq


class Expiries:
    """Times at which placements expire unless their end is reported before.

    >>> expiries = Expiries()
    >>> expiries.record('one', 2.0)
    >>> expiries.record('two', 1.0)
    >>> expiries.drop('two')
    >>> expiries.pop_expired(1.5), expiries.pop_expired(2.5)
    ([], ['one'])
    """

    def __init__(self) -> None:
        """Build expiries of no placements."""
        self._expires_at: dict[str, float] = {}
        self._ordered: list[tuple[float, str]] = []

    def __contains__(self, ident: object) -> bool:
        """Tell whether a placement has not ended."""
        return ident in self._expires_at

    def record(self, ident: str, expires_at: float) -> None:
        """Record the monotonic time at which a placement expires."""
        self._expires_at[ident] = expires_at
        heapq.heappush(self._ordered, (expires_at, ident))

    def drop(self, ident: str) -> None:
        """Forget a placement that has ended."""
        self._expires_at.pop(ident, None)

    def pop_expired(self, now: float) -> list[str]:
        """Forget and return the placements that have expired."""
        expired = []
        while self._ordered and self._ordered[0][0] < now:
            expires_at, ident = heapq.heappop(self._ordered)
            if self._expires_at.get(ident) == expires_at:
                self._expires_at.pop(ident)
                expired.append(ident)
        return expired
