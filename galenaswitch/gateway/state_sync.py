"""What a VM learns: configuration, targets and machines.

Each VM follows the store itself, so that none depends on another. What the
store tells only some of them reaches the others by the exchange between
peers, where a newer version always wins.
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
from galenaswitch.membership.links import Service, dial
from galenaswitch.membership.lists import Machine, MemberList, Target
from galenaswitch.membership.messages import ListQuestion
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.client import ABSENT, Listing, StoredObject
from galenaswitch.store.registry import Follower, HeldObjects, Registry

CONFIGURATION_KIND = 'config'
CONFIGURATION_NAME = 'main'
TARGET_KIND = 'servers'
MACHINE_KIND = 'galena-vms'
# Seconds in which changes of targets gather for one call; leaving targets
# may get work for several times as long.
COALESCE_SECONDS = 0.4
# Longest waits in seconds of watches for configurations: of the machines
# that pass them on in their zone, below the time in which they have to be in
# force, and of all others, which hear of them from these.
RELAY_WATCH_SECONDS = 1.5
NON_RELAY_WATCH_SECONDS = 20.0
# Seconds between two looks at the list of VMs, which changes rarely.
MACHINE_POLL_SECONDS = 3.0
# Seconds between two tries to learn from the seeds while the store is away.
RETRY_PAUSE_SECONDS = 0.5
REPLY_TIMEOUT_SECONDS = 1.0
# Seconds between two looks at the clocks, and the difference between them
# that shows that the VM was suspended.
CLOCK_CHECK_SECONDS = 0.2
MIN_SUSPENSION_SECONDS = 0.5


_MACHINE = TypeAdapter(Machine)


class DocumentReader(Protocol):
    """Reads the platform's documents."""

    def read_configuration(self, document: Any) -> RouteTable:
        """Check a configuration; raises ``InvalidInputError``."""

    def read_target(self, name: str, document: Any) -> Target:
        """Check the entry of a target; raises ``InvalidInputError``."""


class Store(Registry, Protocol):
    """The platform's store."""

    async def write(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        replaces: int,
    ) -> int:
        """Write an object if it is still at a revision."""


class ActiveRouteTable:
    """The configuration in force."""

    def __init__(self, documents: DocumentReader) -> None:
        """Start without configuration."""
        self.current = EMPTY_TABLE
        self._documents = documents

    def apply(self, item: Item) -> None:
        """Bring a newer configuration into force, if it can be read."""
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
    """Follows the store and levels with peers."""

    def __init__(
        self,
        store: Store,
        documents: DocumentReader,
        directory: Directory,
        own: Machine,
        tasks: TaskGroup,
    ) -> None:
        """Keep ``directory`` and the tables up to date."""
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
                find_wait=self._find_watch_seconds,
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
        """Whether configuration and targets are known."""
        return bool(
            self.route_table.current.version and self._directory.targets
        )

    def use_relay(self, relay: Relay) -> None:
        """Level configuration with peers through ``relay``."""
        self.relay = relay

    def start(self) -> None:
        """Begin to follow the store."""
        self._restart_followers()
        for follower in self._followers:
            self._tasks.start_duty(follower.settle())
        self._tasks.start_duty(self._poll_machines())
        self._tasks.start_duty(self._detect_suspension())

    def apply_items(self, message: Any) -> None:
        """Take what came from a peer into force."""
        for item in message.items:
            self.route_table.apply(item)

    async def sync_from_seeds(
        self,
        seeds: tuple[tuple[str, int], ...],
        service: Service,
    ) -> None:
        """Ask seeds for their list until the store has told its own."""
        while not self._directory.machines_told:
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
        service: Service,
    ) -> None:
        link = await dial(address, port, service)
        serving = self._tasks.start(link.serve())
        try:
            listed = await link.request(ListQuestion(), REPLY_TIMEOUT_SECONDS)
        finally:
            serving.cancel()
            link.close()
        if isinstance(listed, MemberList):
            self._directory.take_list(listed)

    def _find_watch_seconds(self) -> float:
        """Return the longest wait of a watch for configurations."""
        if self.relay and not self.relay.relays:
            return NON_RELAY_WATCH_SECONDS
        return RELAY_WATCH_SECONDS

    def _apply_newer(self, items: tuple[Item, ...]) -> None:
        for item in self.catalog.accept(items):
            self.route_table.apply(item)

    def _apply_configuration(self, held: HeldObjects) -> None:
        items = tuple(
            Item(CONFIGURATION_KIND, stored.name, stored.version, stored.body)
            for stored in held.objects.values()
            if stored.name == CONFIGURATION_NAME
        )
        if self.relay:
            self.relay.synced_store = True
            self.relay.accept(items)
        else:
            self._apply_newer(items)

    def _apply_targets(self, held: HeldObjects) -> None:
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
        self._directory.take_targets(targets)

    async def _poll_machines(self) -> None:
        """Enter this VM and look at the list again and again."""
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
        """Write this VM's own entry where it is missing or out of date."""
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
            # An earlier write whose answer was lost; the next list shows it.
            get_logger().info('entry_changed', reason=str(error))
            return False
        return True

    def _apply_machines(self, listing: Listing) -> None:
        machines = []
        for stored in listing.objects:
            machine = read_machine(stored)
            if machine:
                machines.append(machine)
        self._directory.take_machines(machines)

    async def _detect_suspension(self) -> None:
        """Learn anew after a suspension, in which the steady clock stood."""
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
    """Read the entry of a VM; ``None`` when another writer left no such.

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
    """Return the seconds that the steady clock has not counted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
