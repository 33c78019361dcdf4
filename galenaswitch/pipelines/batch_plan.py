"""Filling one call of a stage's target with work items that wait."""

from typing import NamedTuple

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.pending import PendingStage

# A request that waits for room keeps back those behind it whose results are
# larger than this part of its own.
BLOCKING_PART = 0.25
# While more work items wait than this part of a full call at each target, calls
# are filled from all zones: full calls go before results that stay near.
PRESSURE_PART = 0.5


class TargetView(NamedTuple):
    """What a batch plan goes by of one target.

    :param room: bytes of room for results.
    :param idle: whether it can get a call now.
    """

    target: Target
    room: float
    idle: bool


class BatchView(NamedTuple):
    """What a batch plan goes by.

    :param waiting: work items that no call has taken.
    :param promised: bytes of the results that begun requests still need.
    """

    workers: tuple[TargetView, ...]
    limits: BatchLimits
    waiting: int
    promised: float
    now: float

    @property
    def is_backed_up(self) -> bool:
        """Whether full calls go before results that stay near."""
        batch = self.limits.batch_size
        return self.waiting > len(self.workers) * batch * PRESSURE_PART

    @property
    def whole_seconds(self) -> float:
        """Seconds of a full call."""
        limits = self.limits
        return (
            limits.call_overhead_seconds
            + limits.batch_size * limits.work_item_seconds
        )


class BatchPlan:
    """A call that is being filled for a free target."""

    def __init__(self, view: BatchView, target: Target) -> None:
        """Fill a call for ``target``."""
        self._view = view
        self._target = target
        self._own = next(one for one in view.workers if one.target is target)
        self._room = self._own.room
        self._left = view.limits.batch_size
        self._plans: dict[int, tuple[PendingStage, int]] = {}
        self._blocked = 0.0

    @property
    def planned(self) -> int:
        """Pieces of the call so far."""
        return self._view.limits.batch_size - self._left

    def plan(self, waiting: list[PendingStage]) -> None:
        """Plan work items in the order of ``waiting``."""
        for pending in waiting:
            if self._has_home(pending) or self._waits_whole(pending):
                continue
            self._try(pending)
        if self.planned and self._view.is_backed_up:
            for pending in waiting:
                self._try(pending)

    def take(self) -> tuple[tuple[PendingStage, WorkItem], ...]:
        """Take the planned work items from their pending stages."""
        taken: list[tuple[PendingStage, WorkItem]] = []
        for pending, count in self._plans.values():
            pending.begun = True
            pending.zone = self._target.zone
            taken.extend(
                (pending, work_item) for work_item in pending.queued[:count]
            )
            pending.queued = pending.queued[count:]
        return tuple(taken)

    def _try(self, pending: PendingStage) -> None:
        _, planned = self._plans.get(id(pending), (pending, 0))
        count = min(self._left, len(pending.queued) - planned)
        if count <= 0 or not self._may_take(pending):
            return
        if pending.result_bytes:
            count = min(count, int(self._room // pending.result_bytes))
        if count > 0:
            self._plans[id(pending)] = (pending, planned + count)
            self._left -= count
            self._room -= pending.result_bytes * count

    def _may_take(self, pending: PendingStage) -> bool:
        if self._blocked and pending.result_bytes > self._blocked:
            return False
        if pending.begun or self._has_room(pending):
            return True
        self._blocked = pending.result_bytes * BLOCKING_PART
        return False

    def _has_room(self, pending: PendingStage) -> bool:
        """Tell whether all work items of a stage have room somewhere."""
        size = pending.result_bytes
        if not size:
            return True
        rooms = [
            self._room if one is self._own else one.room
            for one in self._view.workers
        ]
        places = sum(max(0, room) // size for room in rooms)
        most = len(rooms) * (self._view.limits.result_memory_bytes // size)
        wanted = min(len(pending.queued), most)
        return places - self._view.promised / size >= wanted

    def _waits_whole(self, pending: PendingStage) -> bool:
        """Tell whether a stage can wait for a call that takes all of it.

        Results of one request in two zones are read across. While more than
        a call waits, full calls go before that.
        """
        if not self.planned or len(pending.queued) <= self._left:
            return False
        if self._view.waiting > self._view.limits.batch_size:
            return False
        return pending.start_by > self._view.now + self._view.whole_seconds

    def _has_home(self, pending: PendingStage) -> bool:
        """Tell whether an idle target of a stage's own zone can take it.

        Waiting for one that is busy would hold the room of its inputs.
        """
        if pending.zone in {'', self._target.zone}:
            return False
        return any(
            one.idle
            and one.target.zone == pending.zone
            and one.room >= pending.result_bytes
            for one in self._view.workers
        )
