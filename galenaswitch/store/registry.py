"""List-and-watch client that keeps a local copy of the store's objects."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Protocol

from galenaswitch.errors import (
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from galenaswitch.operations.logs import describe_error, get_logger
from galenaswitch.store.cache import Changes, ObjectCache
from galenaswitch.store.objects import Listing
from galenaswitch.store.versions import format_version
from galenaswitch.store.views import StoreView

# Default for the longest wait of one watch call. The wait is long because each
# call to the store is billed; TCP keep-alive probes detect a dead connection.
WATCH_SECONDS = 5.0
# Pause before a failed store call is retried. It doubles with each failure up
# to the maximum.
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.5
# Shortest store outage during which objects can expire. The store expires an
# object after several missed heartbeats of its owner, which are sent at
# intervals of one second or more.
MIN_EXPIRY_OUTAGE_SECONDS = 2.0


class Registry(Protocol):
    """Interface of a store whose objects can be listed and watched."""

    async def list_kind(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind.

        :param stale: whether the listing may lag behind the store's state.
        """

    async def watch(self, kind: str, revision: int, seconds: float) -> Changes:
        """Wait for changes of a kind after a revision.

        :param seconds: longest wait for the first change.
        """


class WritableRegistry(Registry, Protocol):
    """Interface of a store with conditional writes as well.

    :ivar era: era of the store, which rises when it is restored from a copy.
    """

    era: int

    async def write(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        replaces: int,
    ) -> int:
        """Write an object if its revision is still ``replaces``.

        :returns: the new revision.
        """

    async def remove(self, kind: str, name: str, revision: int) -> None:
        """Remove an object if its revision is still ``revision``."""


