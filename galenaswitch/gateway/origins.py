"""Beginnings of streams, which decide where callers may resume them.

What two software versions of a service generate doesn't fit together, so a
stream goes on only at the version that began it. A caller that resumes a stream
names the attempt that brought its first event, and may do so at any VM.

A VM notes the origin of a stream before its first event goes out: in its own
memory, at one VM of its zone and at one or two of another zone. Rendezvous
hashing of the attempt picks these VMs, so that another VM finds them with a
few queries and without a message to all. A VM that starts again gets the
origins that it should remember from those that still do. An origin that nobody
remembers stays unknown: the stream isn't resumed.
"""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

from galenaswitch.errors import PeerError
from galenaswitch.gateway.origin_messages import (
    OriginQuery,
    OriginReply,
    StreamOrigin,
)
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh, push
from galenaswitch.membership.ranking import rank_nodes
from galenaswitch.operations.logs import get_logger

# Longest time in seconds for which an origin is remembered: longer than callers
# wait for a stream with all its attempts.
RETENTION_SECONDS = 120.0
MAX_ORIGINS = 65_536
# Most VMs of one zone that a VM queries for an origin. The first of the ranking
# may have lost its memory, or may have been out of reach for the sender.
MAX_QUERIED = 3
QUERY_TIMEOUT_SECONDS = 0.25
# Time for the VM of another zone that passes a query on in its zone.
FORWARD_TIMEOUT_SECONDS = 0.15
# Largest age in seconds of an origin that is sent to a VM which starts again.
MAX_SYNC_AGE_SECONDS = 30.0
# VMs of a zone, by their rank for an origin, that get it when they start again.
SYNCED_HOLDERS = 2
# Origins that are ranked before other tasks of the process run.
SYNC_CHUNK = 64
# Longest time for which a VM that has just started queries again while it opens
# its links, and the pause between two queries.
LINK_WAIT_SECONDS = 0.8
LINK_POLL_SECONDS = 0.1


