"""State sync of a VM: configuration, targets and the list of VMs.

Each VM follows the store itself, so that no VM depends on another. An update
that the store delivers to only some VMs reaches the others through the exchange
between peers, where the newer version always wins.
"""

import asyncio
import time
from typing import Any, Protocol

from pydantic import TypeAdapter, ValidationError

from galenaswitch.configuration.catalog import Catalog, Item
from galenaswitch.configuration.relay import Relay
from galenaswitch.errors import (
    InvalidInputError,
    PeerError,
    StoreConflictError,
    StoreError,
)
from galenaswitch.gateway.routes import EMPTY_TABLE, RouteTable
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.links import LinkService, dial
from galenaswitch.membership.lists import Machine, MemberList, Target
from galenaswitch.membership.messages import ListQuestion
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.client import ABSENT, Listing, StoredObject
from galenaswitch.store.registry import (
    Follower,
    ObjectCache,
    WritableRegistry,
)

CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
TARGET_KIND = 'servers'
MACHINE_KIND = 'galena-vms'
# Changes of targets are collected for this many seconds and applied together.
# A leaving target may receive work for several times as long.
COALESCE_SECONDS = 0.4
# Longest duration in seconds of one watch for configurations. A VM that relays
# configurations in its zone uses less than the time within which a new
# configuration has to be in force. All other VMs receive configurations from
# the relays.
RELAY_WATCH_SECONDS = 1.5
NON_RELAY_WATCH_SECONDS = 20.0
# Seconds between two reads of the list of VMs, which changes rarely.
MACHINE_POLL_SECONDS = 3.0
# Seconds between two queries to the seeds while the store is unreachable, and
# between two attempts to register this VM in the store.
RETRY_PAUSE_SECONDS = 0.5
REPLY_TIMEOUT_SECONDS = 1.0
# Seconds between two comparisons of the clocks, and the smallest difference in
# seconds that counts as a suspension of the VM.
CLOCK_CHECK_SECONDS = 0.2
MIN_SUSPENSION_SECONDS = 0.5


_MACHINE = TypeAdapter(Machine)


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


class ActiveRouteTable:
    """Holds the route table of the configuration in force."""

    def __init__(self, documents: DocumentReader) -> None:
        """Build a route table that is empty until a configuration applies.

        :param documents: parses configurations.
        """
        self.current = EMPTY_TABLE
        self._documents = documents

    def apply(self, item: Item) -> None:
        """Bring a newer configuration into force, unless it is not valid."""
        try:
            table = self._documents.read_configuration(item.body)
        except InvalidInputError as error:
            get_logger().error(
                'configuration_rejected',
                revision=item.version,
                in_force=self.current.version,
                reason=str(error),
            )
            return
        self.current = table
        get_logger().info(
            'route_table_in_force',
            configuration=table.version,
            revision=item.version,
            routes=sum(len(routes) for routes in table.routes.values()),
            keys=len(table.workspaces),
        )


