"""Requests of callers: before and during a stop of the VM, after a failure."""

import asyncio
import time
from unittest.mock import AsyncMock, Mock

import pytest
from structlog.testing import capture_logs

from galenaswitch.connections.errors import CallerGoneError
from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.requests import InboundRequest
from galenaswitch.errors import StoreUnavailableError
from galenaswitch.gateway.draining import Draining
from galenaswitch.gateway.handling import Gateway
from galenaswitch.gateway.routes import CallKind
from galenaswitch.operations.metrics import LocalMetrics, open_metrics
from galenaswitch.platform.headers import PlatformWire

REFUSED = 503
FAILED = 500
LATE = 504
OK = 200


@pytest.fixture
def handle(make_plain_runner, make_caller_request, make_table, writer, sender):
    """Return a function that sends one request to a gateway.

    The gateway may have to stop ``stops_after`` seconds later.
    """

    async def send(route, target, stops_after=None):
        table = make_table(route)
        gateway = Gateway(
            lambda: table,
            PlatformWire(),
            make_plain_runner(target),
            None,
            open_metrics(),
            sender.draining,
        )
        if stops_after is not None:
            gateway.drain_until(time.monotonic() + stops_after)
        head = make_caller_request(route).head
        request = InboundRequest(head, b'', time.monotonic(), True)
        await gateway.handle(request, writer)
        return writer.head

    return send


async def test_request_is_answered_without_a_stop(
    handle,
    make_route,
    scripted,
    make_answer,
):
    target = await scripted([make_answer()])
    head = await handle(make_route(CallKind.once), target)
    assert head.status == OK


@pytest.mark.parametrize(
    ('kind', 'stops_after'),
    [
        (CallKind.once, 0.7),
        # Its caller waits for 1.5 s, and could not learn whether it ran.
        (CallKind.once, 1.2),
        # How long a request of the route lasts was not measured.
        (CallKind.repeatable, 1.2),
        (CallKind.stream, 1.2),
    ],
)
async def test_request_that_may_outlast_the_stop_is_refused_at_once(
    handle,
    make_route,
    scripted,
    make_answer,
    kind,
    stops_after,
):
    target = await scripted([make_answer()])
    route = make_route(kind, objective_seconds=0.1)
    head = await handle(route, target, stops_after)
    assert head.status == REFUSED
    assert (b'Retry-After', b'0.05') in head.headers
    assert not target.requests


async def test_short_request_is_accepted_before_the_stop(
    handle,
    make_route,
    scripted,
    make_answer,
):
    target = await scripted([make_answer()])
    route = make_route(CallKind.once, objective_seconds=0.4)
    head = await handle(route, target, stops_after=2)
    assert head.status == OK


async def wait_for_a_cancelled_task(request, writer):
    """Wait for a task of others that is cancelled."""
    task = asyncio.ensure_future(asyncio.sleep(60))
    asyncio.get_running_loop().call_soon(task.cancel)
    await task


# Guards against a whole request that gets neither an answer nor a refusal.
@pytest.mark.parametrize(
    'run',
    [
        AsyncMock(side_effect=KeyError('a')),
        AsyncMock(side_effect=StoreUnavailableError('away')),
        wait_for_a_cancelled_task,
    ],
    ids=['bug', 'foreseen-elsewhere', 'cancelled-elsewhere'],
)
async def test_request_that_fails_unexpectedly_is_refused(
    make_route, make_caller_request, make_table, writer, run
):
    route = make_route(CallKind.once)
    table = make_table(route)
    metrics = LocalMetrics()
    plain = Mock(run=run)
    gateway = Gateway(
        lambda: table, PlatformWire(), plain, None, metrics, Draining()
    )
    head = make_caller_request(route).head
    with capture_logs() as lines:
        await gateway.handle(
            InboundRequest(head, b'', time.monotonic(), True), writer
        )
    assert writer.head.status == FAILED
    assert writer.finished
    assert metrics.dump()['request.internal-error'] == 1
    assert [line['event'] for line in lines] == [
        'request_failed',
        'request_ended',
    ]


