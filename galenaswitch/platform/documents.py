"""Documents in the platform's store: configuration and targets.

Each field is decoded once. ``target-latency-ms`` is the time to the answer
or its first event, ``target-itl-ms`` the longest pause between events.
"""

from typing import Any

from galenaswitch.connections.requests import InboundLimits
from galenaswitch.errors import InvalidInputError
from galenaswitch.gateway.routes import (
    BatchLimits,
    CallKind,
    EngineLimits,
    Route,
    RouteTable,
    Service,
    Split,
    StageSpec,
    Workspace,
    order_routes,
)
from galenaswitch.membership.lists import LEAVING, LIVE, Target
from galenaswitch.platform.headers import (
    MALFORMED,
    MEGABYTE,
    MILLISECONDS,
)

_KINDS = {
    'idempotent': CallKind.repeatable,
    'non_idempotent': CallKind.once,
    'streaming': CallKind.stream,
}
_STATES = {'ready': LIVE, 'draining': LEAVING}
Document = dict[str, Any]


class PlatformDocuments:
    """Reads the documents of the platform's store."""

    def read_configuration(self, document: Any) -> RouteTable:
        """Check a whole configuration."""
        return read_configuration(document)

    def read_target(self, name: str, document: Any) -> Target:
        """Check the entry of a target."""
        return read_target(name, document)


def read_configuration(document: Any) -> RouteTable:
    """Check a whole configuration.

    :raises InvalidInputError: naming what is missing or wrong; nothing of
        it may be used then.
    """
    try:
        return _read_table(document)
    except MALFORMED as error:
        raise InvalidInputError(
            f'configuration: {type(error).__name__} {error}',
        ) from error


def read_target(name: str, document: Any) -> Target:
    """Check the entry of a target.

    :raises InvalidInputError: when another writer or a torn write left
        something that names no target.
    """
    try:
        return _read_entry(name, document)
    except MALFORMED as error:
        raise InvalidInputError(
            f'target {name}: {type(error).__name__} {error}',
        ) from error


def _read_entry(name: str, document: Document) -> Target:
    address = _expect(document['address'], str)
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'address {address!r}')
    return Target(
        name=name,
        incarnation=f'{name}/{_expect(document.get("born", 0), int)}',
        zone=_expect(document['zone'], str),
        pool=_expect(document['service'], str),
        url=address,
        state=_STATES[document['state']],
        capacity=_expect(document['slots'], int),
    )


def _expect(field: Any, kind: type[Any]) -> Any:
    if not isinstance(field, kind) or isinstance(field, bool):
        raise TypeError(f'{field!r} is no {kind.__name__}')
    return field


def _read_table(document: Document) -> RouteTable:
    services = [_read_service(entry) for entry in document['services']]
    named = {service.name: service for service in services}
    routes = [_read_route(entry) for entry in document['routes']]
    for route in routes:
        _check_services(route, named)
    workspaces = {
        key: Workspace(entry['name'], entry.get('priority'))
        for entry in document.get('tenants', ())
        for key in entry['api-keys']
    }
    return RouteTable(
        version=_expect(document['version'], int),
        routes=order_routes(routes),
        services=named,
        workspaces=workspaces,
        checks_keys='tenants' in document,
        limits=_read_limits(document.get('limits', {})),
    )


def _check_services(route: Route, named: dict[str, Service]) -> None:
    wanted = {split.service for split in route.splits}
    wanted.update(stage.service for stage in route.stages)
    missing = wanted - set(named)
    if missing:
        raise ValueError(f'route {route.name}: no service {min(missing)}')


def _read_limits(document: Document) -> InboundLimits:
    limits = InboundLimits()
    return InboundLimits(
        document.get('max-header-bytes', limits.max_header_bytes),
        document.get('max-body-bytes', limits.max_body_bytes),
        _seconds(document, 'header-timeout-ms', limits.header_timeout_seconds),
        _seconds(document, 'idle-timeout-ms', limits.idle_timeout_seconds),
    )


def _seconds(document: Document, name: str, default: float) -> float:
    if document.get(name) is None:
        return default
    return float(document[name]) / MILLISECONDS


def _read_route(document: Document) -> Route:
    timeout = _seconds(document, 'timeout-ms', 0)
    return Route(
        name=document['name'],
        host=document['host'].lower(),
        prefix=document['path-prefix'],
        kind=_KINDS[document['kind']],
        timeout=timeout,
        objective_seconds=_seconds(document, 'target-latency-ms', timeout),
        priority=document.get('priority') or 0,
        splits=_read_splits(document),
        attempts=max(1, document.get('max-attempts') or 1),
        stages=tuple(
            StageSpec(
                stage['service'],
                tuple(stage.get('after') or ()),
                stage.get('bytes') or 0,
            )
            for stage in document.get('stages') or ()
        ),
        anonymous=bool(document.get('allow-anonymous')),
        resumable=bool(document.get('stream-resume')),
        max_event_gap_seconds=_seconds(document, 'target-itl-ms', 0),
    )


def _read_splits(document: Document) -> tuple[Split, ...]:
    split = document.get('traffic-split')
    if split:
        return tuple(
            Split(entry['service'], float(entry['weight'])) for entry in split
        )
    return (Split(document['service'], 1),)


def _read_service(document: Document) -> Service:
    engine = document.get('engine')
    work_items = document.get('pieces')
    return Service(
        name=document['name'],
        max_connections=document.get('max-connections') or 0,
        engine=_read_engine(engine) if engine else None,
        batches=_read_batches(work_items) if work_items else None,
    )


def _read_engine(document: Document) -> EngineLimits:
    return EngineLimits(document['slots'], document['kv-capacity-tokens'])


def _read_batches(document: Document) -> BatchLimits:
    return BatchLimits(
        slots=document['slots'],
        batch_size=document['batch'],
        call_overhead_seconds=document['call-overhead-ms'] / MILLISECONDS,
        work_item_seconds=document['item-time-ms'] / MILLISECONDS,
        result_memory_bytes=document['headroom-mb'] * MEGABYTE,
        retention_seconds=document['handle-s'],
    )
