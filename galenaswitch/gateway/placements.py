"""Placements on the engines of a service for all machines."""

import asyncio
import contextlib
import time
from collections.abc import Callable

from galenaswitch.gateway.messages import (
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    PlaceReply,
)
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.engines import (
    EnginePlacements,
    Placement,
    PlacementRequest,
)

# Seconds after which a waiting request looks for a place by itself.
RECHECK_SECONDS = 0.1
# Seconds that a request needs at least once it has a place.
MIN_RUN_SECONDS = 0.1
# Seconds until a place is likely, told to those that are refused.
RETRY_AFTER_SECONDS = 0.5


class PlacementScheduler:
    """Gives out placements on the engines of one service."""

    def __init__(
        self,
        service: str,
        find_limits: Callable[[str], EngineLimits | None],
        members: Members,
    ) -> None:
        """Place requests on the ``members`` that serve ``service``."""
        self._service = service
        self._find_limits = find_limits
        self._members = members
        self._ejector = Ejector()
        self._placements = EnginePlacements(self._ejector)
        self._waiting: dict[str, tuple[bool, int, float]] = {}
        self._changed = asyncio.Event()
        self._expires_at: dict[str, float] = {}

    async def place(self, query: PlaceQuestion) -> PlaceReply:
        """Find an engine, waiting for room while that can be of use."""
        now = time.monotonic()
        wait_deadline = now + query.left - MIN_RUN_SECONDS
        self._drop_expired(now)
        self._waiting[query.ident] = (
            query.start_in < 0,
            query.priority,
            now + query.start_in,
        )
        try:
            placement = await self._wait_for_engine(query, wait_deadline)
        finally:
            self._waiting.pop(query.ident, None)
            self._notify_waiting()
        if placement is None:
            return PlaceReply('', RETRY_AFTER_SECONDS)
        self._expires_at[query.ident] = now + query.left
        get_logger().info(
            'place_given',
            request=query.ident,
            target=placement.target.name,
            new_tokens=placement.new_tokens,
            first=round(placement.first_seconds, 3),
            running=self._placements.running(),
        )
        return PlaceReply(placement.target.name)

    def record_first_event(self, message: PlaceFirst) -> None:
        """Note that the first event of a request has come."""
        self._placements.record_first(message.ident, time.monotonic())

    def record_end(self, message: PlaceEnd) -> None:
        """Note that a request has ended."""
        self._expires_at.pop(message.ident, None)
        self._placements.record_end(message.ident)
        if message.failed:
            self._ejector.fail(message.target, time.monotonic())
        else:
            self._ejector.succeed(message.target)
        self._notify_waiting()

    def dump(self) -> dict[str, object]:
        """Return the state of the engines."""
        return {
            'waiting': len(self._waiting),
            'engines': self._placements.dump(),
            'ejected': self._ejector.dump(),
        }

    async def _wait_for_engine(
        self,
        query: PlaceQuestion,
        wait_deadline: float,
    ) -> Placement | None:
        while True:
            placement = self._try_place(query)
            now = time.monotonic()
            if placement or now >= wait_deadline:
                return placement
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    min(RECHECK_SECONDS, wait_deadline - now)
                ):
                    await self._changed.wait()

    def _try_place(self, query: PlaceQuestion) -> Placement | None:
        limits = self._find_limits(self._service)
        most_urgent = min(self._waiting.values())
        if limits is None or self._waiting[query.ident] > most_urgent:
            return None
        return self._placements.place(
            _make_placement_request(query),
            self._members.usable(self._service),
            limits,
            time.monotonic(),
        )

    def _notify_waiting(self) -> None:
        self._changed.set()

    def _drop_expired(self, now: float) -> None:
        """Forget requests whose machine was lost before they ended."""
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
