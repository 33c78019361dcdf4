"""One budget of repeated sends over machines that can't talk."""

from hypothesis import given
from hypothesis import strategies as st

from galenaswitch.limits.retries import RetryBudgets

RATIO = 0.2
SLACK = 58
WINDOW = 10


@given(
    st.lists(
        st.tuples(st.integers(0, 8), st.floats(0, 30), st.booleans()),
        max_size=400,
    ),
)
def test_sum_over_machines_stays_within_the_budget(events):
    machines = [RetryBudgets(RATIO, SLACK, WINDOW) for _ in range(9)]
    for budgets in machines:
        budgets.update_machine_count(len(machines))
    requests = []
    repeats = []
    for number, now, repeated in sorted(events, key=lambda event: event[1]):
        budget = machines[number].of('service')
        if repeated and budget.acquire(now):
            repeats.append(now)
        if not repeated:
            budget.record_request(now)
            requests.append(now)
    for end in repeats:
        inside = [at for at in repeats if end - WINDOW < at <= end]
        asked = [at for at in requests if end - WINDOW < at <= end]
        assert len(inside) <= RATIO * len(asked) + SLACK


def test_sends_of_one_service_do_not_use_up_another():
    budgets = RetryBudgets(0, 10, WINDOW)
    while budgets.of('a').acquire(0):
        assert True
    assert budgets.of('b').acquire(0)


def test_several_sends_are_used_together_or_not_at_all():
    budget = RetryBudgets(0, 5, WINDOW).of('a')
    assert not budget.acquire(0, 6)
    assert budget.acquire(0, 3)
    assert not budget.acquire(0, 2)
    assert budget.acquire(0)


def test_used_sends_come_back_when_the_window_has_passed():
    budget = RetryBudgets(0, 2, WINDOW).of('a')
    assert budget.acquire(0)
    assert not budget.acquire(WINDOW - 0.1)
    assert budget.acquire(WINDOW)
