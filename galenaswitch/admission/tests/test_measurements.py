"""Measurements of engines, and what they leave open."""

import pytest

from galenaswitch.admission.measurements import EngineMeasurements


@pytest.fixture
def measured():
    """Return measurements of four slots and 0.5 s for each request."""
    measurements = EngineMeasurements()
    for number in range(40):
        ident = f'r{number % 4}'
        if number >= 4:
            measurements.record_first_event(ident, number / 8 - 0.4)
            measurements.end(ident, number / 8)
        measurements.begin(ident, 60, number / 8)
    return measurements


def test_rate_follows_from_durations_and_slots(measured):
    assert measured.find_rate(5.0) == pytest.approx(8, rel=0.1)
    assert measured.find_run_seconds(60) == pytest.approx(0.5)
    assert measured.first_seconds == pytest.approx(0.1)


# Guards against rejections by the rate of engines that are all lost: they may
# come back while there is time.
def test_nothing_is_known_while_no_request_runs(measured):
    for number in range(4):
        measured.drop(f'r{number}')
    assert measured.find_rate(5.0) is None


# Guards against rejections by what was measured long ago.
def test_old_measurements_tell_nothing(measured):
    assert measured.find_rate(30.0) is None


# Guards against a rate that counts what engines turn away at once.
def test_ends_without_a_first_event_are_not_measured(measured):
    rate = measured.find_rate(5.0)
    for number in range(100):
        measured.begin(f'refused{number}', 60, 5.0)
        measured.end(f'refused{number}', 5.0)
    assert measured.find_rate(5.0) == rate


# Guards against long answers that count for the duration of short ones.
def test_durations_are_told_apart_by_size(measured):
    measured.begin('long', 4000, 5.0)
    measured.record_first_event('long', 5.1)
    measured.end('long', 15.0)
    assert measured.find_run_seconds(4000) == 10.0
    assert measured.find_run_seconds(60) == pytest.approx(0.5)
    assert measured.find_run_seconds(100_000) == 0
