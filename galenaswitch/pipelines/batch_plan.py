"""Filling one call of a stage's target with work items that wait."""

from typing import NamedTuple

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.pending import PendingStage

# A request that waits for room keeps back those behind it whose results are
# larger than this part of its own.
BLOCKING_SIZE_RATIO = 0.25
# While more work items wait than this part of a full call at each target, calls
# are filled from all zones: full calls go before results that stay near.
BACKED_UP_SHARE = 0.5


class TargetView(NamedTuple):
    """What a batch plan goes by of one target.

    :param free_bytes: bytes of room for results.
    :param idle: whether it can get a call now.
    """

    target: Target
    free_bytes: float
    idle: bool


class BatchView(NamedTuple):
    """What a batch plan goes by.

    :param waiting: work items that no call has taken.
    :param reserved_bytes: bytes of the results that begun requests still need.
    """

    targets: tuple[TargetView, ...]
    limits: BatchLimits
    waiting: int
    reserved_bytes: float
    now: float

    @property
    def is_backed_up(self) -> bool:
        """Whether full calls go before results that stay near."""
        batch = self.limits.batch
        return self.waiting > len(self.targets) * batch * BACKED_UP_SHARE

    @property
    def full_batch_seconds(self) -> float:
        """Seconds of a full call."""
        limits = self.limits
        return limits.call_seconds + limits.batch * limits.work_item_seconds


class BatchPlan:
    """A call that is being filled for a free target."""

    def __init__(self, view: BatchView, target: Target) -> None:
        """Fill a call for ``target``."""
        self._view = view
        self._target = target
        self._target_view = next(
            one for one in view.targets if one.target is target
        )
        self._free_bytes = self._target_view.free_bytes
        self._remaining_work_items = view.limits.batch
        self._planned_counts: dict[int, tuple[PendingStage, int]] = {}
        self._blocking_bytes = 0.0

    @property
    def work_item_count(self) -> int:
        """Pieces of the call so far."""
        return self._view.limits.batch - self._remaining_work_items

    def plan(self, waiting: list[PendingStage]) -> None:
        """Plan work items in the order of ``waiting``."""
        for pending in waiting:
            if self._has_idle_target_in_zone(
                pending
            ) or self._should_wait_for_batch(pending):
                continue
            self._plan_stage(pending)
        if self.work_item_count and self._view.is_backed_up:
            for pending in waiting:
                self._plan_stage(pending)

    def dequeue(self) -> tuple[tuple[PendingStage, WorkItem], ...]:
        """Take the planned work items from their pending stages."""
        dequeued: list[tuple[PendingStage, WorkItem]] = []
        for pending, count in self._planned_counts.values():
            pending.started = True
            pending.zone = self._target.zone
            dequeued.extend(
                (pending, work_item) for work_item in pending.queued[:count]
            )
            pending.queued = pending.queued[count:]
        return tuple(dequeued)

    def _plan_stage(self, pending: PendingStage) -> None:
        _, planned = self._planned_counts.get(id(pending), (pending, 0))
        count = min(self._remaining_work_items, len(pending.queued) - planned)
        if count <= 0 or not self._may_plan(pending):
            return
        if pending.result_bytes:
            count = min(count, int(self._free_bytes // pending.result_bytes))
        if count > 0:
            self._planned_counts[id(pending)] = (
                pending,
                planned + count,
            )
            self._remaining_work_items -= count
            self._free_bytes -= pending.result_bytes * count

    def _may_plan(self, pending: PendingStage) -> bool:
        if self._blocking_bytes and pending.result_bytes > self._blocking_bytes:
            return False
        if pending.started or self._fits_result_memory(pending):
            return True
        self._blocking_bytes = pending.result_bytes * BLOCKING_SIZE_RATIO
        return False

    def _fits_result_memory(self, pending: PendingStage) -> bool:
        """Tell whether all work items of a stage have room somewhere."""
        size = pending.result_bytes
        if not size:
            return True
        free_bytes_of_targets = [
            self._free_bytes if one is self._target_view else one.free_bytes
            for one in self._view.targets
        ]
        fitting_results = sum(
            max(0, free_bytes) // size for free_bytes in free_bytes_of_targets
        )
        max_results = len(free_bytes_of_targets) * (
            self._view.limits.room_bytes // size
        )
        needed_results = min(len(pending.queued), max_results)
        return (
            fitting_results - self._view.reserved_bytes / size >= needed_results
        )

    def _should_wait_for_batch(self, pending: PendingStage) -> bool:
        """Tell whether a stage can wait for a call that takes all of it.

        Results of one request in two zones are read across. While more than
        a call waits, full calls go before that.
        """
        if (
            not self.work_item_count
            or len(pending.queued) <= self._remaining_work_items
        ):
            return False
        if self._view.waiting > self._view.limits.batch:
            return False
        return pending.start_by > self._view.now + self._view.full_batch_seconds

    def _has_idle_target_in_zone(self, pending: PendingStage) -> bool:
        """Tell whether an idle target of a stage's own zone can take it.

        Waiting for one that is busy would hold the room of its inputs.
        """
        if pending.zone in {'', self._target.zone}:
            return False
        return any(
            one.idle
            and one.target.zone == pending.zone
            and one.free_bytes >= pending.result_bytes
            for one in self._view.targets
        )
