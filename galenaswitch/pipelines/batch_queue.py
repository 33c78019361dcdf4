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
SLOW_FACTOR = 1.6
# Part of the room for results that is used: their sizes are approximate.
ROOM_PART = 0.97


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
        self._rate = Throughput()
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
        rate = self._find_rate(targets, limits)
        own = pending.rank(now)
        ahead = sum(
            len(other.queued)
            for other in self.pending_stages.values()
            if other.rank(now) <= own
        )
        known = pending.late
        late = known or not pending.may_wait(ahead / rate, now)
        pending.late = known or (late and ahead > limits.batch_size)
        self.pending_stages[key] = pending
        if pending.late:
            return self._find_late_wait(pending, rate, now)
        self._arrival_rate.note(len(pending.queued), now)
        if late:
            ahead = self.waiting()
        return ahead / rate

    def find_clear(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
    ) -> float:
        """Return the seconds in which all that waits now can be made."""
        rate = self._find_rate(targets, limits)
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
        full = find_full_rate(len(targets), limits)
        waiting = [
            pair for pair in self.pending_stages.items() if pair[1].queued
        ]
        waiting.sort(key=lambda pair: pair[1].rank(now))
        hopeless = []
        ahead = 0
        for key, pending in waiting:
            wait = (ahead + len(pending.queued)) / full
            if pending.begun or now + wait <= pending.deadline:
                ahead += len(pending.queued)
            else:
                hopeless.append(key)
        return hopeless

    def record_made(self, work_items: int, now: float) -> None:
        """Note work items made, from which the rate is learned."""
        waiting = self.waiting() > 0
        self._rate.note(work_items, now, waiting=waiting)

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
        first = min(waiting, key=lambda pending: pending.rank(now)).zone
        for target in self._order_free(targets, limits, first, now):
            batch_plan = BatchPlan(self.view(targets, limits, now), target)
            batch_plan.plan(sorted(waiting, key=partial(_rank_at, target, now)))
            if batch_plan.planned:
                work_items = batch_plan.take()
                return self._start(target, work_items, limits, now)
        return None

    def view(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
    ) -> BatchView:
        """Return what a batch plan goes by."""
        promised = sum(
            len(pending.queued) * pending.result_bytes
            for pending in self.pending_stages.values()
            if pending.begun
        )
        room = limits.result_memory_bytes * ROOM_PART
        workers = [self.target_state(target) for target in targets]
        states = tuple(
            TargetView(
                target,
                room - target_state.held_bytes,
                target_state.is_idle(limits.slots, now),
            )
            for target, target_state in zip(targets, workers, strict=True)
        )
        return BatchView(states, limits, self.waiting(), promised, now)

    def finish(self, batch: Batch) -> None:
        """Note that a call has ended, however it ended."""
        self.target_state(batch.target).calls -= 1

    def find_most_held(self, targets: Iterable[Target]) -> float:
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

    def _find_rate(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
    ) -> float:
        """Return the work items a second that can be expected of targets."""
        return self._rate.find(find_full_rate(len(targets), limits))

    def _find_late_wait(
        self,
        pending: PendingStage,
        rate: float,
        now: float,
    ) -> float:
        """Return the expected wait of a stage behind all that are on time.

        The stages that are left are as busy: it waits as long in each.
        """
        left = self._arrival_rate.estimate_free_rate(rate, now)
        return self.waiting() / left * pending.standing.stages_left

    def _order_free(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        zone: str,
        now: float,
    ) -> list[Target]:
        """Return the free targets, the best first."""
        every = [(target, self.target_state(target)) for target in targets]
        if not every:
            return []
        free = [
            (target, target_state)
            for target, target_state in every
            if target_state.is_idle(limits.slots, now)
        ]
        fastest = min(target_state.slowness for _, target_state in every)
        quick = [
            target
            for target, target_state in every
            if target_state.slowness <= fastest * SLOW_FACTOR
        ]
        if self.waiting() <= len(quick) * limits.batch_size:
            free = [pair for pair in free if pair[0] in quick]
        free.sort(key=lambda pair: (pair[0].zone != zone, pair[1].slowness))
        return [target for target, _ in free]

    def _start(
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
        plain = (
            limits.call_overhead_seconds
            + len(work_items) * limits.work_item_seconds
        )
        expected = plain * target_state.slowness
        return Batch(target, work_items, expected)


def _rank_at(
    target: Target,
    now: float,
    pending: PendingStage,
) -> tuple[bool, bool, float]:
    return pending.rank(now, target.zone)


def find_full_rate(targets: int, limits: BatchLimits) -> float:
    """Return the work items a second that targets make in full calls.

    >>> find_full_rate(2, BatchLimits(1, 4, 0.2, 0.05, 9e6, 4))
    20.0
    """
    whole = (
        limits.call_overhead_seconds
        + limits.batch_size * limits.work_item_seconds
    )
    return max(1, targets) * limits.slots * limits.batch_size / whole
