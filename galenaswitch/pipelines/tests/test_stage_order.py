"""Order of stages of several priorities, in and out of a burst."""

import pytest

from galenaswitch.pipelines.stage_order import OrderTerms, order_stages
from galenaswitch.pipelines.tests.test_batch_queue import (
    LIMITS,
    TARGETS,
    find_max_throughput,
    make_stage,
    serve,
)

# One request of four work items takes 0.1 s of all targets.
TERMS = OrderTerms(0.0, 40.0, 4)


def find_order(*stages):
    """Return the ids of stages in the order in which they are served."""
    return [stage.ident for stage in order_stages(stages, TERMS)]


def find_on_time(overload):
    """Return the shares on time of urgent requests and of more pressing ones.

    The urgent ones have three stages left and 1.6 s until their latest start,
    the others one stage and 0.8 s.
    """
    rate = find_max_throughput(len(TARGETS), LIMITS) * overload
    arrivals = [number * 4 / rate for number in range(300)]
    stages = [
        make_stage(
            str(number),
            4,
            start_by=at + (0.8 if number % 2 else 1.6),
            deadline=at + 60,
            priority=number % 2,
            stages_left=1 if number % 2 else 3,
        )
        for number, at in enumerate(arrivals)
    ]
    done = {}
    serve(stages, arrivals, rank_late_last=True, completed_at=done)
    on_time = [done[one.ident] <= one.start_by + 0.4 for one in stages]
    return [sum(on_time[kind::2]) / len(on_time) * 2 for kind in (0, 1)]


# Guards against urgent requests that are late in a burst since the latest start
# of less urgent ones comes more than half a second earlier.
@pytest.mark.parametrize('overload', [1.3, 1.6, 2.0])
def test_urgent_requests_are_on_time_in_a_burst(overload):
    urgent, pressing = find_on_time(overload)
    assert urgent > 0.95
    assert urgent + pressing > 1.7 / overload


# Guards against less urgent requests that starve though the more urgent ones
# before them can wait.
def test_stage_that_cannot_wait_goes_before_urgent_ones_that_can():
    urgent = [make_stage(f'u{n}', 4, start_by=9) for n in range(9)]
    pressing = make_stage('pressing', 4, start_by=0.3, priority=1)
    patient = make_stage('patient', 4, start_by=2, priority=1)
    order = find_order(*urgent, pressing, patient)
    assert order.index('pressing') == 3
    assert order[-1] == 'patient'


# Guards against a queue of urgent requests, all of them late once targets have
# become slower, that takes less urgent ones with it.
def test_urgent_stages_that_will_be_late_displace_none_on_time():
    urgent = [make_stage(f'u{n}', 4, start_by=0.5) for n in range(40)]
    other = make_stage('other', 4, start_by=1, priority=1)
    order = find_order(*urgent, other)
    # Five urgent ones go within 0.5 s, and the next has no more to wait for.
    assert order.index('other') == 6
    late = make_stage('late', 4, start_by=0.5, late=True)
    assert find_order(late, *urgent, other)[-1] == 'late'


# Guards against work that is lost since its request is overtaken.
def test_begun_request_is_not_overtaken_by_urgent_ones():
    begun = make_stage('begun', 4, start_by=2, priority=1)
    begun.queued = [one._replace(inputs=('h',)) for one in begun.queued]
    started = make_stage('started', 4, start_by=3, priority=2)
    started.started = True
    urgent = make_stage('urgent', 4, start_by=0.01)
    assert find_order(urgent, begun, started) == ['started', 'begun', 'urgent']
