"""Tests of batches, their order and their targets under typical loads."""

import heapq

import pytest

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.batch_queue import BatchQueue
from galenaswitch.pipelines.forecasts import find_max_throughput
from galenaswitch.pipelines.pending import PendingStage, Urgency

LIMITS = BatchLimits(
    slots=1,
    batch_size=4,
    call_overhead_seconds=0.2,
    work_item_seconds=0.042,
    result_memory_bytes=9_000_000,
    retention_seconds=4,
)
LARGE = 1_500_000
TARGETS = tuple(
    Target(name, f'{name}/1', zone, 'intake', 'u')
    for name, zone in (('a', 'z1'), ('b', 'z2'), ('c', 'z3'), ('d', 'z4'))
)


def make_stage(
    ident,
    count,
    size=1000,
    zone='',
    start_by=1.0,
    deadline=5.0,
    priority=0,
    **urgency_fields,
):
    """Return a pending stage with ``count`` work items."""
    work_items = [
        WorkItem(ident, 0, number, 'k', ()) for number in range(count)
    ]
    urgency = Urgency(start_by, deadline, priority, **urgency_fields)
    return PendingStage(ident, work_items, size, zone, urgency)


@pytest.fixture
def batch_queue():
    """Return a queue without pending stages."""
    return BatchQueue()


def add_stages(batch_queue, *pending_stages, now=0.0):
    """Add pending stages to the queue."""
    for pending in pending_stages:
        batch_queue.add(pending.ident, pending, TARGETS, LIMITS, now)


def start_batches(batch_queue, now=0.0, targets=TARGETS):
    """Start all batches that idle targets can take and return them."""
    batches = []
    while batch := batch_queue.next_batch(targets, LIMITS, now):
        batches.append(batch)
    return batches


def request_ids(batch):
    """Return the request id of each work item in a batch."""
    return [pending.ident for pending, _ in batch.work_items]


def test_batch_is_filled_from_several_requests(batch_queue):
    add_stages(
        batch_queue, make_stage('r', 1), make_stage('s', 2), make_stage('t', 1)
    )
    (batch,) = start_batches(batch_queue, targets=TARGETS[:1])
    assert sorted(request_ids(batch)) == ['r', 's', 's', 't']


def test_most_urgent_request_is_served_first(batch_queue):
    add_stages(
        batch_queue,
        make_stage('later', 4, start_by=2),
        make_stage('soon', 4, start_by=1),
    )
    (batch,) = start_batches(batch_queue, targets=TARGETS[:1])
    assert set(request_ids(batch)) == {'soon'}


def test_infeasible_requests_are_found_in_the_queue(batch_queue):
    """In a burst at one target, the last requests miss their deadlines."""
    add_stages(
        batch_queue, *(make_stage(f'r{n}', 4, deadline=1.0) for n in range(6))
    )
    (target,) = TARGETS[:1]
    # A full batch takes 0.368 s, so two batches end within a second.
    infeasible = batch_queue.find_infeasible([target], LIMITS, 0.0)
    assert infeasible == ['r2', 'r3', 'r4', 'r5']
    assert batch_queue.find_infeasible([target], LIMITS, 0.5) != infeasible
    assert batch_queue.find_infeasible(TARGETS, LIMITS, 0.0) == []


def test_started_requests_are_never_infeasible(batch_queue):
    started = make_stage('started', 4, deadline=0.1)
    started.started = True
    add_stages(batch_queue, started)
    assert batch_queue.find_infeasible(TARGETS[:1], LIMITS, 0.0) == []


def test_busy_target_gets_no_second_batch(batch_queue):
    add_stages(batch_queue, make_stage('r', 4), make_stage('s', 4))
    batches = start_batches(batch_queue, targets=TARGETS[:1])
    assert len(batches) == 1
    batch_queue.finish(batches[0])
    assert len(start_batches(batch_queue, targets=TARGETS[:1])) == 1


def test_request_starts_only_if_all_its_results_fit_in_memory(batch_queue):
    two = TARGETS[:2]
    for target in two:
        batch_queue.target_state(target).held_bytes = 6_000_000
    add_stages(batch_queue, make_stage('big', 6, LARGE))
    assert not start_batches(batch_queue, targets=two)
    batch_queue.release(two[0], 6_000_000)
    assert start_batches(batch_queue, targets=two)


