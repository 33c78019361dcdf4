"""Waits of requests whose whole time is near the measured duration."""

import itertools

import pytest

from galenaswitch.admission.measurements import EngineMeasurements
from galenaswitch.admission.policy import (
    Conditions,
    Demand,
    MeasuredAdmission,
    find_longest_wait,
)

RATE = 24.0


@pytest.fixture
def conditions():
    """Return the conditions after 10 in 100 streams of 20 s, others of 1 s."""
    measured = EngineMeasurements()
    for number in range(200):
        began_at = number * 30
        measured.begin('one', 60, began_at)
        measured.record_first_event('one', began_at + 0.1)
        measured.end('one', began_at + (20 if number % 10 == 4 else 1))
    return Conditions(
        45, 45, RATE, RATE, RATE, RATE, 0.1, measured.find_run_seconds(60)
    )


# Guards against a request that is rejected since its whole time is slightly
# above the measured duration, while one with less time waits.
def test_more_time_never_shortens_the_wait(conditions):
    waits = [
        find_longest_wait(Demand(1, total, total, total), conditions)
        for total in range(1, 60)
    ]
    assert all(one <= two for one, two in itertools.pairwise(waits))


@pytest.mark.parametrize('total', [9, 10, 11, 12])
def test_requests_around_the_duration_wait(conditions, total):
    assert 9 < conditions.run_seconds < 11
    verdict = MeasuredAdmission().judge(
        Demand(1, total, total, total), conditions
    )
    assert verdict.is_admitted
