"""State sync of a VM: configuration, targets and the list of VMs.

Few VMs follow the store and pass on what it shows, see
:mod:`galenaswitch.following`. Configurations also reach VMs through the
exchange between peers, where the newer version always wins.

Configurations are ordered by the operator's own version, since the revisions of
a store that was restored say nothing about those of an earlier era.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Protocol

from galenaswitch.configuration.catalog import Catalog, Item
from galenaswitch.configuration.relay import Relay
from galenaswitch.errors import (
    InvalidInputError,
    PeerError,
)
from galenaswitch.following.following import Following
from galenaswitch.gateway.machine_sync import MachineSync
from galenaswitch.gateway.routes import EMPTY_TABLE, RouteTable
from galenaswitch.gateway.version_records import VersionRecords
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.links import LinkService, dial
from galenaswitch.membership.lists import Machine, MemberList, Target
from galenaswitch.membership.messages import ListQuestion
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.cache import (
    GRACE_SECONDS,
    ObjectCache,
    WriterOrder,
)
from galenaswitch.store.registry import Follower, WritableRegistry
from galenaswitch.store.unreadable import UnreadableLog
from galenaswitch.store.versions import format_version

CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
# Kind of the items that VMs exchange. It differs from the kind in the store,
# under which earlier builds exchange configurations by revision.
CONFIGURATION_ITEM_KIND = 'route-tables'
TARGET_KIND = 'servers'
# Changes of targets are collected for this many seconds and applied together.
# A leaving target may receive work for several times as long.
COALESCE_SECONDS = 0.4
# Time in seconds that a watch may take beyond the wait that it asks for, and to
# bring into force what the listing after it shows.
WATCH_MARGIN_SECONDS = 1.0
# Bounds in seconds of the longest wait of a watch, however short or long the
# time is for which a VM may be out of touch.
MIN_WATCH_SECONDS = 0.5
MAX_WATCH_SECONDS = 10.0
# Time in seconds for which a VM isn't in touch after a disruption, by default.
CONTACT_SECONDS = 3.0
# Most services of former configurations whose limits are kept for requests
# that began under them.
MAX_FORMER_SERVICES = 256
# Seconds between two queries to the seeds while the store is unreachable.
RETRY_PAUSE_SECONDS = 0.5
REPLY_TIMEOUT_SECONDS = 1.0
# Heartbeats after which the store removes the entry of a target that no longer
# writes.
EXPIRY_HEARTBEATS = 3
# Shortest time in seconds for which the known state of a target outlives an
# older one that a restored store shows.
MIN_DOUBT_SECONDS = 6.0
# Seconds between two comparisons of the clocks, and the smallest difference in
# seconds that counts as a suspension of the VM.
CLOCK_CHECK_SECONDS = 0.2
MIN_SUSPENSION_SECONDS = 0.5


class DocumentReader(Protocol):
    """Parses the documents of the platform's store."""

    def read_configuration(self, document: Any) -> RouteTable:
        """Return the route table of a configuration.

        :raises InvalidInputError: when the document is not valid.
        """

    def read_target(self, name: str, document: Any) -> Target:
        """Return the target of a store entry.

        :raises InvalidInputError: when the document is not valid.
        """

    def read_configuration_order(self, document: Any) -> WriterOrder:
        """Return the operator's order of a configuration, empty if unknown."""

    def read_cold_seconds(self, document: Any, name: str) -> float:
        """Return for how long the target of a valid entry stays cold."""

    def read_target_order(self, document: Any) -> WriterOrder:
        """Return a target's order of its own entry, empty if unknown."""


