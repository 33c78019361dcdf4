"""Decisions of admission about single requests."""

import pytest

from galenaswitch.admission.policy import (
    Conditions,
    Demand,
    MeasuredAdmission,
)

OVERLOADED = Conditions(
    ahead=4,
    late_ahead=300,
    rate=100.0,
    offered_rate=200.0,
    free_rate=100.0,
    late_free_rate=5.0,
    first_seconds=0.5,
    run_seconds=0.25,
)


@pytest.fixture
def policy():
    """Return the policy."""
    return MeasuredAdmission()


# Guards against urgent requests with short prompts that are rejected since
# others have long ones.
def test_short_objective_is_not_judged_by_long_prompts(policy):
    verdict = policy.judge(Demand(0.4, 2.0, 2.0, 2.0), OVERLOADED)
    assert verdict.is_admitted
    assert not verdict.is_late


# Guards against late requests that are rejected though there is room for them.
def test_late_request_waits_where_others_leave_enough(policy):
    demand = Demand(-0.1, 2.0, 2.0, 3.0)
    room = OVERLOADED._replace(late_ahead=20, late_free_rate=40.0)
    verdict = policy.judge(demand, room)
    assert (verdict.is_admitted, verdict.is_late) == (True, True)
    assert not policy.judge(demand, OVERLOADED).is_admitted


# Guards against work that begins too late to end before its deadline.
def test_request_may_start_until_its_deadline_less_its_duration(policy):
    demand = Demand(3.0, 3.0, 3.0, 3.0)
    usual = OVERLOADED._replace(offered_rate=50.0, ahead=200)
    assert policy.judge(demand, usual).is_admitted
    long = usual._replace(run_seconds=2.0)
    assert not policy.judge(demand, long).is_admitted
    assert policy.is_hopeless(demand, long)
    assert not policy.is_hopeless(demand, long._replace(ahead=50))


# Guards against streams that are cut at their deadline, since they began when
# less time was left than they take.
def test_request_that_waited_too_long_is_hopeless(policy):
    first = OVERLOADED._replace(ahead=0, run_seconds=2.0)
    assert not policy.is_hopeless(Demand(1.0, 2.5, 2.5, 3.0), first)
    assert policy.is_hopeless(Demand(1.0, 1.9, 1.9, 3.0), first)


# Guards against rejections of requests from VMs that don't tell their deadline,
# or whose answers are shorter than all that were measured.
@pytest.mark.parametrize('total', [0, 1.5])
def test_duration_that_does_not_fit_is_left_out(policy, total):
    demand = Demand(1.0, 1.5, total, total)
    long = OVERLOADED._replace(run_seconds=4.0)
    assert policy.judge(demand, long).is_admitted


# Guards against a single slot whose one long answer rejects all others.
def test_few_ends_leave_much_to_chance(policy):
    slow = OVERLOADED._replace(
        ahead=0, rate=0.1, offered_rate=0.05, run_seconds=9.0
    )
    assert policy.judge(Demand(2.0, 8.0, 60.0, 60.0), slow).is_admitted
