"""Chooses the work items of one batch for one target.

A batch plan takes pending stages in order of urgency. It limits the batch by
its size and by the free result memory of the target, and it avoids splitting
a small request over two targets.
"""

from typing import NamedTuple

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.pending import PendingStage

# When a request doesn't fit into result memory, later requests are planned only
# if their results are at most this fraction of the size of its results.
# Otherwise large results would use up the memory that the blocked request waits
# for.
BLOCKING_SIZE_RATIO = 0.25
# The queue is backed up when it holds more work items than this fraction of a
# full batch for each target. Then batches are filled regardless of zones:
# full batches matter more than results that stay in one zone.
BACKED_UP_SHARE = 0.5


class TargetView(NamedTuple):
    """State of one target that a batch plan reads.

    :param free_bytes: free result memory of the target.
    :param idle: whether the target can accept a batch now.
    """

    target: Target
    free_bytes: float
    idle: bool


class BatchView(NamedTuple):
    """State of a batch queue that a batch plan reads.

    :param waiting: number of queued work items.
    :param reserved_bytes: result memory that started requests still need.
    """

    targets: tuple[TargetView, ...]
    limits: BatchLimits
    waiting: int
    reserved_bytes: float
    now: float

    @property
    def is_backed_up(self) -> bool:
        """Whether full batches matter more than keeping results in a zone."""
        batch = self.limits.batch_size
        return self.waiting > len(self.targets) * batch * BACKED_UP_SHARE

    @property
    def full_batch_seconds(self) -> float:
        """Expected duration of a full batch in seconds."""
        limits = self.limits
        return (
            limits.call_overhead_seconds
            + limits.batch_size * limits.work_item_seconds
        )


class BatchPlan:
    """Plan of one batch for one idle target.

    Work items stay queued until :meth:`dequeue` removes the planned ones.
    """

    def __init__(self, view: BatchView, target: Target) -> None:
        """Build an empty plan for ``target`` from a view of the queue."""
        self._view = view
        self._target = target
        self._target_view = next(
            one for one in view.targets if one.target is target
        )
        self._free_bytes = self._target_view.free_bytes
        self._remaining_work_items = view.limits.batch_size
        self._planned_counts: dict[int, tuple[PendingStage, int]] = {}
        self._max_result_bytes = 0.0

    @property
    def work_item_count(self) -> int:
        """Number of work items planned so far."""
        return self._view.limits.batch_size - self._remaining_work_items

    def plan(self, waiting: list[PendingStage]) -> None:
        """Plan work items of pending stages, given in order of urgency.

        The first pass skips stages that another target or a later batch
        serves better. When the queue is backed up, a second pass fills the
        batch with their work items too.
        """
        for pending in waiting:
            if self._has_idle_zone_target(pending) or self._should_wait(
                pending
            ):
                continue
            self._plan_stage(pending)
        if self.work_item_count and self._view.is_backed_up:
            for pending in waiting:
                self._plan_stage(pending)

    def dequeue(self) -> tuple[tuple[PendingStage, WorkItem], ...]:
        """Remove the planned work items from their stages and return them."""
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
            self._planned_counts[id(pending)] = (pending, planned + count)
            self._remaining_work_items -= count
            self._free_bytes -= pending.result_bytes * count

    def _may_plan(self, pending: PendingStage) -> bool:
        if (
            self._max_result_bytes
            and pending.result_bytes > self._max_result_bytes
        ):
            return False
        if pending.started or self._fits_result_memory(pending):
            return True
        self._max_result_bytes = pending.result_bytes * BLOCKING_SIZE_RATIO
        return False

    def _fits_result_memory(self, pending: PendingStage) -> bool:
        """Tell whether the results of all queued work items fit into memory.

        Memory that started requests still need counts as used. A stage whose
        results exceed the memory of all targets needs all of that memory.
        """
        size = pending.result_bytes
        if not size:
            return True
        free_bytes = [
            self._free_bytes if one is self._target_view else one.free_bytes
            for one in self._view.targets
        ]
        fitting = sum(
            max(0, target_bytes) // size for target_bytes in free_bytes
        )
        max_results = len(free_bytes) * (
            self._view.limits.result_memory_bytes // size
        )
        needed = min(len(pending.queued), max_results)
        return fitting - self._view.reserved_bytes / size >= needed

    def _should_wait(self, pending: PendingStage) -> bool:
        """Tell whether a stage should wait for a batch with all its work items.

        A request whose results lie in two zones reads some of them across
        zones. While the queue holds more than one batch, full batches matter
        more than reads within one zone.
        """
        if (
            not self.work_item_count
            or len(pending.queued) <= self._remaining_work_items
        ):
            return False
        if self._view.waiting > self._view.limits.batch_size:
            return False
        return pending.start_by > self._view.now + self._view.full_batch_seconds

    def _has_idle_zone_target(self, pending: PendingStage) -> bool:
        """Tell whether an idle target in the stage's own zone can serve it.

        A stage doesn't wait for a busy target in its zone, because the inputs
        of the stage would take up result memory for longer.
        """
        if pending.zone in {'', self._target.zone}:
            return False
        return any(
            one.idle
            and one.target.zone == pending.zone
            and one.free_bytes >= pending.result_bytes
            for one in self._view.targets
        )
