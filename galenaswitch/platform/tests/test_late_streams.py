"""Streams that come late in the stop of a VM: what bounds their time."""

import time
from unittest.mock import Mock

import pytest
from structlog.testing import capture_logs

from galenaswitch.draining.estimates import MIN_SIMILAR_STREAMS, EngineLoad
from galenaswitch.draining.paces import MIN_MEASUREMENTS
from galenaswitch.gateway.draining import Draining
from galenaswitch.gateway.routes import CallKind
from galenaswitch.refusals import RefusedError

# Seconds until the process stops.
LEFT_SECONDS = 4.15


@pytest.fixture
def draining():
    """Return the draining of a VM whose stop the balancer has noticed."""
    found = Draining()
    found.noticed_at = time.monotonic()
    found.stop_deadline = found.noticed_at + LEFT_SECONDS
    return found


@pytest.fixture
def measure_pace(draining, monkeypatch):
    """Return a function that measures streams at an engine of ``desk``.

    :param gap: seconds from one event to the next.
    :param load: streams that run at one time.
    """
    clock = Mock(monotonic=time.monotonic)
    monkeypatch.setattr('galenaswitch.draining.paces.time', clock)

    def measure(gap, load=1, engine='e1', prompt=300):
        now = time.monotonic() - 10
        for _ in range(MIN_MEASUREMENTS):
            clock.monotonic = Mock(return_value=now)
            found = draining.paces.get('desk', engine)
            streams = [found.begin(prompt, load) for _ in range(load)]
            for count in range(1, 12):
                clock.monotonic = Mock(return_value=now + gap * count)
                for stream in streams:
                    stream.record_events(count)
            for stream in streams:
                stream.end()
        clock.monotonic = time.monotonic

    return measure


@pytest.fixture
def make_request(make_route, make_caller_request):
    """Return a function that makes a stream that names a number of tokens."""

    def make(tokens, prompt=300):
        return make_caller_request(
            make_route(CallKind.stream, timeout=30.0),
            **{
                'X-Deadline-Ms': '30000',
                'X-Token-Usage': f'{prompt},{tokens}',
            },
        )

    return make


@pytest.fixture
def send_late(make_request, draining):
    """Return a function that tells whether a stream is sent to an engine.

    :param tokens: number of tokens that it names.
    :param load: streams at the engine with it.
    """

    def send(tokens, load=1, engine='e1', prompt=300, is_cold=False):
        try:
            most_load = draining.check_send(
                make_request(tokens, prompt), EngineLoad(engine, load, is_cold)
            )
        except RefusedError:
            return False
        stream = draining.paces.get('desk', engine).begin(prompt, load)
        stream.most_load = most_load
        return True

    return send


# Guards against streams that a stop takes since those before them were short,
# though they may be longer, and cuts.
@pytest.mark.parametrize(
    ('tokens', 'taken'), [(0, False), (20, True), (60, True), (648, False)]
)
def test_named_tokens_bound_a_stream_late_in_a_stop(
    make_request, draining, measure_pace, send_late, tokens, taken
):
    for _ in range(MIN_SIMILAR_STREAMS):
        draining.durations.observe(
            make_request(tokens), time.monotonic() - 0.44
        )
    measure_pace(0.022)
    assert send_late(tokens) == taken


# Guards against a sound engine's silence that makes a stream too late: it has
# to fit besides, here between 82 and 120 tokens.
@pytest.mark.parametrize(('tokens', 'taken'), [(80, True), (100, False)])
def test_silence_of_an_engine_fits_before_the_stop(
    measure_pace, send_late, tokens, taken
):
    measure_pace(0.022)
    assert send_late(tokens) == taken


# Guards against a pace at few requests that is expected at many, and against a
# stream that slows those that were taken before it.
def test_more_streams_than_measured_slow_each_other(measure_pace, send_late):
    measure_pace(0.022)
    taken = [send_late(20, load) for load in range(1, 31)]
    assert taken == [load <= 3 for load in range(1, 31)]


def test_stream_is_refused_that_would_slow_longer_ones(measure_pace, send_late):
    measure_pace(0.022)
    assert send_late(60)
    assert not send_late(20, load=2)
    assert send_late(20, load=2, engine='e2')


@pytest.mark.parametrize('load', [1, 6])
def test_pace_at_the_highest_load_holds_for_lower_ones(
    measure_pace, send_late, load
):
    measure_pace(0.02)
    measure_pace(0.1, load=6)
    assert not send_late(20, load)
    assert send_late(16, load)


# Guards against an engine that is taken for another one, or for one that has
# been up for longer, and against a longer prompt than all measured ones.
@pytest.mark.parametrize(
    ('changes', 'taken'),
    [
        ({}, True),
        ({'engine': 'slow'}, False),
        ({'engine': 'unknown'}, False),
        ({'is_cold': True}, False),
        ({'prompt': 30_000}, False),
    ],
)
def test_pace_of_the_engine_and_prompt_counts(
    measure_pace, send_late, changes, taken
):
    measure_pace(0.022)
    measure_pace(0.2, engine='slow')
    assert send_late(20, **changes) == taken


# Guards against a promise from measurements that are too few or too old.
@pytest.mark.parametrize(('age', 'taken'), [(0, True), (130, False)])
def test_old_pace_promises_nothing(
    measure_pace, send_late, monkeypatch, age, taken
):
    measure_pace(0.022)
    later = Mock(monotonic=lambda: time.monotonic() + age)
    monkeypatch.setattr('galenaswitch.draining.paces.time', later)
    assert send_late(20) == taken


def test_process_that_has_just_started_promises_nothing(send_late):
    assert not send_late(1)


# Guards against a wait for an engine until it is too late for the stream.
def test_wait_for_an_engine_ends_while_the_stream_fits(
    make_request, draining, measure_pace
):
    request = make_request(20)
    assert Draining().find_send_time(request) == float('inf')
    measure_pace(0.022)
    assert 1.5 < draining.find_send_time(request) < 2.9


# Guards against decisions of a stop that its logs don't explain.
def test_stop_logs_what_it_decides_and_cuts(
    make_request, draining, measure_pace
):
    request = make_request(20)
    measure_pace(0.022)
    with capture_logs() as lines:
        draining.check_send(request, EngineLoad('e1', 1, is_cold=False))
        draining.log_cut(request)
        draining.forget(request)
        draining.log_cut(request)
    decided, cut, unknown = lines
    assert (decided['taken'], decided['basis']) == (True, 'tokens')
    assert decided['event_seconds'] == pytest.approx(0.022)
    assert (cut['expected'], cut['tokens']) == (decided['expected'], 20)
    assert unknown['basis'] == 'before-stop'
