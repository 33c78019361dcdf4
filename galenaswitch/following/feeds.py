"""Kinds that VMs of an earlier build don't pass on.

A VM follows such a kind itself while others follow the store but none of them
tells of the kind. It has no clock of its own.
"""

import math

# Seconds for which a VM goes on to follow a kind of which a peer tells again.
# Where changes reach this VM on no way but signs of life, it would be late at
# each change if it stopped at once.
HOLD_SECONDS = 30.0


class KindFeeds:
    """Kinds of which some peers may not tell, and when one last did.

    >>> feeds = KindFeeds()
    >>> feeds.add('evacuations', max_seconds=2.5, now=0)
    >>> (
    ...     feeds.should_follow('evacuations', now=2),
    ...     feeds.should_follow('evacuations', now=3),
    ... )
    (False, True)
    >>> feeds.record('evacuations', now=4)
    >>> (
    ...     feeds.should_follow('evacuations', now=5),
    ...     feeds.should_follow('servers', now=5),
    ... )
    (True, False)
    """

    def __init__(self) -> None:
        """Build a record of no kinds."""
        self._max_seconds: dict[str, float] = {}
        self._fed_at: dict[str, float] = {}
        self._hold_until: dict[str, float] = {}

    @property
    def kinds(self) -> tuple[str, ...]:
        """Kinds of which some peers may not tell."""
        return tuple(self._max_seconds)

    def add(self, kind: str, max_seconds: float, now: float) -> None:
        """Add a kind.

        :param max_seconds: longest time without a peer that tells of it.
        :param now: monotonic time in seconds.
        """
        self._max_seconds[kind] = max_seconds
        self._fed_at[kind] = now

    def record(self, kind: str, now: float) -> None:
        """Record that a peer has told what this VM knows of a kind."""
        self._fed_at[kind] = now

    def should_follow(self, kind: str, now: float) -> bool:
        """Tell whether this VM should follow a kind for itself."""
        max_seconds = self._max_seconds.get(kind, math.inf)
        if now - self._fed_at.get(kind, now) > max_seconds:
            self._hold_until[kind] = now + HOLD_SECONDS
        return now < self._hold_until.get(kind, now)
