"""Findings in a configuration document, and differences between two.

A document with an error is never applied. One with a finding is applied, but
does not do what its writer may expect.
"""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from galenaswitch.connections.requests import InboundLimits
from galenaswitch.errors import InvalidInputError
from galenaswitch.gateway.routes import Route, RouteTable, Service
from galenaswitch.platform.documents import read_configuration
from galenaswitch.platform.fields import Document
from galenaswitch.platform.headers import DECODE_ERRORS

_KEYS_FIELD = 'api-keys'
_NAMED_LISTS = ('routes', 'services', 'tenants')
# Fields of a service's limits that must be at least 1, by the field that holds
# them.
_POSITIVE_FIELDS = {
    'engine': ('slots', 'kv-capacity-tokens'),
    'pieces': ('slots', 'batch', 'handle-s'),
}
# Limits of callers' requests with which no request is served.
_ZERO_LIMITS: dict[str, Callable[[InboundLimits], float]] = {
    'max-header-bytes': lambda limits: limits.max_header_bytes,
    'header-timeout-ms': lambda limits: limits.header_timeout_seconds,
    'idle-timeout-ms': lambda limits: limits.idle_timeout_seconds,
}


class Finding(NamedTuple):
    """What is wrong at one place of a document.

    :param place: path of the entry in the document.
    """

    place: str
    text: str


class Difference(NamedTuple):
    """Change of one field between two documents.

    :param place: path of the field, with the entry's name in place of its
        number.
    :param before: its content before, empty when it is new.
    :param after: its content afterwards, empty when it was removed.
    """

    place: str
    before: str
    after: str


def find_findings(document: Document) -> tuple[Finding, ...]:
    """Return what is wrong with a configuration document.

    An error of the decoder is the only finding.
    """
    try:
        table = read_configuration(document)
    except InvalidInputError as error:
        return (Finding('configuration', str(error)),)
    try:
        return (
            *_check_limits(table.limits),
            *_check_names(document),
            *_check_services(document),
            *_check_routes(document, table),
        )
    except DECODE_ERRORS as error:
        # The decoder takes any type for a number that it only passes on.
        text = f'{type(error).__name__} {error}'
        return (Finding('configuration', text),)


def find_version_finding(
    document: Document, in_force: Document
) -> tuple[Finding, ...]:
    """Return a finding if a version in force keeps a document from effect."""
    version, current = document['version'], in_force['version']
    if version > current:
        return ()
    text = f'{version} is not above {current}, which is in force'
    return (Finding('version', text),)


def find_differences(
    before: Document, after: Document
) -> tuple[Difference, ...]:
    """Return the differences between two valid documents.

    API keys are secret, so only their number is given.
    """
    old, new = _flatten_document(before), _flatten_document(after)
    return tuple(
        Difference(place, _mask(place, old), _mask(place, new))
        for place in sorted({*old, *new})
        if old.get(place) != new.get(place)
    )


def _check_limits(limits: InboundLimits) -> Iterator[Finding]:
    for name, read in _ZERO_LIMITS.items():
        if read(limits) <= 0:
            yield Finding(f'limits.{name}', 'no request is served with 0')
    if limits.max_body_bytes < 0:
        yield Finding('limits.max-body-bytes', 'the limit is negative')


def _list_entries(
    document: Document, field: str
) -> Iterator[tuple[str, Document]]:
    """Yield each entry of a list with its place."""
    for number, entry in enumerate(document.get(field, ())):
        yield f'{field}[{number}] ({entry["name"]})', entry


def _check_names(document: Document) -> Iterator[Finding]:
    """Find entries that replace earlier ones of the same name or key."""
    for field in ('routes', 'services'):
        seen: set[str] = set()
        for place, entry in _list_entries(document, field):
            if entry['name'] in seen:
                yield Finding(place, 'an earlier entry has this name')
            seen.add(entry['name'])
    owners: dict[str, str] = {}
    for place, entry in _list_entries(document, 'tenants'):
        for key in entry[_KEYS_FIELD]:
            owner = owners.setdefault(key, place)
            if owner != place:
                yield Finding(place, f'has an API key of {owner} too')


