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
LOOK_SECONDS = 0.1
# Seconds that a request needs at least once it has a place.
LEAST_SECONDS = 0.1
# Seconds until a place is likely, told to those that are refused.
RETRY_SECONDS = 0.5


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
        self._news = asyncio.Event()
        self._lapses: dict[str, float] = {}

    async def place(self, question: PlaceQuestion) -> PlaceReply:
        """Find an engine, waiting for room while that can be of use."""
        now = time.monotonic()
        end = now + question.left - LEAST_SECONDS
        self._drop_lapsed(now)
        self._waiting[question.ident] = (
            question.start_in < 0,
            question.priority,
            now + question.start_in,
        )
        try:
            placement = await self._wait(question, end)
        finally:
            self._waiting.pop(question.ident, None)
            self._wake()
        if placement is None:
            return PlaceReply('', RETRY_SECONDS)
        self._lapses[question.ident] = now + question.left
        get_logger().info(
            'place_given',
            request=question.ident,
            target=placement.target.name,
            new_tokens=placement.new_tokens,
            first=round(placement.first_event_seconds, 3),
            running=self._placements.count_in_progress(),
        )
        return PlaceReply(placement.target.name)

    def record_first(self, message: PlaceFirst) -> None:
        """Note that the first event of a request has come."""
        self._placements.record_first_event(message.ident, time.monotonic())

    def record_end(self, message: PlaceEnd) -> None:
        """Note that a request has ended."""
        self._lapses.pop(message.ident, None)
        self._placements.record_end(message.ident)
        if message.failed:
            self._ejector.record_failure(message.target, time.monotonic())
        else:
            self._ejector.record_success(message.target)
        self._wake()

    def dump(self) -> dict[str, object]:
        """Return the state of the engines."""
        return {
            'waiting': len(self._waiting),
            'engines': self._placements.dump(),
            'ejected': self._ejector.dump(),
        }

    async def _wait(
        self,
        question: PlaceQuestion,
        end: float,
    ) -> Placement | None:
        while True:
            placement = self._try(question)
            now = time.monotonic()
            if placement or now >= end:
                return placement
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(LOOK_SECONDS, end - now)):
                    await self._news.wait()

    def _try(self, question: PlaceQuestion) -> Placement | None:
        limits = self._find_limits(self._service)
        first = min(self._waiting.values())
        if limits is None or self._waiting[question.ident] > first:
            return None
        return self._placements.place(
            _make_request(question),
            self._members.usable(self._service),
            limits,
            time.monotonic(),
        )

    def _wake(self) -> None:
        self._news.set()

    def _drop_lapsed(self, now: float) -> None:
        """Forget requests whose machine was lost before they ended."""
        lapsed = [ident for ident, until in self._lapses.items() if until < now]
        for ident in lapsed:
            self._lapses.pop(ident)
            self._placements.record_end(ident)


def _make_request(question: PlaceQuestion) -> PlacementRequest:
    return PlacementRequest(
        question.ident,
        question.parts,
        question.prompt_tokens,
        question.answer_tokens,
        question.zone,
        question.result_bytes,
        question.start_in,
        question.avoided,
    )
