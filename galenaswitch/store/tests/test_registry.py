"""Following a kind of object through outages."""

import asyncio

import pytest

from galenaswitch.errors import StoreHistoryLostError, StoreUnavailableError
from galenaswitch.store.client import Listing, StoredObject
from galenaswitch.store.registry import (
    RETURN_SECONDS,
    Change,
    Changes,
    Follower,
    ObjectCache,
)


def make(name, version=1):
    """Return an object of a kind."""
    return StoredObject('kind', name, version, {'v': version})


@pytest.fixture
def cache():
    """Objects ``a`` and ``b`` as a listing told them."""
    objects = ObjectCache()
    objects.apply_listing(Listing(5, (make('a'), make('b'))), 0)
    return objects


def test_object_that_a_listing_lacks_is_gone(cache):
    cache.apply_listing(Listing(6, (make('a'),)), 100)
    assert set(cache.objects) == {'a'}


def test_older_listing_and_older_versions_change_nothing(cache):
    cache.apply_listing(Listing(4, ()), 100)
    cache.apply_changes(Changes(6, (Change(make('a', 9), False),)), 100)
    cache.apply_changes(Changes(7, (Change(make('a', 8), False),)), 100)
    assert cache.objects['a'].version == 9
    assert set(cache.objects) == {'a', 'b'}


def test_entry_that_lapsed_in_an_outage_has_time_to_come_back(cache):
    cache.record_store_return(100)
    cache.apply_listing(Listing(6, (make('a'),)), 100.1)
    assert set(cache.objects) == {'a', 'b'}
    cache.apply_changes(Changes(7, (Change(make('b', 7), False),)), 101)
    cache.drop_expired(100 + RETURN_SECONDS)
    assert set(cache.objects) == {'a', 'b'}


def test_entry_still_missing_after_that_time_is_gone(cache):
    cache.record_store_return(100)
    cache.apply_listing(Listing(6, (make('a'),)), 100.1)
    cache.drop_expired(100 + RETURN_SECONDS - 0.01)
    assert set(cache.objects) == {'a', 'b'}
    cache.drop_expired(100 + RETURN_SECONDS)
    assert set(cache.objects) == {'a'}


def test_deletion_without_an_outage_counts_at_once(cache):
    cache.apply_changes(Changes(6, (Change(make('b'), True),)), 100)
    assert set(cache.objects) == {'a'}


class ScriptedStore:
    """Store whose answers a test gives one after another."""

    def __init__(self, *answers):
        """Give ``answers`` in turn; errors are raised."""
        self.answers = list(answers)
        self.done = asyncio.Event()

    async def list_kind(self, kind, *, stale=False):
        """Give the next answer."""
        return await self.give()

    async def watch(self, kind, revision, seconds):
        """Give the next answer."""
        return await self.give()

    async def give(self):
        """Return or raise the next answer, then hang."""
        if not self.answers:
            self.done.set()
            await asyncio.sleep(60)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


async def follow(*answers):
    """Follow a store to the end of its answers."""
    store = ScriptedStore(*answers)
    told = []
    follower = Follower(
        store,
        'kind',
        lambda cache: told.append(set(cache.objects)),
    )
    task = asyncio.create_task(follower.follow())
    async with asyncio.timeout(5):
        await store.done.wait()
    task.cancel()
    return follower, told


async def test_lost_history_is_listed_anew():
    _, told = await follow(
        Listing(1, (make('a'),)),
        StoreHistoryLostError('gone'),
        Listing(9, (make('b', 9),)),
    )
    assert told == [{'a'}, {'b'}]


async def test_failed_calls_keep_what_is_held():
    follower, told = await follow(
        Listing(1, (make('a'),)),
        StoreUnavailableError('down'),
        StoreUnavailableError('down'),
        Listing(2, (make('a'), make('b', 2))),
    )
    assert told == [{'a'}, {'a', 'b'}]
    assert follower.reachable


async def test_empty_kind_is_told_once():
    follower, told = await follow(Listing(1, ()), Changes(1, ()))
    assert told == [set()]
    assert follower.listed


async def test_changes_that_come_together_cost_one_call():
    store = ScriptedStore(
        Listing(1, ()),
        Changes(2, (Change(make('a', 2), False),)),
    )
    follower = Follower(store, 'kind', lambda cache: None, coalesce_seconds=0.1)
    task = asyncio.create_task(follower.follow())
    begun = asyncio.get_running_loop().time()
    async with asyncio.timeout(5):
        await store.done.wait()
    task.cancel()
    assert asyncio.get_running_loop().time() - begun >= 0.1
