"""Permits that an entry or a zone has in hand.

A workspace with little traffic asks for each request; a busy one asks for
what it will use in the next moments. Permits lapse after a short time, so
that they don't strand where the demand has gone.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from galenaswitch.errors import PeerError
from galenaswitch.limits.messages import PermitReply, PermitRequest
from galenaswitch.refusals import Reason

LIFETIME_SECONDS = 0.25
PREFETCH_SECONDS = 0.1
REFUSED_SECONDS = 0.05
RATE_SECONDS = 0.5
RESERVE_SECONDS = 5
RESERVE_HALF_LIFE_SECONDS = 1
RESERVE_BURST = 1


class Permits(NamedTuple):
    """Permits for some requests."""

    requests: int
    tokens: float


NO_PERMITS = Permits(0, 0)


class AcquireResult(NamedTuple):
    """Permits that were taken.

    :param permits: at least what was needed, or nothing.
    :param refused: the limit that refuses, empty when permitted.
    """

    permits: Permits
    refused: str = ''


QueryPermits = Callable[[PermitRequest], Awaitable[PermitReply]]


class RateAverage:
    """Moving average of amounts a second.

    >>> rate = RateAverage(0)
    >>> for step in range(40):
    ...     rate.note(2, step / 10)
    >>> round(rate.average)
    20
    """

    def __init__(self, now: float) -> None:
        """Start at nothing at a monotonic time in seconds."""
        self.average = 0.0
        self.seen = now

    def note(self, amount: float, now: float) -> None:
        """Take an amount into the average."""
        keep = max(0, 1 - (now - self.seen) / RATE_SECONDS)
        self.average = self.average * keep + amount / RATE_SECONDS
        self.seen = now


class PermitPool:
    """Permits of one workspace."""

    def __init__(self, now: float) -> None:
        """Start empty."""
        self.requests = 0
        self.tokens = 0.0
        self.until = now
        self.refused = ''
        self.refused_until = now
        self.waiting = NO_PERMITS
        self.demand = RateAverage(now)
        self.token_demand = RateAverage(now)
        self.granted = RateAverage(now)
        self.reserve = 0.0
        self.reserve_at = now
        self.asking = asyncio.Lock()

    def note_demand(self, need: Permits, now: float) -> None:
        """Take a demand into the moving averages."""
        self.demand.note(need.requests, now)
        self.token_demand.note(need.tokens, now)

    def take(self, need: Permits, want: Permits, now: float) -> Permits | None:
        """Use permits in hand, at least what is needed or none."""
        if now > self.until:
            self.requests = 0
            self.tokens = 0
        if self.requests < need.requests or self.tokens < need.tokens:
            return None
        taken = Permits(
            min(want.requests, self.requests),
            min(want.tokens, self.tokens),
        )
        self.requests -= taken.requests
        self.tokens -= taken.tokens
        return taken

    def add(self, reply: PermitReply, now: float) -> None:
        """Take permits in hand."""
        self.requests += reply.requests
        self.tokens += reply.tokens
        self.granted.note(reply.requests, now)
        self.until = now + LIFETIME_SECONDS

    def refuse(self, reason: str, now: float) -> None:
        """Refuse all for a moment, so that nobody asks again at once."""
        self.refused = reason
        self.refused_until = now + REFUSED_SECONDS

    def use_reserve(self, now: float) -> bool:
        """Permit one request without an answer, on a shrinking share.

        The share is the rate granted of late, halved every second. Demand
        doesn't count: it may be far above the contract.
        """
        silent = now - self.granted.seen
        if silent > RESERVE_SECONDS:
            return False
        share = 0.5 ** (1 + silent / RESERVE_HALF_LIFE_SECONDS)
        filled = (now - self.reserve_at) * self.granted.average * share
        self.reserve = min(RESERVE_BURST, self.reserve + filled)
        self.reserve_at = now
        if self.reserve < 1:
            return False
        self.reserve -= 1
        return True


class PermitCache:
    """Permits in hand of all workspaces."""

    def __init__(
        self,
        origin: str,
        ask: QueryPermits,
        count_held: Callable[[str], int],
    ) -> None:
        """Ask as ``origin``, telling what is in progress each time."""
        self._origin = origin
        self._ask = ask
        self._count_held = count_held
        self._pools: dict[str, PermitPool] = {}

    def note_demand(self, workspace: str, need: Permits) -> None:
        """Note new demand, once for each request however often it asks."""
        now = time.monotonic()
        pool = self._pools.setdefault(workspace, PermitPool(now))
        pool.note_demand(need, now)

    async def take(
        self, workspace: str, need: Permits, want: Permits
    ) -> AcquireResult:
        """Use permits, asking for more when too few are in hand.

        :param need: what must be permitted, or nothing is.
        :param want: what can be used, at least ``need``.
        """
        now = time.monotonic()
        pool = self._pools.setdefault(workspace, PermitPool(now))
        in_hand = pool.take(need, want, now)
        if in_hand:
            return AcquireResult(in_hand)
        if now < pool.refused_until:
            return AcquireResult(NO_PERMITS, pool.refused)
        pool.waiting = _add(pool.waiting, want)
        try:
            async with pool.asking:
                return await self._take_after_asking(
                    workspace,
                    pool,
                    need,
                    want,
                )
        finally:
            pool.waiting = _add(
                pool.waiting,
                Permits(-want.requests, -want.tokens),
            )

    def held(self, workspace: str) -> int:
        """Return what is in progress, and the permits in hand."""
        pool = self._pools.get(workspace)
        in_hand = pool.requests if pool else 0
        return self._count_held(workspace) + in_hand

    def dump(self) -> dict[str, int]:
        """Return the permits in hand by workspace."""
        return {
            workspace: pool.requests for workspace, pool in self._pools.items()
        }

    async def _take_after_asking(
        self,
        workspace: str,
        pool: PermitPool,
        need: Permits,
        want: Permits,
    ) -> AcquireResult:
        now = time.monotonic()
        in_hand = pool.take(need, want, now)
        if in_hand:
            return AcquireResult(in_hand)
        if now < pool.refused_until:
            return AcquireResult(NO_PERMITS, pool.refused)
        try:
            reply = await self._ask(self._make(workspace, pool, need))
        except PeerError:
            return self._without_answer(pool, need)
        now = time.monotonic()
        if reply.refused:
            pool.refuse(reply.refused, now)
            return AcquireResult(NO_PERMITS, reply.refused)
        pool.add(reply, now)
        in_hand = pool.take(need, want, now)
        if in_hand:
            return AcquireResult(in_hand)
        return AcquireResult(NO_PERMITS, Reason.rate_limit.value)

    def _without_answer(self, pool: PermitPool, need: Permits) -> AcquireResult:
        if need.requests == 1 and pool.use_reserve(time.monotonic()):
            return AcquireResult(need)
        return AcquireResult(NO_PERMITS, Reason.limits_unreachable.value)

    def _make(
        self, workspace: str, pool: PermitPool, need: Permits
    ) -> PermitRequest:
        """Return the question: what is needed, and what will be soon."""
        ahead = Permits(
            int(pool.demand.average * PREFETCH_SECONDS),
            pool.token_demand.average * PREFETCH_SECONDS,
        )
        want = _add(ahead, max(need, pool.waiting))
        return PermitRequest(
            workspace,
            self._origin,
            need.requests,
            max(want.requests, need.requests),
            need.tokens,
            max(want.tokens, need.tokens),
            self.held(workspace),
        )


def _add(one: Permits, other: Permits) -> Permits:
    return Permits(one.requests + other.requests, one.tokens + other.tokens)
