"""Placement of requests on the engines of a service.

The VM that owns a service places the requests of all VMs. A request waits in a
queue until an engine has capacity, and the most urgent request is placed first.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.gateway.messages import (
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    PlaceReply,
)
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.gateway.seats import Seats
from galenaswitch.limits.pacing import Pacer
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.engine_states import Placement
from galenaswitch.routing.engines import EnginePlacements, PlacementRequest

# Longest time in seconds between two placement attempts of a waiting request.
# A change in placements starts an attempt earlier.
RECHECK_SECONDS = 0.1
# Shortest time in seconds that an engine needs for a request. The wait for a
# placement ends this long before the time given in the query runs out.
MIN_RUN_SECONDS = 0.1
# Seconds after which a request without a placement may be retried.
RETRY_AFTER_SECONDS = 0.5


class Waiting(NamedTuple):
    """A request that waits for an engine.

    :param late: whether it can no longer be on time.
    :param start_by: monotonic time of its latest start that is on time.
    :param version: software version that the engine must have, ``None`` for
        any.
    """

    late: bool
    priority: int
    start_by: float
    version: str | None

    @property
    def rank(self) -> tuple[bool, int, float]:
        """Order in which waiting requests are placed, the lowest first."""
        return self.late, self.priority, self.start_by


class PlacementScheduler:
    """Assigns the requests for one service to its engines."""

    def __init__(
        self,
        service: str,
        find_limits: Callable[[str], EngineLimits | None],
        members: Members,
        pacer: Pacer,
        seats: Seats | None = None,
    ) -> None:
        """Build a scheduler for the ``members`` that serve ``service``.

        :param find_limits: returns the engine limits of a service, ``None``
            when the configuration has none.
        :param pacer: turns at engines that have named a limit.
        :param seats: seats at engines, ``None`` if none is ever brittle.
        """
        self._pacer = pacer
        self._seats = seats
        self._service = service
        self._find_limits = find_limits
        self._members = members
        self._ejector = Ejector()
        self._placements = EnginePlacements(self._ejector)
        self._waiting: dict[str, Waiting] = {}
        self._changed = asyncio.Event()
        self._expires_at: dict[str, float] = {}

    async def place(self, query: PlaceQuestion) -> PlaceReply:
        """Return an engine for a request, waiting until one has capacity.

        The reply names no engine when none has capacity in time.
        """
        now = time.monotonic()
        self._drop_expired(now)
        self._pacer.learn_all(self._service, query.limits, query.cold, now)
        self._waiting[query.ident] = Waiting(
            query.start_in < 0,
            query.priority,
            now + query.start_in,
            query.version,
        )
        try:
            placement, retry_after = await self._wait_for_engine(query, now)
        finally:
            self._waiting.pop(query.ident, None)
            self._notify_waiting()
        if placement is None:
            return PlaceReply('', retry_after)
        self._expires_at[query.ident] = now + query.left
        get_logger().info(
            'place_given',
            request=query.request or query.ident,
            placement=query.ident,
            target=placement.target.name,
            new_tokens=placement.new_tokens,
            first=round(placement.first_event_seconds, 3),
            running=self._placements.count_in_progress(),
        )
        return PlaceReply(placement.target.name)

    def record_first_event(self, message: PlaceFirst) -> None:
        """Record that the engine sent the first event of a request."""
        self._placements.record_first_event(message.ident, time.monotonic())

    def record_end(self, message: PlaceEnd) -> None:
        """Release the placement of an attempt that ended, or end its wait.

        The outcome counts as a success or failure of the engine.
        """
        self._waiting.pop(message.ident, None)
        self._expires_at.pop(message.ident, None)
        self._placements.record_end(message.ident)
        if self._seats:
            self._seats.end(message.ident)
        self._record_outcome(message)
        self._notify_waiting()

    def dump(self) -> dict[str, object]:
        """Return the queue length and the state of each engine."""
        return {
            'waiting': len(self._waiting),
            'engines': self._placements.dump(),
            'ejected': self._ejector.dump(),
        }

    def _record_outcome(self, message: PlaceEnd) -> None:
        """Record an attempt as a success or failure of its engine.

        All streams of an engine that pauses are silent at once. They count
        together as one reason to eject it, not as many.
        """
        now = time.monotonic()
        if not message.failed:
            self._ejector.record_success(message.target)
        elif not (
            message.silent and self._ejector.is_ejected(message.target, now)
        ):
            self._ejector.record_failure(message.target, now)

    async def _wait_for_engine(
        self, query: PlaceQuestion, asked_at: float
    ) -> tuple[Placement | None, float]:
        """Wait for an engine as long as that is useful.

        :returns: the placement, ``None`` when none came in time, and the
            seconds after which a retry may succeed.
        """
        wait_deadline = asked_at + query.left - MIN_RUN_SECONDS
        while query.ident in self._waiting:
            placement = self._try_place(query)
            now = time.monotonic()
            excess = self._find_excess_wait(query, asked_at, now)
            if placement or now >= wait_deadline or excess > 0:
                return placement, max(excess, RETRY_AFTER_SECONDS)
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    min(RECHECK_SECONDS, wait_deadline - now)
                ):
                    await self._changed.wait()
        return None, 0

    def _try_place(self, query: PlaceQuestion) -> Placement | None:
        limits = self._find_limits(self._service)
        reserved = {one.version for one in self._find_ahead(query)}
        if limits is None or reserved & {None, query.version}:
            return None
        now = time.monotonic()
        targets = tuple(
            target
            for target in self._find_targets(query)
            if target.version not in reserved
        )
        if self._seats:
            targets = self._seats.select(targets)
        without_turn = frozenset(
            target.name
            for target in targets
            if self._pacer.find_wait(target.incarnation, now)
        )
        request = _make_placement_request(query)
        cold = frozenset(
            target.name
            for target in targets
            if self._pacer.is_cold(target.incarnation)
        )
        # Load goes to warm engines first.
        placement = self._placements.place(
            request, targets, limits, now, without_turn | cold
        )
        if placement is None and cold:
            placement = self._placements.place(
                request, targets, limits, now, without_turn
            )
        if placement:
            self._pacer.take(placement.target.incarnation, now)
        if placement and self._seats:
            self._seats.take(placement.target, query.ident, query.left)
        return placement

    def _find_ahead(self, query: PlaceQuestion) -> list[Waiting]:
        """Return the waiting requests that are placed before a request."""
        own = self._waiting[query.ident]
        return [one for one in self._waiting.values() if one.rank < own.rank]

    def _find_targets(self, query: PlaceQuestion) -> tuple[Target, ...]:
        """Return the targets that may run a request."""
        return tuple(
            target
            for target in self._members.usable(self._service)
            if query.version in {None, target.version}
            and target.incarnation not in query.closed
        )

    def _find_excess_wait(
        self, query: PlaceQuestion, asked_at: float, now: float
    ) -> float:
        """Return by how much the wait for a turn exceeds a useful wait.

        A request that can be on time may wait as long as it stays so, a late
        one for half of its time, since it has to run in the rest.
        """
        waited = now - asked_at
        left = query.left - waited
        useful_wait = min(query.start_in - waited, left)
        if useful_wait <= 0:
            useful_wait = left / 2
        return self._estimate_wait(query, now) - useful_wait

    def _estimate_wait(self, query: PlaceQuestion, now: float) -> float:
        """Return the seconds until the limits of engines leave a turn.

        It is 0 as long as one engine has no limit.
        """
        incarnations = [
            target.incarnation
            for target in self._find_targets(query)
            if target.name not in query.avoided
        ]
        rates = [self._pacer.rates.get(one) for one in incarnations]
        if not rates or None in rates:
            return 0
        first_turn = min(
            self._pacer.find_wait(one, now) for one in incarnations
        )
        ahead = len(self._find_ahead(query))
        return first_turn + ahead / sum(filter(None, rates))

    def _notify_waiting(self) -> None:
        self._changed.set()

    def _drop_expired(self, now: float) -> None:
        """Release placements when the time given in their query has run out.

        A VM that is lost never reports the end of its requests.
        """
        expired = [
            ident
            for ident, expires_at in self._expires_at.items()
            if expires_at < now
        ]
        for ident in expired:
            self._expires_at.pop(ident)
            self._placements.record_end(ident)


def _make_placement_request(query: PlaceQuestion) -> PlacementRequest:
    return PlacementRequest(
        query.ident,
        query.parts,
        query.prompt_tokens,
        query.answer_tokens,
        query.zone,
        query.result_bytes,
        query.start_in,
        query.avoided,
    )
