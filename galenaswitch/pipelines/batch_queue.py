"""Filling calls with work items of many requests.

Pattern answered: a target of a stage works on one call at a time, a call
costs much and a work item in it little, and each request brings a few work
items. Calls are filled over all requests that wait, the most urgent first, and
sent whenever a target is free, so that calls fill themselves as load grows.

A request that waits in one stage after the other is on time only if no stage
uses up all the time that it has to spare. One that would wait longer than its
part, or that an earlier stage has found late, goes behind all that can still
be on time, in this stage and in those that follow. Else a burst makes nearly
all requests a little late, and work is spent on them in every stage.

Results take room at their makers until all work items of their request are made
and read. A request is begun only when there is room for all of its work items:
half-made ones would hold room that none can use.
"""

from collections.abc import Iterable, Sequence
from functools import partial
from typing import NamedTuple

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.arrivals import ArrivalRate
from galenaswitch.pipelines.batch_plan import BatchPlan, BatchView, TargetView
from galenaswitch.pipelines.pending import PendingStage
from galenaswitch.pipelines.target_states import TargetState
from galenaswitch.pipelines.throughput import Throughput

# A target this many times slower than the fastest gets no calls while the
# faster ones can take what waits.
MAX_SLOWNESS_RATIO = 1.6
# Part of the room for results that is used: their sizes are approximate.
USABLE_MEMORY_SHARE = 0.97


class Batch(NamedTuple):
    """One call for work items.

    :param expected: seconds that it should take.
    """

    target: Target
    work_items: tuple[tuple[PendingStage, WorkItem], ...]
    expected: float