class ActiveRouteTable:
    """Holds the route table of the configuration in force.

    :ivar with_former_services: the same table, in which services that former
        configurations had are kept. Requests that are in progress use them.
    """

    def __init__(self, documents: DocumentReader) -> None:
        """Build a route table that is empty until a configuration applies.

        :param documents: parses configurations.
        """
        self.current = EMPTY_TABLE
        self._documents = documents
        self.with_former_services = EMPTY_TABLE

    def apply(self, item: Item) -> None:
        """Bring a newer configuration into force, unless it is not valid."""
        table = self.read(item.body)
        if table is None:
            return
        self.current = table._replace(applied_at=time.monotonic())
        self.with_former_services = self.current.keep_services(
            self.with_former_services.services, MAX_FORMER_SERVICES
        )
        get_logger().info(
            'route_table_in_force',
            configuration=table.version,
            routes=sum(len(routes) for routes in table.routes.values()),
            keys=len(table.workspaces),
        )

    def read(self, document: Any) -> RouteTable | None:
        """Return the route table of a configuration, ``None`` if not valid."""
        try:
            return self._documents.read_configuration(document)
        except InvalidInputError as error:
            get_logger().error(
                'configuration_rejected',
                in_force=self.current.version,
                reason=str(error),
            )
            return None