def test_large_results_do_not_overtake_a_wait_for_memory(batch_queue):
    only = TARGETS[:1]
    batch_queue.target_state(only[0]).held_bytes = 4_500_000
    add_stages(
        batch_queue,
        make_stage('big', 4, LARGE),
        make_stage('other', 1, LARGE, start_by=2),
    )
    add_stages(batch_queue, make_stage('tiny', 1, 8000, start_by=3))
    (batch,) = start_batches(batch_queue, targets=only)
    assert request_ids(batch) == ['tiny']


def test_started_request_is_served_before_others_start(batch_queue):
    add_stages(batch_queue, make_stage('started', 6, start_by=2))
    first = start_batches(batch_queue, targets=TARGETS[:1])
    add_stages(batch_queue, make_stage('new', 4, start_by=1))
    batch_queue.finish(first[0])
    (batch,) = start_batches(batch_queue, targets=TARGETS[:1])
    assert request_ids(batch)[:2] == ['started', 'started']


def test_idle_target_in_the_preferred_zone_is_chosen(batch_queue):
    add_stages(batch_queue, make_stage('r', 2, LARGE, zone='z3'))
    (batch,) = start_batches(batch_queue)
    assert batch.target.zone == 'z3'


def test_busy_target_in_the_preferred_zone_is_not_waited_for(batch_queue):
    batch_queue.target_state(TARGETS[2]).calls = 1
    add_stages(batch_queue, make_stage('r', 2, LARGE, zone='z3'))
    assert len(start_batches(batch_queue)) == 1


def test_failed_target_in_the_preferred_zone_is_not_waited_for(batch_queue):
    batch_queue.target_state(TARGETS[2]).pause(now=0)
    add_stages(batch_queue, make_stage('r', 2, LARGE, zone='z3'))
    assert len(start_batches(batch_queue)) == 1


def test_target_serves_requests_of_its_own_zone_first(batch_queue):
    far = make_stage('far', 4, zone='z9', start_by=1.0)
    near = make_stage('near', 4, zone='z1', start_by=1.2)
    add_stages(batch_queue, far, near)
    (batch,) = start_batches(batch_queue, targets=TARGETS[:1])
    assert set(request_ids(batch)) == {'near'}


def test_much_earlier_start_outweighs_the_zone(batch_queue):
    far = make_stage('far', 4, zone='z9', start_by=0.6)
    near = make_stage('near', 4, zone='z1', start_by=1.2)
    add_stages(batch_queue, far, near)
    (batch,) = start_batches(batch_queue, targets=TARGETS[:1])
    assert set(request_ids(batch)) == {'far'}


def test_slow_target_gets_no_batch_while_others_suffice(batch_queue):
    batch_queue.target_state(TARGETS[0]).slowdown = 5
    add_stages(batch_queue, make_stage('r', 2))
    (batch,) = start_batches(batch_queue)
    assert batch.target != TARGETS[0]


def test_slow_target_gets_batches_in_a_burst(batch_queue):
    batch_queue.target_state(TARGETS[0]).slowdown = 5
    add_stages(batch_queue, *(make_stage(f'r{n}', 4) for n in range(8)))
    assert len(start_batches(batch_queue)) == len(TARGETS)


def test_late_request_is_detected_on_arrival(batch_queue):
    for number in range(30):
        add_stages(batch_queue, make_stage(f'r{number}', 4, start_by=0.8))
    late = make_stage('late', 4, start_by=0.8, deadline=2)
    wait = batch_queue.add('late', late, TARGETS, LIMITS, 0)
    assert late.late
    assert wait > late.deadline


def test_request_found_late_by_another_stage_is_served_last(batch_queue):
    """A stage that finds a request late reports this to the next stage."""
    found_late = make_stage('found late', 4, start_by=0.5, late=True)
    add_stages(batch_queue, found_late, make_stage('fresh', 4, start_by=2.0))
    (batch,) = start_batches(batch_queue, targets=TARGETS[:1])
    assert set(request_ids(batch)) == {'fresh'}


@pytest.mark.parametrize(('stages_left', 'late'), [(1, False), (3, True)])
def test_stage_leaves_slack_for_later_stages(batch_queue, stages_left, late):
    """The same wait fits the slack of one stage, but not of three stages."""
    add_stages(
        batch_queue, *(make_stage(f'r{n}', 4, start_by=0.85) for n in range(6))
    )
    last = make_stage('last', 4, start_by=0.9, stages_left=stages_left)
    batch_queue.add('last', last, TARGETS, LIMITS, 0)
    assert last.late == late


