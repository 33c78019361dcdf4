"""Filling calls under the load patterns that it answers."""

import heapq

import pytest

from galenaswitch.gateway.calls import WorkItem
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.batch_queue import BatchQueue, find_full_rate
from galenaswitch.pipelines.pending import PendingStage, Standing

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


def make(
    ident,
    count,
    size=1000,
    zone='',
    start_by=1.0,
    deadline=5.0,
    priority=0,
    **told,
):
    """Return a pending stage for some work items."""
    work_items = [
        WorkItem(ident, 0, number, 'k', ()) for number in range(count)
    ]
    standing = Standing(start_by, deadline, priority, **told)
    return PendingStage(ident, work_items, size, zone, standing)


@pytest.fixture
def batch_queue():
    """Pieces of a service with nothing waiting."""
    return BatchQueue()


def add(batch_queue, *pending_stages, now=0.0):
    """Let pending stages wait."""
    for pending in pending_stages:
        batch_queue.add(pending.ident, pending, TARGETS, LIMITS, now)


def start_all(batch_queue, now=0.0, targets=TARGETS):
    """Start all calls that can be started."""
    calls = []
    while batch := batch_queue.next_batch(targets, LIMITS, now):
        calls.append(batch)
    return calls


def names(batch):
    """Return the requests of a call."""
    return [pending.ident for pending, _ in batch.work_items]


def test_call_is_filled_from_several_requests(batch_queue):
    add(batch_queue, make('r', 1), make('s', 2), make('t', 1))
    (batch,) = start_all(batch_queue, targets=TARGETS[:1])
    assert sorted(names(batch)) == ['r', 's', 's', 't']


def test_most_urgent_goes_first(batch_queue):
    add(batch_queue, make('later', 4, start_by=2), make('soon', 4, start_by=1))
    (batch,) = start_all(batch_queue, targets=TARGETS[:1])
    assert set(names(batch)) == {'soon'}


def test_hopeless_requests_are_found_while_they_wait(batch_queue):
    """Burst of one kind at one target: the last can't be made in time."""
    add(batch_queue, *(make(f'r{n}', 4, deadline=1.0) for n in range(6)))
    (one,) = TARGETS[:1]
    # A full call takes 0.368 s, so two end within a second.
    hopeless = batch_queue.find_infeasible([one], LIMITS, 0.0)
    assert hopeless == ['r2', 'r3', 'r4', 'r5']
    assert batch_queue.find_infeasible([one], LIMITS, 0.5) != hopeless
    assert batch_queue.find_infeasible(TARGETS, LIMITS, 0.0) == []


def test_begun_requests_are_never_hopeless(batch_queue):
    begun = make('begun', 4, deadline=0.1)
    begun.begun = True
    add(batch_queue, begun)
    assert batch_queue.find_infeasible(TARGETS[:1], LIMITS, 0.0) == []


def test_busy_target_gets_no_second_call(batch_queue):
    add(batch_queue, make('r', 4), make('s', 4))
    calls = start_all(batch_queue, targets=TARGETS[:1])
    assert len(calls) == 1
    batch_queue.finish(calls[0])
    assert len(start_all(batch_queue, targets=TARGETS[:1])) == 1


def test_request_is_not_begun_without_room_for_all_its_pieces(batch_queue):
    two = TARGETS[:2]
    for target in two:
        batch_queue.target_state(target).held_bytes = 6_000_000
    add(batch_queue, make('big', 6, LARGE))
    assert not start_all(batch_queue, targets=two)
    batch_queue.release(two[0], 6_000_000)
    assert start_all(batch_queue, targets=two)


def test_request_waiting_for_room_is_not_overtaken_by_large_ones(batch_queue):
    only = TARGETS[:1]
    batch_queue.target_state(only[0]).held_bytes = 4_500_000
    add(batch_queue, make('big', 4, LARGE), make('other', 1, LARGE, start_by=2))
    add(batch_queue, make('tiny', 1, 8000, start_by=3))
    (batch,) = start_all(batch_queue, targets=only)
    assert names(batch) == ['tiny']


def test_begun_request_is_finished_before_others_begin(batch_queue):
    add(batch_queue, make('begun', 6, start_by=2))
    first = start_all(batch_queue, targets=TARGETS[:1])
    add(batch_queue, make('new', 4, start_by=1))
    batch_queue.finish(first[0])
    (batch,) = start_all(batch_queue, targets=TARGETS[:1])
    assert names(batch)[:2] == ['begun', 'begun']


def test_results_are_made_near_their_reader_when_a_target_is_free(batch_queue):
    add(batch_queue, make('r', 2, LARGE, zone='z3'))
    (batch,) = start_all(batch_queue)
    assert batch.target.zone == 'z3'


def test_busy_near_target_is_not_waited_for(batch_queue):
    batch_queue.target_state(TARGETS[2]).calls = 1
    add(batch_queue, make('r', 2, LARGE, zone='z3'))
    assert len(start_all(batch_queue)) == 1


def test_near_target_that_failed_is_not_waited_for(batch_queue):
    batch_queue.target_state(TARGETS[2]).pause(now=0)
    add(batch_queue, make('r', 2, LARGE, zone='z3'))
    assert len(start_all(batch_queue)) == 1


def test_target_takes_first_what_lies_in_its_zone(batch_queue):
    far = make('far', 4, zone='z9', start_by=1.0)
    near = make('near', 4, zone='z1', start_by=1.2)
    add(batch_queue, far, near)
    (batch,) = start_all(batch_queue, targets=TARGETS[:1])
    assert set(names(batch)) == {'near'}


