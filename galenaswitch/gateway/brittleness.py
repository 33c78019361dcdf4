"""Services whose targets say in all answers that they are brittle.

Each VM reads it from the answers that it gets and tells the others, as well as
which target has turned a request away.
"""

import time
from collections.abc import Callable
from typing import Any

from galenaswitch.errors import PeerError
from galenaswitch.gateway.seat_messages import (
    BrittleNote,
    BrittleQuery,
    BrittleReply,
)
from galenaswitch.limits.seats import BrittleServices
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics

REPLY_TIMEOUT_SECONDS = 1.0
# Limit in a message that ends the notice.
NOT_BRITTLE = -1


class Brittleness:
    """Services that are known to be brittle.

    :ivar services: the services and their limits.
    """

    def __init__(
        self,
        mesh: Mesh,
        metrics: Metrics,
        hold_off: Callable[[str, float], bool],
    ) -> None:
        """Build a record without brittle services.

        :param hold_off: keeps requests for a time from an incarnation that has
            turned one away, and tells whether that is news.
        """
        self.services = BrittleServices()
        self._mesh = mesh
        self._metrics = metrics
        self._hold_off = hold_off

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {
            BrittleNote: self._receive,
            BrittleQuery: self._answer,
        }

    async def on_link_open(self, link: Link) -> None:
        """Learn the brittle services that a peer knows."""
        try:
            reply = await link.request(BrittleQuery(), REPLY_TIMEOUT_SECONDS)
        except PeerError as error:
            get_logger().info(
                'brittle_unknown', peer=link.peer.node, reason=str(error)
            )
            return
        for note in reply.notes:
            if note.service not in self.services.limits:
                self._apply(note, link)

    def observe(
        self, target: Target, limit: int | None, *, refused: bool
    ) -> None:
        """Apply what an answer of a target says.

        :param limit: refusals in a second that the target survives, ``None``
            if it isn't brittle.
        :param refused: whether the target has turned the request away.
        """
        now = time.monotonic()
        is_news = self.services.observe(target.pool, limit, now)
        refused_by = ''
        if refused and limit is not None:
            self._metrics.count('brittle_refused')
            if self._hold_off(target.incarnation, now):
                refused_by = target.incarnation
        if is_news or refused_by:
            self._spread(self._make_note(target.pool, refused_by), None)

    async def _receive(self, link: Link, note: BrittleNote) -> None:
        self._apply(note, link)

    async def _answer(self, link: Link, query: BrittleQuery) -> BrittleReply:
        return BrittleReply(
            tuple(
                self._make_note(service, '') for service in self.services.limits
            )
        )

    def _apply(self, note: BrittleNote, source: Link) -> None:
        """Apply what another VM has observed."""
        now = time.monotonic()
        if note.limit == NOT_BRITTLE:
            is_news = self.services.end(note.service)
        else:
            is_news = self.services.observe(note.service, note.limit, now)
        if note.refused_by:
            is_news = self._hold_off(note.refused_by, now) or is_news
        if is_news:
            self._spread(note, source)

    def _make_note(self, service: str, refused_by: str) -> BrittleNote:
        limit = self.services.limits.get(service, NOT_BRITTLE)
        return BrittleNote(service, limit, refused_by)

    def _spread(self, note: BrittleNote, source: Link | None) -> None:
        get_logger().info(
            'target_brittle',
            service=note.service,
            limit=note.limit,
            refused_by=note.refused_by,
        )
        self._metrics.count('target_brittle')
        self._mesh.spread(note, source)