def serve(pending_stages, arrivals, rank_late_last, completed_at=None):
    """Simulate serving requests and return the waits of those on time.

    :param arrivals: arrival time of each pending stage.
    :param rank_late_last: whether late stages rank behind all others.
    :param completed_at: receives the completion time of each pending stage.
    """
    completed_at = {} if completed_at is None else completed_at
    batch_queue = BatchQueue()
    waits = []
    events = [(at, 0, index) for index, at in enumerate(arrivals)]
    heapq.heapify(events)
    batches = []
    while events:
        now, kind, index = heapq.heappop(events)
        if kind == 0:
            add_stages(batch_queue, pending_stages[index], now=now)
            pending_stages[index].late &= rank_late_last
        else:
            batch = batches[index]
            batch_queue.finish(batch)
            batch_queue.record_completed(len(batch.work_items), now)
            for pending, _ in batch.work_items:
                batch_queue.release(batch.target, pending.result_bytes)
                pending.missing_results -= 1
                completed_at[pending.ident] = now
                if (
                    not pending.missing_results
                    and now <= pending.start_by + 0.4
                ):
                    arrived = arrivals[int(pending.ident)]
                    waits.append(now - arrived)
        for batch in start_batches(batch_queue, now):
            batches.append(batch)
            done = now + batch.expected
            heapq.heappush(events, (done, 1, len(batches) - 1))
    return waits


def find_shares_on_time(priorities, overload):
    """Return the share of requests on time of two alternating kinds.

    :param priorities: priorities of the two kinds.
    """
    rate = find_max_throughput(len(TARGETS), LIMITS) * overload
    arrivals = [number * 4 / rate for number in range(300)]
    pending_stages = [
        make_stage(
            str(number),
            4,
            start_by=at + 0.8,
            deadline=at + 60,
            priority=priorities[number % 2],
        )
        for number, at in enumerate(arrivals)
    ]
    completed_at = {}
    serve(
        pending_stages, arrivals, rank_late_last=True, completed_at=completed_at
    )
    on_time = [
        sum(
            completed_at[pending.ident] <= pending.start_by + 0.4
            for pending in pending_stages[kind::2]
        )
        for kind in (0, 1)
    ]
    return [share / len(pending_stages) * 2 for share in on_time]


@pytest.mark.parametrize('overload', [1.3, 1.6])
def test_urgent_requests_are_served_first_in_a_mixed_burst(overload):
    equal = find_shares_on_time((0, 0), overload)
    urgent, other = find_shares_on_time((0, 2), overload)
    assert urgent > equal[0] + 0.15
    assert urgent + other > 0.9 * sum(equal)


@pytest.mark.parametrize('overload', [1.3, 1.6, 2.0])
def test_serving_late_requests_last_shortens_waits_in_overload(overload):
    rate = find_max_throughput(len(TARGETS), LIMITS) * overload
    arrivals = [number * 4 / rate for number in range(200)]

    def pending_stages():
        return [
            make_stage(str(number), 4, start_by=at + 0.8, deadline=at + 60)
            for number, at in enumerate(arrivals)
        ]

    late_last = serve(pending_stages(), arrivals, rank_late_last=True)
    by_urgency = serve(pending_stages(), arrivals, rank_late_last=False)
    assert len(late_last) > 0.9 * len(by_urgency)
    assert len(late_last) / len(arrivals) > 0.75 / overload
    assert sum(late_last) / len(late_last) < sum(by_urgency) / len(by_urgency)


# Guards against an owner of a burst that ranks all that waits for each request
# that arrives, though no target is idle.
def test_nothing_is_ranked_while_all_targets_are_busy(batch_queue, monkeypatch):
    waiting = [make_stage(f'r{number}', 4) for number in range(200)]
    add_stages(batch_queue, *waiting)
    start_batches(batch_queue)
    ranked = []
    monkeypatch.setattr(
        PendingStage, 'rank', lambda one, *_: ranked.append(one)
    )
    assert batch_queue.next_batch(TARGETS, LIMITS, 0.0) is None
    assert not ranked


# Guards against late work items that wait though other targets answer.
def test_answer_without_a_load_is_recorded(batch_queue):
    batch_queue.record_load(TARGETS[0], None, 5.0)
    assert batch_queue.target_state(TARGETS[0]).answered_at == 5.0