class StateSync:
    """Keeps a VM's state up to date from the store and from peers."""

    def __init__(
        self,
        store: WritableRegistry,
        documents: DocumentReader,
        directory: Directory,
        own: Machine,
        tasks: TaskGroup,
    ) -> None:
        """Build a state sync that updates ``directory`` and a route table.

        :param own: entry of this VM in the store.
        :param tasks: runs the background tasks.
        """
        self.route_table = ActiveRouteTable(documents)
        self.catalog = Catalog()
        self.relay: Relay | None = None
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
            ),
            Follower(
                store,
                TARGET_KIND,
                self._apply_targets,
                COALESCE_SECONDS,
            ),
        )
        self._follow_tasks: list[asyncio.Task[None]] = []

    @property
    def ready(self) -> bool:
        """Whether a configuration and at least one target are known."""
        return bool(
            self.route_table.current.version and self._directory.target_count
        )

    def use_relay(self, relay: Relay) -> None:
        """Exchange configurations with peers through ``relay``."""
        self.relay = relay

    def start(self) -> None:
        """Start the background tasks that follow the store."""
        self._restart_followers()
        for follower in self._followers:
            self._tasks.start_critical(follower.run_expiry())
        self._tasks.start_critical(self._poll_machines())
        self._tasks.start_critical(self._detect_suspension())

    def apply_items(self, message: Any) -> None:
        """Bring configurations into force that the relay accepted."""
        for item in message.items:
            self.route_table.apply(item)

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

    def _restart_followers(self) -> None:
        for task in self._follow_tasks:
            task.cancel()
        self._follow_tasks = [
            self._tasks.start(follower.follow()) for follower in self._followers
        ]

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
        """Return the longest duration of one watch for configurations."""
        if self.relay and not self.relay.relays:
            return NON_RELAY_WATCH_SECONDS
        return RELAY_WATCH_SECONDS

    def _apply_newer(self, items: tuple[Item, ...]) -> None:
        for item in self.catalog.accept(items):
            self.route_table.apply(item)

    def _apply_configuration(self, held: ObjectCache) -> None:
        items = tuple(
            Item(CONFIGURATION_KIND, stored.name, stored.version, stored.body)
            for stored in held.objects.values()
            if stored.name == CONFIGURATION_NAME
        )
        for item in items:
            known = self.catalog.find(item.kind, item.name)
            if known and known.version > item.version:
                get_logger().warning(
                    'configuration_ignored',
                    revision=item.version,
                    known_revision=known.version,
                )
        if self.relay:
            self.relay.has_read_store = True
            self.relay.accept(items)
        else:
            self._apply_newer(items)

    def _apply_targets(self, held: ObjectCache) -> None:
        targets = []
        for stored in held.objects.values():
            try:
                target = self._documents.read_target(stored.name, stored.body)
            except InvalidInputError as error:
                get_logger().info(
                    'target_unreadable',
                    target=stored.name,
                    revision=stored.version,
                    reason=str(error),
                )
                continue
            targets.append(target)
        self._directory.apply_targets(targets)

    async def _poll_machines(self) -> None:
        """Register this VM and read the list of VMs at regular intervals."""
        registered = False
        while True:
            try:
                listing = await self._store.list_kind(
                    MACHINE_KIND, stale=registered
                )
                registered = registered or await self._register(listing)
                self._apply_machines(listing)
            except StoreError as error:
                get_logger().info('machines_unknown', reason=str(error))
            await asyncio.sleep(
                MACHINE_POLL_SECONDS if registered else RETRY_PAUSE_SECONDS
            )

    async def _register(self, listing: Listing) -> bool:
        """Write this VM's store entry if it is missing or out of date.

        :returns: whether the store holds the current entry.
        """
        body = self._own._asdict()
        for stored in listing.objects:
            if stored.name != self._own.name:
                continue
            if stored.body == body:
                return True
            return await self._write_entry(body, stored.version)
        return await self._write_entry(body, ABSENT)

    async def _write_entry(self, body: dict[str, Any], replaces: int) -> bool:
        try:
            await self._store.write(
                MACHINE_KIND, self._own.name, body, replaces
            )
        except StoreConflictError as error:
            # An earlier write took effect, but its answer was lost. The next
            # list shows the entry.
            get_logger().info('entry_changed', reason=str(error))
            return False
        return True

    def _apply_machines(self, listing: Listing) -> None:
        machines = []
        for stored in listing.objects:
            machine = read_machine(stored)
            if machine:
                machines.append(machine)
        self._directory.apply_machines(machines)

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
                self._restart_followers()
            before = now


def read_machine(stored: StoredObject) -> Machine | None:
    """Return the VM of a store entry, ``None`` when the entry is not valid.

    Fields that a newer version adds are ignored.
    """
    body = stored.body if isinstance(stored.body, dict) else {}
    fields = {name: body[name] for name in Machine._fields if name in body}
    try:
        return _MACHINE.validate_python(fields)
    except ValidationError as error:
        get_logger().info(
            'machine_unreadable',
            machine=stored.name,
            reason=str(error),
        )
        return None


def _read_suspended_seconds() -> float:
    """Return the total time that the VM was suspended since it booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
