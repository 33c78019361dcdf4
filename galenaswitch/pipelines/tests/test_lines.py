"""A burst through stages one after the other, with and without foresight."""

import heapq
from itertools import count

import pytest

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.batch_queue import BatchQueue, find_max_throughput
from galenaswitch.pipelines.pending import PendingStage, Urgency

LIMITS = BatchLimits(1, 8, 0.2, 0.02, 1e9, 4)
TARGETS = tuple(
    Target(f't{number}', f't{number}/1', 'z', 'intake', 'u')
    for number in range(4)
)
STAGES = 3
PIECES = 4
CALL_SECONDS = 0.2 + PIECES * 0.02 + 0.1
# Seconds in which a request has to pass all stages to be on time.
OBJECTIVE = 2.0
DEADLINE = 6.0


class Line:
    """Requests that pass stages of four targets each."""

    def __init__(self, foresight):
        """Tell stages how many follow and what others know, or not."""
        self.foresight = foresight
        self.stages = [BatchQueue() for _ in range(STAGES)]
        self.late = set()
        self.on_time = 0
        self.refused_after = []
        self._events = []
        self._number = count()

    def run(self, arrivals):
        """Return the share of requests that pass all stages in time."""
        for ident, at in enumerate(arrivals):
            self._at(at, self._ask, (ident, at, 0))
        while self._events:
            now, _, act, told = heapq.heappop(self._events)
            act(now, *told)
        return self.on_time / len(arrivals)

    def _at(self, when, act, told):
        heapq.heappush(self._events, (when, next(self._number), act, told))

    def _ask(self, now, ident, at, stage):
        rest = (STAGES - stage - 1) * CALL_SECONDS
        urgency = Urgency(
            at + OBJECTIVE - CALL_SECONDS - rest,
            at + DEADLINE - rest,
        )
        if self.foresight:
            urgency = urgency._replace(
                stages_left=STAGES - stage,
                late=ident in self.late,
            )
        work_items = [
            WorkItem(str(ident), stage, n, 'k', ()) for n in range(PIECES)
        ]
        pending = PendingStage(str(ident), work_items, 1000, '', urgency)
        batch_queue = self.stages[stage]
        wait = batch_queue.add(str(ident), pending, TARGETS, LIMITS, now)
        if pending.late:
            self.late.add(ident)
        if now + wait > pending.deadline:
            batch_queue.remove(str(ident))
            self.refused_after.append(now - at)
        self._look(now, stage)

    def _look(self, now, stage):
        batch_queue = self.stages[stage]
        for key in batch_queue.find_infeasible(TARGETS, LIMITS, now):
            batch_queue.remove(key)
        while batch := batch_queue.next_batch(TARGETS, LIMITS, now):
            self._at(now + batch.expected, self._finish, (stage, batch))

    def _finish(self, now, stage, batch):
        batch_queue = self.stages[stage]
        batch_queue.finish(batch)
        batch_queue.record_completed(len(batch.work_items), now)
        for pending, _ in batch.work_items:
            batch_queue.release(batch.target, pending.result_bytes)
            pending.missing_results -= 1
            if not pending.missing_results:
                batch_queue.remove(pending.ident)
                self._pass_on(now, int(pending.ident), stage, pending)
        self._look(now, stage)

    def _pass_on(self, now, ident, stage, pending):
        rest = (STAGES - stage - 1) * CALL_SECONDS
        at = pending.deadline + rest - DEADLINE
        if stage + 1 < STAGES:
            self._at(now, self._ask, (ident, at, stage + 1))
        elif now <= at + OBJECTIVE:
            self.on_time += 1


def make_burst(overload):
    """Return arrivals: calm, a burst of six seconds, calm again."""
    full = find_max_throughput(len(TARGETS), LIMITS) / PIECES
    arrivals = []
    now = 0.0
    while now < 16:
        in_burst = 4 <= now < 10
        now += 1 / (full * (overload if in_burst else 0.5))
        arrivals.append(now)
    return arrivals


@pytest.mark.parametrize('overload', [1.3, 1.6, 2.0])
def test_burst_through_all_stages_is_served_on_time_where_it_can_be(overload):
    arrivals = make_burst(overload)
    blind = Line(foresight=False).run(arrivals)
    seeing = Line(foresight=True).run(arrivals)
    assert seeing > blind + 0.05


def test_calm_day_is_served_on_time():
    assert Line(foresight=True).run(make_burst(overload=0.5)) == 1.0


def test_what_can_not_be_served_is_refused_soon():
    line = Line(foresight=True)
    line.run(make_burst(2.5))
    assert line.refused_after
    soon = sum(after < OBJECTIVE / 2 for after in line.refused_after)
    assert soon > 0.8 * len(line.refused_after)
