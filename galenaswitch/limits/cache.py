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

PERMIT_LIFETIME_SECONDS = 0.25
PREFETCH_SECONDS = 0.1
REFUSAL_PAUSE_SECONDS = 0.05
RATE_WINDOW_SECONDS = 0.5
FALLBACK_SECONDS = 5
FALLBACK_HALF_LIFE_SECONDS = 1
FALLBACK_BURST = 1


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
    ...     rate.observe(2, step / 10)
    >>> round(rate.average)
    20
    """

    def __init__(self, now: float) -> None:
        """Start at nothing at a monotonic time in seconds."""
        self.average = 0.0
        self.observed_at = now

    def observe(self, amount: float, now: float) -> None:
        """Take an amount into the average."""
        keep = max(0, 1 - (now - self.observed_at) / RATE_WINDOW_SECONDS)
        self.average = self.average * keep + amount / RATE_WINDOW_SECONDS
        self.observed_at = now


class PermitPool:
    """Permits of one workspace."""

    def __init__(self, now: float) -> None:
        """Start empty."""
        self.requests = 0
        self.tokens = 0.0
        self.expires_at = now
        self.refused = ''
        self.refused_until = now
        self.waiting = NO_PERMITS
        self.request_demand = RateAverage(now)
        self.token_demand = RateAverage(now)
        self.grant_rate = RateAverage(now)
        self.fallback_permits = 0.0
        self.fallback_updated_at = now
        self.query_lock = asyncio.Lock()

    def observe_demand(self, need: Permits, now: float) -> None:
        """Take a demand into the moving averages."""
        self.request_demand.observe(need.requests, now)
        self.token_demand.observe(need.tokens, now)

    def acquire(
        self, need: Permits, want: Permits, now: float
    ) -> Permits | None:
        """Use permits in hand, at least what is needed or none."""
        if now > self.expires_at:
            self.requests = 0
            self.tokens = 0
        if self.requests < need.requests or self.tokens < need.tokens:
            return None
        acquired = Permits(
            min(want.requests, self.requests),
            min(want.tokens, self.tokens),
        )
        self.requests -= acquired.requests
        self.tokens -= acquired.tokens
        return acquired

    def add_grant(self, reply: PermitReply, now: float) -> None:
        """Take permits in hand."""
        self.requests += reply.requests
        self.tokens += reply.tokens
        self.grant_rate.observe(reply.requests, now)
        self.expires_at = now + PERMIT_LIFETIME_SECONDS

    def refuse(self, reason: str, now: float) -> None:
        """Refuse all for a moment, so that nobody asks again at once."""
        self.refused = reason
        self.refused_until = now + REFUSAL_PAUSE_SECONDS

    def use_fallback(self, now: float) -> bool:
        """Permit one request without an answer, on a shrinking share.

        The share is the rate granted of late, halved every second. Demand
        doesn't count: it may be far above the contract.
        """
        seconds_since_grant = now - self.grant_rate.observed_at
        if seconds_since_grant > FALLBACK_SECONDS:
            return False
        share = 0.5 ** (1 + seconds_since_grant / FALLBACK_HALF_LIFE_SECONDS)
        earned = (
            (now - self.fallback_updated_at) * self.grant_rate.average * share
        )
        self.fallback_permits = min(
            FALLBACK_BURST, self.fallback_permits + earned
        )
        self.fallback_updated_at = now
        if self.fallback_permits < 1:
            return False
        self.fallback_permits -= 1
        return True


class PermitCache:
    """Permits in hand of all workspaces."""

    def __init__(
        self,
        origin: str,
        query_permits: QueryPermits,
        count_in_use: Callable[[str], int],
    ) -> None:
        """Ask as ``origin``, telling what is in progress each time."""
        self._origin = origin
        self._query_permits = query_permits
        self._count_in_use = count_in_use
        self._pools: dict[str, PermitPool] = {}

    def observe_demand(self, workspace: str, need: Permits) -> None:
        """Note new demand, once for each request however often it asks."""
        now = time.monotonic()
        pool = self._pools.setdefault(workspace, PermitPool(now))
        pool.observe_demand(need, now)

    async def acquire(
        self, workspace: str, need: Permits, want: Permits
    ) -> AcquireResult:
        """Use permits, asking for more when too few are in hand.

        :param need: what must be permitted, or nothing is.
        :param want: what can be used, at least ``need``.
        """
        now = time.monotonic()
        pool = self._pools.setdefault(workspace, PermitPool(now))
        acquired = pool.acquire(need, want, now)
        if acquired:
            return AcquireResult(acquired)
        if now < pool.refused_until:
            return AcquireResult(NO_PERMITS, pool.refused)
        pool.waiting = _add(pool.waiting, want)
        try:
            async with pool.query_lock:
                return await self._acquire_after_query(
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

    def count_outstanding(self, workspace: str) -> int:
        """Return what is in progress, and the permits in hand."""
        pool = self._pools.get(workspace)
        unused = pool.requests if pool else 0
        return self._count_in_use(workspace) + unused

    def dump(self) -> dict[str, int]:
        """Return the permits in hand by workspace."""
        return {
            workspace: pool.requests for workspace, pool in self._pools.items()
        }

    async def _acquire_after_query(
        self,
        workspace: str,
        pool: PermitPool,
        need: Permits,
        want: Permits,
    ) -> AcquireResult:
        now = time.monotonic()
        acquired = pool.acquire(need, want, now)
        if acquired:
            return AcquireResult(acquired)
        if now < pool.refused_until:
            return AcquireResult(NO_PERMITS, pool.refused)
        try:
            reply = await self._query_permits(
                self._make_request(workspace, pool, need)
            )
        except PeerError:
            return self._acquire_fallback(pool, need)
        now = time.monotonic()
        if reply.refused:
            pool.refuse(reply.refused, now)
            return AcquireResult(NO_PERMITS, reply.refused)
        pool.add_grant(reply, now)
        acquired = pool.acquire(need, want, now)
        if acquired:
            return AcquireResult(acquired)
        return AcquireResult(NO_PERMITS, Reason.rate_limit.value)

    def _acquire_fallback(
        self, pool: PermitPool, need: Permits
    ) -> AcquireResult:
        if need.requests == 1 and pool.use_fallback(time.monotonic()):
            return AcquireResult(need)
        return AcquireResult(NO_PERMITS, Reason.limits_unreachable.value)

    def _make_request(
        self, workspace: str, pool: PermitPool, need: Permits
    ) -> PermitRequest:
        """Return the question: what is needed, and what will be soon."""
        prefetch = Permits(
            int(pool.request_demand.average * PREFETCH_SECONDS),
            pool.token_demand.average * PREFETCH_SECONDS,
        )
        want = _add(prefetch, max(need, pool.waiting))
        return PermitRequest(
            workspace,
            self._origin,
            need.requests,
            max(want.requests, need.requests),
            need.tokens,
            max(want.tokens, need.tokens),
            self.count_outstanding(workspace),
        )


def _add(one: Permits, other: Permits) -> Permits:
    return Permits(one.requests + other.requests, one.tokens + other.tokens)
