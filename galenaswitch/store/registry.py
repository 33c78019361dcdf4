"""Following a kind of object: a list, then its changes, again and again.

What is held never goes back to an older version. A listing that lacks an
object tells that it is gone, except shortly after an outage, in which
entries may have lapsed though their owners live.
"""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from galenaswitch.errors import (
    StoreError,
    StoreHistoryLostError,
)
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.client import Listing, StoredObject

# Longest wait of one watch in seconds where nothing else is told: each call
# is paid for, and a silent connection is found by its TCP probes.
WATCH_SECONDS = 5.0
# Pause in seconds after a failed call, doubled up to the longest pause.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.5
# Seconds after the store's return in which a lapsed entry may come back.
RETURN_SECONDS = 2.0
# Shortest outage in seconds in which entries can lapse: they do so after
# several heartbeats of a second or more.
LAPSE_OUTAGE_SECONDS = 2.0


class Change(NamedTuple):
    """One change of an object.

    :param stored: the object, as it was last when it was deleted.
    """

    stored: StoredObject
    deleted: bool


class Changes(NamedTuple):
    """Changes up to a revision, in their order."""

    revision: int
    changes: tuple[Change, ...]


class Registry(Protocol):
    """A store whose kinds can be listed and watched."""

    async def list_kind(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: str, revision: int, seconds: float) -> Changes:
        """Wait for changes of a kind after a revision."""


class ObjectCache:
    """Objects of one kind as this process knows them.

    >>> cache = ObjectCache()
    >>> cache.apply_listing(Listing(5, (StoredObject('k', 'a', 5, {}),)), 0)
    True
    >>> cache.apply_listing(Listing(4, ()), 0), sorted(cache.objects)
    (False, ['a'])
    """

    def __init__(self) -> None:
        """Start without objects."""
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self._returned_at = -RETURN_SECONDS
        self._lapsed: dict[str, float] = {}

    def record_store_return(self, now: float) -> None:
        """Note the end of an outage at a monotonic time in seconds."""
        self._returned_at = now

    def apply_listing(self, listing: Listing, now: float) -> bool:
        """Take a listing; tell whether anything changed."""
        if listing.revision < self.revision:
            return False
        self.revision = listing.revision
        present = {stored.name for stored in listing.objects}
        changed = [self._keep(stored) for stored in listing.objects]
        missing = set(self.objects) - present
        changed.extend(self._lapse(name, now) for name in missing)
        return any(changed)

    def apply_changes(self, changes: Changes, now: float) -> bool:
        """Take changes in their order; tell whether anything changed."""
        changed = False
        for change in changes.changes:
            name = change.stored.name
            if change.deleted:
                changed = self._lapse(name, now) or changed
            else:
                changed = self._keep(change.stored) or changed
        self.revision = max(self.revision, changes.revision)
        return changed

    def drop_expired(self, now: float) -> bool:
        """Forget what has not come back in time after an outage."""
        due = [name for name, until in self._lapsed.items() if until <= now]
        for name in due:
            self._lapsed.pop(name)
            self.objects.pop(name, None)
        return bool(due)

    def _keep(self, stored: StoredObject) -> bool:
        self._lapsed.pop(stored.name, None)
        held = self.objects.get(stored.name)
        if held and held.version >= stored.version:
            return False
        self.objects[stored.name] = stored
        return True

    def _lapse(self, name: str, now: float) -> bool:
        if name not in self.objects:
            return False
        until = self._returned_at + RETURN_SECONDS
        if until > now:
            self._lapsed.setdefault(name, until)
            return False
        self._lapsed.pop(name, None)
        self.objects.pop(name)
        return True


class Follower:
    """Keeps the objects of one kind up to date."""

    def __init__(
        self,
        store: Registry,
        kind: str,
        publish: Callable[[ObjectCache], None],
        coalesce_seconds: float = 0,
        find_watch_seconds: Callable[[], float] | None = None,
    ) -> None:
        """Call ``publish`` after each change of the objects held.

        :param coalesce_seconds: pause after changes, so that one call brings
            several.
        :param find_watch_seconds: returns the longest wait of a watch in
            seconds. A watch that the store has swallowed is seen only at its
            end.
        """
        self._find_watch_seconds = (
            find_watch_seconds or _find_default_watch_seconds
        )
        self._coalesce_seconds = coalesce_seconds
        self.cache = ObjectCache()
        self.listed = False
        self.reachable = True
        self._store = store
        self._kind = kind
        self._publish = publish
        self._pause = FIRST_PAUSE_SECONDS
        self._lost_at = 0.0

    async def follow(self) -> None:
        """List and watch, until cancelled."""
        while True:
            try:
                await self._list()
                await self._watch()
            except StoreHistoryLostError:
                get_logger().info('store_history_lost', kind=self._kind)
            except StoreError as error:
                self._note_failure(error)
                await asyncio.sleep(self._pause)
                self._pause = min(self._pause * 2, LONGEST_PAUSE_SECONDS)

    async def run_expiry(self) -> None:
        """Drop lapsed objects in time, until cancelled."""
        while True:
            await asyncio.sleep(FIRST_PAUSE_SECONDS)
            if self.reachable and self.cache.drop_expired(time.monotonic()):
                self._publish(self.cache)

    async def _list(self) -> None:
        listing = await self._store.list_kind(self._kind)
        self._note_success()
        changed = self.cache.apply_listing(listing, time.monotonic())
        if changed or not self.listed:
            self.listed = True
            self._publish(self.cache)

    async def _watch(self) -> None:
        revision = self.cache.revision
        while True:
            changes = await self._store.watch(
                self._kind,
                revision,
                self._find_watch_seconds(),
            )
            self._note_success()
            revision = changes.revision
            if self.cache.apply_changes(changes, time.monotonic()):
                self._publish(self.cache)
            if changes.changes:
                await asyncio.sleep(self._coalesce_seconds)

    def _note_success(self) -> None:
        self._pause = FIRST_PAUSE_SECONDS
        if self.reachable:
            return
        self.reachable = True
        now = time.monotonic()
        if now - self._lost_at >= LAPSE_OUTAGE_SECONDS:
            self.cache.record_store_return(now)
        get_logger().info(
            'store_regained',
            kind=self._kind,
            away_seconds=round(now - self._lost_at, 3),
        )

    def _note_failure(self, error: StoreError) -> None:
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
