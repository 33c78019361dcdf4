"""Decoders of the configuration and target documents in the object store.

Each field is decoded in one place. Some keys of the documents differ from the
terms of the code:

- ``tenants``: workspaces.
- ``pieces``: limits and timings of batches of work items.
- ``handle-s``: seconds for which a target retains a result.
- ``target-latency-ms``: objective for the time to the answer, or to the first
  event of a stream.
- ``target-itl-ms``: objective for the longest gap between two events.
- ``cold-left-ms``: time for which a target stays cold.
- ``cold-per-s``: requests a second that a cold target takes.
- ``cold-start-s``: longest time for which a target stays cold.
- ``born``: number that a target changes when it starts again.
- ``sequence``: number of a target's own reports since its start.
"""

import ipaddress
import re
import reprlib
from collections.abc import Callable
from typing import Any, TypeVar

from galenaswitch.connections.requests import InboundLimits
from galenaswitch.connections.sockets import split_address
from galenaswitch.errors import InvalidInputError
from galenaswitch.gateway.routes import (
    BatchLimits,
    CallKind,
    ColdLimits,
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
from galenaswitch.operations.logs import get_logger
from galenaswitch.platform.fields import (
    Document,
    check_range,
    check_type,
    read_number,
    read_text,
)
from galenaswitch.platform.headers import (
    DECODE_ERRORS,
    MEGABYTE,
    MILLISECONDS,
)
from galenaswitch.store.cache import WriterOrder

_CALL_KINDS = {
    'idempotent': CallKind.repeatable,
    'non_idempotent': CallKind.once,
    'streaming': CallKind.stream,
}
_TARGET_STATES = {'ready': LIVE, 'draining': LEAVING}
MAX_SLOTS = 65_536
# Longest time for which a target is cold, and largest rate of a cold one.
MAX_COLD_SECONDS = 3600.0
MAX_COLD_RATE = 1_000_000.0
# Targets that are remembered for a log line about their cold time, and most
# characters of what is logged of it.
MAX_REPORTED = 8192
MAX_LOGGED_FIELD = 40
# A name is sent as the value of a header.
_NAME = re.compile(r'[!-~]{1,256}')
Entry = TypeVar('Entry')


class PlatformDocuments:
    """Decoder that the state sync uses for documents of the object store."""

    def __init__(self) -> None:
        """Build a decoder that has read no document."""
        self._reported: dict[str, None] = {}

    def read_configuration(self, document: Any) -> RouteTable:
        """Decode and check a configuration document."""
        return read_configuration(document)

    def read_target(self, name: str, document: Any) -> Target:
        """Decode and check the document of a target."""
        return read_target(name, document)

    def read_configuration_order(self, document: Any) -> WriterOrder:
        """Decode the operator's version, empty when it can't be read.

        A configuration that is not valid comes before all valid ones.
        """
        try:
            return (read_configuration(document).version,)
        except InvalidInputError:
            return ()

    def read_cold_seconds(self, document: Any, name: str = '') -> float:
        """Decode for how long the target of a valid entry stays cold.

        A target serves also without a readable time, which is logged once.

        :param name: name of the target.
        """
        field = document.get('cold-left-ms')
        seconds = _read_cold_seconds(field)
        if seconds is None and name not in self._reported:
            self._reported[name] = None
            if len(self._reported) > MAX_REPORTED:
                self._reported.pop(next(iter(self._reported)))
            get_logger().warning(
                'cold_time_unreadable',
                target=name,
                found=reprlib.repr(field)[:MAX_LOGGED_FIELD],
            )
        return seconds or 0

    def read_target_order(self, document: Any) -> WriterOrder:
        """Decode the order of a target's entries, empty when it can't be read.

        An incarnation that has started to leave never returns to service.
        """
        try:
            return (
                read_number(document, 'born'),
                int(_TARGET_STATES[document['state']] == LEAVING),
                read_number(document, 'sequence'),
            )
        except DECODE_ERRORS:
            return ()


def read_configuration(document: Any) -> RouteTable:
    """Decode and check a configuration document.

    :raises InvalidInputError: when a field is missing or wrong. A
        configuration is applied as a whole or not at all.
    """
    try:
        return _read_route_table(document)
    except DECODE_ERRORS as error:
        raise InvalidInputError(
            f'configuration: {type(error).__name__} {error}',
        ) from error


def read_target(name: str, document: Any) -> Target:
    """Decode and check the document of a target.

    :raises InvalidInputError: when a field is missing or wrong, as after a
        torn write or a write by another program.
    """
    try:
        return _read_target_entry(name, document)
    except DECODE_ERRORS as error:
        raise InvalidInputError(
            f'target {name}: {type(error).__name__} {error}',
        ) from error


def _read_target_entry(name: str, document: Document) -> Target:
    if not _NAME.fullmatch(name):
        raise ValueError('the name is no header value')
    return Target(
        name=name,
        incarnation=f'{name}/{read_number(document, "born")}',
        zone=read_text(document, 'zone'),
        pool=read_text(document, 'service'),
        url=_read_address(document),
        state=_TARGET_STATES[document['state']],
        capacity=check_range(document['slots'], 1, MAX_SLOTS),
        version=read_text(document, 'version'),
    )


def _read_cold_seconds(field: Any) -> float | None:
    """Decode the time for which a target stays cold, 0 if it has none.

    :returns: ``None`` if it can't be read.
    """
    if field is None:
        return 0
    is_number = isinstance(field, (int, float)) and not isinstance(field, bool)
    if is_number and 0 <= field <= MAX_COLD_SECONDS * MILLISECONDS:
        return float(field) / MILLISECONDS
    return None


def _read_address(document: Document) -> str:
    """Return an address to which a connection can go, and to no other host."""
    address: str = check_type(document['address'], str)
    host, _ = split_address(address)
    parsed = ipaddress.IPv4Address(host)
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise ValueError(f'{host} is not the address of a host')
    return address


def _read_route_table(document: Document) -> RouteTable:
    services = _read_entries(document, 'services', _read_service)
    services_by_name = {service.name: service for service in services}
    routes = _read_entries(document, 'routes', _read_route)
    for route in routes:
        _check_services(route, services_by_name)
    workspaces: dict[str, Workspace] = {}
    if 'tenants' in document:
        for known in _read_entries(document, 'tenants', _read_workspace):
            workspaces.update(known)
    return RouteTable(
        version=check_type(document['version'], int),
        routes=order_routes(routes),
        services=services_by_name,
        workspaces=workspaces,
        checks_keys='tenants' in document,
        limits=_read_inbound_limits(document.get('limits', {})),
    )


def _read_entries(
    document: Document, field: str, read: Callable[[Document], Entry]
) -> list[Entry]:
    """Decode a list of entries; an error names the entry."""
    entries = []
    for number, entry in enumerate(document[field]):
        try:
            entries.append(read(entry))
        except DECODE_ERRORS as error:
            raise ValueError(
                f'{field}[{number}]: {type(error).__name__} {error}'
            ) from error
    return entries


def _read_workspace(document: Document) -> dict[str, Workspace]:
    workspace = Workspace(document['name'], document.get('priority'))
    return dict.fromkeys(document['api-keys'], workspace)


def _check_services(route: Route, services_by_name: dict[str, Service]) -> None:
    service_names = {split.service for split in route.splits}
    service_names.update(stage.service for stage in route.stages)
    missing = service_names - set(services_by_name)
    if missing:
        raise ValueError(f'route {route.name}: unknown service {min(missing)}')


def _read_inbound_limits(document: Document) -> InboundLimits:
    limits = InboundLimits()
    return InboundLimits(
        document.get('max-header-bytes', limits.max_header_bytes),
        document.get('max-body-bytes', limits.max_body_bytes),
        _read_seconds(
            document, 'header-timeout-ms', limits.header_timeout_seconds
        ),
        _read_seconds(document, 'idle-timeout-ms', limits.idle_timeout_seconds),
    )


def _read_seconds(document: Document, name: str, default: float) -> float:
    if document.get(name) is None:
        return default
    return float(document[name]) / MILLISECONDS


def _read_route(document: Document) -> Route:
    timeout = _read_seconds(document, 'timeout-ms', 0)
    return Route(
        name=document['name'],
        host=document['host'].lower(),
        prefix=document['path-prefix'],
        kind=_CALL_KINDS[document['kind']],
        timeout=timeout,
        objective_seconds=_read_seconds(document, 'target-latency-ms', timeout),
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
        max_event_gap_seconds=_read_seconds(document, 'target-itl-ms', 0),
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
        engine=_read_engine_limits(engine) if engine else None,
        batches=_read_batch_limits(work_items) if work_items else None,
        cold=_read_cold_limits(document),
    )


def _read_cold_limits(document: Document) -> ColdLimits | None:
    """Decode the limits of cold targets, ``None`` if there are none.

    :raises ValueError: when a value is out of range.
    """
    rate = float(document.get('cold-per-s') or 0)
    seconds = float(document.get('cold-start-s') or 0)
    if not 0 <= rate <= MAX_COLD_RATE or not 0 <= seconds <= MAX_COLD_SECONDS:
        raise ValueError(f'cold-per-s {rate}, cold-start-s {seconds}')
    return ColdLimits(rate, seconds) if rate else None


def _read_engine_limits(document: Document) -> EngineLimits:
    return EngineLimits(document['slots'], document['kv-capacity-tokens'])


def _read_batch_limits(document: Document) -> BatchLimits:
    return BatchLimits(
        slots=document['slots'],
        batch_size=document['batch'],
        call_overhead_seconds=document['call-overhead-ms'] / MILLISECONDS,
        work_item_seconds=document['item-time-ms'] / MILLISECONDS,
        result_memory_bytes=document['headroom-mb'] * MEGABYTE,
        retention_seconds=document['handle-s'],
    )
