"""Simulates a burst through successive stages, with and without stage hints.

Stage hints tell a stage how many stages are left and whether an earlier stage
found the request late.
"""

import heapq
from itertools import count

import pytest

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.batch_queue import BatchQueue
from galenaswitch.pipelines.forecasts import find_max_throughput
from galenaswitch.pipelines.pending import PendingStage, Urgency

LIMITS = BatchLimits(1, 8, 0.2, 0.02, 1e9, 4)
TARGETS = tuple(
    Target(f't{number}', f't{number}/1', 'z', 'intake', 'u')
    for number in range(4)
)
STAGES = 3
WORK_ITEMS = 4
BATCH_SECONDS = 0.2 + WORK_ITEMS * 0.02 + 0.1
# A request is on time if it passes all stages within this many seconds.
OBJECTIVE_SECONDS = 2.0
DEADLINE_SECONDS = 6.0


class PipelineSimulation:
    """Simulates requests that pass stages of four targets each."""

    def __init__(self, stage_hints):
        """Build a simulation in which stages get hints or don't."""
        self.stage_hints = stage_hints
        self.stages = [BatchQueue() for _ in range(STAGES)]
        self.late = set()
        self.on_time = 0
        self.refusal_seconds = []
        self._events = []
        self._number = count()

    def run(self, arrivals):
        """Return the share of requests that pass all stages on time."""
        for ident, at in enumerate(arrivals):
            self._schedule(at, self._enter_stage, (ident, at, 0))
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.on_time / len(arrivals)

    def _schedule(self, due_at, action, arguments):
        heapq.heappush(
            self._events, (due_at, next(self._number), action, arguments)
        )

    def _enter_stage(self, now, ident, at, stage):
        later_stages_seconds = (STAGES - stage - 1) * BATCH_SECONDS
        urgency = Urgency(
            at + OBJECTIVE_SECONDS - BATCH_SECONDS - later_stages_seconds,
            at + DEADLINE_SECONDS - later_stages_seconds,
        )
        if self.stage_hints:
            urgency = urgency._replace(
                stages_left=STAGES - stage,
                late=ident in self.late,
            )
        work_items = [
            WorkItem(str(ident), stage, n, 'k', ()) for n in range(WORK_ITEMS)
        ]
        pending = PendingStage(str(ident), work_items, 1000, '', urgency)
        batch_queue = self.stages[stage]
        wait = batch_queue.add(str(ident), pending, TARGETS, LIMITS, now)
        if pending.late:
            self.late.add(ident)
        if now + wait > pending.deadline:
            batch_queue.remove(str(ident))
            self.refusal_seconds.append(now - at)
        self._dispatch(now, stage)

    def _dispatch(self, now, stage):
        batch_queue = self.stages[stage]
        for key in batch_queue.find_infeasible(TARGETS, LIMITS, now):
            batch_queue.remove(key)
        while batch := batch_queue.next_batch(TARGETS, LIMITS, now):
            self._schedule(now + batch.expected, self._finish, (stage, batch))

    def _finish(self, now, stage, batch):
        batch_queue = self.stages[stage]
        batch_queue.finish(batch)
        batch_queue.record_completed(len(batch.work_items), now)
        for pending, _ in batch.work_items:
            batch_queue.release(batch.target, pending.result_bytes)
            pending.missing_results -= 1
            if not pending.missing_results:
                batch_queue.remove(pending.ident)
                self._leave_stage(now, int(pending.ident), stage, pending)
        self._dispatch(now, stage)

    def _leave_stage(self, now, ident, stage, pending):
        later_stages_seconds = (STAGES - stage - 1) * BATCH_SECONDS
        at = pending.deadline + later_stages_seconds - DEADLINE_SECONDS
        if stage + 1 < STAGES:
            self._schedule(now, self._enter_stage, (ident, at, stage + 1))
        elif now <= at + OBJECTIVE_SECONDS:
            self.on_time += 1


def make_burst(overload):
    """Return arrival times with half load around a burst of six seconds."""
    full = find_max_throughput(len(TARGETS), LIMITS) / WORK_ITEMS
    arrivals = []
    now = 0.0
    while now < 16:
        in_burst = 4 <= now < 10
        now += 1 / (full * (overload if in_burst else 0.5))
        arrivals.append(now)
    return arrivals


@pytest.mark.parametrize('overload', [1.3, 1.6, 2.0])
def test_stage_hints_raise_the_share_on_time_in_a_burst(overload):
    arrivals = make_burst(overload)
    without_hints = PipelineSimulation(stage_hints=False).run(arrivals)
    with_hints = PipelineSimulation(stage_hints=True).run(arrivals)
    assert with_hints > without_hints + 0.05


def test_all_requests_are_on_time_at_half_load():
    assert (
        PipelineSimulation(stage_hints=True).run(make_burst(overload=0.5))
        == 1.0
    )


def test_infeasible_requests_are_refused_early():
    simulation = PipelineSimulation(stage_hints=True)
    simulation.run(make_burst(2.5))
    assert simulation.refusal_seconds
    early = sum(
        after < OBJECTIVE_SECONDS / 2 for after in simulation.refusal_seconds
    )
    assert early > 0.8 * len(simulation.refusal_seconds)
