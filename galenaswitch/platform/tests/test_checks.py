"""Checks of callers' requests: route, API key and deadlines."""

import pytest

from galenaswitch.gateway.checks import check_request
from galenaswitch.gateway.routes import (
    EMPTY_TABLE,
    CallKind,
    Split,
    order_routes,
)
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.refusals import Reason, RefusedError


def test_longest_prefix_wins(make_route):
    routes = [
        make_route(CallKind.once, name='short', prefix='/a/'),
        make_route(CallKind.once, name='long', prefix='/a/b/'),
    ]
    ordered = order_routes(routes)['h.example']
    assert [route.name for route in ordered] == ['long', 'short']


def test_equal_ids_get_the_same_service_of_a_split(make_route):
    route = make_route(
        CallKind.once,
        splits=(Split('x', 90), Split('y', 10)),
    )
    picked = [route.pick_service(str(number)) for number in range(1000)]
    assert picked == [route.pick_service(str(number)) for number in range(1000)]
    assert 50 < picked.count('y') < 150


def test_deadline_is_the_shorter_of_request_and_route_timeout(
    make_caller_request, make_route
):
    request = make_caller_request(make_route(CallKind.once, timeout=0.5))
    assert request.deadline - request.started == 0.5
    request = make_caller_request(make_route(CallKind.once, timeout=9))
    assert request.deadline - request.started == 1.5


@pytest.mark.parametrize(
    ('headers', 'reason'),
    [
        ({'Authorization': 'Bearer wrong'}, Reason.unauthorized),
        ({'Authorization': ''}, Reason.unauthorized),
        ({'Host': 'other.example'}, Reason.unknown_path),
    ],
)
def test_request_that_the_configuration_does_not_allow_is_refused(
    make_caller_request,
    make_route,
    headers,
    reason,
):
    with pytest.raises(RefusedError) as caught:
        make_caller_request(make_route(CallKind.once), **headers)
    assert caught.value.reason is reason


def test_anonymous_route_needs_no_key(make_caller_request, make_route):
    route = make_route(CallKind.once, anonymous=True)
    assert not make_caller_request(route, Authorization='').workspace


def test_request_without_a_configuration_is_refused_as_not_ready(
    make_caller_request,
    make_route,
):
    caller_request = make_caller_request(make_route(CallKind.once))
    request = type('Request', (), {'head': caller_request.head})()
    with pytest.raises(RefusedError) as caught:
        check_request(request, EMPTY_TABLE, PlatformWire())
    assert caught.value.response.status == 503


@pytest.mark.parametrize(
    ('objective', 'pause', 'deadline', 'seconds'),
    [
        (1.1, 0.3, 6000, 4.4),
        (0.3, 0.1, 6000, 2.0),
        (0.3, 0.4, 6000, 3.2),
        (1.9, 0.3, 6000, 6.0),
    ],
)
def test_first_byte_deadline_of_a_stream(
    make_caller_request,
    make_route,
    objective,
    pause,
    deadline,
    seconds,
):
    route = make_route(
        CallKind.stream,
        objective_seconds=objective,
        max_event_gap_seconds=pause,
        timeout=20,
    )
    request = make_caller_request(route, **{'X-Deadline-Ms': str(deadline)})
    assert request.first_byte_deadline - request.started == pytest.approx(
        seconds
    )
