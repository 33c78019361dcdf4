"""Local copy of the store's objects of one kind.

Within an era of the store, the version of an object orders its contents. A
store that was restored shows older contents with newer versions until their
writers write again, so across eras the writer's own counter orders them: what
this VM knows is kept until the store shows something as new.

An object that is missing from a listing is removed at once, except shortly
after a store outage or a restore: during the outage objects may have expired in
the store although their owners are alive, so the copy is kept for
:data:`GRACE_SECONDS`.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.store.objects import Listing, StoredObject
from galenaswitch.store.versions import find_era

# Time after the end of a store outage, or after a restore, during which missing
# objects are kept, so that their owners can write them again.
GRACE_SECONDS = 2.0
# Time for which the last content of a removed object is remembered. It is
# longer than the age of a copy from which a store is restored.
TOMBSTONE_SECONDS = 120.0
MAX_TOMBSTONES = 4096
# Counter of an object's writer, which grows with each of its writes.
WriterOrder = tuple[int, ...]


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


class Tombstone(NamedTuple):
    """Last content of a removed object.

    :param removed_at: monotonic time of the removal in seconds.
    """

    stored: StoredObject
    removed_at: float


class Withheld(NamedTuple):
    """Content that the store shows and that is older than what is known.

    :param adopt_at: monotonic time in seconds at which it is adopted, if the
        store still shows it.
    """

    stored: StoredObject
    adopt_at: float


def find_no_order(stored: StoredObject) -> WriterOrder:
    """Return the order of an object whose writer has no counter."""
    return ()


class ObjectCache:
    """Local copy of the store's objects of one kind.

    >>> cache = ObjectCache()
    >>> cache.apply_listing(Listing(5, (StoredObject('k', 'a', 5, {}),)), 0)
    True
    >>> cache.apply_listing(Listing(4, ()), 0), sorted(cache.objects)
    (False, ['a'])
    """

    def __init__(
        self,
        find_order: Callable[[StoredObject], WriterOrder] = find_no_order,
        max_doubt_seconds: float = math.inf,
    ) -> None:
        """Build an empty cache at revision 0.

        :param find_order: returns the counter of an object's writer.
        :param max_doubt_seconds: time for which known content outlives older
            content that a restored store shows.
        """
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self._find_order = find_order
        self._max_doubt_seconds = max_doubt_seconds
        self._store_returned_at = -GRACE_SECONDS
        self._expires_at: dict[str, float] = {}
        self._withheld: dict[str, Withheld] = {}
        self._tombstones: dict[str, Tombstone] = {}

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
        if self.revision and find_era(listing.revision) > find_era(
            self.revision
        ):
            self.record_store_return(now)
        self.revision = listing.revision
        present = {stored.name for stored in listing.objects}
        changed = [
            self._store(stored, now, listed=True) for stored in listing.objects
        ]
        for name in set(self._withheld) - present:
            self._withheld.pop(name)
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
                self._withheld.pop(name, None)
                changed = self._remove_or_defer(name, now) or changed
            else:
                stored = self._store(change.stored, now, listed=False)
                changed = stored or changed
        self.revision = max(self.revision, changes.revision)
        return changed

    def drop_expired(self, now: float) -> bool:
        """Remove objects that the store no longer has.

        After an outage such objects stay cached for a grace period. Content
        that was withheld for long enough replaces what is known.

        :param now: monotonic time in seconds.
        :returns: whether an object changed.
        """
        expired = [
            name
            for name, expires_at in self._expires_at.items()
            if expires_at <= now
        ]
        for name in expired:
            self._expires_at.pop(name)
            self._remove(name, now)
        adopted = [
            withheld.stored
            for withheld in self._withheld.values()
            if withheld.adopt_at <= now
        ]
        for stored in adopted:
            self._adopt(stored)
        self._forget_tombstones(now)
        return bool(expired or adopted)

    def _store(self, stored: StoredObject, now: float, *, listed: bool) -> bool:
        """Store the content of an object if it is newer than what is known.

        :param listed: whether a listing shows the object, so that its content
            may be of any age.
        """
        self._expires_at.pop(stored.name, None)
        known = self.objects.get(stored.name)
        if known is None:
            is_old = listed and self._is_removed_copy(stored)
        elif find_era(known.version) == find_era(stored.version):
            if known.version >= stored.version:
                return False
            is_old = False
        else:
            is_old = self._find_order(stored) < self._find_order(known)
        if is_old:
            self._withhold(stored, now)
            return False
        self._adopt(stored)
        return True

    def _is_removed_copy(self, stored: StoredObject) -> bool:
        """Tell whether a listed object is the copy of one that was removed."""
        tombstone = self._tombstones.get(stored.name)
        if tombstone is None:
            return False
        removed = tombstone.stored
        if find_era(stored.version) == find_era(removed.version):
            return False
        order = self._find_order(stored)
        return bool(order) and order <= self._find_order(removed)

    def _withhold(self, stored: StoredObject, now: float) -> None:
        adopt_at = now + self._max_doubt_seconds
        earlier = self._withheld.get(stored.name)
        if earlier:
            adopt_at = earlier.adopt_at
        self._withheld[stored.name] = Withheld(stored, adopt_at)

    def _adopt(self, stored: StoredObject) -> None:
        self._withheld.pop(stored.name, None)
        self._tombstones.pop(stored.name, None)
        self.objects[stored.name] = stored

    def _remove_or_defer(self, name: str, now: float) -> bool:
        if name not in self.objects:
            return False
        expires_at = self._store_returned_at + GRACE_SECONDS
        if expires_at > now:
            self._expires_at.setdefault(name, expires_at)
            return False
        self._expires_at.pop(name, None)
        self._remove(name, now)
        return True

    def _remove(self, name: str, now: float) -> None:
        removed = self.objects.pop(name, None)
        if removed:
            self._tombstones.pop(name, None)
            self._tombstones[name] = Tombstone(removed, now)

    def _forget_tombstones(self, now: float) -> None:
        """Forget the oldest removals, which come first."""
        while self._tombstones:
            name, tombstone = next(iter(self._tombstones.items()))
            is_recent = tombstone.removed_at + TOMBSTONE_SECONDS > now
            if is_recent and len(self._tombstones) <= MAX_TOMBSTONES:
                break
            self._tombstones.pop(name)
