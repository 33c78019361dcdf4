"""Spreading of configuration from machine to machine.

Two machines of each zone, picked by rendezvous hashing, relay what they
learn. Relaying needs no election: versions only grow and a receiver keeps the
highest, so a second relay or a late push changes nothing. An exchange of
digests with a random peer every two seconds repairs what a stream lost.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from galenaswitch.configuration.catalog import Catalog, Item
from galenaswitch.configuration.messages import Digest, Items, Versions
from galenaswitch.errors import GalenaError, PeerError
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh, push
from galenaswitch.operations.logs import get_logger

EXCHANGE_SECONDS = 2
REPLY_SECONDS = 2


class Relay:
    """Configuration of one control process and its spreading."""

    def __init__(
        self,
        catalog: Catalog,
        mesh: Mesh,
        publish: Callable[[Items], None],
    ) -> None:
        """Spread ``catalog``; ``publish`` pushes to this machine's entry."""
        self._catalog = catalog
        self._mesh = mesh
        self._publish = publish
        self.has_read_store = False
        self._asked: set[str] = set()
        self._teachers: set[str] = set()

    @property
    def ready(self) -> bool:
        """Whether all that could be learned has been learned.

        Either the store was read, or every reachable machine was asked and
        one of them had learned all before: new machines that have only each
        other know nothing.
        """
        if self.has_read_store:
            return True
        reachable = {link.peer.node for link in self._mesh.links()}
        asked = reachable <= self._asked
        return bool(self._teachers) and asked and self._mesh.has_tried_zone()

    @property
    def relays(self) -> bool:
        """Whether this machine passes on what it learns in its zone."""
        return self._mesh.is_relay()

    def accept(
        self,
        items: Iterable[Item],
        source: Link | None = None,
    ) -> tuple[Item, ...]:
        """Keep newer items, push them to the entry and, as relay, onwards."""
        newer = self._catalog.accept(items)
        if not newer:
            return ()
        message = Items(newer)
        self._publish(message)
        if self._mesh.is_relay():
            self._mesh.broadcast(message, source=source)
        for item in newer:
            get_logger().info(
                'configuration_in_force',
                kind=item.kind,
                name=item.name,
                version=item.version,
            )
        return newer

    async def receive_items(self, link: Link, message: Items) -> None:
        """Take items that a peer pushed."""
        self.accept(message.items, link)

    async def answer_digest(self, link: Link, message: Digest) -> Versions:
        """Answer a peer's digest with our versions, none when equal."""
        if message.digest == self._catalog.digest():
            return Versions({}, self.ready)
        return Versions(self._catalog.versions(), self.ready)

    async def answer_versions(self, link: Link, message: Versions) -> Items:
        """Answer a peer's versions with the items that it lacks."""
        return Items(self._catalog.newer_than(message.versions))

    async def exchange(self, link: Link) -> None:
        """Level configuration with one peer in both directions.

        :raises PeerError: when the peer doesn't answer.
        """
        own = Digest(self._catalog.digest())
        theirs = await link.request(own, REPLY_SECONDS)
        if theirs.versions or not len(self._catalog):
            await self._level(link, theirs)
        self._asked.add(link.peer.node)
        if theirs.ready:
            self._teachers.add(link.peer.node)

    async def repair(self) -> None:
        """Level with a random peer every few seconds, until cancelled."""
        while True:
            await asyncio.sleep(EXCHANGE_SECONDS)
            links = self._mesh.links()
            if links:
                await self.on_link_open(random.choice(links))

    async def on_link_open(self, link: Link) -> None:
        """Level with a peer whose stream just opened; failures are logged."""
        try:
            await self.exchange(link)
        except GalenaError as error:
            get_logger().info('exchange_failed', reason=str(error))

    async def _level(self, link: Link, theirs: Versions) -> None:
        lacking = self._catalog.newer_than(theirs.versions)
        if lacking:
            push(link, Items(lacking))
        own = Versions(self._catalog.versions())
        reply = await link.request(own, REPLY_SECONDS)
        if not isinstance(reply, Items):
            raise PeerError('items expected')
        self.accept(reply.items, link)
