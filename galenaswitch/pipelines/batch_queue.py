"""Queue of work items that forms batches across requests.

A target runs one batch at a time. A batch has a high fixed cost and a low
cost per work item, and a request adds only a few work items. So the queue
fills batches from all waiting requests, the most urgent first, and sends one
whenever a target is idle. Batches grow by themselves as load grows.

A request passes several stages and is on time only if no stage uses up all of
its slack. A request that would wait longer than its share of the slack, or
that an earlier stage found to be late, ranks behind all requests that can
still be on time. Later stages rank it the same way. Without this rule, a burst
makes nearly all requests a little late, and every stage spends work on them.

Results occupy memory at their producers until all work items of the request
are done and read. A request starts only when result memory has space for all
of its work items. Half-finished requests would hold memory that no request
can use.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from galenaswitch.gateway.calls import Load, WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.arrivals import ArrivalRate
from galenaswitch.pipelines.batch_plan import BatchPlan, BatchView, TargetView
from galenaswitch.pipelines.forecasts import (
    THROUGHPUT_MARGIN,
    Capacity,
    estimate_late_done,
    find_capacity,
    find_max_throughput,
)
from galenaswitch.pipelines.pending import PendingStage
from galenaswitch.pipelines.stage_order import (
    OrderTerms,
    count_ahead,
    order_stages,
)
from galenaswitch.pipelines.target_states import Pace, TargetState
from galenaswitch.pipelines.throughput import Throughput

# A target that is slower than the fastest target by more than this factor
# gets no batches while the faster targets can run all queued work items.
MAX_SLOWDOWN_RATIO = 1.6
# Fraction of result memory that is used, because result sizes are approximate.
USABLE_MEMORY_SHARE = 0.97


class Batch(NamedTuple):
    """Work items that one call sends to a target.

    :param expected: expected duration of the call in seconds.
    :param pace: pace of the target's host as known when the call was made.
    """

    target: Target
    work_items: tuple[tuple[PendingStage, WorkItem], ...]
    expected: float
    pace: Pace = Pace(1.0, 0.0, 1.0)


class BatchQueue:
    """Pending stages of one service and the load of its targets."""

    def __init__(self) -> None:
        """Build a queue without pending stages."""
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
        """Add a pending stage to the queue.

        A stage that can't be on time ranks behind all stages that can.
        Otherwise the queue would serve it first as the most urgent, and all
        other stages would be late too.

        :returns: expected seconds until its results are made. For a late
            stage whose request has not begun, they include the waits of all
            remaining stages.
        """
        rate = self._estimate_throughput(targets, limits)
        terms = OrderTerms(now, rate, limits.batch_size)
        ahead = count_ahead(pending, self.pending_stages.values(), terms)
        known_late = pending.late
        late = known_late or not pending.may_wait(ahead / rate, now)
        pending.late = known_late or (late and ahead > limits.batch_size)
        self.pending_stages[key] = pending
        capacity = _find_capacity(self, targets, limits, rate, now)
        own = len(pending.queued)
        if pending.late:
            late_ahead = own + count_ahead(
                pending, self.pending_stages.values(), terms
            )
            return estimate_late_done(
                pending,
                self._arrival_rate.estimate_late_wait(late_ahead, rate, now),
                capacity.estimate_batch(own, limits),
            )
        self._arrival_rate.record(own, now)
        return capacity.estimate_done(ahead, own, limits)

    def estimate_clear_seconds(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
    ) -> float:
        """Return the seconds in which targets can empty the queue."""
        rate = self._estimate_throughput(targets, limits)
        return self.waiting() / rate

    def find_infeasible(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
        pause: float = 0,
    ) -> list[str]:
        """Return the keys of stages that can't meet their deadlines.

        A stage is infeasible when the work items ahead of it take too long at
        the measured throughput, or without a recent measurement in full
        batches at all targets, or when its own batch would end too late.
        Started stages are never infeasible.

        :param pause: seconds for which all targets take no batches.
        """
        rate = self._throughput.find_recent(now)
        full = find_max_throughput(len(targets), limits)
        likely = min(rate * THROUGHPUT_MARGIN, full) if rate else full
        capacity = _find_capacity(self, targets, limits, likely, now)
        latest = pause + capacity.estimate_last(self.waiting(), limits)
        if all(
            now + latest <= one.deadline for one in self.pending_stages.values()
        ):
            return []
        keys = {id(one): key for key, one in self.pending_stages.items()}
        terms = OrderTerms(now, likely, limits.batch_size)
        infeasible = []
        ahead = 0
        for pending in order_stages(self.pending_stages.values(), terms):
            own = len(pending.queued)
            wait = pause + capacity.estimate_done(ahead, own, limits)
            if pending.started or now + wait <= pending.deadline:
                ahead += own
            else:
                infeasible.append(keys[id(pending)])
        return infeasible

    def describe_throughput(
        self, targets: Sequence[Target], limits: BatchLimits, now: float
    ) -> dict[str, float | None]:
        """Return the throughput that decides on stages, and its age."""
        age = self._throughput.find_age(now)
        return {
            'rate': round(self._estimate_throughput(targets, limits), 1),
            'age': None if age is None else round(age, 3),
        }

    def record_completed(self, work_items: int, now: float) -> None:
        """Record completed work items to measure the throughput."""
        waiting = self.waiting() > 0
        self._throughput.observe(work_items, now, waiting=waiting)

    def remove(self, key: str) -> None:
        """Remove a pending stage that has ended."""
        self.pending_stages.pop(key, None)

    def waiting(self) -> int:
        """Return the number of queued work items that no batch holds."""
        return sum(
            len(pending.queued) for pending in self.pending_stages.values()
        )

    def target_state(self, target: Target) -> TargetState:
        """Return the state of a target, with defaults for a new target."""
        return self._target_states.setdefault(target.incarnation, TargetState())

    def record_load(
        self, target: Target, load: Load | None, now: float
    ) -> None:
        """Record an answer, and whether other VMs send batches to its target.

        :param load: load in an answer, which doesn't include the answered
            batch.
        """
        target_state = self.target_state(target)
        target_state.answered_at = now
        if load:
            target_state.record_pace(load.pace, now)
        if load and load.running + load.waiting >= target_state.calls:
            target_state.record_sharing(now)

    def next_batch(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
    ) -> Batch | None:
        """Dequeue work items as a batch for the best idle target.

        :returns: ``None`` when no batch can be sent now.
        """
        is_any_idle = any(
            self.target_state(target).is_idle(limits.slots, now)
            for target in targets
        )
        if not is_any_idle:
            return None
        rate = self._estimate_throughput(targets, limits)
        terms = OrderTerms(now, rate, limits.batch_size)
        waiting = [one for one in self.pending_stages.values() if one.queued]
        if not waiting:
            return None
        first = min(waiting, key=lambda pending: pending.rank(now)).zone
        for target in self._order_idle_targets(targets, limits, first, now):
            batch_plan = BatchPlan(self.make_view(targets, limits, now), target)
            batch_plan.plan(
                order_stages(waiting, terms._replace(zone=target.zone))
            )
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
        """Return the queue state that a batch plan reads."""
        reserved_bytes = sum(
            len(pending.queued) * pending.result_bytes
            for pending in self.pending_stages.values()
            if pending.started
        )
        usable_bytes = limits.result_memory_bytes * USABLE_MEMORY_SHARE
        target_states = [self.target_state(target) for target in targets]
        target_views = tuple(
            TargetView(
                target,
                usable_bytes - target_state.held_bytes,
                target_state.is_idle(limits.slots, now),
            )
            for target, target_state in zip(targets, target_states, strict=True)
        )
        return BatchView(
            target_views, limits, self.waiting(), reserved_bytes, now
        )

    def finish(self, batch: Batch) -> None:
        """Count a batch as ended, whether it succeeded or failed."""
        self.target_state(batch.target).calls -= 1
        for pending, work_item in batch.work_items:
            pending.record_ended(work_item)

    def find_max_held_bytes(self, targets: Iterable[Target]) -> float:
        """Return the largest result memory in use at any of the targets."""
        return max(
            (self.target_state(target).held_bytes for target in targets),
            default=0,
        )

    def release(self, target: Target, size: int) -> None:
        """Free ``size`` bytes of a target's result memory."""
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
        """Return the expected work items per second of all targets."""
        return self._throughput.estimate(
            find_max_throughput(len(targets), limits)
        )

    def _order_idle_targets(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        zone: str,
        now: float,
    ) -> list[Target]:
        """Return the idle targets, those in ``zone`` and the fastest first."""
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
            target_state.slowdown for _, target_state in states_by_target
        )
        fast_targets = [
            target
            for target, target_state in states_by_target
            if target_state.slowdown <= fastest * MAX_SLOWDOWN_RATIO
        ]
        if self.waiting() <= len(fast_targets) * limits.batch_size:
            free = [pair for pair in free if pair[0] in fast_targets]
        free.sort(
            key=lambda pair: (
                pair[0].zone != zone,
                pair[1].estimate_slowdown(now),
            )
        )
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
        for pending, work_item in work_items:
            target_state.held_bytes += pending.result_bytes
            pending.record_sent(work_item)
        usual_seconds = (
            limits.call_overhead_seconds
            + len(work_items) * limits.work_item_seconds
        )
        expected = usual_seconds * target_state.estimate_slowdown(now)
        return Batch(target, work_items, expected, target_state.find_pace(now))


def _find_capacity(
    batch_queue: BatchQueue,
    targets: Sequence[Target],
    limits: BatchLimits,
    rate: float,
    now: float,
) -> Capacity:
    states = [batch_queue.target_state(target) for target in targets]
    slowdowns = [one.find_certain_slowdown(now) for one in states]
    slowdown = min(slowdowns, default=1.0)
    return find_capacity(len(targets), limits, rate, slowdown)
