"""Requests that come while a VM stops: which are taken, which are refused."""

import time
from unittest.mock import Mock

import pytest

from galenaswitch.connections.requests import InboundRequest
from galenaswitch.draining.estimates import (
    MIN_SIMILAR_STREAMS,
    SILENCE_SECONDS,
)
from galenaswitch.draining.maxima import WINDOW_SECONDS
from galenaswitch.gateway.draining import Draining
from galenaswitch.gateway.handling import Gateway
from galenaswitch.gateway.routes import CallKind
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

REFUSED, OK = 503, 200
COMPLETE_STREAM = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\n'
    b'Content-Length: 16\r\n\r\nid: 1\ndata: t1\n\n'
)


@pytest.fixture
def draining(sender):
    """Return the draining of the VM whose sender the runners use."""
    return sender.draining


@pytest.fixture
def observe(make_caller_request, draining):
    """Return a function that measures a request of a route.

    Its size is the expected number of tokens of its answer.
    """

    def measure(route, queued, running, size=20):
        now = time.monotonic()
        request = make_caller_request(route, **make_usage(size))
        request = request._replace(started=now - running - queued)
        for _ in range(MIN_SIMILAR_STREAMS):
            draining.durations.observe(request, now - running)

    return measure


@pytest.fixture
def stop(draining):
    """Return a function that begins a stop.

    :param left: seconds until the process stops.
    :param noticed: whether the balancer knows of the stop.
    """

    def begin(left, *, noticed=True):
        now = time.monotonic()
        draining.stop_deadline = now + left
        draining.noticed_at = now if noticed else now + left

    return begin


def make_usage(size):
    """Return the header that names the expected tokens of an answer."""
    return {'X-Token-Usage': f'300,{size}'}


@pytest.fixture
def is_taken(make_caller_request, make_table, writer, draining):
    """Return a function that tells whether a gateway runs a request."""

    async def handle(route, size=20):
        table = make_table(route)
        taken = []

        async def run(*arguments):
            taken.append(arguments[0])

        runner = Mock(run=run)
        gateway = Gateway(
            lambda: table,
            PlatformWire(),
            runner,
            runner,
            LocalMetrics(),
            draining,
        )
        head = make_caller_request(
            route, **{'X-Deadline-Ms': '15000'}, **make_usage(size)
        ).head
        await gateway.handle(
            InboundRequest(head, b'', time.monotonic(), True), writer
        )
        return bool(taken)

    return handle


# Guards against streams that a stop takes and cuts, as they last longer than
# the objective of their route lets expect, and against sound ones that are
# refused since the objective is long.
@pytest.mark.parametrize('kind', [CallKind.stream, CallKind.repeatable])
@pytest.mark.parametrize('objective', [0.1, 0.4, 5.0])
@pytest.mark.parametrize(
    ('running', 'left', 'taken'),
    [(4.5, 4.2, False), (4.5, 7.25, True), (0.5, 4.2, True), (9, 7.25, False)],
)
async def test_measured_duration_decides_what_a_stop_takes(
    make_route,
    observe,
    is_taken,
    writer,
    stop,
    kind,
    objective,
    running,
    left,
    taken,
):
    route = make_route(kind, objective_seconds=objective, timeout=15.0)
    observe(route, 0, running)
    stop(left, noticed=kind is CallKind.repeatable)
    assert await is_taken(route) == taken
    assert writer.keep == taken


# Guards against a wait for a slot that is forgotten.
@pytest.mark.parametrize('kind', [CallKind.stream, CallKind.repeatable])
async def test_time_in_the_queue_counts(
    make_route, observe, is_taken, stop, kind
):
    route = make_route(kind, timeout=15.0)
    observe(route, 3.0, 0.8)
    stop(4, noticed=kind is CallKind.repeatable)
    assert not await is_taken(route)


# Guards against an answer that is longer than those that were measured.
@pytest.mark.parametrize(
    ('size', 'taken'), [(5, True), (20, True), (31, True), (64, False)]
)
async def test_larger_answers_are_expected_to_last_longer(
    make_route, observe, is_taken, stop, size, taken
):
    route = make_route(CallKind.stream, timeout=15.0)
    observe(route, 0, 1.5)
    stop(3, noticed=False)
    assert await is_taken(route, size) == taken


