"""Which part of a cold target's rate this VM may grant; it has no clock.

The owner of a service grants turns for as many VMs as have lent it their part.
A VM lends its part to one owner at a time and for :data:`LEASE_SECONDS`. It
lends it to another one only after that time, so that the parts of all owners
that are cut off from each other never exceed the whole, also when an owner
freezes and goes on later.

Reference: C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism
for distributed file cache consistency", SOSP 1989.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple, Protocol

LEASE_SECONDS = 1.0
# Requests that a cold target may get in a second beyond one and a half times
# its rate.
SLACK_REQUESTS = 5
# Turns of the whole that are given out at one moment after a pause.
FULL_BURST = 2


class Grant(NamedTuple):
    """Part of the rate of a service's cold targets that this VM may grant.

    :param share: part from 0 to 1.
    :param burst: turns that may be given out at one moment.
    :param ends_at: monotonic time in seconds up to which turns may be given.
    """

    share: float
    burst: int
    ends_at: float


class GrantRule(Protocol):
    """Rule that tells which part of a rate this VM may grant."""

    def find(self, service: str, rate: float, now: float) -> Grant:
        """Return what this VM may grant of a service's cold targets.

        :param rate: requests a second that each of them takes from all VMs.
        :param now: monotonic time in seconds.
        """


NO_GRANT = Grant(0, 0, -math.inf)


class Leases:
    """Parts that this VM has lent to owners, by service.

    >>> leases = Leases(started_at=0)
    >>> leases.lend('desk', 'a', now=0.5), leases.lend('desk', 'a', now=1)
    (False, True)
    >>> leases.lend('desk', 'b', now=1.9), leases.lend('desk', 'b', now=2)
    (False, True)
    """

    def __init__(self, started_at: float) -> None:
        """Build a record of a process that began at a monotonic time.

        An earlier process of this VM may have lent its part just before.
        """
        self._lent: dict[str, tuple[str, float]] = {}
        self._begins_at = started_at + LEASE_SECONDS

    def lend(self, service: str, owner: str, now: float) -> bool:
        """Lend this VM's part to an owner, unless another one has it."""
        holder, lent_at = self._lent.get(service, ('', -math.inf))
        is_held = holder != owner and now < lent_at + LEASE_SECONDS
        if is_held or now < self._begins_at:
            return False
        self._lent[service] = (owner, now)
        return True


class Grants:
    """Parts that VMs have lent to this VM, by service."""

    def __init__(self) -> None:
        """Build a record of a VM that nobody has lent a part."""
        self.machines: Sequence[str] = ()
        self._ends_at: dict[str, dict[str, float]] = {}
        self._began_at: dict[str, float] = {}

    def record(self, service: str, node: str, asked_at: float) -> None:
        """Record that a VM has lent its part.

        :param asked_at: monotonic time in seconds of the query to it.
        """
        live = self._find_live(service, asked_at)
        if not live:
            self._began_at[service] = asked_at
        # Leases that have ended are dropped, also of VMs that are gone.
        self._ends_at[service] = {**live, node: asked_at + LEASE_SECONDS}

    def find(self, service: str, rate: float, now: float) -> Grant:
        """Return what this VM may grant of a service's cold targets.

        Nothing for a second after the first part was lent, as turns of an
        earlier owner may still be used. Owners that see a part of the VMs may
        each give a turn at the same moment, so no more of them may give any
        than the bound has room for: those that see one of the first VMs.
        """
        live = self._find_live(service, now)
        began_at = self._began_at.get(service, now)
        if not live or now < began_at + LEASE_SECONDS:
            return NO_GRANT
        ends_at = min(live.values())
        machines = sorted(self.machines)
        lent = sum(node in live for node in machines)
        if lent == len(machines):
            return Grant(1, FULL_BURST, ends_at)
        if not live.keys() & set(machines[: find_most_owners(rate)]):
            return NO_GRANT
        return Grant(lent / len(machines), 1, ends_at)

    def _find_live(self, service: str, now: float) -> dict[str, float]:
        ends = self._ends_at.get(service, {})
        return {node: end for node, end in ends.items() if end > now}


def find_most_owners(rate: float) -> int:
    """Return how many owners may give turns at one moment.

    In a second, the bound of one and a half times the rate and five requests
    takes the rate itself, the burst of the owner before, and one turn of each.

    >>> find_most_owners(7.3)
    5
    """
    spare = rate / 2 + SLACK_REQUESTS - FULL_BURST
    return max(1, int(spare) - 1)
