"""Finds targets that a request has not tried, perhaps after a short wait."""

import asyncio
import time
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from galenaswitch.errors import (
    TargetBrokenError,
    TargetError,
    TargetUnreachableError,
)
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.returns import (
    EndKind,
    Returns,
    TargetReplacedError,
)

# Seconds between two looks at the list, and before another connection is tried
# to a target that refused one.
LOOK_SECONDS = 0.02
RECONNECT_SECONDS = 0.1
_ENDS: dict[type[TargetError], EndKind] = {
    TargetBrokenError: EndKind.broken,
    TargetReplacedError: EndKind.replaced,
    TargetUnreachableError: EndKind.refusing,
}


class Untried(NamedTuple):
    """Targets that a request hasn't tried, and how long it waited for them."""

    targets: Sequence[Target]
    waited: float


class ReturnWaits:
    """Targets that have ended, and the requests that wait for their return.

    :ivar metrics: counts the waits, ``None`` for no count.
    """

    def __init__(self) -> None:
        """Build a record of targets that all run."""
        self.metrics: Metrics | None = None
        self.returns = Returns()

    def record_failure(self, target: Target, error: TargetError) -> None:
        """Record a failure, which may show that a target has ended."""
        kind = _ENDS.get(type(error))
        if kind:
            self.returns.record_end(
                target.pool, target.name, kind, time.monotonic()
            )

    def record_answer(self, target: Target) -> None:
        """Record an answer of a target."""
        self.returns.record_answer(target.pool, target.name, time.monotonic())

    def record_wait(
        self, service: str, began_at: float, allowed: float, waited: float
    ) -> None:
        """Log and count a wait with what it was decided by."""
        if self.metrics:
            self.metrics.count('return_awaited')
        get_logger().info(
            'return_awaited',
            service=service,
            ended=round(began_at - self.returns.find_last_end(service), 3),
            typical=round(self.returns.find_typical(service, began_at), 3),
            allowed=round(allowed, 3),
            waited=round(waited, 3),
        )


class TargetRecords(Protocol):
    """What attempts have shown about targets.

    :ivar ejector: leaves out failing targets.
    :ivar returns: knows which targets have ended.
    """

    ejector: Ejector
    returns: ReturnWaits


class UntriedTargets:
    """Finds the targets of a service that a request may try next."""

    def __init__(self, members: Members, records: TargetRecords) -> None:
        """Build a search among the usable targets of ``members``."""
        self._members = members
        self._ejector = records.ejector
        self._waits = records.returns

    async def find(
        self, service: str, tried: set[str], max_wait: float
    ) -> Untried:
        """Return the targets to try, after a wait if all have just ended.

        A target that refused a connection no longer counts as tried then.

        :param tried: names of the targets that the request has tried.
        :param max_wait: longest wait with which the request is on time.
        """
        found = self._select(service, tried)
        if found:
            return Untried(found, 0)
        waited = await self._wait_for_return(service, tried, max_wait)
        found = self._select(service, tried)
        return Untried(found or self._select_all(service, tried), waited)

    async def _wait_for_return(
        self, service: str, tried: set[str], max_wait: float
    ) -> float:
        """Wait if all targets have just ended, and return the time waited."""
        began_at = time.monotonic()
        names = {target.name for target in self._members.usable(service)}
        returns = self._waits.returns
        allowed = returns.start_wait(service, names, max_wait, began_at)
        if not allowed:
            return 0
        try:
            await self._wait(service, tried, began_at + allowed)
        finally:
            returns.end_wait(service)
        waited = time.monotonic() - began_at
        self._waits.record_wait(service, began_at, allowed, waited)
        return waited

    async def _wait(self, service: str, tried: set[str], until: float) -> None:
        """Wait until a new target is listed, or one that refused is due."""
        now = time.monotonic()
        refusing = tried & self._waits.returns.find_ended(
            service, EndKind.refusing, now
        )
        if refusing:
            until = min(until, now + RECONNECT_SECONDS)
        while time.monotonic() < until:
            await asyncio.sleep(LOOK_SECONDS)
            if self._select(service, tried):
                return
        tried.difference_update(refusing)

    def _select(self, service: str, tried: set[str]) -> Sequence[Target]:
        """Return the targets to try, without those that have been replaced.

        They stay listed for a while, and would use up the attempts.
        """
        replaced = self._waits.returns.find_ended(
            service, EndKind.replaced, time.monotonic()
        )
        return self._select_all(service, tried | replaced)

    def _select_all(
        self, service: str, passed_over: set[str]
    ) -> Sequence[Target]:
        """Return the targets that aren't ejected, except some."""
        targets = {
            one.name: one
            for one in self._members.usable(service)
            if one.name not in passed_over
        }
        names = self._ejector.select(list(targets), time.monotonic())
        return [targets[name] for name in names]
