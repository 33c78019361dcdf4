"""Software versions at which the streams of each service may have begun.

VMs forget where streams began when all of them end at once. A record in the
store outlives that: it names the versions at which streams of a service may
have begun. While it names just one, every stream of the service began there,
also one that no VM remembers.

A target is used only once the record of its service names its version, so that
no stream begins at a version that isn't recorded. A record counts only in the
era of the store in which it was written: a store that was restored may have
lost a version that was added since, until
:mod:`galenaswitch.gateway.version_recovery` has made it complete again.
"""

import asyncio
import random
import time
from collections.abc import Callable, Collection, Iterable

from galenaswitch.errors import StoreConflictError, StoreError
from galenaswitch.gateway.version_documents import VersionRecord, is_named
from galenaswitch.gateway.version_knowledge import (
    RETENTION_SECONDS,
    ServiceVersion,
)
from galenaswitch.gateway.version_store import (
    FIRST_RETRY_SECONDS,
    MAX_RETRY_SECONDS,
    VERSION_KIND,
    VersionStore,
)
from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.cache import ObjectCache
from galenaswitch.store.objects import ABSENT
from galenaswitch.store.registry import Follower, WritableRegistry
from galenaswitch.store.versions import find_era

# Longest random pause in seconds, for each VM of the deployment, before a
# version is recorded. One VM writes it and the others read that.
PAUSE_SECONDS_PER_VM = 0.003
# Longest wait of one watch for records, which change rarely.
WATCH_SECONDS = 10.0
# Time in seconds that the VMs which follow the store have to record a version,
# before all others do.
FOLLOWER_WRITE_SECONDS = 1.5
# Time in seconds for which a version without targets stays admitted.
KEEP_SECONDS = 60.0
# Time in seconds after which no caller takes up a stream that began at a
# version whose targets are gone.
SETTLE_SECONDS = RETENTION_SECONDS
# Seconds between two reviews of the records by one VM, and the time for which
# a version stays marked as retiring before it is dropped.
REVIEW_SECONDS = 120.0
# Share by which the pauses between two reviews vary.
PAUSE_SPREAD = 0.5