class BatchQueue:
    """Pieces that wait for the targets of one service."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self.pending_stages: dict[str, PendingStage] = {}
        self._target_states: dict[str, TargetState] = {}
        self._throughput = Throughput()
        self._arrival_rate = ArrivalRate()

    def add(
        self,
        key: str,
        pending: PendingStage,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
    ) -> float:
        """Let a pending stage wait.

        One that can't be on time behind those that can goes behind them at
        once: serving the most urgent first would make all of them late.

        :returns: expected seconds until its work items are made, and for one
            that goes behind others, those of the stages that are left.
        """
        rate = self._estimate_throughput(targets, limits)
        own_rank = pending.rank(now)
        ahead = sum(
            len(other.queued)
            for other in self.pending_stages.values()
            if other.rank(now) <= own_rank
        )
        known_late = pending.late
        late = known_late or not pending.may_wait(ahead / rate, now)
        pending.late = known_late or (late and ahead > limits.batch)
        self.pending_stages[key] = pending
        if pending.late:
            return self._estimate_late_wait(pending, rate, now)
        self._arrival_rate.record(len(pending.queued), now)
        if late:
            ahead = self.waiting()
        return ahead / rate

    def estimate_clear_seconds(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
    ) -> float:
        """Return the seconds in which all that waits now can be made."""
        rate = self._estimate_throughput(targets, limits)
        return self.waiting() / rate

    def find_infeasible(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
    ) -> list[str]:
        """Return the keys of stages that can't be made in time any more.

        That is so when even full calls at all targets would be too slow for
        what is ahead of them.
        """
        max_rate = find_max_throughput(len(targets), limits)
        waiting = [
            pair for pair in self.pending_stages.items() if pair[1].queued
        ]
        waiting.sort(key=lambda pair: pair[1].rank(now))
        infeasible = []
        ahead = 0
        for key, pending in waiting:
            wait = (ahead + len(pending.queued)) / max_rate
            if pending.started or now + wait <= pending.deadline:
                ahead += len(pending.queued)
            else:
                infeasible.append(key)
        return infeasible

    def record_completed(self, work_items: int, now: float) -> None:
        """Note work items made, from which the rate is learned."""
        waiting = self.waiting() > 0
        self._throughput.observe(work_items, now, waiting=waiting)

    def remove(self, key: str) -> None:
        """Forget a pending stage that has ended."""
        self.pending_stages.pop(key, None)

    def waiting(self) -> int:
        """Return the work items that no call has taken."""
        return sum(
            len(pending.queued) for pending in self.pending_stages.values()
        )

    def target_state(self, target: Target) -> TargetState:
        """Return what is known of a target."""
        return self._target_states.setdefault(target.incarnation, TargetState())

    def next_batch(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
    ) -> Batch | None:
        """Take work items for the best free target.

        :returns: ``None`` when nothing can be sent now.
        """
        waiting = [one for one in self.pending_stages.values() if one.queued]
        if not waiting:
            return None
        preferred_zone = min(
            waiting, key=lambda pending: pending.rank(now)
        ).zone
        for target in self._order_idle_targets(
            targets, limits, preferred_zone, now
        ):
            batch_plan = BatchPlan(self.make_view(targets, limits, now), target)
            batch_plan.plan(sorted(waiting, key=partial(_rank_at, target, now)))
            if batch_plan.work_item_count:
                work_items = batch_plan.dequeue()
                return self._start_batch(target, work_items, limits, now)
        return None

    def make_view(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
    ) -> BatchView:
        """Return what a batch plan goes by."""
        promised = sum(
            len(pending.queued) * pending.result_bytes
            for pending in self.pending_stages.values()
            if pending.started
        )
        usable_bytes = limits.room_bytes * USABLE_MEMORY_SHARE
        target_states = [self.target_state(target) for target in targets]
        target_views = tuple(
            TargetView(
                target,
                usable_bytes - target_state.held_bytes,
                target_state.is_idle(limits.slots, now),
            )
            for target, target_state in zip(targets, target_states, strict=True)
        )
        return BatchView(target_views, limits, self.waiting(), promised, now)

    def finish(self, batch: Batch) -> None:
        """Note that a call has ended, however it ended."""
        self.target_state(batch.target).calls -= 1

    def find_max_held_bytes(self, targets: Iterable[Target]) -> float:
        """Return the most bytes of results that one of some targets holds."""
        return max(
            (self.target_state(target).held_bytes for target in targets),
            default=0,
        )

    def release(self, target: Target, size: int) -> None:
        """Note that results of ``size`` bytes were given up."""
        self.target_state(target).release(size)

    def dump(self) -> dict[str, float]:
        """Return counts for the state dump."""
        return {
            'demands': len(self.pending_stages),
            'waiting_pieces': self.waiting(),
            'calls': sum(one.calls for one in self._target_states.values()),
            'held_bytes': sum(
                one.held_bytes for one in self._target_states.values()
            ),
        }

    def _estimate_throughput(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
    ) -> float:
        """Return the work items a second that can be expected of targets."""
        return self._throughput.estimate(
            find_max_throughput(len(targets), limits)
        )

    def _estimate_late_wait(
        self,
        pending: PendingStage,
        rate: float,
        now: float,
    ) -> float:
        """Return the expected wait of a stage behind all that are on time.

        The stages that are left are as busy: it waits as long in each.
        """
        free_rate = self._arrival_rate.estimate_free_rate(rate, now)
        return self.waiting() / free_rate * pending.urgency.stages_left

    def _order_idle_targets(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        zone: str,
        now: float,
    ) -> list[Target]:
        """Return the free targets, the best first."""
        states_by_target = [
            (target, self.target_state(target)) for target in targets
        ]
        if not states_by_target:
            return []
        free = [
            (target, target_state)
            for target, target_state in states_by_target
            if target_state.is_idle(limits.slots, now)
        ]
        fastest = min(
            target_state.slowness for _, target_state in states_by_target
        )
        fast_targets = [
            target
            for target, target_state in states_by_target
            if target_state.slowness <= fastest * MAX_SLOWNESS_RATIO
        ]
        if self.waiting() <= len(fast_targets) * limits.batch:
            free = [pair for pair in free if pair[0] in fast_targets]
        free.sort(key=lambda pair: (pair[0].zone != zone, pair[1].slowness))
        return [target for target, _ in free]

    def _start_batch(
        self,
        target: Target,
        work_items: tuple[tuple[PendingStage, WorkItem], ...],
        limits: BatchLimits,
        now: float,
    ) -> Batch:
        target_state = self.target_state(target)
        target_state.calls += 1
        target_state.held_bytes += sum(
            pending.result_bytes for pending, _ in work_items
        )
        usual_seconds = (
            limits.call_seconds + len(work_items) * limits.work_item_seconds
        )
        expected = usual_seconds * target_state.slowness
        return Batch(target, work_items, expected)


def _rank_at(
    target: Target,
    now: float,
    pending: PendingStage,
) -> tuple[bool, bool, float]:
    return pending.rank(now, target.zone)


def find_max_throughput(targets: int, limits: BatchLimits) -> float:
    """Return the work items a second that targets make in full calls.

    >>> find_max_throughput(2, BatchLimits(1, 4, 0.2, 0.05, 9e6, 4))
    20.0
    """
    full_batch_seconds = (
        limits.call_seconds + limits.batch * limits.work_item_seconds
    )
    return max(1, targets) * limits.slots * limits.batch / full_batch_seconds
