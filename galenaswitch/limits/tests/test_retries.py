"""Tests of a retry budget over VMs that don't communicate."""

from hypothesis import given
from hypothesis import strategies as st

from galenaswitch.limits.retries import RetryBudgets

RATIO = 0.2
MIN_RETRIES = 58
WINDOW_SECONDS = 10


@given(
    st.lists(
        st.tuples(st.integers(0, 8), st.floats(0, 30), st.booleans()),
        max_size=400,
    ),
)
def test_sum_over_machines_stays_within_the_budget(events):
    machines = [
        RetryBudgets(RATIO, MIN_RETRIES, WINDOW_SECONDS) for _ in range(9)
    ]
    for budgets in machines:
        budgets.update_machine_count(len(machines))
    requests = []
    retry_times = []
    for number, now, is_retry in sorted(events, key=lambda event: event[1]):
        budget = machines[number].of('service')
        if is_retry and budget.acquire(now):
            retry_times.append(now)
        if not is_retry:
            budget.record_request(now)
            requests.append(now)
    for end in retry_times:
        retries_in_window = [
            at for at in retry_times if end - WINDOW_SECONDS < at <= end
        ]
        requests_in_window = [
            at for at in requests if end - WINDOW_SECONDS < at <= end
        ]
        assert (
            len(retries_in_window)
            <= RATIO * len(requests_in_window) + MIN_RETRIES
        )


def test_services_have_separate_retry_budgets():
    budgets = RetryBudgets(0, 10, WINDOW_SECONDS)
    while budgets.of('a').acquire(0):
        assert True
    assert budgets.of('b').acquire(0)


def test_several_retries_are_acquired_together_or_not_at_all():
    budget = RetryBudgets(0, 5, WINDOW_SECONDS).of('a')
    assert not budget.acquire(0, 6)
    assert budget.acquire(0, 3)
    assert not budget.acquire(0, 2)
    assert budget.acquire(0)


def test_retries_are_allowed_again_after_the_window():
    budget = RetryBudgets(0, 2, WINDOW_SECONDS).of('a')
    assert budget.acquire(0)
    assert not budget.acquire(WINDOW_SECONDS - 0.1)
    assert budget.acquire(WINDOW_SECONDS)
