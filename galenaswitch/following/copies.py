"""Copies of the store's objects that VMs pass on to each other.

The VM that follows the store passes each change on. The others apply what they
receive to the same caches as if the store had answered them. One that finds by
two signs that it missed something queries the sender. Only what is newer is
applied, so that repeated, late or partial messages change nothing.
"""

from collections.abc import Callable
from typing import Any, Protocol

from galenaswitch.errors import PeerError
from galenaswitch.following.messages import (
    FollowerSign,
    KindState,
    ListingQuery,
    ListingReply,
    ObjectChanges,
    ObjectListing,
    read_changes,
    read_listing,
    share_changes,
    share_listing,
)
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.cache import Changes
from galenaswitch.store.objects import Listing
from galenaswitch.store.registry import Follower, Registry
from galenaswitch.store.versions import find_era, format_version

REPLY_TIMEOUT_SECONDS = 1.0
# Revision by which a VM that knows nothing of a kind asks for it.
NO_REVISION = -1


class FollowedStore(Registry, Protocol):
    """Store whose era other VMs may tell first."""

    def observe_era(self, era: int) -> None:
        """Record an era of the store."""


class SharedCopies:
    """Copies of the kinds of objects that VMs pass on.

    :ivar on_fed: receives each kind of which a peer has told what this VM
        knows now.
    """

    def __init__(self, store: FollowedStore, mesh: Mesh) -> None:
        """Build the exchange of no kinds."""
        self._store = store
        self._mesh = mesh
        self._followers: dict[str, Follower] = {}
        self._suspected: set[str] = set()
        self._queried: set[str] = set()
        self.on_fed: Callable[[str], None] = lambda kind: None

    def add(self, follower: Follower) -> None:
        """Pass on what a follower sees, and keep it up to date."""
        self._followers[follower.kind] = follower
        follower.on_listing = self._share_listing
        follower.on_changes = self._share_changes

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {
            ListingQuery: self._answer_query,
            ObjectChanges: self._receive_changes,
            ObjectListing: self._receive_listing,
        }

    def describe(self) -> tuple[KindState, ...]:
        """Return the revision and digest of each kind."""
        return tuple(
            KindState(kind, follower.view.revision, follower.view.digest)
            for kind, follower in self._followers.items()
        )

    async def query_missing(self, link: Link) -> None:
        """Query a peer for the kinds of which this VM knows nothing yet."""
        lacking = {
            kind
            for kind, follower in self._followers.items()
            if not follower.has_listing
        }
        await self._query(link, lacking)

    async def compare(self, link: Link, sign: FollowerSign) -> None:
        """Query a peer for the kinds whose objects differ at two signs."""
        differing = {
            state.kind
            for state in sign.states
            if state.kind in self._followers and self._differs(state)
        }
        missed = differing & self._suspected
        self._suspected = differing
        await self._query(link, missed)

    def _differs(self, state: KindState) -> bool:
        """Tell whether a peer knows other objects that aren't older."""
        follower = self._followers[state.kind]
        if follower.has_listing and follower.view.digest == state.digest:
            follower.advance(state.revision)
            self.on_fed(state.kind)
            return False
        return state.revision >= follower.view.revision

    def _share_listing(self, kind: str, listing: Listing) -> None:
        self._mesh.spread(share_listing(kind, listing), None)

    def _share_changes(self, kind: str, base: int, changes: Changes) -> None:
        self._mesh.spread(share_changes(kind, base, changes), None)

    async def _query(self, link: Link, kinds: set[str]) -> None:
        kinds -= self._queried
        if not kinds:
            return
        query = ListingQuery(
            {
                kind: self._followers[kind].view.revision
                if self._followers[kind].has_listing
                else NO_REVISION
                for kind in kinds
            }
        )
        self._queried |= kinds
        try:
            reply = await link.request(query, REPLY_TIMEOUT_SECONDS)
        except PeerError as error:
            get_logger().info(
                'objects_unknown', peer=link.peer.node, reason=str(error)
            )
            return
        finally:
            self._queried -= kinds
        if not isinstance(reply, ListingReply):
            get_logger().error(
                'objects_unknown', peer=link.peer.node, reason='odd reply'
            )
            return
        for listing in reply.listings:
            self._apply_listing(listing)

    async def _answer_query(
        self, link: Link, query: ListingQuery
    ) -> ListingReply:
        known = {
            kind: self._followers[kind]
            for kind in query.revisions
            if kind in self._followers and self._followers[kind].has_listing
        }
        return ListingReply(
            tuple(
                share_listing(kind, follower.view.list_objects())
                for kind, follower in known.items()
                if follower.view.revision >= query.revisions[kind]
            )
        )

    async def _receive_changes(
        self, link: Link, message: ObjectChanges
    ) -> None:
        follower = self._followers.get(message.kind)
        if follower is None or message.revision <= follower.view.revision:
            return
        if message.base > follower.view.revision:
            await self._query(link, {message.kind})
            return
        self._store.observe_era(find_era(message.revision))
        self._mesh.spread(message, link)
        follower.receive_changes(read_changes(message))
        self.on_fed(message.kind)

    async def _receive_listing(
        self, link: Link, message: ObjectListing
    ) -> None:
        if self._apply_listing(message):
            self._mesh.spread(message, link)

    def _apply_listing(self, message: ObjectListing) -> bool:
        """Apply a listing of a peer and return whether it was news."""
        follower = self._followers.get(message.kind)
        if follower is None:
            return False
        self._store.observe_era(find_era(message.revision))
        is_older = message.revision < follower.view.revision
        is_news = follower.receive_listing(read_listing(message))
        if not is_older:
            self.on_fed(message.kind)
        if not is_news:
            return False
        get_logger().info(
            'objects_received',
            kind=message.kind,
            count=len(message.objects),
            revision=format_version(message.revision),
        )
        return True
