"""Checks of callers' requests: route, workspace, priority and deadlines."""

from galenaswitch.connections.requests import InboundRequest
from galenaswitch.gateway.calls import CallerRequest, RequestFields, Wire
from galenaswitch.gateway.routes import (
    CallKind,
    Route,
    RouteTable,
    Workspace,
)
from galenaswitch.refusals import Reason, RefusedError

# A caller abandons a stream without a first event after the longest of three
# times: a minimum in seconds, a multiple of the latency objective, and a
# multiple of the longest gap between events.
FIRST_BYTE_MIN_SECONDS = 2.0
FIRST_BYTE_OBJECTIVE_FACTOR = 4.0
FIRST_BYTE_GAP_FACTOR = 8.0


def check_request(
    request: InboundRequest,
    table: RouteTable,
    wire: Wire,
) -> CallerRequest:
    """Return a request with its route, workspace, priority and deadlines.

    :raises RefusedError: when no configuration is in force, no route matches,
        or the API key is missing or unknown.
    """
    fields = wire.read_request(request.head)
    if not table.version:
        raise RefusedError(Reason.not_ready)
    route = table.find_route(fields.host, fields.path)
    if route is None:
        raise RefusedError(Reason.unknown_path)
    workspace = _find_workspace(fields, route, table)
    timeout = route.timeout
    if fields.timeout is not None:
        timeout = min(timeout or fields.timeout, fields.timeout)
    priority = route.priority
    if workspace and workspace.priority is not None:
        priority = workspace.priority
    return CallerRequest(
        fields=fields,
        head=request.head,
        body=request.body,
        route=route,
        service=route.pick_service(fields.ident),
        workspace=workspace.name if workspace else '',
        priority=priority,
        started=request.received_at,
        deadline=request.received_at + timeout,
        objective_deadline=request.received_at + route.objective_seconds,
        first_byte_deadline=request.received_at
        + min(timeout, find_first_byte_timeout(route)),
    )


def find_first_byte_timeout(route: Route) -> float:
    """Return the seconds that callers wait for the first byte of an answer."""
    if route.kind is not CallKind.stream:
        return route.timeout
    return max(
        FIRST_BYTE_MIN_SECONDS,
        route.objective_seconds * FIRST_BYTE_OBJECTIVE_FACTOR,
        route.max_event_gap_seconds * FIRST_BYTE_GAP_FACTOR,
    )


def _find_workspace(
    fields: RequestFields,
    route: Route,
    table: RouteTable,
) -> Workspace | None:
    workspace = table.workspaces.get(fields.key)
    if workspace or not table.checks_keys:
        return workspace
    if route.anonymous and not fields.key:
        return None
    raise RefusedError(Reason.unauthorized)
