"""Relay that spreads configuration from machine to machine.

Two machines of each zone, chosen by rendezvous hashing, relay newer items to
the zone. They need no election: versions only grow and a receiver keeps the
highest version, so a second relay or a late push changes nothing. Anti-entropy
repairs lost pushes: each machine exchanges digests with a random peer every
two seconds.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from galenaswitch.configuration.catalog import Catalog, Item
from galenaswitch.configuration.messages import Digest, Items, Versions
from galenaswitch.errors import GalenaError, PeerError
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh, push
from galenaswitch.operations.logs import get_logger

EXCHANGE_INTERVAL_SECONDS = 2
REPLY_TIMEOUT_SECONDS = 2


class Relay:
    """Spreads the configuration of one process to its peers."""

    def __init__(
        self,
        catalog: Catalog,
        mesh: Mesh,
        publish: Callable[[Items], None],
        spread: Callable[[Items, Link | None], None] | None = None,
    ) -> None:
        """Create the relay of one process.

        :param catalog: configuration of the process.
        :param mesh: links to other machines.
        :param publish: passes newer items on within this machine.
        :param spread: sends newer items to peers, with the link that they
            came from; by default the relays of a zone send them to all peers.
        """
        self._catalog = catalog
        self._mesh = mesh
        self._publish = publish
        self._spread = spread or self._relay
        self.has_read_store = False
        self._queried_peers: set[str] = set()
        self._synced_peers: set[str] = set()

    @property
    def ready(self) -> bool:
        """Whether this process has synchronized its configuration.

        It has if it read the store. During a store outage it has if it
        exchanged digests with every reachable machine and one of them was
        synchronized before. New machines that reach only each other have no
        configuration and do not become ready.
        """
        if self.has_read_store:
            return True
        reachable = {link.peer.node for link in self._mesh.links()}
        all_queried = reachable <= self._queried_peers
        return (
            bool(self._synced_peers)
            and all_queried
            and self._mesh.has_tried_peers(self._mesh.zone)
        )

    @property
    def digest(self) -> str:
        """Hash of the names and versions of all items of this process."""
        return self._catalog.digest()

    def accept(
        self,
        items: Iterable[Item],
        source: Link | None = None,
    ) -> tuple[Item, ...]:
        """Store newer items and publish them on this machine.

        They are also sent to peers.

        :param source: link that the items came from, which does not get them
            back.
        :returns: the items that were newer.
        """
        newer = self._catalog.accept(items)
        if not newer:
            return ()
        message = Items(newer)
        self._publish(message)
        self._spread(message, source)
        for item in newer:
            get_logger().info(
                'configuration_in_force',
                kind=item.kind,
                name=item.name,
                version=item.version,
            )
        return newer

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {
            Digest: self.answer_digest,
            Items: self.receive_items,
            Versions: self.answer_versions,
        }

    async def receive_items(self, link: Link, message: Items) -> None:
        """Accept the items that a peer pushed."""
        self.accept(message.items, link)

    async def answer_digest(self, link: Link, message: Digest) -> Versions:
        """Answer a peer's digest with the versions of this catalog.

        No versions are sent if the digests are equal.
        """
        if message.digest == self._catalog.digest():
            return Versions({}, self.ready)
        return Versions(self._catalog.versions(), self.ready)

    async def answer_versions(self, link: Link, message: Versions) -> Items:
        """Answer a peer's versions with the items that are newer here."""
        return Items(self._catalog.newer_than(message.versions))

    async def exchange(self, link: Link) -> None:
        """Exchange digests with a peer and sync both catalogs if they differ.

        :raises PeerError: when the peer doesn't answer.
        """
        own = Digest(self._catalog.digest())
        theirs = await link.request(own, REPLY_TIMEOUT_SECONDS)
        if theirs.versions or not len(self._catalog):
            await self._sync(link, theirs)
        self._queried_peers.add(link.peer.node)
        if theirs.ready:
            self._synced_peers.add(link.peer.node)

    async def repair(self) -> None:
        """Run an anti-entropy sync with a random peer periodically."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_SECONDS)
            links = self._mesh.links()
            if links:
                await self.on_link_open(random.choice(links))

    async def on_link_open(self, link: Link) -> None:
        """Sync with the peer of a link that has opened; log a failure."""
        try:
            await self.exchange(link)
        except GalenaError as error:
            get_logger().info('exchange_failed', reason=str(error))

    def _relay(self, message: Items, source: Link | None) -> None:
        if self._mesh.is_relay():
            self._mesh.broadcast(message, source=source)

    async def _sync(self, link: Link, theirs: Versions) -> None:
        """Send newer items to a peer and request its newer items."""
        missing = self._catalog.newer_than(theirs.versions)
        if missing:
            push(link, Items(missing))
        own = Versions(self._catalog.versions())
        reply = await link.request(own, REPLY_TIMEOUT_SECONDS)
        if not isinstance(reply, Items):
            raise PeerError('the peer did not answer with configuration items')
        self.accept(reply.items, link)