class VersionRecords:
    """Records of the versions of services, and the targets they admit.

    :ivar stored: the records as the store has them.
    """

    def __init__(
        self,
        store: WritableRegistry,
        tasks: TaskGroup,
        publish: Callable[[], None],
        count_machines: Callable[[], int],
        *,
        first_start: bool,
        hears_follower: Callable[[], bool] | None = None,
    ) -> None:
        """Build records that haven't been read yet.

        :param publish: called when targets of more versions are admitted.
        :param count_machines: returns the number of VMs of the deployment.
        :param first_start: whether the deployment starts for the first time,
            so that no stream began before this process.
        :param hears_follower: whether another VM follows the store in place
            of this one, which leaves it to that VM to record a version, for a
            time.
        """
        self.follower = Follower(
            store,
            VERSION_KIND,
            self._apply_records,
            find_watch_seconds=lambda: WATCH_SECONDS,
        )
        self._hears_follower = hears_follower or _hears_none
        self.stored = VersionStore(store, tasks, first_start=first_start)
        self._tasks = tasks
        self._publish = publish
        self._count_machines = count_machines
        self._admitted: set[ServiceVersion] = set()
        self._missing: set[ServiceVersion] = set()
        self._recording = False
        self._listed: set[ServiceVersion] = set()
        self._listed_at: dict[ServiceVersion, float] = {}
        self._retiring_since: dict[ServiceVersion, float] = {}

    def admit(
        self, targets: Iterable[Target], services: Collection[str]
    ) -> list[Target]:
        """Return the targets at which streams may begin.

        The versions of all others are recorded in the background.

        :param services: services whose targets are engines.
        """
        listed = list(targets)
        engines = {
            (target.pool, target.version)
            for target in listed
            if target.pool in services
        }
        self._note_listed()
        self._listed = engines
        kept_since = time.monotonic() - KEEP_SECONDS
        self._admitted &= {
            one for one, at in self._listed_at.items() if at > kept_since
        }
        self._admitted |= self._find_named(engines - self._admitted)
        self.stored.knowledge.note(self._admitted)
        self._missing = engines - self._admitted
        if self._missing and not self._recording:
            self._recording = True
            self._tasks.start(self._record_missing())
        return [
            target
            for target in listed
            if (target.pool, target.version) not in self._missing
        ]

    async def find_only_version(self, service: str) -> str | None:
        """Return the version at which all streams of a service began.

        :returns: ``None`` when there may be several, or none is known.
        """
        try:
            await self.stored.read()
        except StoreError as error:
            get_logger().info(
                'versions_unknown', service=service, reason=str(error)
            )
            return None
        record, _ = self.stored.find(service)
        if record is None or not self.stored.is_complete(record):
            return None
        return record.versions[0] if len(record.versions) == 1 else None

    @property
    def is_writer(self) -> bool:
        """Whether no other VM follows the store in place of this one."""
        return not self._hears_follower()

    def find_incomplete(self) -> set[str]:
        """Return the services without a complete record of this era."""
        complete = {
            service
            for service, record in self._find_cached().items()
            if self.stored.is_complete(record)
        }
        return self.stored.knowledge.find_services() - complete

    async def complete(
        self,
        service: str,
        versions: set[str],
        before: dict[str, tuple[VersionRecord, int]],
        era: int,
    ) -> None:
        """Write the complete record of a service, unless it has changed.

        :param versions: versions at which all its streams began that the record
            may lack.
        :param before: records as they were read before.
        :param era: era of the store at that time.
        :raises StoreError: when the store doesn't answer, has another era, or
            a VM has written the record since.
        """
        if self.stored.era != era:
            raise StoreConflictError(self.stored.era)
        record, replaces = before.get(service, (None, ABSENT))
        needed = self._extend(record, versions)._replace(complete=True)
        if needed != record:
            await self.stored.write(service, needed, replaces)

    async def review(self) -> None:
        """Drop versions that are no longer in service, until cancelled.

        Nothing is dropped unless this VM has followed the store's targets for
        all of :data:`SETTLE_SECONDS`.
        """
        while True:
            await asyncio.sleep(
                REVIEW_SECONDS
                * random.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
            )
            try:
                await self.review_once()
            except StoreError as error:
                self.stored.observed_since = time.monotonic()
                get_logger().info('versions_unknown', reason=str(error))

    async def review_once(self) -> None:
        """Write the records that have changed since they settled.

        :raises StoreError: when the store doesn't answer.
        """
        await self.stored.read()
        self._note_listed()
        self._note_retiring()
        if self.stored.observed_since > time.monotonic() - SETTLE_SECONDS:
            return
        for service, (record, version) in tuple(self.stored.records.items()):
            settled = self._settle(service, record)
            if settled.versions and settled != record:
                await self.stored.write(service, settled, version)

    def _settle(self, service: str, record: VersionRecord) -> VersionRecord:
        """Return a record of the versions that are in service.

        It names all that this VM has listed, since a restore may have lost
        some that were admitted before. A version is marked as retiring first,
        so that a VM that lists one of its targets again notices before it is
        dropped.
        """
        now = time.monotonic()
        listed = {
            version for pool, version in self._listed_at if pool == service
        }
        versions = sorted(listed.union(record.versions))
        gone = {
            version
            for version in versions
            if self._listed_at.get((service, version), 0) < now - SETTLE_SECONDS
        }
        dropped = {
            version
            for version in gone
            if self._retiring_since.get((service, version), now)
            <= now - REVIEW_SECONDS
        }
        return VersionRecord(
            tuple(one for one in versions if one not in dropped),
            self.stored.era,
            complete=True,
            retiring=tuple(sorted(gone - dropped)),
        )

    def _note_listed(self) -> None:
        """Note that the versions listed so far are in service until now."""
        now = time.monotonic()
        self._listed_at = {
            one: at
            for one, at in self._listed_at.items()
            if at > now - SETTLE_SECONDS
        } | dict.fromkeys(self._listed, now)

    def _note_retiring(self) -> None:
        """Note since when this VM has seen versions marked as retiring."""
        now = time.monotonic()
        retiring = {
            (service, version)
            for service, (record, _) in self.stored.records.items()
            for version in record.retiring
        }
        self._retiring_since = {
            one: self._retiring_since.get(one, now) for one in retiring
        }

    def _apply_records(self, cache: ObjectCache) -> None:
        """Admit the targets whose versions the records of the store name."""
        self.stored.observe_era(find_era(cache.revision))
        for service, record in self._find_cached().items():
            self.stored.note_cached(service, record)
        admitted = self._find_named(self._missing)
        if admitted:
            self._admitted |= admitted
            self._missing -= admitted
            self._publish()

    def _find_cached(self) -> dict[str, VersionRecord]:
        """Return the records that the follower shows, by their service."""
        return {
            name: self.stored.decode(stored)
            for name, stored in self.follower.cache.objects.items()
        }

    def _find_named(self, versions: set[ServiceVersion]) -> set[ServiceVersion]:
        """Return those of some versions that need no write of a record.

        A record has to be of the current era, and one that marks a version as
        retiring would drop it unless it is written again.
        """
        cache = self.follower.cache
        era = find_era(cache.revision)
        if era < self.stored.era:
            return set()
        return {
            (service, version)
            for service, version in versions
            if service in cache.objects
            and is_named(
                self.stored.decode(cache.objects[service]),
                version,
                era,
            )
        }

    async def _wait_for_followers(self) -> None:
        """Wait while a VM that follows the store may record the versions.

        All VMs that may write wait for different times, so that one writes and
        the others read that.
        """
        longest_pause = PAUSE_SECONDS_PER_VM * self._count_machines()
        await asyncio.sleep(random.uniform(0, longest_pause))
        end = time.monotonic() + FOLLOWER_WRITE_SECONDS
        while (
            self._missing and self._hears_follower() and time.monotonic() < end
        ):
            await asyncio.sleep(FIRST_RETRY_SECONDS)

    async def _record_missing(self) -> None:
        """Record the versions of listed targets until all are admitted."""
        pause = FIRST_RETRY_SECONDS
        try:
            await self._wait_for_followers()
            while not await self._try_record():
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_SECONDS)
        finally:
            self._recording = False

    async def _try_record(self) -> bool:
        """Record the missing versions and return whether none is left."""
        if not self._missing:
            return True
        try:
            await self._record_once()
        except StoreError as error:
            get_logger().info(
                'versions_unrecorded',
                versions=sorted(self._missing),
                reason=str(error),
            )
        return not self._missing

    async def _record_once(self) -> None:
        """Record the missing versions, and admit their targets.

        :raises StoreError: when the store doesn't answer, or another VM has
            written a record meanwhile.
        """
        await self.stored.read()
        for service in sorted({service for service, _ in self._missing}):
            missing = {one for one in self._missing if one[0] == service}
            record, replaces = self.stored.find(service)
            needed = self._extend(record, {version for _, version in missing})
            if needed != record:
                await self.stored.write(service, needed, replaces)
            self._admitted |= missing
            self._missing -= missing
            self._publish()

    def _extend(
        self, record: VersionRecord | None, versions: set[str]
    ) -> VersionRecord:
        """Return the record that names more versions, in the current era."""
        if record is None:
            return VersionRecord(
                tuple(sorted(versions)),
                self.stored.era,
                self.stored.first_start,
            )
        return VersionRecord(
            tuple(sorted(versions.union(record.versions))),
            self.stored.era,
            self.stored.is_complete(record),
            tuple(one for one in record.retiring if one not in versions),
        )


def _hears_none() -> bool:
    """Stand for the duty of a VM that shares it with no other."""
    return False