def test_distance_does_not_outweigh_urgency(batch_queue):
    far = make('far', 4, zone='z9', start_by=0.6)
    near = make('near', 4, zone='z1', start_by=1.2)
    add(batch_queue, far, near)
    (batch,) = start_all(batch_queue, targets=TARGETS[:1])
    assert set(names(batch)) == {'far'}


def test_slow_target_is_left_out_while_others_suffice(batch_queue):
    batch_queue.target_state(TARGETS[0]).slowness = 5
    add(batch_queue, make('r', 2))
    (batch,) = start_all(batch_queue)
    assert batch.target != TARGETS[0]


def test_slow_target_helps_in_a_burst(batch_queue):
    batch_queue.target_state(TARGETS[0]).slowness = 5
    add(batch_queue, *(make(f'r{n}', 4) for n in range(8)))
    assert len(start_all(batch_queue)) == len(TARGETS)


def test_hopeless_request_is_known_when_it_comes(batch_queue):
    for number in range(30):
        add(batch_queue, make(f'r{number}', 4, start_by=0.8))
    late = make('late', 4, start_by=0.8, deadline=2)
    wait = batch_queue.add('late', late, TARGETS, LIMITS, 0)
    assert late.late
    assert wait > late.deadline


def test_request_that_is_late_elsewhere_goes_last(batch_queue):
    """Burst through several stages: one stage knows for the next."""
    known = make('known', 4, start_by=0.5, late=True)
    add(batch_queue, known, make('fresh', 4, start_by=2.0))
    (batch,) = start_all(batch_queue, targets=TARGETS[:1])
    assert set(names(batch)) == {'fresh'}


@pytest.mark.parametrize(('stages_left', 'late'), [(1, False), (3, True)])
def test_stage_leaves_time_to_those_behind_it(batch_queue, stages_left, late):
    """Pieces ahead are a wait for one stage, too long a one before three."""
    add(batch_queue, *(make(f'r{n}', 4, start_by=0.85) for n in range(6)))
    last = make('last', 4, start_by=0.9, stages_left=stages_left)
    batch_queue.add('last', last, TARGETS, LIMITS, 0)
    assert last.late == late


def serve(pending_stages, arrivals, late_goes_last, made=None):
    """Serve requests; return the waits of those made on time.

    :param arrivals: time at which each pending stage arrives.
    :param late_goes_last: whether hopeless ones are put behind at once.
    :param made: takes the time at which each pending stage was made.
    """
    made = {} if made is None else made
    batch_queue = BatchQueue()
    waits = []
    events = [(at, 0, index) for index, at in enumerate(arrivals)]
    heapq.heapify(events)
    calls = []
    while events:
        now, kind, index = heapq.heappop(events)
        if kind == 0:
            add(batch_queue, pending_stages[index], now=now)
            pending_stages[index].late &= late_goes_last
        else:
            batch = calls[index]
            batch_queue.finish(batch)
            batch_queue.record_made(len(batch.work_items), now)
            for pending, _ in batch.work_items:
                batch_queue.release(batch.target, pending.result_bytes)
                pending.missing -= 1
                made[pending.ident] = now
                if not pending.missing and now <= pending.start_by + 0.4:
                    arrived = arrivals[int(pending.ident)]
                    waits.append(now - arrived)
        for batch in start_all(batch_queue, now):
            calls.append(batch)
            done = now + batch.expected
            heapq.heappush(events, (done, 1, len(calls) - 1))
    return waits


def count_on_time(priorities, overload):
    """Return the share of two kinds that alternate that is on time.

    :param priorities: priority of each kind.
    """
    rate = find_full_rate(len(TARGETS), LIMITS) * overload
    arrivals = [number * 4 / rate for number in range(300)]
    pending_stages = [
        make(
            str(number),
            4,
            start_by=at + 0.8,
            deadline=at + 60,
            priority=priorities[number % 2],
        )
        for number, at in enumerate(arrivals)
    ]
    made = {}
    serve(pending_stages, arrivals, late_goes_last=True, made=made)
    on_time = [
        sum(
            made[pending.ident] <= pending.start_by + 0.4
            for pending in pending_stages[kind::2]
        )
        for kind in (0, 1)
    ]
    return [share / len(pending_stages) * 2 for share in on_time]


@pytest.mark.parametrize('overload', [1.3, 1.6])
def test_urgent_kind_goes_first_in_a_burst_of_two_kinds(overload):
    equal = count_on_time((0, 0), overload)
    urgent, other = count_on_time((0, 2), overload)
    assert urgent > equal[0] + 0.15
    assert urgent + other > 0.9 * sum(equal)


@pytest.mark.parametrize('overload', [1.3, 1.6, 2.0])
def test_overload_leaves_time_for_later_stages(overload):
    rate = find_full_rate(len(TARGETS), LIMITS) * overload
    arrivals = [number * 4 / rate for number in range(200)]

    def pending_stages():
        return [
            make(str(number), 4, start_by=at + 0.8, deadline=at + 60)
            for number, at in enumerate(arrivals)
        ]

    kept = serve(pending_stages(), arrivals, late_goes_last=True)
    plain = serve(pending_stages(), arrivals, late_goes_last=False)
    assert len(kept) > 0.9 * len(plain)
    assert len(kept) / len(arrivals) > 0.75 / overload
    assert sum(kept) / len(kept) < sum(plain) / len(plain)
