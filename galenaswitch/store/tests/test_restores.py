"""Caches and catalogs of several VMs over any order of restores."""

from collections.abc import Iterable

from hypothesis import given, settings
from hypothesis import strategies as st

from galenaswitch.configuration.catalog import Catalog, Item
from galenaswitch.store.cache import (
    GRACE_SECONDS,
    Change,
    Changes,
    ObjectCache,
)
from galenaswitch.store.objects import Listing, StoredObject
from galenaswitch.store.versions import Revision, find_era, join_version

VM_COUNT = 3
STEPS = ('write', 'other', 'copy', 'restore', 'rewrite')
VM_STEPS = ('sync', 'restart', 'exchange')
# Longest run of steps that one example draws.
MAX_STEPS = 40


class ModelStore:
    """Store with a history of changes, which can go back to a copy."""

    def __init__(self):
        """Build a store whose operator has written version 1."""
        self.era = 1
        self.history = []
        self.newest = 0
        self.copy_length = 0
        self.write()

    @property
    def revision(self):
        """Version of the last change."""
        return join_version(Revision(self.era, len(self.history)))

    def write(self):
        """Write a new version of the operator."""
        self.newest += 1
        self.rewrite()

    def rewrite(self):
        """Write the operator's newest version again."""
        self.history.append(('main', self.newest))

    def other(self):
        """Write another object, which uses up a revision."""
        self.history.append(('other', 0))

    def copy(self):
        """Copy the current state."""
        self.copy_length = len(self.history)

    def restore(self):
        """Go back to the last copy."""
        self.history = self.history[: self.copy_length]
        self.era += 1

    def read(self, since=0):
        """Return the objects that were written after a revision."""
        entries = enumerate(self.history, 1)
        return [
            StoredObject(
                'config',
                name,
                join_version(Revision(self.era, number)),
                {'version': version},
            )
            for number, (name, version) in entries
            if number > since
        ]


class ModelVm:
    """VM that follows a store as the follower and the state sync do."""

    def __init__(self):
        """Build a VM that knows nothing."""
        self.restart()

    def restart(self):
        """Start again without memory."""
        self.cache = ObjectCache(
            lambda stored: (stored.body['version'],),
        )
        self.catalog = Catalog()
        self.in_force = 0

    def sync(self, store):
        """List or watch the store, and bring what is newer into force."""
        now = store.era * 2 * GRACE_SECONDS
        if find_era(self.cache.revision) == store.era:
            since = self.cache.revision - join_version(Revision(store.era, 0))
            events = tuple(Change(one, False) for one in store.read(since))
            self.cache.apply_changes(Changes(store.revision, events), now)
        else:
            newest = {one.name: one for one in store.read()}
            listing = Listing(store.revision, tuple(newest.values()))
            self.cache.apply_listing(listing, now)
        stored = self.cache.objects.get('main')
        if stored:
            version = stored.body['version']
            self.accept([Item('config', 'main', version, stored.body)])

    def accept(self, items: Iterable[Item]):
        """Bring items into force that the catalog takes."""
        for item in self.catalog.accept(items):
            assert item.body['version'] > self.in_force
            self.in_force = item.body['version']


@given(
    st.lists(
        st.sampled_from(STEPS)
        | st.tuples(st.sampled_from(VM_STEPS), st.integers(0, VM_COUNT**2 - 1)),
        max_size=MAX_STEPS,
    ),
)
@settings(deadline=None)
def test_no_vm_goes_back_and_all_end_on_the_newest_version(steps):
    store = ModelStore()
    vms = [ModelVm() for _ in range(VM_COUNT)]
    for step in steps:
        if isinstance(step, str):
            getattr(store, step)()
            continue
        name, number = step
        vm, peer = vms[number % VM_COUNT], vms[number // VM_COUNT]
        if name == 'exchange':
            vm.accept(peer.catalog.newer_than(vm.catalog.versions()))
        elif name == 'sync':
            vm.sync(store)
        else:
            vm.restart()
    store.rewrite()
    for vm in vms:
        vm.sync(store)
    assert [vm.in_force for vm in vms] == [store.newest] * VM_COUNT
