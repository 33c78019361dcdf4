"""Requests that arrive before and during the stop of a VM."""

import time

import pytest

from galenaswitch.connections.requests import InboundRequest
from galenaswitch.gateway.handling import Gateway
from galenaswitch.gateway.routes import CallKind
from galenaswitch.operations.metrics import open_metrics
from galenaswitch.platform.headers import PlatformWire

REFUSED = 503
OK = 200


@pytest.fixture
def handle(make_plain_runner, make_caller_request, make_table, writer):
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
    ('kind', 'objective', 'stops_after'),
    [
        (CallKind.once, 0.4, 0.7),
        (CallKind.stream, 1.1, 4.6),
    ],
)
async def test_request_that_may_outlast_the_stop_is_refused_at_once(
    handle,
    make_route,
    scripted,
    make_answer,
    kind,
    objective,
    stops_after,
):
    target = await scripted([make_answer()])
    route = make_route(kind, objective_seconds=objective)
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