# Guards against requests that get a target late in a stop, after a wait, and
# are cut.
# Late in a stop, similar streams don't bound it.
@pytest.mark.parametrize(
    ('running', 'noticed', 'taken'),
    [
        (4.5, False, False),
        (1.0, False, True),
        (None, False, False),
        (1.0, True, False),
        (None, True, False),
    ],
)
async def test_waiting_stream_is_refused_before_its_target_gets_it(
    make_route,
    scripted,
    run_stream,
    observe,
    stop,
    writer,
    running,
    noticed,
    taken,
):
    route = make_route(CallKind.stream, timeout=15.0)
    if running:
        observe(route, 0, running)
    stop(3, noticed=noticed)
    target = await scripted([COMPLETE_STREAM])
    headers = {'X-Deadline-Ms': '15000', **make_usage(20)}
    if taken:
        await run_stream(route, target, **headers)
        assert writer.finished
        return
    with pytest.raises(RefusedError) as caught:
        await run_stream(route, target, **headers)
    assert (caught.value.reason, caught.value.run) == (
        Reason.not_ready,
        ExecutionState.not_run,
    )
    assert not target.requests


async def test_waiting_plain_request_is_refused_before_its_target_gets_it(
    make_route,
    scripted,
    make_plain_runner,
    make_answer,
    make_caller_request,
    observe,
    draining,
    writer,
):
    route = make_route(CallKind.repeatable, timeout=15.0)
    observe(route, 0, 4.5, size=0)
    draining.stop_deadline = time.monotonic() + 3
    target = await scripted([make_answer()])
    request = make_caller_request(route, **{'X-Deadline-Ms': '15000'})
    with pytest.raises(RefusedError) as caught:
        await make_plain_runner(target).run(request, writer)
    assert caught.value.run is ExecutionState.not_run
    assert not target.requests


# Guards against runners that don't measure what they complete.
async def test_complete_stream_is_measured(
    make_route, scripted, run_stream, make_caller_request, draining
):
    route = make_route(CallKind.stream)
    target = await scripted([COMPLETE_STREAM])
    await run_stream(route, target)
    assert draining.durations.estimate(make_caller_request(route))


async def test_complete_plain_request_is_measured(
    make_route,
    scripted,
    make_plain_runner,
    make_answer,
    make_caller_request,
    draining,
    writer,
):
    route = make_route(CallKind.repeatable)
    target = await scripted([make_answer()])
    request = make_caller_request(route)
    await make_plain_runner(target).run(request, writer)
    assert draining.durations.estimate(request)


# Guards against a long request that is forgotten, and one that counts for ever.
def test_longest_request_counts_for_two_windows(
    make_route, make_caller_request, monkeypatch
):
    clock = Mock(monotonic=Mock(return_value=1000.0))
    monkeypatch.setattr('galenaswitch.gateway.durations.time', clock)
    request = make_caller_request(make_route(CallKind.stream))
    durations = Draining().durations
    found = []
    for running in (8.0, 1.0, 1.0, 1.0):
        now = clock.monotonic.return_value
        durations.observe(request._replace(started=now), now - running)
        found.append(durations.estimate(request).running)
        clock.monotonic.return_value += WINDOW_SECONDS + 1
    assert found == [8.0, 8.0, 1.0, 1.0]


# Guards against a sound target's silence that makes an answer too late.
async def test_silence_of_a_target_fits_before_the_stop(
    make_route, observe, is_taken, stop
):
    route = make_route(CallKind.repeatable, timeout=15.0)
    observe(route, 0, 1.0, size=0)
    stop(1.3 + SILENCE_SECONDS / 2)
    assert not await is_taken(route)


# Guards against refusals of callers that the balancer sends back to the VM, and
# against cut answers once it sends them elsewhere.
@pytest.mark.parametrize('kind', [CallKind.stream, CallKind.repeatable])
@pytest.mark.parametrize(('unnoticed', 'taken'), [(2.0, True), (0.0, False)])
async def test_margin_grows_when_the_balancer_has_noticed_the_stop(
    make_route, observe, is_taken, draining, kind, unnoticed, taken
):
    route = make_route(kind, timeout=15.0)
    observe(route, 0, 4.0)
    draining.stop_deadline = time.monotonic() + 5
    draining.noticed_at = time.monotonic() + unnoticed
    assert await is_taken(route) == taken


# Guards against a stream that is taken early by the odds of a few others, and
# costs its caller the whole answer. One that can be resumed goes on elsewhere.
@pytest.mark.parametrize('resumable', [True, False])
async def test_odds_of_a_lasting_loss_need_many_similar_streams(
    make_route, make_caller_request, draining, is_taken, stop, resumable
):
    route = make_route(CallKind.stream, timeout=15.0, resumable=resumable)
    request = make_caller_request(route, **make_usage(20))
    draining.durations.observe(request, time.monotonic() - 1)
    stop(7, noticed=False)
    assert await is_taken(route) == resumable