# Guards against failures that look like callers who left.
async def test_request_of_a_caller_who_left_is_not_refused(
    make_route, make_caller_request, make_table, writer
):
    route = make_route(CallKind.once)
    table = make_table(route)
    metrics = LocalMetrics()
    plain = Mock(run=AsyncMock(side_effect=CallerGoneError('gone')))
    gateway = Gateway(
        lambda: table, PlatformWire(), plain, None, metrics, Draining()
    )
    head = make_caller_request(route).head
    with pytest.raises(CallerGoneError):
        await gateway.handle(
            InboundRequest(head, b'', time.monotonic(), True), writer
        )
    assert not writer.started
    assert metrics.dump() == {'caller_left': 1, 'caller_left.other_times': 1}


async def wait_for_ever(request, writer):
    """Wait as a request whose target never answers."""
    await asyncio.Event().wait()


@pytest.fixture
def open_endless_gateway(make_route, make_caller_request, make_table):
    """Return a function that opens a gateway whose requests wait for ever.

    It has measured a short one.
    """

    def make(metrics, kind=CallKind.once):
        route = make_route(kind, timeout=30.0)
        table = make_table(route)
        plain = Mock(run=wait_for_ever)
        draining = Draining()
        draining.durations.observe(make_caller_request(route), time.monotonic())
        return Gateway(
            lambda: table, PlatformWire(), plain, None, metrics, draining
        )

    return make


@pytest.fixture
def make_endless_request(make_route, make_caller_request):
    """Return a function that makes a request that may last 30 seconds."""

    def make():
        route = make_route(CallKind.once, timeout=30.0)
        head = make_caller_request(route, **{'X-Deadline-Ms': '30000'}).head
        return InboundRequest(head, b'', time.monotonic(), True)

    return make


# Guards against requests in progress that a stop of the process cuts off
# without an answer or a refusal.
@pytest.mark.parametrize(
    ('kind', 'before_stop'),
    [
        (CallKind.once, True),
        (CallKind.repeatable, True),
        (CallKind.repeatable, False),
    ],
)
async def test_request_in_progress_is_refused_before_the_process_stops(
    open_endless_gateway, make_endless_request, writer, kind, before_stop
):
    metrics = LocalMetrics()
    gateway = open_endless_gateway(metrics, kind)
    stop = time.monotonic() + 2
    if not before_stop:
        gateway.drain_until(stop)
    task = asyncio.create_task(gateway.handle(make_endless_request(), writer))
    await asyncio.sleep(0.05)
    if before_stop:
        gateway.drain_until(stop)
    with capture_logs() as lines:
        await asyncio.wait_for(task, stop - time.monotonic())
    assert writer.head.status == LATE
    assert writer.finished
    assert metrics.dump()['request.deadline-exceeded'] == 1
    cut, line = lines
    assert cut['event'] == 'stop_cut'
    assert line['run'] == 'unknown'
    assert line['detail'] == 'the process is stopping'


# Guards against requests that the end of the process cuts off, and that look
# like callers who left.
@pytest.mark.parametrize(
    ('stops_after', 'event'),
    [(0, 'request_cut_off'), (1, 'caller_left'), (None, 'caller_left')],
)
async def test_end_of_the_process_is_told_from_callers_who_left(
    open_endless_gateway, make_endless_request, writer, stops_after, event
):
    metrics = LocalMetrics()
    gateway = open_endless_gateway(metrics)
    task = asyncio.create_task(gateway.handle(make_endless_request(), writer))
    await asyncio.sleep(0)
    if stops_after is not None:
        gateway.drain_until(time.monotonic() + stops_after)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert metrics.dump() == {event: 1, f'{event}.other_times': 1}


async def answer_and_fail(request, writer):
    """Send a complete answer, and fail while cleaning up."""
    writer.start(AnswerHead(OK, ()), 0)
    writer.finish()
    raise KeyError('a')


# Guards against a complete answer that a later failure of its request breaks
# off while it's being sent.
async def test_complete_answer_is_kept_when_its_request_fails(
    make_route, make_caller_request, make_table, writer
):
    route = make_route(CallKind.once)
    table = make_table(route)
    plain = Mock(run=answer_and_fail)
    gateway = Gateway(
        lambda: table, PlatformWire(), plain, None, LocalMetrics(), Draining()
    )
    head = make_caller_request(route).head
    with capture_logs() as lines:
        await gateway.handle(
            InboundRequest(head, b'', time.monotonic(), True), writer
        )
    assert writer.head.status == OK
    assert writer.finished
    assert not writer.aborted
    assert lines[0]['event'] == 'request_failed'