class StateSync:
    """Keeps a VM's state up to date from the store and from peers."""

    def __init__(
        self,
        store: WritableRegistry,
        documents: DocumentReader,
        directory: Directory,
        own: Machine,
        tasks: TaskGroup,
        heartbeat_seconds: float,
        *,
        first_start: bool = False,
        contact_seconds: float = CONTACT_SECONDS,
    ) -> None:
        """Build a state sync that updates ``directory`` and a route table.

        :param own: entry of this VM in the store.
        :param tasks: runs the background tasks.
        :param heartbeat_seconds: interval at which targets write their entries.
        :param first_start: whether the deployment starts for the first time.
        :param contact_seconds: time after the end of a disruption within which
            this VM has to notice that its watch was lost.
        """
        self._contact_seconds = contact_seconds
        self.route_table = ActiveRouteTable(documents)
        self.catalog = Catalog({CONFIGURATION_ITEM_KIND})
        self.relay: Relay | None = None
        self.following: Following | None = None
        self._store = store
        self._documents = documents
        self._directory = directory
        self._own = own
        self._tasks = tasks
        self._followers = (
            Follower(
                store,
                CONFIGURATION_KIND,
                self._apply_configuration,
                find_watch_seconds=self._find_watch_seconds,
                cache=ObjectCache(
                    lambda stored: documents.read_configuration_order(
                        stored.body
                    )
                ),
            ),
            Follower(
                store,
                TARGET_KIND,
                self._apply_targets,
                COALESCE_SECONDS,
                find_watch_seconds=self._find_watch_seconds,
                cache=ObjectCache(
                    lambda stored: documents.read_target_order(stored.body),
                    find_doubt_seconds(heartbeat_seconds),
                ),
            ),
        )
        self._machines = MachineSync(store, directory, own)
        self.versions = VersionRecords(
            store,
            tasks,
            self._publish_targets,
            directory.count_machines,
            first_start=first_start,
            hears_follower=self._hears_follower,
        )
        self._unreadable = UnreadableLog('target')
        self.on_entry: Callable[[Target, int, float], None] = lambda *_: None

    @property
    def ready(self) -> bool:
        """Whether a configuration and at least one target are known."""
        return bool(
            self.route_table.current.version and self._directory.target_count
        )

    def use_relay(self, relay: Relay) -> None:
        """Exchange configurations with peers through ``relay``."""
        self.relay = relay

    def use_following(self, following: Following) -> None:
        """Keep up to date through ``following``.

        Peers pass configurations on as versions of the operator, by the relay;
        all else they pass on as the store shows it.
        """
        self.following = following
        following.configurations = self.relay
        configurations, targets = self._followers
        following.add(configurations, is_shared=False)
        for follower in (
            targets,
            self._machines.follower,
            self.versions.follower,
        ):
            following.add(follower)

    def start(self) -> None:
        """Start the background tasks that follow the store."""
        if self.following:
            self.following.start()
        self._tasks.start_lasting(self._machines.poll)
        self._tasks.start_lasting(self.versions.review)
        self._tasks.start_lasting(self._detect_suspension)

    def apply_items(self, message: Any) -> None:
        """Bring configurations into force that the relay accepted."""
        for item in message.items:
            self._bring_into_force(item)

    async def sync_from_seeds(
        self,
        seeds: tuple[tuple[str, int], ...],
        service: LinkService,
    ) -> None:
        """Query seeds for their member list until the store returns its own."""
        while not self._directory.has_store_machines:
            for address, port in seeds:
                if address == self._own.address:
                    continue
                try:
                    await self._query_seed(address, port, service)
                except PeerError as error:
                    get_logger().info(
                        'seed_unreachable',
                        address=address,
                        reason=str(error),
                    )
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    def _hears_follower(self) -> bool:
        return self.following is not None and self.following.hears_follower

    async def _query_seed(
        self,
        address: str,
        port: int,
        service: LinkService,
    ) -> None:
        link = await dial(address, port, service)
        serving = self._tasks.start(link.serve())
        try:
            listed = await link.request(ListQuestion(), REPLY_TIMEOUT_SECONDS)
        finally:
            serving.cancel()
            link.close()
        if isinstance(listed, MemberList):
            self._directory.apply_peer_list(listed)

    def _find_watch_seconds(self) -> float:
        """Return the longest duration of one watch.

        A store that loses the answer to a watch says nothing more on it. The
        VM has to notice that before it counts as in touch again.
        """
        longest = self._contact_seconds - WATCH_MARGIN_SECONDS
        return max(MIN_WATCH_SECONDS, min(MAX_WATCH_SECONDS, longest))

    def _apply_configuration(self, held: ObjectCache) -> None:
        items = self._read_items(held)
        if self.relay:
            self.relay.has_read_store = True
            self.relay.accept(items)
        else:
            for item in self.catalog.accept(items):
                self._bring_into_force(item)
        for item in items:
            if self.catalog.correct(item):
                self._bring_into_force(item)

    def _bring_into_force(self, item: Item) -> None:
        """Apply a configuration, and admit targets by its engine services."""
        before = self.route_table.current.engine_services
        self.route_table.apply(item)
        if self.route_table.current.engine_services != before:
            self._publish_targets()

    def _publish_targets(self) -> None:
        """Apply the store's targets once more, if they are known."""
        follower = self._followers[1]
        if follower.has_listing:
            self._apply_targets(follower.cache)

    def _read_items(self, held: ObjectCache) -> tuple[Item, ...]:
        """Return the configuration in the store, if it is valid."""
        stored = held.objects.get(CONFIGURATION_NAME)
        table = self.route_table.read(stored.body) if stored else None
        if stored is None or table is None:
            return ()
        item = Item(
            CONFIGURATION_ITEM_KIND, stored.name, table.version, stored.body
        )
        known = self.catalog.find(item.kind, item.name)
        if known and known.version > item.version:
            get_logger().warning(
                'configuration_ignored',
                configuration=item.version,
                known=known.version,
                revision=format_version(stored.version),
            )
        return (item,)

    def _apply_targets(self, held: ObjectCache) -> None:
        targets = []
        for stored in held.objects.values():
            try:
                target = self._documents.read_target(stored.name, stored.body)
            except InvalidInputError as error:
                self._unreadable.report(stored, str(error))
                continue
            targets.append(target)
            left = self._documents.read_cold_seconds(stored.body, target.name)
            self.on_entry(target, stored.version, left)
        services = self.route_table.current.engine_services
        self._directory.apply_targets(self.versions.admit(targets, services))

    async def _detect_suspension(self) -> None:
        """Restart the watches after a suspension of the VM.

        The monotonic clock stands still while a VM is suspended, so timeouts
        don't detect a suspension.
        """
        before = _read_suspended_seconds()
        while True:
            await asyncio.sleep(CLOCK_CHECK_SECONDS)
            now = _read_suspended_seconds()
            if now - before > MIN_SUSPENSION_SECONDS:
                get_logger().warning(
                    'suspended', seconds=round(now - before, 3)
                )
                if self.following:
                    self.following.restart()
            before = now


def find_doubt_seconds(heartbeat_seconds: float) -> float:
    """Return how long a target's known state outlives an older one.

    A restored store may show the entry of a target that has left, until the
    entry expires.

    >>> find_doubt_seconds(1.2), find_doubt_seconds(5)
    (6.0, 17.0)
    """
    return max(
        MIN_DOUBT_SECONDS,
        EXPIRY_HEARTBEATS * heartbeat_seconds + GRACE_SECONDS,
    )


def _read_suspended_seconds() -> float:
    """Return the total time that the VM was suspended since it booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
