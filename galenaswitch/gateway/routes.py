"""Route table: routes, services and workspaces of one configuration.

A route table is checked and never changes. A new version of the configuration
makes a new table.
"""

import math
from enum import StrEnum
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from galenaswitch.connections.requests import InboundLimits

# Number of values of the 64-bit hash that spreads requests over services.
HASH_RANGE = 18_446_744_073_709_551_616


class CallKind(StrEnum):
    """Kind of a route's requests, which decides how they are retried.

    ``repeatable`` requests are idempotent. ``once`` requests are not retried
    when they may have run. ``stream`` requests are answered by a model engine
    with a stream of events.
    """

    repeatable = 'repeatable'
    once = 'once'
    stream = 'stream'


class Split(NamedTuple):
    """Share of a route's requests that goes to one service.

    :param weight: share of the service relative to the route's other weights.
    """

    service: str
    weight: float


class StageSpec(NamedTuple):
    """Stage that produces inputs of a request before the request runs.

    :param service: service that produces the stage's results.
    :param after: numbers of the earlier stages whose results the stage reads.
    :param result_bytes: approximate size of one result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Route(NamedTuple):
    """Rules for the requests to one host and path prefix.

    :param timeout: longest time in seconds until a request is answered.
    :param objective_seconds: latency objective: time in seconds until the
        answer, or until the first event of a stream.
    :param priority: priority of the route's requests, 0 for the most urgent.
    :param splits: services that share the route's requests.
    :param attempts: most targets to which one request is sent.
    :param stages: stages that run before a request for a generated answer.
    :param anonymous: whether the route accepts requests without an API key.
    :param resumable: whether another engine may resume a stream.
    :param max_event_gap_seconds: longest time in seconds between two events
        of a stream.
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
        """Return the service for a request id, by its hash and the weights."""
        if len(self.splits) == 1:
            return self.splits[0].service
        total = sum(split.weight for split in self.splits)
        share = xxh3_64_intdigest(ident.encode()) / HASH_RANGE * total
        for split in self.splits:
            share -= split.weight
            if share < 0:
                return split.service
        return self.splits[-1].service

    def final_stages(self) -> tuple[int, ...]:
        """Return the stages whose results only the request itself reads."""
        read = {number for stage in self.stages for number in stage.after}
        return tuple(
            number for number in range(len(self.stages)) if number not in read
        )


class BatchLimits(NamedTuple):
    """Limits and timings of the batches that one target of a stage runs.

    :param slots: most batches that a target runs at one time.
    :param batch_size: most work items in one batch.
    :param call_overhead_seconds: duration of a call apart from its work items.
    :param work_item_seconds: approximate duration of one work item.
    :param result_memory_bytes: memory of a target for results.
    :param retention_seconds: time for which a target keeps a result.
    """

    slots: int
    batch_size: int
    call_overhead_seconds: float
    work_item_seconds: float
    result_memory_bytes: float
    retention_seconds: float


class EngineLimits(NamedTuple):
    """Capacity of one model engine.

    :param slots: most requests that an engine runs at one time.
    :param kv_cache_tokens: tokens that the KV cache holds, for running
        requests and cached prompt parts together.
    """

    slots: int
    kv_cache_tokens: int


class ColdLimits(NamedTuple):
    """Limits of the cold targets of a service.

    :param rate: requests a second that a cold target takes from all VMs.
    :param start_seconds: longest time for which a target stays cold.
    """

    rate: float
    start_seconds: float


class Service(NamedTuple):
    """Service that a set of interchangeable targets provides.

    :param max_connections: most connections that one target accepts.
    :param engine: engine capacity, ``None`` unless the targets are engines.
    :param batches: batch limits, ``None`` unless the service runs stages.
    :param cold: limits of cold targets, ``None`` if they take all requests.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    batches: BatchLimits | None = None
    cold: ColdLimits | None = None

    def keep_limits(self, former: 'Service') -> 'Service':
        """Return the service with the former limits that it has no more."""
        return self._replace(
            engine=self.engine or former.engine,
            batches=self.batches or former.batches,
        )


class Workspace(NamedTuple):
    """Workspace of a customer.

    :param priority: priority that replaces the route's, ``None`` for none.
    """

    name: str
    priority: int | None


class RouteTable(NamedTuple):
    """Checked content of one version of the configuration.

    :param version: version number that the operator gave the configuration.
    :param routes: routes by host, the longest prefix first.
    :param services: services by name.
    :param workspaces: workspaces by API key.
    :param checks_keys: whether requests need a known API key.
    :param limits: size and time limits of callers' requests.
    :param applied_at: monotonic time in seconds at which the table came into
        force on this VM, minus infinity if it never did.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    checks_keys: bool
    limits: InboundLimits
    applied_at: float = -math.inf

    def keep_services(
        self, former: dict[str, Service], most: int
    ) -> 'RouteTable':
        """Return the table with services and limits that it has no more.

        :param former: services by name, those of earlier tables included.
        :param most: most services that only earlier tables have.
        """
        gone = [name for name in former if name not in self.services]
        services = {name: former[name] for name in gone[-most:]}
        for name, service in self.services.items():
            services[name] = service.keep_limits(former.get(name, service))
        return self._replace(services=services)

    def find_cold_limits(self, service: str) -> ColdLimits | None:
        """Return the limits of a service's cold targets, None for none."""
        found = self.services.get(service)
        return found.cold if found else None

    @property
    def engine_services(self) -> set[str]:
        """Names of the services whose targets are engines."""
        return {one.name for one in self.services.values() if one.engine}

    def find_batch_limits(self, service: str) -> BatchLimits | None:
        """Return the batch limits of a service, ``None`` if it has none."""
        found = self.services.get(service)
        return found.batches if found else None

    def find_engine_limits(self, service: str) -> EngineLimits | None:
        """Return the engine limits of a service, ``None`` if it has none."""
        found = self.services.get(service)
        return found.engine if found else None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


EMPTY_TABLE = RouteTable(0, {}, {}, {}, True, InboundLimits())


def order_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in hosts.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
