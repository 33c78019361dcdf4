"""Engines of one service: which may run a request, and which one gets it."""

from collections.abc import Callable, Sequence, Set
from functools import cached_property
from typing import Protocol

from galenaswitch.admission.turns import find_turn_wait
from galenaswitch.gateway.messages import PlaceEnd, PlaceQuestion
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.limits.pacing import Pacer
from galenaswitch.membership.lists import Members, Target
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.engine_states import Placement
from galenaswitch.routing.engines import EnginePlacements, PlacementRequest


class SeatKeeper(Protocol):
    """Seats at engines that may not be sent more than they have slots."""

    def select(self, targets: Sequence[Target]) -> tuple[Target, ...]:
        """Return the engines that have a free seat."""

    def take(self, target: Target, ident: str, left: float) -> None:
        """Take a seat for a request.

        :param left: seconds until the request must be answered.
        """

    def end(self, ident: str) -> None:
        """Free the seat of a request."""


class EngineAssignment:
    """Assigns requests to the engines of one service.

    :ivar placements: requests at the engines.
    """

    def __init__(
        self,
        service: str,
        find_limits: Callable[[str], EngineLimits | None],
        members: Members,
        pacer: Pacer,
        seats: SeatKeeper | None = None,
    ) -> None:
        """Build an assignment without requests.

        :param find_limits: returns the engine limits of a service, ``None``
            when the configuration has none.
        :param pacer: turns at engines that have named a limit.
        :param seats: seats at engines, ``None`` if none is ever brittle.
        """
        self._service = service
        self._find_limits = find_limits
        self._members = members
        self._pacer = pacer
        self._seats = seats
        self._ejector = Ejector()
        self.placements = EnginePlacements(self._ejector)

    @property
    def targets(self) -> dict[str, Target]:
        """Engines that take requests now, by name."""
        if self._find_limits(self._service) is None:
            return {}
        return {one.name: one for one in self._members.usable(self._service)}

    @property
    def has_limits(self) -> bool:
        """Whether any engine has named a limit."""
        return bool(self._pacer.rates)

    def learn_limits(self, query: PlaceQuestion, now: float) -> None:
        """Learn the limits of engines that a query names."""
        self._pacer.learn_all(self._service, query.limits, query.cold, now)

    def assign(
        self, query: PlaceQuestion, targets: Sequence[Target], now: float
    ) -> Placement | None:
        """Place a request on one of some engines, if one has capacity.

        :param now: monotonic time in seconds.
        """
        limits = self._find_limits(self._service)
        if limits is None:
            return None
        fitting = self._seats.select(targets) if self._seats else targets
        without_turn = frozenset(
            target.name
            for target in fitting
            if self._pacer.find_wait(target.incarnation, now)
        )
        cold = frozenset(
            target.name
            for target in fitting
            if self._pacer.is_cold(target.incarnation)
        )
        request = _make_placement_request(query)
        # Load goes to warm engines first.
        placement = self.placements.place(
            request, fitting, limits, now, without_turn | cold
        )
        if placement is None and cold:
            placement = self.placements.place(
                request, fitting, limits, now, without_turn
            )
        if placement:
            self._pacer.take(placement.target.incarnation, now)
            if self._seats:
                self._seats.take(placement.target, query.ident, query.longest)
        return placement

    def record_end(self, message: PlaceEnd, now: float) -> None:
        """Release the placement of an attempt that ended.

        The outcome counts as a success or failure of the engine. All streams
        of an engine that pauses are silent at once. They count together as one
        reason to eject it, not as many.
        """
        self.placements.record_end(message.ident)
        if self._seats:
            self._seats.end(message.ident)
        if not message.failed:
            self._ejector.record_success(message.target)
        elif not (
            message.silent and self._ejector.is_ejected(message.target, now)
        ):
            self._ejector.record_failure(message.target, now)

    def find_turn_wait(
        self, query: PlaceQuestion, ahead: int, now: float
    ) -> float:
        """Return the seconds until limits of engines leave a turn.

        :param ahead: number of requests that are placed before this one.
        """
        incarnations = [
            target.incarnation
            for target in self._members.usable(self._service)
            if may_run(target, query)
        ]
        return find_turn_wait(self._pacer, incarnations, ahead, now)

    def dump(self) -> dict[str, object]:
        """Return the state of each engine."""
        return {
            'engines': self.placements.dump(),
            'ejected': self._ejector.dump(),
        }


class AssignmentPass:
    """Places the requests of one pass.

    :ivar placed: placements that were made, by id.
    """

    def __init__(
        self,
        assignment: EngineAssignment,
        find_query: Callable[[str], PlaceQuestion],
        now: float,
    ) -> None:
        """Build a pass at a monotonic time in seconds.

        :param find_query: returns the query of a waiting request.
        """
        self.placed: dict[str, Placement] = {}
        self._assignment = assignment
        self._find_query = find_query
        self._now = now
        self._targets = assignment.targets
        self._wanted: dict[tuple[object, ...], frozenset[str]] = {}

    @cached_property
    def engines(self) -> Set[str]:
        """All engines of the service."""
        return self._targets.keys()

    def find_wanted(self, ident: str) -> Set[str]:
        """Return the engines that a request may use."""
        query = self._find_query(ident)
        key = query.version, query.closed, query.avoided
        if key not in self._wanted:
            self._wanted[key] = frozenset(
                name
                for name, target in self._targets.items()
                if may_run(target, query)
            )
        return self._wanted[key]

    def place(self, ident: str, names: Set[str]) -> bool:
        """Place a request on one of some engines if it fits there."""
        targets = [
            target for name, target in self._targets.items() if name in names
        ]
        placement = self._assignment.assign(
            self._find_query(ident), targets, self._now
        )
        if placement:
            self.placed[ident] = placement
        return placement is not None


def may_run(target: Target, query: PlaceQuestion) -> bool:
    """Tell whether an engine may run a request."""
    return (
        query.version in {None, target.version}
        and target.incarnation not in query.closed
        and target.name not in query.avoided
    )


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
