"""Routes, services and keys of one version of the configuration."""

from enum import StrEnum
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from galenaswitch.connections.requests import InboundLimits

# Number of hashes, which spread a route's requests over its services.
HASH_RANGE = 18_446_744_073_709_551_616


class CallKind(StrEnum):
    """What may be done again for one request."""

    repeatable = 'repeatable'
    once = 'once'
    stream = 'stream'


class Split(NamedTuple):
    """Part of a route's requests that a service gets.

    :param weight: its part in relation to the other weights.
    """

    service: str
    weight: float


class StageSpec(NamedTuple):
    """Work that has to be done before a request can run.

    :param service: service that makes the results.
    :param after: numbers of the stages whose results it reads.
    :param result_bytes: approximate size of one result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """Where the requests of a host and path go.

    :param timeout: longest time in seconds that a request is kept.
    :param objective_seconds: time in seconds to the answer, or its first event.
    :param priority: 0 is the most urgent.
    :param attempts: most targets that one request may be sent to.
    :param max_event_gap_seconds: longest time in seconds between two events.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout: float
    objective_seconds: float
    priority: int
    splits: tuple[Split, ...]
    attempts: int
    stages: tuple[StageSpec, ...]
    anonymous: bool
    resumable: bool
    max_event_gap_seconds: float

    def pick_service(self, ident: str) -> str:
        """Return the service for a request, the same for equal ids."""
        if len(self.splits) == 1:
            return self.splits[0].service
        total = sum(split.weight for split in self.splits)
        point = xxh3_64_intdigest(ident.encode()) / HASH_RANGE * total
        for split in self.splits:
            point -= split.weight
            if point < 0:
                return split.service
        return self.splits[-1].service

    def final_stages(self) -> tuple[int, ...]:
        """Return the stages whose results the request itself reads."""
        read = {number for stage in self.stages for number in stage.after}
        return tuple(
            number for number in range(len(self.stages)) if number not in read
        )


class BatchLimits(NamedTuple):
    """How a target of a stage works on calls.

    :param slots: calls in progress at one time.
    :param batch_size: most work items in one call.
    :param call_overhead_seconds: time of a call without work items.
    :param work_item_seconds: approximate time of one work item.
    :param result_memory_bytes: room for results.
    :param retention_seconds: time for which a result is kept.
    """

    slots: int
    batch_size: int
    call_overhead_seconds: float
    work_item_seconds: float
    result_memory_bytes: float
    retention_seconds: float


class EngineLimits(NamedTuple):
    """What a model engine holds.

    :param slots: requests that it works on at one time.
    :param kv_cache_tokens: tokens of running requests and cached parts.
    """

    slots: int
    kv_cache_tokens: int


class Service(NamedTuple):
    """A set of equal targets.

    :param max_connections: connections that one target accepts in all.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    batches: BatchLimits | None = None


class Workspace(NamedTuple):
    """A customer.

    :param priority: goes before the route's, ``None`` when it has none.
    """

    name: str
    priority: int | None


class RouteTable(NamedTuple):
    """One version of the configuration, checked.

    :param version: the operator's number of it.
    :param routes: routes by host, the longest prefix first.
    :param workspaces: customers by their keys.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    checks_keys: bool
    limits: InboundLimits

    def find_batch_limits(self, service: str) -> BatchLimits | None:
        """Return how targets of a service work on calls."""
        found = self.services.get(service)
        return found.batches if found else None

    def find_engine_limits(self, service: str) -> EngineLimits | None:
        """Return what engines of a service hold."""
        found = self.services.get(service)
        return found.engine if found else None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


EMPTY_TABLE = RouteTable(0, {}, {}, {}, True, InboundLimits())


def order_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in hosts.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
