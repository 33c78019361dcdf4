"""List-and-watch client that keeps a local copy of the store's objects.

The copy of an object is never replaced by an older version. An object that is
missing from a listing is removed at once, except shortly after a store outage:
during the outage objects may have expired in the store although their owners
are alive, so the copy is kept for :data:`GRACE_SECONDS`.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from galenaswitch.errors import (
    StoreError,
    StoreHistoryLostError,
)
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.client import Listing, StoredObject

# Default for the longest wait of one watch call. The wait is long because each
# call to the store is billed; TCP keep-alive probes detect a dead connection.
WATCH_SECONDS = 5.0
# Pause before a failed store call is retried. It doubles with each failure up
# to the maximum.
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.5
# Time after the end of a store outage during which missing objects are kept,
# so that their owners can write them again.
GRACE_SECONDS = 2.0
# Shortest store outage during which objects can expire. The store expires an
# object after several missed heartbeats of its owner, which are sent at
# intervals of one second or more.
MIN_EXPIRY_OUTAGE_SECONDS = 2.0


class Change(NamedTuple):
    """One write or deletion of an object.

    :param stored: the written object, or the last version of a deleted one.
    :param deleted: whether the object was deleted.
    """

    stored: StoredObject
    deleted: bool


class Changes(NamedTuple):
    """Changes of objects in store order.

    :param revision: store revision that the changes lead up to.
    """

    revision: int
    changes: tuple[Change, ...]


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
    """Interface of a store with conditional writes as well."""

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


class ObjectCache:
    """Local copy of the store's objects of one kind.

    >>> cache = ObjectCache()
    >>> cache.apply_listing(Listing(5, (StoredObject('k', 'a', 5, {}),)), 0)
    True
    >>> cache.apply_listing(Listing(4, ()), 0), sorted(cache.objects)
    (False, ['a'])
    """

    def __init__(self) -> None:
        """Build an empty cache at revision 0."""
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self._store_returned_at = -GRACE_SECONDS
        self._expires_at: dict[str, float] = {}

    def record_store_return(self, now: float) -> None:
        """Record that a store outage has just ended.

        :param now: monotonic time in seconds.
        """
        self._store_returned_at = now

    def apply_listing(self, listing: Listing, now: float) -> bool:
        """Apply a full listing and return whether an object changed.

        A listing with an older revision than the cache is ignored.

        :param now: monotonic time in seconds.
        """
        if listing.revision < self.revision:
            return False
        self.revision = listing.revision
        present = {stored.name for stored in listing.objects}
        changed = [self._store_if_newer(stored) for stored in listing.objects]
        missing = set(self.objects) - present
        changed.extend(self._remove_or_defer(name, now) for name in missing)
        return any(changed)

    def apply_changes(self, changes: Changes, now: float) -> bool:
        """Apply changes in order and return whether an object changed.

        :param now: monotonic time in seconds.
        """
        changed = False
        for change in changes.changes:
            name = change.stored.name
            if change.deleted:
                changed = self._remove_or_defer(name, now) or changed
            else:
                changed = self._store_if_newer(change.stored) or changed
        self.revision = max(self.revision, changes.revision)
        return changed

    def drop_expired(self, now: float) -> bool:
        """Remove objects that the store no longer has.

        After an outage such objects stay cached for a grace period.

        :param now: monotonic time in seconds.
        :returns: whether an object was removed.
        """
        expired = [
            name
            for name, expires_at in self._expires_at.items()
            if expires_at <= now
        ]
        for name in expired:
            self._expires_at.pop(name)
            self.objects.pop(name, None)
        return bool(expired)

    def _store_if_newer(self, stored: StoredObject) -> bool:
        self._expires_at.pop(stored.name, None)
        cached = self.objects.get(stored.name)
        if cached and cached.version >= stored.version:
            return False
        self.objects[stored.name] = stored
        return True

    def _remove_or_defer(self, name: str, now: float) -> bool:
        if name not in self.objects:
            return False
        expires_at = self._store_returned_at + GRACE_SECONDS
        if expires_at > now:
            self._expires_at.setdefault(name, expires_at)
            return False
        self._expires_at.pop(name, None)
        self.objects.pop(name)
        return True


class Follower:
    """Keeps a cache of one kind of object up to date with list and watch."""

    def __init__(
        self,
        store: Registry,
        kind: str,
        publish: Callable[[ObjectCache], None],
        coalesce_seconds: float = 0,
        find_watch_seconds: Callable[[], float] | None = None,
    ) -> None:
        """Build a follower of one kind of object in ``store``.

        :param publish: receives the cache after each change of its objects.
        :param coalesce_seconds: pause after a change, so that the next watch
            call returns several changes at once.
        :param find_watch_seconds: returns the longest wait of a watch call in
            seconds. When the store loses a watch request, the follower notices
            it only at the end of this wait.
        """
        self._find_watch_seconds = (
            find_watch_seconds or _find_default_watch_seconds
        )
        self._coalesce_seconds = coalesce_seconds
        self.cache = ObjectCache()
        self.has_listing = False
        self.reachable = True
        self._store = store
        self._kind = kind
        self._publish = publish
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._lost_at = 0.0

    async def follow(self) -> None:
        """List and then watch the objects, until cancelled.

        After each failure the objects are listed again: at once when the store
        has dropped the requested history, and with exponential backoff after
        any other error.
        """
        while True:
            try:
                await self._list()
                await self._watch()
            except StoreHistoryLostError:
                get_logger().info(
                    'store_history_lost',
                    kind=self._kind,
                    revision=self.cache.revision,
                )
            except StoreError as error:
                self._record_failure(error)
                await asyncio.sleep(self._retry_seconds)
                self._retry_seconds = min(
                    self._retry_seconds * 2,
                    MAX_RETRY_SECONDS,
                )

    async def run_expiry(self) -> None:
        """Remove expired objects from the cache periodically, until cancelled.

        Nothing is removed while the store is unreachable.
        """
        while True:
            await asyncio.sleep(FIRST_RETRY_SECONDS)
            if self.reachable and self.cache.drop_expired(time.monotonic()):
                self._publish(self.cache)

    async def _list(self) -> None:
        listing = await self._store.list_kind(self._kind)
        self._record_success()
        if listing.revision < self.cache.revision:
            get_logger().warning(
                'listing_ignored',
                kind=self._kind,
                revision=listing.revision,
                cached_revision=self.cache.revision,
            )
        changed = self.cache.apply_listing(listing, time.monotonic())
        if changed or not self.has_listing:
            self.has_listing = True
            self._publish(self.cache)

    async def _watch(self) -> None:
        revision = self.cache.revision
        while True:
            changes = await self._store.watch(
                self._kind,
                revision,
                self._find_watch_seconds(),
            )
            self._record_success()
            revision = changes.revision
            if self.cache.apply_changes(changes, time.monotonic()):
                self._publish(self.cache)
            if changes.changes:
                await asyncio.sleep(self._coalesce_seconds)

    def _record_success(self) -> None:
        self._retry_seconds = FIRST_RETRY_SECONDS
        if self.reachable:
            return
        self.reachable = True
        now = time.monotonic()
        if now - self._lost_at >= MIN_EXPIRY_OUTAGE_SECONDS:
            self.cache.record_store_return(now)
        get_logger().info(
            'store_regained',
            kind=self._kind,
            away_seconds=round(now - self._lost_at, 3),
        )

    def _record_failure(self, error: StoreError) -> None:
        if not self.reachable:
            return
        self.reachable = False
        self._lost_at = time.monotonic()
        get_logger().warning(
            'store_lost',
            kind=self._kind,
            reason=str(error),
            revision=self.cache.revision,
        )


def _find_default_watch_seconds() -> float:
    return WATCH_SECONDS