def _check_services(document: Document) -> Iterator[Finding]:
    for place, entry in _list_entries(document, 'services'):
        for group, fields in _POSITIVE_FIELDS.items():
            limits = entry.get(group) or {}
            for field in fields:
                if limits and limits[field] < 1:
                    yield Finding(place, f'{group}.{field} is {limits[field]}')


def _check_routes(document: Document, table: RouteTable) -> Iterator[Finding]:
    first: dict[tuple[str, str], str] = {}
    for place, entry in _list_entries(document, 'routes'):
        route = _find_route(entry, table)
        earlier = first.setdefault((route.host, route.prefix), place)
        if earlier != place:
            yield Finding(place, f'never matches: {earlier} comes first')
        if not route.prefix.startswith('/'):
            yield Finding(place, 'never matches: the prefix has no leading "/"')
        for text in (
            *_check_times(entry, route),
            *_check_weights(entry),
            *_check_stages(route, table.services),
        ):
            yield Finding(place, text)


def _find_route(entry: Document, table: RouteTable) -> Route:
    """Return the decoded route of an entry of the document."""
    address = (entry['name'], entry['path-prefix'])
    return next(
        route
        for route in table.routes[entry['host'].lower()]
        if (route.name, route.prefix) == address
    )


def _check_times(entry: Document, route: Route) -> Iterator[str]:
    attempts = entry.get('max-attempts')
    if attempts is not None and attempts < 1:
        yield f'max-attempts is {attempts}, so 1 is used'
    if route.timeout <= 0:
        yield 'timeout-ms is 0: no request is in time'
    elif route.objective_seconds > route.timeout:
        yield (
            f'target-latency-ms is over timeout-ms: {route.objective_seconds} s'
            f' and {route.timeout} s'
        )


def _check_weights(entry: Document) -> Iterator[str]:
    for split in entry.get('traffic-split') or ():
        if float(split['weight']) <= 0:
            yield f'traffic-split: {split["service"]} has no weight'


def _check_stages(route: Route, services: dict[str, Service]) -> Iterator[str]:
    for number, stage in enumerate(route.stages):
        name = f'stages[{number}] ({stage.service})'
        for earlier in stage.after:
            if not 0 <= earlier < number:
                yield f'{name}: after names {earlier}, which is no earlier one'
        limits = services[stage.service].batches
        if limits is None:
            yield f'{name}: the service runs no stages, it has no pieces'
        elif stage.result_bytes > limits.result_memory_bytes:
            yield (
                f'{name}: a result of {stage.result_bytes} bytes is larger than'
                f' the memory of a target ({limits.result_memory_bytes:.0f})'
            )


def _flatten_document(document: Document) -> dict[str, str]:
    """Return the fields of a document as texts, by their paths."""
    named = {
        f'{field}.{entry["name"]}': entry
        for field in _NAMED_LISTS
        for entry in document.get(field, ())
    }
    others = {
        field: content
        for field, content in document.items()
        if field not in _NAMED_LISTS
    }
    return dict(
        leaf
        for place, content in {**named, **others}.items()
        for leaf in _flatten(place, content)
    )


def _flatten(place: str, content: Any) -> Iterator[tuple[str, str]]:
    parts: dict[str, Any] = {}
    if place.endswith(f'.{_KEYS_FIELD}'):
        content = '\n'.join(sorted(content))
    elif isinstance(content, dict):
        parts = {f'{place}.{field}': part for field, part in content.items()}
    elif isinstance(content, list):
        parts = {f'{place}[{at}]': part for at, part in enumerate(content)}
    if not parts:
        yield place, str(content)
    for part_place, part in parts.items():
        yield from _flatten(part_place, part)


def _mask(place: str, flat: dict[str, str]) -> str:
    """Return the content of a field, or the number of API keys in it."""
    text = flat.get(place, '')
    if place.endswith(f'.{_KEYS_FIELD}'):
        return f'{len(text.splitlines())} keys'
    return text
