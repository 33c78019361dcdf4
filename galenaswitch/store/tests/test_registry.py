"""Cache of the store's objects during and after store outages."""

import asyncio

import pytest

from galenaswitch.errors import StoreHistoryLostError, StoreUnavailableError
from galenaswitch.store.cache import (
    GRACE_SECONDS,
    Change,
    Changes,
    ObjectCache,
)
from galenaswitch.store.objects import Listing, StoredObject
from galenaswitch.store.registry import FIRST_RETRY_SECONDS, Follower


def make_object(name, version=1):
    """Return an object with the given name and version."""
    return StoredObject('kind', name, version, {'v': version})


@pytest.fixture
def object_cache():
    """Return a cache with the objects ``a`` and ``b``."""
    objects = ObjectCache()
    objects.apply_listing(Listing(5, (make_object('a'), make_object('b'))), 0)
    return objects


def test_object_missing_from_a_listing_is_removed(object_cache):
    object_cache.apply_listing(Listing(6, (make_object('a'),)), 100)
    assert set(object_cache.objects) == {'a'}


def test_older_listing_and_older_versions_are_ignored(object_cache):
    object_cache.apply_listing(Listing(4, ()), 100)
    object_cache.apply_changes(
        Changes(6, (Change(make_object('a', 9), False),)), 100
    )
    object_cache.apply_changes(
        Changes(7, (Change(make_object('a', 8), False),)), 100
    )
    assert object_cache.objects['a'].version == 9
    assert set(object_cache.objects) == {'a', 'b'}


def test_object_that_expired_in_an_outage_is_kept_for_the_grace_period(
    object_cache,
):
    object_cache.record_store_return(100)
    object_cache.apply_listing(Listing(6, (make_object('a'),)), 100.1)
    assert set(object_cache.objects) == {'a', 'b'}
    object_cache.apply_changes(
        Changes(7, (Change(make_object('b', 7), False),)), 101
    )
    object_cache.drop_expired(100 + GRACE_SECONDS)
    assert set(object_cache.objects) == {'a', 'b'}


def test_object_still_missing_after_the_grace_period_is_removed(object_cache):
    object_cache.record_store_return(100)
    object_cache.apply_listing(Listing(6, (make_object('a'),)), 100.1)
    object_cache.drop_expired(100 + GRACE_SECONDS - 0.01)
    assert set(object_cache.objects) == {'a', 'b'}
    object_cache.drop_expired(100 + GRACE_SECONDS)
    assert set(object_cache.objects) == {'a'}


def test_deletion_without_an_outage_removes_the_object_at_once(object_cache):
    object_cache.apply_changes(
        Changes(6, (Change(make_object('b'), True),)), 100
    )
    assert set(object_cache.objects) == {'a'}


class ScriptedStore:
    """Fake store that returns scripted answers in order."""

    def __init__(self, *answers):
        """Build a store from listings, changes and errors to raise."""
        self.answers = list(answers)
        self.exhausted = asyncio.Event()

    async def list_kind(self, kind, *, stale=False):
        """Return the next scripted answer."""
        return await self.next_answer()

    async def watch(self, kind, revision, seconds):
        """Return the next scripted answer."""
        return await self.next_answer()

    async def next_answer(self):
        """Return or raise the next answer; wait when none is left."""
        if not self.answers:
            self.exhausted.set()
            await asyncio.sleep(60)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


async def follow(*answers):
    """Run a follower until the store has no more answers."""
    store = ScriptedStore(*answers)
    published = []
    follower = Follower(
        store,
        'kind',
        lambda cache: published.append(set(cache.objects)),
    )
    task = asyncio.create_task(follower.follow())
    async with asyncio.timeout(5):
        await store.exhausted.wait()
    task.cancel()
    return follower, published


async def test_objects_are_listed_again_after_lost_history():
    _, published = await follow(
        Listing(1, (make_object('a'),)),
        StoreHistoryLostError('gone'),
        Listing(9, (make_object('b', 9),)),
    )
    assert published == [{'a'}, {'b'}]


async def test_failed_calls_keep_the_cached_objects():
    follower, published = await follow(
        Listing(1, (make_object('a'),)),
        StoreUnavailableError('down'),
        StoreUnavailableError('down'),
        Listing(2, (make_object('a'), make_object('b', 2))),
    )
    assert published == [{'a'}, {'a', 'b'}]
    assert follower.reachable


async def test_empty_kind_is_published_once():
    follower, published = await follow(Listing(1, ()), Changes(1, ()))
    assert published == [set()]
    assert follower.has_listing


async def test_follower_pauses_after_changes_to_coalesce_them():
    store = ScriptedStore(
        Listing(1, ()),
        Changes(2, (Change(make_object('a', 2), False),)),
    )
    follower = Follower(store, 'kind', lambda cache: None, coalesce_seconds=0.1)
    task = asyncio.create_task(follower.follow())
    started_at = asyncio.get_running_loop().time()
    async with asyncio.timeout(5):
        await store.exhausted.wait()
    task.cancel()
    assert asyncio.get_running_loop().time() - started_at >= 0.1


class ForgetfulRegistry:
    """Registry whose history is always lost."""

    def __init__(self):
        """Build a registry without objects.

        :ivar call_count: number of calls received.
        """
        self.call_count = 0

    async def list_kind(self, kind, *, stale=False):
        """Return an empty listing."""
        self.call_count += 1
        return Listing(5, ())

    async def watch(self, kind, revision, seconds):
        """Fail at once."""
        self.call_count += 1
        raise StoreHistoryLostError('gone')


# Guards against calls without a pause while a store keeps losing its history.
async def test_follower_pauses_after_each_lost_history():
    registry = ForgetfulRegistry()
    following = asyncio.create_task(
        Follower(registry, 'kind', lambda _: None).follow()
    )
    await asyncio.sleep(4 * FIRST_RETRY_SECONDS)
    following.cancel()
    assert 2 < registry.call_count <= 8


# Guards against a follower that ends with the first error that nobody expects.
async def test_unexpected_error_does_not_end_following():
    listing = Listing(5, (make_object('a'),))
    follower, published = await follow(
        KeyError('metadata'), RecursionError(), listing
    )
    assert set(follower.cache.objects) == {'a'}
    assert published == [{'a'}]


# Guards against changes that are never applied after a failed publication.
async def test_changes_are_published_again_after_a_failed_publication():
    published = []

    def publish(cache):
        published.append(set(cache.objects))
        if len(published) < 3:
            raise TypeError('unhashable')

    store = ScriptedStore(*(Listing(5, (make_object('a'),)) for _ in range(3)))
    follower = Follower(store, 'kind', publish)
    task = asyncio.create_task(follower.follow())
    async with asyncio.timeout(5):
        await store.exhausted.wait()
        while len(published) < 3:
            await asyncio.sleep(0.01)
    assert not task.done()
    task.cancel()
    assert published == [{'a'}] * 3


# Guards against a task that a process needs and that ends with one odd entry.
async def test_unexpected_error_does_not_end_the_expiry_of_objects():
    expired = []
    follower = Follower(ScriptedStore(), 'kind', lambda _: None)
    faults = [TypeError('unhashable'), TypeError('unhashable')]

    def drop_expired(now):
        if faults:
            raise faults.pop()
        expired.append(now)
        return False

    follower.cache.drop_expired = drop_expired
    for _ in range(3):
        follower.drop_expired()
    assert len(expired) == 1