class Follower:
    """Keeps a cache of one kind of object up to date.

    The VM that follows the store lists and watches the objects; the others
    receive what it has seen.

    :ivar view: objects as the store shows them.
    :ivar on_listing: receives each listing that shows something else.
    :ivar on_changes: receives the revision before, and the changes.
    """

    def __init__(
        self,
        store: Registry,
        kind: str,
        publish: Callable[[ObjectCache], None],
        coalesce_seconds: float = 0,
        find_watch_seconds: Callable[[], float] | None = None,
        cache: ObjectCache | None = None,
        *,
        takes_stale: bool = True,
    ) -> None:
        """Build a follower of one kind of object in ``store``.

        :param publish: receives the cache after each change of its objects.
        :param coalesce_seconds: pause after a change, so that the next watch
            call returns several changes at once.
        :param find_watch_seconds: returns the longest wait of a watch call in
            seconds. When the store loses a watch request, the follower notices
            it only at the end of this wait.
        :param cache: empty cache to keep up to date, by default one that takes
            all that a restored store shows.
        :param takes_stale: whether the listing of :meth:`load` may be stale.
        """
        self._find_watch_seconds = (
            find_watch_seconds or _find_default_watch_seconds
        )
        self._coalesce_seconds = coalesce_seconds
        self.cache = cache or ObjectCache()
        self.view = StoreView()
        self.on_listing: Callable[[str, Listing], None] | None = None
        self.on_changes: Callable[[str, int, Changes], None] | None = None
        self.has_listing = False
        self.reachable = True
        self.kind = kind
        self._store = store
        self._takes_stale = takes_stale
        self._has_watch = False
        self._publish = publish
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._lost_at = 0.0
        self._is_unpublished = False
        self._fault = ''

    async def follow(self) -> None:
        """List and then watch the objects, until cancelled.

        After each failure the objects are listed again, with exponential
        backoff until a watch has succeeded.
        """
        while True:
            try:
                await self._list()
                await self._watch()
            except StoreHistoryLostError as error:
                get_logger().info(
                    'store_history_lost',
                    kind=self.kind,
                    reason=str(error),
                    revision=format_version(self.cache.revision),
                )
            except StoreError as error:
                self._record_failure(error)
            except Exception as error:
                self._has_watch = False
                self._log_fault(error)
            await self._pause()

    @property
    def is_current(self) -> bool:
        """Whether this VM watches the objects and the store answers it."""
        return self.reachable and self._has_watch

    async def load(self) -> None:
        """List the objects once, unless a peer tells of them before.

        The listing may be stale where the VMs that follow the store make up for
        it, which costs a tenth.
        """
        while not self.has_listing:
            try:
                await self._list(stale=self._takes_stale)
            except StoreError as error:
                self._record_failure(error)
                await self._pause()

    def drop_expired(self) -> None:
        """Remove expired objects from the cache.

        Nothing is removed while the store is unreachable.
        """
        if not self.reachable:
            return
        try:
            self._publish_if(self.cache.drop_expired(time.monotonic()))
        except Exception as error:
            self._log_fault(error)

    def record_contact(self, *, is_lost: bool) -> None:
        """Record whether this VM hears of the store through another VM."""
        self._has_watch = False
        if is_lost:
            self._record_failure(StoreUnavailableError('no VM follows it'))
        else:
            self._record_success()

    def receive_listing(self, listing: Listing) -> bool:
        """Apply a listing that another VM has seen, unless it is older.

        :returns: whether it showed something else.
        """
        if listing.revision < self.view.revision:
            return False
        return self._apply_listing(listing)

    def receive_changes(self, changes: Changes) -> None:
        """Apply changes that another VM has seen.

        :param changes: changes that begin at or before the view's revision.
        """
        self.view.apply(changes)
        self._publish_if(self.cache.apply_changes(changes, time.monotonic()))

    def advance(self, revision: int) -> None:
        """Record that the objects are the same at a later revision."""
        self.view.revision = max(self.view.revision, revision)
        self.cache.revision = max(self.cache.revision, revision)

    def _publish_if(self, changed: bool) -> None:
        """Publish the cache if it has changed since it was last published."""
        self._is_unpublished |= changed
        if self._is_unpublished:
            self._publish(self.cache)
            self._is_unpublished = False
            self._fault = ''

    def _log_fault(self, error: Exception) -> None:
        """Log an unexpected error, unless it repeats without a success."""
        if self._fault != repr(error):
            self._fault = repr(error)
            get_logger().error(
                'follow_failed', kind=self.kind, **describe_error(error)
            )

    async def _list(self, *, stale: bool = False) -> None:
        listing = await self._store.list_kind(self.kind, stale=stale)
        self._record_success()
        if listing.revision < self.cache.revision:
            get_logger().warning(
                'listing_ignored',
                kind=self.kind,
                revision=format_version(listing.revision),
                cached_revision=format_version(self.cache.revision),
            )
            return
        if self._apply_listing(listing) and self.on_listing and not stale:
            self.on_listing(self.kind, listing)

    def _apply_listing(self, listing: Listing) -> bool:
        """Apply a listing and return whether it shows something else."""
        is_news = self.view.replace(listing)
        changed = self.cache.apply_listing(listing, time.monotonic())
        self._is_unpublished |= not self.has_listing
        self.has_listing = True
        self._publish_if(changed)
        return is_news

    async def _watch(self) -> None:
        revision = self.cache.revision
        self._has_watch = True
        while True:
            asked_at = time.monotonic()
            changes = await self._store.watch(
                self.kind,
                revision,
                self._find_watch_seconds(),
            )
            self._record_success()
            self._apply_watched(revision, changes)
            revision = changes.revision
            if changes.changes:
                await asyncio.sleep(self._coalesce_seconds)
            elif time.monotonic() - asked_at < FIRST_RETRY_SECONDS:
                await self._pause()
                continue
            self._retry_seconds = FIRST_RETRY_SECONDS

    def _apply_watched(self, base: int, changes: Changes) -> None:
        """Apply the changes that a watch from a revision has shown.

        Another VM may have told of some of them meanwhile; all are applied in
        their order, which leads to the state at their end.
        """
        if changes.revision <= self.view.revision:
            return
        self.view.apply(changes)
        changed = self.cache.apply_changes(changes, time.monotonic())
        if changes.changes and self.on_changes:
            self.on_changes(self.kind, base, changes)
        self._publish_if(changed)

    async def _pause(self) -> None:
        """Pause before a call that follows one without news."""
        await asyncio.sleep(self._retry_seconds)
        self._retry_seconds = min(self._retry_seconds * 2, MAX_RETRY_SECONDS)

    def _record_success(self) -> None:
        if self.reachable:
            return
        self._retry_seconds = FIRST_RETRY_SECONDS
        self.reachable = True
        now = time.monotonic()
        if now - self._lost_at >= MIN_EXPIRY_OUTAGE_SECONDS:
            self.cache.record_store_return(now)
        get_logger().info(
            'store_regained',
            kind=self.kind,
            away_seconds=round(now - self._lost_at, 3),
        )

    def _record_failure(self, error: StoreError) -> None:
        self._has_watch = False
        if not self.reachable:
            return
        self.reachable = False
        self._lost_at = time.monotonic()
        get_logger().warning(
            'store_lost',
            kind=self.kind,
            reason=str(error),
            revision=format_version(self.cache.revision),
        )


def _find_default_watch_seconds() -> float:
    return WATCH_SECONDS
