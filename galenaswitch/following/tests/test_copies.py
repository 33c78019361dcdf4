"""Copies of the store's objects from messages in any order."""

from unittest.mock import AsyncMock, Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenaswitch.following.copies import SharedCopies
from galenaswitch.following.messages import (
    FollowerSign,
    KindState,
    ListingReply,
    share_changes,
    share_listing,
)
from galenaswitch.following.tests.fakes import LoneMesh
from galenaswitch.store.cache import Change, Changes
from galenaswitch.store.objects import Listing, StoredObject
from galenaswitch.store.registry import Follower
from galenaswitch.store.versions import Revision, join_version
from galenaswitch.store.views import StoreView

KIND = 'servers'
NAMES = ('a', 'b', 'c')


class History:
    """Writes to a store, and what it showed at each revision."""

    def __init__(self, writes):
        """Replay writes of the form (name, whether it is a removal)."""
        self.changes = []
        self.states = [{}]
        for number, (name, removes) in enumerate(writes, start=1):
            state = dict(self.states[-1])
            known = state.pop(name, None)
            stored = StoredObject(KIND, name, number, {'n': number})
            if not removes:
                state[name] = stored
            is_removal = removes and known is not None
            self.changes.append(
                Change(known if is_removal else stored, removes)
            )
            self.states.append(state)

    def list_at(self, revision):
        """Return the listing at a revision."""
        return Listing(revision, tuple(self.states[revision].values()))

    def find_changes(self, base, revision):
        """Return the changes between two revisions."""
        return Changes(revision, tuple(self.changes[base:revision]))

    def find_digest(self, revision):
        """Return the digest at a revision."""
        view = StoreView()
        view.replace(self.list_at(revision))
        return view.digest


def make_vm():
    """Return the copies of a VM, and its follower, which knows nothing."""
    copies = SharedCopies(Mock(), LoneMesh('a'))
    follower = Follower(None, KIND, lambda cache: None)
    copies.add(follower)
    return copies, follower


def make_sign(kind, revision, digest):
    """Return a sign of a follower that is current."""
    states = (KindState(kind, revision, digest),)
    return FollowerSign('b', '1', 1, True, False, states)


class ScriptedLink:
    """Link to a peer that answers queries from a history."""

    def __init__(self, history=None, revision=0):
        """Answer with what the store showed at a revision."""
        self.peer = Mock(node='b', zone='z')
        self.queries = []
        self._history = history
        self._revision = revision

    async def request(self, message, seconds):
        """Answer a query."""
        self.queries.append(message)
        if self._history is None:
            return ListingReply(())
        listing = self._history.list_at(self._revision)
        return ListingReply((share_listing(KIND, listing),))


writes = st.lists(
    st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1, max_size=8
)


# Guards against copies that messages in part, twice or out of order lead astray
# or back.
@given(writes, st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8))))
async def test_copy_is_what_the_store_showed(written, deliveries):
    history = History(written)
    copies, follower = make_vm()
    last = len(written)
    for first, second in deliveries:
        base, revision = sorted((min(first, last), min(second, last)))
        before = follower.view.revision
        if base == revision:
            message = share_listing(KIND, history.list_at(revision))
            await copies._receive_listing(ScriptedLink(), message)
        else:
            changes = history.find_changes(base, revision)
            message = share_changes(KIND, base, changes)
            link = ScriptedLink(history, revision)
            await copies._receive_changes(link, message)
        assert follower.view.revision >= before
        assert follower.cache.objects == history.states[follower.view.revision]


# Guards against a change whose message was lost: silence isn't nothing new.
async def test_lost_change_is_queried_after_two_signs():
    history = History([('a', False), ('b', False)])
    copies, follower = make_vm()
    follower.receive_listing(history.list_at(1))
    link = ScriptedLink(history, 2)
    sign = make_sign(KIND, 2, history.find_digest(2))
    await copies.compare(link, sign)
    assert not link.queries
    await copies.compare(link, sign)
    assert set(follower.cache.objects) == {'a', 'b'}


# Guards against a query after each write to another kind of object.
async def test_sign_without_news_advances_the_copy():
    history = History([('a', False)])
    copies, follower = make_vm()
    follower.receive_listing(history.list_at(1))
    link = ScriptedLink(history, 1)
    for _ in range(3):
        await copies.compare(link, make_sign(KIND, 9, history.find_digest(1)))
    assert not link.queries
    assert follower.cache.revision == 9


# Guards against a follower that wakes up late and is believed.
async def test_sign_of_an_older_revision_changes_nothing():
    history = History([('a', False), ('b', False)])
    copies, follower = make_vm()
    follower.receive_listing(history.list_at(2))
    link = ScriptedLink(history, 1)
    for _ in range(3):
        await copies.compare(link, make_sign(KIND, 1, history.find_digest(1)))
    assert not link.queries
    assert set(follower.cache.objects) == {'a', 'b'}


# Guards against a VM that differs from its follower at the same revision.
async def test_copy_that_differs_at_the_same_revision_is_replaced():
    history = History([('a', False), ('b', False)])
    copies, follower = make_vm()
    follower.receive_listing(Listing(2, history.list_at(1).objects))
    link = ScriptedLink(history, 2)
    for _ in range(2):
        await copies.compare(link, make_sign(KIND, 2, history.find_digest(2)))
    assert set(follower.cache.objects) == {'a', 'b'}


# Guards against revisions of two eras that are compared with each other.
async def test_listing_of_a_new_era_replaces_a_higher_number():
    copies, follower = make_vm()
    follower.receive_listing(Listing(900, (StoredObject(KIND, 'a', 900, {}),)))
    version = join_version(Revision(1, 3))
    listing = Listing(version, (StoredObject(KIND, 'b', version, {}),))
    message = share_listing(KIND, listing)
    await copies._receive_listing(ScriptedLink(), message)
    assert 'b' in follower.cache.objects
    assert follower.view.revision == version
    copies._store.observe_era.assert_called_with(1)


# Guards against a kind that a later build shares and this one doesn't know.
@pytest.mark.parametrize('revision', [5, 0])
async def test_unknown_kind_is_ignored(revision):
    copies, follower = make_vm()
    message = share_listing('other', Listing(revision, ()))
    await copies._receive_listing(ScriptedLink(), message)
    await copies.compare(ScriptedLink(), make_sign('other', revision, 1))
    assert not follower.has_listing


# Guards against a follower that tells all VMs of each listing without news.
def test_only_news_is_passed_on():
    mesh = LoneMesh('a')
    copies = SharedCopies(Mock(), mesh)
    follower = Follower(None, KIND, lambda cache: None)
    copies.add(follower)
    history = History([('a', False)])
    follower._apply_watched(0, history.find_changes(0, 1))
    follower._apply_watched(0, history.find_changes(0, 1))
    assert len(mesh.spread_messages) == 1


# Guards against a later build that answers a query in another way.
async def test_odd_reply_to_a_query_changes_nothing():
    copies, follower = make_vm()
    link = ScriptedLink()
    link.request = AsyncMock(return_value=object())
    await copies.query_missing(link)
    assert not follower.has_listing
    link.request = ScriptedLink(History([('a', False)]), 1).request
    await copies.query_missing(link)
    assert set(follower.cache.objects) == {'a'}
