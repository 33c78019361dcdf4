"""Filling one call of a stage's target with pieces that wait."""

from typing import NamedTuple

from galenaswitch.gateway.calls import Piece
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.demands import Demand

# A request that waits for room keeps back those behind it whose results are
# larger than this part of its own.
BLOCKING_PART = 0.25
# While more pieces wait than this part of a full call at each target, calls
# are filled from all zones: full calls go before results that stay near.
PRESSURE_PART = 0.5


class WorkerView(NamedTuple):
    """What the filling of a call goes by of one target.

    :param room: bytes of room for results.
    :param idle: whether it can get a call now.
    """

    target: Target
    room: float
    idle: bool


class View(NamedTuple):
    """What the filling of a call goes by.

    :param waiting: pieces that no call has taken.
    :param promised: bytes of the results that begun requests still need.
    """

    workers: tuple[WorkerView, ...]
    limits: BatchLimits
    waiting: int
    promised: float
    now: float

    @property
    def pressed(self) -> bool:
        """Whether full calls go before results that stay near."""
        batch = self.limits.batch
        return self.waiting > len(self.workers) * batch * PRESSURE_PART

    @property
    def whole_seconds(self) -> float:
        """Seconds of a full call."""
        limits = self.limits
        return limits.call_seconds + limits.batch * limits.piece_seconds


class Filling:
    """A call that is being filled for a free target."""

    def __init__(self, view: View, target: Target) -> None:
        """Fill a call for ``target``."""
        self._view = view
        self._target = target
        self._own = next(one for one in view.workers if one.target is target)
        self._room = self._own.room
        self._left = view.limits.batch
        self._plans: dict[int, tuple[Demand, int]] = {}
        self._blocked = 0.0

    @property
    def planned(self) -> int:
        """Pieces of the call so far."""
        return self._view.limits.batch - self._left

    def plan(self, waiting: list[Demand]) -> None:
        """Plan pieces in the order of ``waiting``."""
        for demand in waiting:
            if self._has_home(demand) or self._waits_whole(demand):
                continue
            self._try(demand)
        if self.planned and self._view.pressed:
            for demand in waiting:
                self._try(demand)

    def take(self) -> tuple[tuple[Demand, Piece], ...]:
        """Take the planned pieces from their demands."""
        taken: list[tuple[Demand, Piece]] = []
        for demand, count in self._plans.values():
            demand.begun = True
            demand.zone = self._target.zone
            taken.extend((demand, piece) for piece in demand.unsent[:count])
            demand.unsent = demand.unsent[count:]
        return tuple(taken)

    def _try(self, demand: Demand) -> None:
        _, planned = self._plans.get(id(demand), (demand, 0))
        count = min(self._left, len(demand.unsent) - planned)
        if count <= 0 or not self._may_take(demand):
            return
        if demand.result_bytes:
            count = min(count, int(self._room // demand.result_bytes))
        if count > 0:
            self._plans[id(demand)] = (demand, planned + count)
            self._left -= count
            self._room -= demand.result_bytes * count

    def _may_take(self, demand: Demand) -> bool:
        if self._blocked and demand.result_bytes > self._blocked:
            return False
        if demand.begun or self._has_room(demand):
            return True
        self._blocked = demand.result_bytes * BLOCKING_PART
        return False

    def _has_room(self, demand: Demand) -> bool:
        """Tell whether all pieces of a demand have room somewhere."""
        size = demand.result_bytes
        if not size:
            return True
        rooms = [
            self._room if one is self._own else one.room
            for one in self._view.workers
        ]
        places = sum(max(0, room) // size for room in rooms)
        most = len(rooms) * (self._view.limits.room_bytes // size)
        wanted = min(len(demand.unsent), most)
        return places - self._view.promised / size >= wanted

    def _waits_whole(self, demand: Demand) -> bool:
        """Tell whether a demand can wait for a call that takes all of it.

        Results of one request in two zones are read across. While more than
        a call waits, full calls go before that.
        """
        if not self.planned or len(demand.unsent) <= self._left:
            return False
        if self._view.waiting > self._view.limits.batch:
            return False
        return demand.start_by > self._view.now + self._view.whole_seconds

    def _has_home(self, demand: Demand) -> bool:
        """Tell whether an idle target of a demand's own zone can take it.

        Waiting for one that is busy would hold the room of its inputs.
        """
        if demand.zone in {'', self._target.zone}:
            return False
        return any(
            one.idle
            and one.target.zone == demand.zone
            and one.room >= demand.result_bytes
            for one in self._view.workers
        )
