"""Seats at the targets of brittle services, as each VM takes them.

A request to a target of a brittle service needs a seat there. The owner of the
service counts the seats of all VMs. On other days, VMs only count what they
have in flight themselves.
"""

import contextlib
import math
import secrets
import time
from collections.abc import Iterator, Sequence
from typing import Any

from galenaswitch.gateway.brittleness import Brittleness
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.gateway.seat_messages import (
    SeatEnd,
    SeatQuery,
    SeatReply,
    SeatsQuery,
    SeatsReply,
)
from galenaswitch.gateway.seat_owner import SeatOwner
from galenaswitch.limits.seats import HeldSeat, Seat, SeatLedger
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members, Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup

REPLY_TIMEOUT_SECONDS = 1.0
IDENT_BYTES = 8


class Seats:
    """Seats of this VM's requests.

    :ivar brittleness: services whose targets are brittle.
    """

    def __init__(
        self,
        members: Members,
        mesh: Mesh,
        owner_router: OwnerRouter,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        """Build seats of services of which none is known to be brittle."""
        self._ledger = SeatLedger()
        self.brittleness = Brittleness(mesh, metrics, self._ledger.hold_off)
        self._owner = SeatOwner(
            members, mesh, owner_router, tasks, self._ledger, metrics
        )
        self._members = members
        self._mesh = mesh
        self._owner_router = owner_router

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {
            **self.brittleness.handlers(),
            SeatEnd: self._receive_end,
            SeatQuery: self._answer_seat_query,
            SeatsQuery: self._answer_seats_query,
        }

    def is_brittle(self, service: str) -> bool:
        """Tell whether the targets of a service are brittle."""
        return service in self.brittleness.services.limits

    @contextlib.contextmanager
    def hold(self, target: Target, ident: str) -> Iterator[None]:
        """Count a request in flight at a target.

        :param ident: id of its seat, empty for a new one.
        """
        ident = ident or secrets.token_hex(IDENT_BYTES)
        self._take_own(target, ident)
        try:
            yield
        finally:
            self.release(target.pool, ident)

    def release(self, service: str, ident: str) -> None:
        """Free a seat that this VM has taken or has asked for."""
        self._ledger.release(ident)
        if not self.is_brittle(service):
            return
        owner = self._owner_router.find_owner(service)
        message = SeatEnd(service, ident)
        self._owner_router.notify(owner, message, self._end)

    async def find_seat(
        self, targets: Sequence[Target], max_wait: float, left: float
    ) -> tuple[Target, str] | None:
        """Get a seat at one of several targets of a brittle service.

        :param targets: targets, the preferred one first.
        :param max_wait: longest useful wait for a seat in seconds.
        :param left: seconds until the request must be answered.
        :returns: the target and the id of the seat, ``None`` if none is free
            in time.
        """
        service = targets[0].pool
        ident = secrets.token_hex(IDENT_BYTES)
        query = SeatQuery(
            service,
            ident,
            self._mesh.node,
            targets[0].incarnation,
            tuple(
                one.incarnation
                for one in self._members.targets(service)
                if one not in targets
            ),
            max_wait,
            left,
            self._find_held(service),
        )
        # The owner may still give a seat to a query that was cancelled.
        with contextlib.ExitStack() as unused:
            unused.callback(self.release, service, ident)
            _, reply = await self._owner_router.query(
                service,
                query,
                max_wait + REPLY_TIMEOUT_SECONDS,
                self._owner.give,
            )
            for target in targets:
                if target.incarnation == reply.incarnation:
                    self._take_own(target, ident)
                    unused.pop_all()
                    return target, ident
        return None

    def select(self, targets: Sequence[Target]) -> tuple[Target, ...]:
        """Return the targets of a service of this VM that have a free seat.

        These are all targets while the service isn't brittle.
        """
        if targets and self.is_brittle(targets[0].pool):
            return self._owner.select(targets)
        return tuple(targets)

    def take(self, target: Target, ident: str, left: float) -> None:
        """Take a seat for a request that any VM is about to send.

        :param left: seconds until the request must be answered.
        """
        now = time.monotonic()
        self._ledger.take(target.incarnation, ident, Seat('', now, now + left))

    def end(self, ident: str) -> None:
        """Free a seat that this VM took for any VM."""
        self._ledger.end(ident, time.monotonic())

    def forget_ended(self) -> None:
        """Free the seats of requests whose end wasn't told."""
        self._ledger.drop_expired(time.monotonic())

    def _take_own(self, target: Target, ident: str) -> None:
        seat = Seat(self._mesh.node, time.monotonic(), math.inf)
        self._ledger.take(target.incarnation, ident, seat)

    def _find_held(self, service: str) -> tuple[HeldSeat, ...]:
        incarnations = self._find_incarnations(service)
        return self._ledger.find_held(self._mesh.node, incarnations)

    def _find_incarnations(self, service: str) -> set[str]:
        return {one.incarnation for one in self._members.targets(service)}

    async def _answer_seat_query(
        self, link: Link, query: SeatQuery
    ) -> SeatReply:
        return await self._owner.give(query)

    async def _answer_seats_query(
        self, link: Link, query: SeatsQuery
    ) -> SeatsReply:
        now = time.monotonic()
        return SeatsReply(
            self._find_held(query.service),
            self._ledger.find_given(
                self._mesh.node, self._find_incarnations(query.service), now
            ),
        )

    async def _receive_end(self, link: Link, message: SeatEnd) -> None:
        self._end(message)

    def _end(self, message: SeatEnd) -> None:
        self._ledger.end(message.ident, time.monotonic())
        self._owner.serve(message.service)
