"""Cache of granted but unused permits of an entry process or zone.

For a workspace with little traffic, the cache requests permits for each
request. For a busy workspace, it also prefetches the permits that the
recent demand will use within ``PREFETCH_SECONDS``. Unused permits expire after
a short time, so that they aren't stranded where demand has stopped.

While queries for permits fail, the cache grants fallback permits at a falling
rate, for ``FALLBACK_SECONDS`` after the last grant.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from galenaswitch.errors import PeerError
from galenaswitch.limits.messages import PermitReply, PermitRequest
from galenaswitch.refusals import Reason

# Seconds after the last grant at which unused permits expire.
PERMIT_LIFETIME_SECONDS = 0.25
PREFETCH_SECONDS = 0.1
# Seconds for which all requests of a workspace are refused after a refusal.
REFUSAL_PAUSE_SECONDS = 0.05
# Window of the averages of demand and of grants.
RATE_WINDOW_SECONDS = 0.5
FALLBACK_SECONDS = 5
FALLBACK_HALF_LIFE_SECONDS = 1
FALLBACK_BURST = 1


class Permits(NamedTuple):
    """Number of requests and tokens that are needed, wanted or granted."""

    requests: int
    tokens: float


NO_PERMITS = Permits(0, 0)


class AcquireResult(NamedTuple):
    """Result of an attempt to acquire permits.

    :param permits: acquired permits, at least the needed number or none.
    :param refused: name of the limit that refuses the permits, empty when
        they are granted.
    """

    permits: Permits
    refused: str = ''


QueryPermits = Callable[[PermitRequest], Awaitable[PermitReply]]


class RateAverage:
    """Moving average of a rate in units per second.

    >>> rate = RateAverage(0)
    >>> for step in range(40):
    ...     rate.observe(2, step / 10)
    >>> round(rate.average)
    20
    """

    def __init__(self, now: float) -> None:
        """Build a moving average that starts at zero.

        :param now: monotonic time in seconds.
        """
        self.average = 0.0
        self.observed_at = now

    def observe(self, amount: float, now: float) -> None:
        """Add an observed amount to the moving average."""
        decay = max(0, 1 - (now - self.observed_at) / RATE_WINDOW_SECONDS)
        self.average = self.average * decay + amount / RATE_WINDOW_SECONDS
        self.observed_at = now


class PermitPool:
    """Unused permits and demand of one workspace.

    :ivar requests: unused permits for requests.
    :ivar tokens: unused permits for tokens.
    :ivar refused: name of the limit that refused the last query.
    :ivar waiting: permits wanted by the calls that wait for a query.
    :ivar query_lock: held during a query, so that each pool sends one query
        at a time.
    """

    def __init__(self, now: float) -> None:
        """Build a pool without permits.

        :param now: monotonic time in seconds.
        """
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
        """Add the permits that a request needs to the average demand."""
        self.request_demand.observe(need.requests, now)
        self.token_demand.observe(need.tokens, now)

    def acquire(
        self,
        need: Permits,
        want: Permits,
        now: float,
    ) -> Permits | None:
        """Acquire unused permits.

        :param need: fewest permits to acquire; with fewer, none are acquired.
        :param want: most permits to acquire, at least ``need``.
        :returns: acquired permits, or ``None`` when too few are unused.
        """
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
        """Add granted permits to the unused permits; extend their lifetime."""
        self.requests += reply.requests
        self.tokens += reply.tokens
        self.grant_rate.observe(reply.requests, now)
        self.expires_at = now + PERMIT_LIFETIME_SECONDS

    def refuse(self, reason: str, now: float) -> None:
        """Refuse all requests for ``REFUSAL_PAUSE_SECONDS``.

        The pause keeps refused requests from repeating the query at once.
        """
        self.refused = reason
        self.refused_until = now + REFUSAL_PAUSE_SECONDS

    def use_fallback(self, now: float) -> bool:
        """Use a fallback permit for one request when a query fails.

        Fallback permits accrue at half of the recent grant rate, and that
        rate halves every ``FALLBACK_HALF_LIFE_SECONDS``. The demand isn't used
        as the rate because it may be far above the contract.

        :returns: whether the request is permitted.
        """
        seconds_since_grant = now - self.grant_rate.observed_at
        if seconds_since_grant > FALLBACK_SECONDS:
            return False
        share = 0.5 ** (1 + seconds_since_grant / FALLBACK_HALF_LIFE_SECONDS)
        earned = (
            (now - self.fallback_updated_at) * self.grant_rate.average * share
        )
        self.fallback_permits = min(
            FALLBACK_BURST,
            self.fallback_permits + earned,
        )
        self.fallback_updated_at = now
        if self.fallback_permits < 1:
            return False
        self.fallback_permits -= 1
        return True


class PermitCache:
    """Unused permits of all workspaces."""

    def __init__(
        self,
        origin: str,
        query_permits: QueryPermits,
        count_in_use: Callable[[str], int],
    ) -> None:
        """Build a cache that queries the permit owner as ``origin``.

        :param origin: VM of an entry, or a zone.
        :param query_permits: sends a permit request to the owner.
        :param count_in_use: returns a workspace's requests in progress at an
            entry, or the outstanding permits of all entries of a zone.
        """
        self._origin = origin
        self._query_permits = query_permits
        self._count_in_use = count_in_use
        self._pools: dict[str, PermitPool] = {}

    def observe_demand(self, workspace: str, need: Permits) -> None:
        """Add a request's need to the average demand.

        Callers record each request once, also if it queries several times.
        """
        now = time.monotonic()
        pool = self._pools.setdefault(workspace, PermitPool(now))
        pool.observe_demand(need, now)

    async def acquire(
        self,
        workspace: str,
        need: Permits,
        want: Permits,
    ) -> AcquireResult:
        """Acquire permits and query the owner when too few are unused.

        :param need: fewest permits to acquire; with fewer, none are acquired.
        :param want: most permits to acquire, at least ``need``.
        """
        now = time.monotonic()
        pool = self._pools.setdefault(workspace, PermitPool(now))
        acquired = pool.acquire(need, want, now)
        if acquired:
            return AcquireResult(acquired)
        if now < pool.refused_until:
            return AcquireResult(NO_PERMITS, pool.refused)
        pool.waiting = _add_permits(pool.waiting, want)
        try:
            async with pool.query_lock:
                return await self._acquire_after_query(
                    workspace,
                    pool,
                    need,
                    want,
                )
        finally:
            pool.waiting = _add_permits(
                pool.waiting,
                Permits(-want.requests, -want.tokens),
            )

    def count_outstanding(self, workspace: str) -> int:
        """Return the number of permits in use and unused permits."""
        pool = self._pools.get(workspace)
        unused = pool.requests if pool else 0
        return self._count_in_use(workspace) + unused

    def dump(self) -> dict[str, int]:
        """Return the number of unused request permits by workspace."""
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
                self._make_request(workspace, pool, need),
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
        self,
        pool: PermitPool,
        need: Permits,
    ) -> AcquireResult:
        if need.requests == 1 and pool.use_fallback(time.monotonic()):
            return AcquireResult(need)
        return AcquireResult(NO_PERMITS, Reason.limits_unreachable.value)

    def _make_request(
        self,
        workspace: str,
        pool: PermitPool,
        need: Permits,
    ) -> PermitRequest:
        """Build a query for the needed and the prefetched permits."""
        prefetch = Permits(
            int(pool.request_demand.average * PREFETCH_SECONDS),
            pool.token_demand.average * PREFETCH_SECONDS,
        )
        want = _add_permits(prefetch, max(need, pool.waiting))
        return PermitRequest(
            workspace,
            self._origin,
            need.requests,
            max(want.requests, need.requests),
            need.tokens,
            max(want.tokens, need.tokens),
            self.count_outstanding(workspace),
        )


def _add_permits(one: Permits, other: Permits) -> Permits:
    return Permits(one.requests + other.requests, one.tokens + other.tokens)
