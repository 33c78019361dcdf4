"""Entry of a VM in the store, and what its reads of the list cost."""

from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.errors import StoreConflictError
from galenaswitch.gateway.machine_sync import MACHINE_KIND, MachineSync
from galenaswitch.membership.lists import Machine
from galenaswitch.store.objects import Listing, StoredObject

OWN = Machine('a', 'z', '127.0.0.1', 1)
ENTRY = StoredObject(MACHINE_KIND, 'a', 3, OWN._asdict())


@pytest.fixture
def store():
    """Return a store that has the entry of the VM."""
    return AsyncMock(era=1, **{'list_kind.return_value': Listing(3, (ENTRY,))})


@pytest.fixture
def sync(store):
    """Return the sync of a VM that hears no follower."""
    return MachineSync(store, Mock(), OWN)


def was_stale(store):
    """Tell whether the last listing was allowed to be stale."""
    return store.list_kind.await_args.kwargs['stale']


async def test_start_of_many_vms_reads_at_a_tenth_of_the_price(store, sync):
    await sync._read()
    assert was_stale(store)
    store.write.assert_not_awaited()


# Guards against a VM that never enters itself again, because a listing from
# before the restore shows its entry.
async def test_entry_is_looked_up_anew_after_a_restore(store, sync):
    await sync._read()
    store.era = 2
    await sync._read()
    assert not was_stale(store)


# Guards against an entry that a stale listing doesn't show, again and again.
async def test_entry_is_looked_up_anew_after_a_conflict(store, sync):
    store.list_kind.return_value = Listing(2, ())
    store.write.side_effect = StoreConflictError(3)
    await sync._read()
    await sync._read()
    assert not was_stale(store)