class StreamOrigins:
    """Origins of streams that one VM knows, and its queries for others."""

    def __init__(self, mesh: Mesh, is_listed: Callable[[], bool]) -> None:
        """Build the memory of one VM, which is empty.

        :param is_listed: tells whether the VMs of the deployment are known.
        """
        self._mesh = mesh
        self._is_listed = is_listed
        self._origins: OrderedDict[str, tuple[StreamOrigin, float]] = (
            OrderedDict()
        )
        self._incarnations: dict[str, str] = {}

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {
            StreamOrigin: self._receive_origin,
            OriginQuery: self._answer_query,
        }

    def record(self, origin: StreamOrigin) -> None:
        """Note an origin here and at some other VMs."""
        self._remember(origin)
        for link in self._pick_holders(origin.ident, 1):
            push(link, origin)

    async def find(self, ident: str) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` when no VM knows it.

        :param ident: id of the attempt that brought the first event.
        """
        known = self._recall(ident)
        if known or not ident:
            return known
        latest_query_at = time.monotonic() + LINK_WAIT_SECONDS
        while True:
            found = await self._query_peers(ident)
            is_last = time.monotonic() >= latest_query_at
            if found or is_last or self._has_tried_peers():
                return found
            await asyncio.sleep(LINK_POLL_SECONDS)

    async def on_link_open(self, link: Link) -> None:
        """Send a VM that has started again the origins it should remember."""
        peer = link.peer
        if self._incarnations.get(peer.node) == peer.incarnation:
            return
        self._incarnations[peer.node] = peer.incarnation
        oldest = time.monotonic() - MAX_SYNC_AGE_SECONDS
        recent = [
            origin
            for origin, noted_at in self._origins.values()
            if noted_at >= oldest
        ]
        for number, origin in enumerate(recent, start=1):
            holders = self._pick_holders(origin.ident, SYNCED_HOLDERS)
            if peer.node in {holder.peer.node for holder in holders}:
                push(link, origin)
            if number % SYNC_CHUNK == 0:
                await asyncio.sleep(0)

    def _has_tried_peers(self) -> bool:
        """Tell whether this VM has tried to link to the VMs that may know."""
        return self._is_listed() and self._mesh.has_tried_peers()

    async def _query_peers(self, ident: str) -> StreamOrigin | None:
        own_zone = self._rank_links(ident, self._mesh.zone)[:MAX_QUERIED]
        return await _query_all(
            (*own_zone, *self._pick_contacts(ident)),
            OriginQuery(ident),
            QUERY_TIMEOUT_SECONDS,
        )

    def _receive_origin(self, link: Link, origin: StreamOrigin) -> None:
        """Remember an origin; pass it on within this zone if it is another's.

        A VM has links to only some VMs of another zone.
        """
        self._remember(origin)
        if link.peer.zone == self._mesh.zone:
            return
        for holder in self._rank_links(origin.ident, self._mesh.zone)[:1]:
            push(holder, origin)

    async def _answer_query(
        self, link: Link, query: OriginQuery
    ) -> OriginReply:
        """Answer from memory, or ask in this zone for a VM of another one."""
        known = self._recall(query.ident)
        if known is None and link.peer.zone != self._mesh.zone:
            holders = self._rank_links(query.ident, self._mesh.zone)
            known = await _query_all(
                holders[:MAX_QUERIED], query, FORWARD_TIMEOUT_SECONDS
            )
        return OriginReply(known)

    def _remember(self, origin: StreamOrigin) -> None:
        now = time.monotonic()
        self._origins[origin.ident] = (origin, now)
        self._origins.move_to_end(origin.ident)
        while self._origins:
            _, noted_at = next(iter(self._origins.values()))
            is_recent = noted_at + RETENTION_SECONDS > now
            if is_recent and len(self._origins) <= MAX_ORIGINS:
                break
            self._origins.popitem(last=False)

    def _recall(self, ident: str) -> StreamOrigin | None:
        known = self._origins.get(ident)
        return known[0] if known else None

    def _pick_holders(self, ident: str, count: int) -> tuple[Link, ...]:
        """Return links to the VMs that should remember an origin.

        :param count: number of these VMs in this zone.
        """
        own_zone = self._rank_links(ident, self._mesh.zone)
        return own_zone[:count] + self._pick_contacts(ident)[:1]

    def _rank_links(self, ident: str, zone: str) -> tuple[Link, ...]:
        """Return the open links into a zone by their peer's rank for an id."""
        links = {link.peer.node: link for link in self._mesh.links(zone)}
        return tuple(links[node] for node in rank_nodes(ident, links))

    def _pick_contacts(self, ident: str) -> tuple[Link, ...]:
        """Return one link into each other zone, by the zones' rank for an id.

        All VMs rank the zones alike, whichever VMs they have links to.
        """
        contacts = {
            link.peer.zone: link for link in self._mesh.cross_zone_links()
        }
        return tuple(contacts[zone] for zone in rank_nodes(ident, contacts))


async def _query_all(
    links: Iterable[Link], query: OriginQuery, seconds: float
) -> StreamOrigin | None:
    """Query several VMs at once and return the first origin that one knows."""
    queries = [
        asyncio.ensure_future(_query(link, query, seconds)) for link in links
    ]
    try:
        for answered in asyncio.as_completed(queries):
            origin = await answered
            if origin:
                return origin
    finally:
        for pending in queries:
            pending.cancel()
    return None


async def _query(
    link: Link, query: OriginQuery, seconds: float
) -> StreamOrigin | None:
    try:
        reply = await link.request(query, seconds)
    except PeerError as error:
        get_logger().info(
            'origin_unknown', peer=link.peer.node, reason=str(error)
        )
        return None
    return reply.origin if isinstance(reply, OriginReply) else None
