"""What the owner of a brittle service knows of the seats of all VMs.

A VM that becomes the owner, also for the second time, doesn't know which seats
another owner gave meanwhile. It gives none before it has asked all VMs again.
"""

import math
from collections.abc import Collection

# Seconds between two collections of the seats of all VMs, and age from which
# the last one is too old to give out seats.
COLLECT_INTERVAL_SECONDS = 2.0
MAX_COLLECTION_AGE_SECONDS = 6.0
# The same after one in which a VM didn't answer, and age from which the last
# answer of a VM is too old to give out its share. A single answer that is lost
# or late doesn't cost a share; a VM that is cut off costs it after two.
REPEAT_SECONDS = 0.5
MAX_ANSWER_AGE_SECONDS = 3.0
# Seconds without a look at who the owner is after which another VM may have
# been it. A service with a request in this time has looks enough.
MAX_UNOBSERVED_SECONDS = 2.0


class SeatKnowledge:
    """Knowledge of the seats of one service; it has no clock of its own.

    >>> knowledge = SeatKnowledge()
    >>> knowledge.observe_owner(is_owner=True, now=10)
    True
    >>> knowledge.is_due(now=10), knowledge.is_known(now=10)
    (True, False)
    >>> knowledge.record(('a',), asked_at=10, is_complete=True, now=10.1)
    >>> knowledge.is_due(now=11), knowledge.is_known(now=11)
    (False, True)
    >>> knowledge.observe_owner(is_owner=False, now=11)
    False
    >>> knowledge.observe_owner(is_owner=True, now=11.4)
    True
    >>> knowledge.is_due(now=11.4), knowledge.is_known(now=11.4)
    (True, False)
    """

    def __init__(self) -> None:
        """Build a knowledge of no seats, of a VM that isn't the owner."""
        self._is_owner = False
        self._owner_since = -math.inf
        self._observed_at = -math.inf
        self._asked_at = -math.inf
        self._collected_at = -math.inf
        self._is_complete = True
        self._told: dict[str, float] = {}

    def observe_owner(self, *, is_owner: bool, now: float) -> bool:
        """Record whether this VM is the owner, as it sees it.

        :param now: monotonic time in seconds.
        :returns: whether it may have become the owner since the last look.
        """
        is_observed = now - self._observed_at < MAX_UNOBSERVED_SECONDS
        is_new = is_owner and not (self._is_owner and is_observed)
        if is_new:
            self._owner_since = now
        self._is_owner = is_owner
        self._observed_at = now
        return is_new

    def find_age(self, now: float) -> float:
        """Return the age in seconds of the last collection."""
        return now - self._collected_at

    def record(
        self,
        told: Collection[str],
        asked_at: float,
        *,
        is_complete: bool,
        now: float,
    ) -> None:
        """Record a collection of the seats of all VMs.

        :param told: names of the VMs that answered.
        :param asked_at: monotonic time at which they were asked, in seconds.
        :param is_complete: whether all VMs answered.
        """
        self._asked_at = asked_at
        self._collected_at = now
        self._is_complete = is_complete
        self._told.update(dict.fromkeys(told, now))

    def is_due(self, now: float) -> bool:
        """Tell whether the seats of all VMs should be collected."""
        interval = (
            COLLECT_INTERVAL_SECONDS if self._is_complete else REPEAT_SECONDS
        )
        return self.find_age(now) > interval or self._is_outdated

    def is_known(self, now: float) -> bool:
        """Tell whether the seats are known well enough to give out others."""
        if self._is_outdated:
            return False
        return self.find_age(now) <= MAX_COLLECTION_AGE_SECONDS

    def find_share(
        self, own: str, machines: Collection[str], now: float
    ) -> float:
        """Return the share of all seats that this VM may give out.

        VMs that are cut off from each other may have an owner each.

        :param own: name of this VM.
        :param machines: names of all other VMs.
        """
        oldest = now - MAX_ANSWER_AGE_SECONDS
        told = {
            name
            for name, told_at in self._told.items()
            if self._is_owner and told_at > oldest
        }
        everyone = {own, *machines}
        return len(everyone & (told | {own})) / len(everyone)

    @property
    def _is_outdated(self) -> bool:
        """Whether another owner may have given seats since the collection."""
        return self._is_owner and self._asked_at < self._owner_since
