"""Entry of this VM in the store, and the list of all VMs."""

import asyncio
import random
import time

from pydantic import TypeAdapter, ValidationError

from galenaswitch.errors import StoreConflictError, StoreError
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.lists import Machine
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.cache import ObjectCache
from galenaswitch.store.objects import ABSENT, Listing, StoredObject
from galenaswitch.store.registry import Follower, WritableRegistry
from galenaswitch.store.unreadable import UnreadableLog

MACHINE_KIND = 'galena-vms'
# Seconds between two reads of the list of VMs while no VM tells of it, and the
# same in the first seconds of a process, as many VMs may start together.
POLL_SECONDS = 3.0
FIRST_POLL_SECONDS = 0.7
FIRST_SECONDS = 4.0
# Longest wait of one watch for VMs, whose list changes rarely.
WATCH_SECONDS = 10.0
# Seconds between two attempts to enter this VM in the store.
RETRY_PAUSE_SECONDS = 0.5
# Share by which the pauses vary, so that VMs that started together don't call
# the store together.
PAUSE_SPREAD = 0.3
# Changes of the list are collected for this many seconds and applied together.
COALESCE_SECONDS = 0.4
# Time in seconds for which a VM is kept that the store's list lacks. After a
# restore of the store, each VM enters itself again at its next poll.
GRACE_SECONDS = 3 * POLL_SECONDS

_MACHINE = TypeAdapter(Machine)


class MachineSync:
    """Keeps this VM's entry in the store, and the list of VMs up to date."""

    def __init__(
        self,
        store: WritableRegistry,
        directory: Directory,
        own: Machine,
    ) -> None:
        """Build a sync that has entered nothing yet.

        :param directory: receives the list of VMs.
        :param own: entry of this VM in the store.
        """
        self.follower = Follower(
            store,
            MACHINE_KIND,
            self._apply_cache,
            COALESCE_SECONDS,
            find_watch_seconds=lambda: WATCH_SECONDS,
        )
        self._started_at = time.monotonic()
        self._store = store
        self._directory = directory
        self._own = own
        self._registered_era: int | None = None
        self._seen: dict[str, tuple[Machine, float]] = {}
        self._shown: tuple[StoredObject, ...] = ()
        self._conflicts = False
        self._unreadable = UnreadableLog('machine')

    async def poll(self) -> None:
        """Enter this VM, and read the list of VMs while no VM tells of it."""
        while True:
            try:
                await self._read_if_needed()
            except StoreError as error:
                get_logger().info('machines_unknown', reason=str(error))
            await asyncio.sleep(
                self._find_pause()
                * random.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
            )

    def _find_pause(self) -> float:
        if not self._is_registered:
            return RETRY_PAUSE_SECONDS
        age = time.monotonic() - self._started_at
        return FIRST_POLL_SECONDS if age < FIRST_SECONDS else POLL_SECONDS

    async def _read_if_needed(self) -> None:
        """Read the list of VMs unless it is known and this VM is in it.

        :raises StoreError: when the store doesn't answer.
        """
        if self._is_registered and self.follower.reachable:
            self._forget_missing()
        else:
            await self._read()

    @property
    def _is_registered(self) -> bool:
        """Whether this VM is entered in the store's current era.

        A store that was restored may lack the entry.
        """
        return self._registered_era == self._store.era

    @property
    def _may_be_stale(self) -> bool:
        """Whether an older list of VMs is enough.

        One from before a restore may show an entry that the store has lost.
        """
        is_new = self._registered_era is None and not self._conflicts
        return self._is_registered or is_new

    async def _read(self) -> None:
        """Read the list of VMs, and enter this VM if it isn't entered.

        :raises StoreError: when the store doesn't answer.
        """
        listing = await self._store.list_kind(
            MACHINE_KIND, stale=self._may_be_stale
        )
        era = self._store.era
        if not self._is_registered and await self._register(listing):
            self._registered_era = era
        self._apply(listing.objects)

    async def _register(self, listing: Listing) -> bool:
        """Write this VM's store entry if it is missing or out of date.

        :returns: whether the store holds the current entry.
        """
        body = self._own._asdict()
        replaces = ABSENT
        for stored in listing.objects:
            if stored.name == self._own.name:
                if stored.body == body:
                    return True
                replaces = stored.version
        try:
            await self._store.write(
                MACHINE_KIND, self._own.name, body, replaces
            )
        except StoreConflictError as error:
            # An earlier write took effect, but its answer was lost. The next
            # list shows the entry.
            get_logger().info('entry_changed', reason=str(error))
            self._conflicts = True
            return False
        self._conflicts = False
        return True

    def _apply_cache(self, cache: ObjectCache) -> None:
        """Apply the list of VMs that the followers of the store show."""
        self._shown = tuple(cache.objects.values())
        self._apply(self._shown)

    def _apply(self, objects: tuple[StoredObject, ...]) -> None:
        """Apply the list of VMs, and keep those that were in it recently."""
        now = time.monotonic()
        for stored in objects:
            machine = read_machine(stored, self._unreadable)
            if machine:
                self._seen[machine.name] = (machine, now)
        self._forget_missing()

    def _forget_missing(self) -> None:
        """Forget the VMs that no list has shown for some time."""
        now = time.monotonic()
        shown = {stored.name for stored in self._shown}
        self._seen = {
            name: (machine, now if name in shown else seen_at)
            for name, (machine, seen_at) in self._seen.items()
            if name in shown or now - seen_at < GRACE_SECONDS
        }
        self._directory.apply_machines(
            [machine for machine, _ in self._seen.values()]
        )


def read_machine(
    stored: StoredObject, unreadable: UnreadableLog | None = None
) -> Machine | None:
    """Return the VM of a store entry, ``None`` when the entry is not valid.

    Fields that a newer version adds are ignored. An entry that names another
    VM is not valid.

    :param unreadable: logs an entry that is not valid, by default each time.
    """
    body = stored.body if isinstance(stored.body, dict) else {}
    fields = {name: body[name] for name in Machine._fields if name in body}
    unreadable = unreadable or UnreadableLog('machine')
    try:
        machine: Machine = _MACHINE.validate_python(fields)
    except ValidationError as error:
        unreadable.report(stored, str(error))
        return None
    if machine.name != stored.name:
        unreadable.report(stored, f'names {machine.name!r}')
        return None
    return machine
