"""Objects of one kind as the store shows them, to compare and to pass on."""

from xxhash import xxh3_64_intdigest

from galenaswitch.store.cache import Changes
from galenaswitch.store.objects import Listing, StoredObject


class StoreView:
    """What the store shows of one kind at a revision.

    An :class:`~galenaswitch.store.cache.ObjectCache` decides what of it is
    used. Views of two VMs are compared by their digests.

    :ivar revision: version of the store that the view reflects, 0 for none.
    """

    def __init__(self) -> None:
        """Build an empty view at revision 0."""
        self.revision = 0
        self._objects: dict[str, StoredObject] = {}
        self._digest = 0

    @property
    def digest(self) -> int:
        """Hash of the names and versions of all objects, in any order.

        >>> view, other = StoreView(), StoreView()
        >>> one = StoredObject('k', 'a', 5, {})
        >>> view.replace(Listing(6, (one,)))
        True
        >>> other.replace(Listing(7, (one,))), view.digest == other.digest
        (True, True)
        """
        return self._digest

    def list_objects(self) -> Listing:
        """Return all objects as the store would list them."""
        return Listing(self.revision, tuple(self._objects.values()))

    def replace(self, listing: Listing) -> bool:
        """Replace the view by a listing; return whether an object changed."""
        before = self._digest
        self.revision = listing.revision
        self._objects = {stored.name: stored for stored in listing.objects}
        self._digest = 0
        for stored in self._objects.values():
            self._digest ^= _hash_object(stored)
        return self._digest != before

    def apply(self, changes: Changes) -> None:
        """Apply changes that begin at or before the view's revision."""
        for change in changes.changes:
            known = self._objects.pop(change.stored.name, None)
            if known:
                self._digest ^= _hash_object(known)
            if not change.deleted:
                self._objects[change.stored.name] = change.stored
                self._digest ^= _hash_object(change.stored)
        self.revision = max(self.revision, changes.revision)


def _hash_object(stored: StoredObject) -> int:
    return xxh3_64_intdigest(f'{stored.name}@{stored.version}'.encode())
