"""Records of versions as the store has them, and the era of the store."""

import asyncio
import time
from collections.abc import Callable

from galenaswitch.errors import StoreConflictError, StoreError
from galenaswitch.gateway.version_documents import (
    VersionRecord,
    read_record,
)
from galenaswitch.gateway.version_knowledge import VersionKnowledge
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.objects import ABSENT, StoredObject
from galenaswitch.store.registry import WritableRegistry
from galenaswitch.store.unreadable import UnreadableLog
from galenaswitch.store.versions import find_era

VERSION_KIND = 'galena-versions'
FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 2.0


class VersionStore:
    """Reads and writes the records of one VM.

    :ivar records: records by service, with the revisions of their objects, as
        last read.
    :ivar knowledge: versions that this process knows, whatever the store has.
    :ivar era: newest era of the store that was observed, -1 before the first.
    :ivar observed_since: monotonic time from which on the store was neither
        restored nor out of reach.
    :ivar first_start: whether no stream began before this process, and no
        record can have been lost.
    :ivar on_restore: called with the new era when a store that this process
        knew in an earlier era was restored.
    """

    def __init__(
        self, store: WritableRegistry, tasks: TaskGroup, *, first_start: bool
    ) -> None:
        """Build the view of a store that hasn't been read yet.

        :param first_start: whether the deployment starts for the first time.
        """
        self.records: dict[str, tuple[VersionRecord, int]] = {}
        self.knowledge = VersionKnowledge(covers_all=first_start)
        self.era = -1
        self.observed_since = time.monotonic()
        self.first_start = first_start
        self.on_restore: Callable[[int], None] = _ignore_era
        self._store = store
        self._tasks = tasks
        self._read_lock = asyncio.Lock()
        self._read_at = 0.0
        self._reading = False
        self._unreadable = UnreadableLog('record')

    def decode(self, stored: StoredObject) -> VersionRecord:
        """Return the record of a store entry."""
        return read_record(stored, self._unreadable)

    def find(self, service: str) -> tuple[VersionRecord | None, int]:
        """Return the record of a service and its revision, as last read."""
        return self.records.get(service, (None, ABSENT))

    def is_complete(self, record: VersionRecord | None) -> bool:
        """Tell whether a record names all versions in the current era."""
        return record is not None and record.era == self.era and record.complete

    def observe_era(self, era: int) -> None:
        """Note the era of the store; one that is new may lack records."""
        if era <= self.era:
            return
        before = self.era
        self.era = era
        if before >= 0:
            self.first_start = False
            self.observed_since = time.monotonic()
            self.on_restore(era)

    def note_cached(self, service: str, record: VersionRecord) -> None:
        """Note a record that another VM may have told of.

        One that is complete is read from the store itself, unless this process
        knows already all that was used on its VM before.
        """
        self.knowledge.note_record(service, record)
        is_needed = not self.knowledge.covers(service)
        if is_needed and self.is_complete(record) and not self._reading:
            self._reading = True
            self._tasks.start(self._read_until_answered())

    async def read(self) -> None:
        """Read all records, with a call that starts after this one.

        :raises StoreError: when the store doesn't answer, or was restored
            meanwhile.
        """
        called_at = time.monotonic()
        async with self._read_lock:
            if self._read_at > called_at:
                return
            started_at = time.monotonic()
            listing = await self._store.list_kind(VERSION_KIND)
            self.observe_era(find_era(listing.revision))
            if find_era(listing.revision) < self.era:
                raise StoreConflictError(listing.revision)
            self.records = {
                stored.name: (self.decode(stored), stored.version)
                for stored in listing.objects
            }
            self._read_at = started_at
        for service, (record, _) in self.records.items():
            self.knowledge.note_read(service, record, self.era)

    async def write(
        self, service: str, record: VersionRecord, replaces: int
    ) -> None:
        """Write the record of a service unless another VM has written it.

        :param replaces: version of the record from which this one was made.
        :raises StoreError: when the store doesn't answer, has another version
            of the record, or was restored meanwhile.
        """
        version = await self._store.write(
            VERSION_KIND, service, record._asdict(), replaces
        )
        if {find_era(version), self.era} != {record.era}:
            raise StoreConflictError(version)
        _, known_version = self.find(service)
        if version > known_version:
            self.records[service] = (record, version)
        get_logger().info(
            'versions_recorded',
            service=service,
            versions=record.versions,
            complete=record.complete,
        )

    async def _read_until_answered(self) -> None:
        pause = FIRST_RETRY_SECONDS
        try:
            while not await self._try_read():
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)
        finally:
            self._reading = False

    async def _try_read(self) -> bool:
        """Read the records and return whether the store has answered."""
        try:
            await self.read()
        except StoreError as error:
            get_logger().info('versions_unknown', reason=str(error))
            return False
        return True


def _ignore_era(era: int) -> None:
    """Stand for a recovery of the records, where there is none."""
