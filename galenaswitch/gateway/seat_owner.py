"""Seats that the owner of a brittle service gives out to all VMs.

An owner that is new asks all VMs what they have in flight before it gives out
the first seat, and again from time to time, as a VM that is lost reports no
end.
"""

import asyncio
import bisect
import itertools
import time
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from galenaswitch.errors import PeerError
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.gateway.seat_messages import (
    SeatQuery,
    SeatReply,
    SeatsQuery,
)
from galenaswitch.limits.seat_knowledge import SeatKnowledge
from galenaswitch.limits.seats import HeldSeat, Seat, SeatLedger
from galenaswitch.membership.lists import Machine, Members, Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup

# Seconds after which a VM that doesn't tell its seats counts as lost.
COLLECT_TIMEOUT_SECONDS = 0.4
# Seconds between two looks for seats that became free without a message.
POLL_SECONDS = 0.1


class Waiting(NamedTuple):
    """A query that waits for a seat, the most urgent one first."""

    start_by: float
    number: int
    query: SeatQuery
    reply: asyncio.Future[SeatReply]


class SeatOwner:
    """Gives out the seats of the services that this VM owns."""

    def __init__(
        self,
        members: Members,
        mesh: Mesh,
        owner_router: OwnerRouter,
        tasks: TaskGroup,
        ledger: SeatLedger,
        metrics: Metrics,
    ) -> None:
        """Build an owner that knows the seats in ``ledger``."""
        self._members = members
        self._mesh = mesh
        self._owner_router = owner_router
        self._tasks = tasks
        self._ledger = ledger
        self._metrics = metrics
        self._numbers = itertools.count()
        self._waiting: dict[str, list[Waiting]] = {}
        self._collections: dict[str, asyncio.Task[None]] = {}
        self._knowledge: defaultdict[str, SeatKnowledge] = defaultdict(
            SeatKnowledge
        )

    async def give(self, query: SeatQuery) -> SeatReply:
        """Give a seat, or wait for one as long as that is useful.

        No more queries wait than the targets have seats.
        """
        service = query.service
        if query.vm != self._mesh.node:
            self._report(service, query.vm, query.held)
        targets = self._members.usable(service)
        reply = self._try_give(query, self.select(targets))
        waiting = self._waiting.setdefault(service, [])
        seats = sum(one.capacity for one in targets)
        if reply or len(waiting) >= seats:
            return reply or SeatReply('')
        one = Waiting(
            time.monotonic() + query.max_wait,
            next(self._numbers),
            query,
            asyncio.get_running_loop().create_future(),
        )
        bisect.insort(waiting, one)
        try:
            return await self._wait(one)
        finally:
            waiting.remove(one)

    def serve(self, service: str) -> None:
        """Give free seats to the queries that wait, the most urgent first."""
        waiting = [
            one
            for one in self._waiting.get(service, ())
            if not one.reply.done()
        ]
        free = self.select(self._members.usable(service)) if waiting else ()
        for one in waiting:
            if not free:
                return
            reply = self._try_give(one.query, free)
            if reply:
                one.reply.set_result(reply)
                free = self.select(free)

    def select(self, targets: Sequence[Target]) -> tuple[Target, ...]:
        """Return the targets of one service that have a free seat."""
        if not targets:
            return ()
        knowledge = self._find_knowledge(targets[0].pool)
        now = time.monotonic()
        if not knowledge.is_known(now):
            return ()
        names = {one.name for one in self._members.machines()}
        share = knowledge.find_share(self._mesh.node, names, now)
        return tuple(
            target
            for target in targets
            if self._ledger.has_room(
                target.incarnation, max(1, round(target.capacity * share)), now
            )
        )

    async def _wait(self, one: Waiting) -> SeatReply:
        """Return the reply to a query, without a seat if none is in time."""
        while not one.reply.done():
            left = one.start_by - time.monotonic()
            if left <= 0:
                return SeatReply('')
            await asyncio.wait({one.reply}, timeout=min(left, POLL_SECONDS))
            if self._waiting[one.query.service][0] is one:
                self.serve(one.query.service)
        return one.reply.result()

    def _try_give(
        self, query: SeatQuery, free: Sequence[Target]
    ) -> SeatReply | None:
        """Give a seat at the emptiest target, the preferred one of equals."""
        avoided = set(query.avoided)
        candidates = [one for one in free if one.incarnation not in avoided]
        if not candidates:
            return None
        chosen = min(
            candidates,
            key=lambda one: (
                self._ledger.count(one.incarnation) / one.capacity,
                one.incarnation != query.preferred,
            ),
        )
        now = time.monotonic()
        seat = Seat(query.vm, now, now + query.left)
        self._ledger.take(chosen.incarnation, query.ident, seat)
        return SeatReply(chosen.incarnation)

    def _find_knowledge(self, service: str) -> SeatKnowledge:
        """Return what is known of a service's seats, and ask if need be."""
        now = time.monotonic()
        knowledge = self._knowledge[service]
        owner = self._owner_router.find_owner(service)
        if knowledge.observe_owner(is_owner=owner == self._mesh.node, now=now):
            self._metrics.count('seats_outdated')
            age = knowledge.find_age(now)
            get_logger().info('seats_outdated', service=service, age=age)
        if knowledge.is_due(now) and service not in self._collections:
            task = self._tasks.start(self._collect(service))
            self._collections[service] = task
        return knowledge

    async def _collect(self, service: str) -> None:
        """Ask all other VMs which seats they have taken."""
        asked_at = time.monotonic()
        try:
            told = await asyncio.gather(
                *(
                    self._collect_from(machine, service)
                    for machine in self._members.machines()
                    if machine.name != self._mesh.node
                )
            )
        finally:
            self._collections.pop(service, None)
        self._knowledge[service].record(
            tuple(filter(None, told)),
            asked_at,
            is_complete=all(told),
            now=time.monotonic(),
        )
        self.serve(service)

    async def _collect_from(self, machine: Machine, service: str) -> str:
        """Learn the seats of a VM and return its name, empty if it is lost."""
        try:
            link = await self._mesh.connect(
                machine.name, COLLECT_TIMEOUT_SECONDS
            )
            reply = await link.request(
                SeatsQuery(service), COLLECT_TIMEOUT_SECONDS
            )
        except PeerError as error:
            get_logger().info(
                'seats_unknown', peer=machine.name, reason=str(error)
            )
            return ''
        self._report(service, machine.name, reply.held)
        self._ledger.learn_given(reply.given, time.monotonic())
        return machine.name

    def _report(
        self, service: str, vm: str, held: tuple[HeldSeat, ...]
    ) -> None:
        targets = self._members.targets(service)
        incarnations = {one.incarnation for one in targets}
        self._ledger.report(vm, incarnations, held, time.monotonic())
