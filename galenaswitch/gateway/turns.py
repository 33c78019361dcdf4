"""Turns at targets that name how many requests a second they take.

Each VM reads the limits from the answers that it gets and tells the others. The
owner of a service gives out the turns at the service's targets. A cold target
has a limit that ends with its cold time.
"""

import time
from collections.abc import Sequence
from itertools import starmap
from typing import Any

from galenaswitch.cold.targets import ColdTargets
from galenaswitch.errors import PeerError
from galenaswitch.gateway.messages import (
    ColdTime,
    LimitsQuery,
    LimitsReply,
    TargetLimit,
    TurnQuery,
    TurnReply,
)
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.gateway.seats import Seats
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members, Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup

REPLY_TIMEOUT_SECONDS = 1.0


class Turns:
    """Limits of targets, and the turns at them.

    :ivar seats: seats at targets that must not turn requests away.
    :ivar cold: targets whose limit ends with their cold time.
    """

    def __init__(
        self,
        members: Members,
        mesh: Mesh,
        owner_router: OwnerRouter,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        """Build turns without a known limit."""
        self.seats = Seats(members, mesh, owner_router, metrics, tasks)
        self.cold = ColdTargets(members, mesh, owner_router, metrics, tasks)
        self.pacer = self.cold.pacer
        self._members = members
        self._mesh = mesh
        self._owner_router = owner_router
        self._metrics = metrics

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {
            TargetLimit: self._receive_limit,
            LimitsQuery: self._answer_limits_query,
            TurnQuery: self._answer_turn_query,
            **self.seats.handlers(),
            **self.cold.handlers(),
        }

    @property
    def rates(self) -> dict[str, float]:
        """Limits in force, by incarnation."""
        self.pacer.refresh(time.monotonic())
        return self.pacer.rates

    async def on_link_open(self, link: Link) -> None:
        """Learn the limits that a peer knows whose link has just opened."""
        try:
            reply = await link.request(LimitsQuery(), REPLY_TIMEOUT_SECONDS)
        except PeerError as error:
            get_logger().info(
                'limits_unknown', peer=link.peer.node, reason=str(error)
            )
            return
        for limit in reply.limits:
            if limit.incarnation not in self.pacer.named_rates:
                self._apply(limit, link)

    def observe(self, target: Target, rate: float | None) -> None:
        """Apply what an answer of a target says about its limit.

        :param rate: requests per second, ``None`` when the answer has none.
        """
        now = time.monotonic()
        if self.pacer.observe(target.incarnation, rate, now):
            named_rate = self.pacer.named_rates.get(target.incarnation, 0)
            self._spread(TargetLimit(target.incarnation, named_rate), None)

    async def find_turn(
        self, service: str, targets: Sequence[Target], max_wait: float
    ) -> tuple[Target | None, float]:
        """Get a turn at one of several targets with limits.

        :param targets: targets, the preferred one first.
        :param max_wait: longest useful wait for a turn in seconds.
        :returns: the target, ``None`` when no turn is near enough; and the
            seconds until the turn, or until the next one of any target.
        """
        targets_by_incarnation = {one.incarnation: one for one in targets}
        limits = self.find_limits(targets)
        cold = self.find_cold_times(targets)
        query = TurnQuery(service, limits, max_wait, cold)
        _, reply = await self._owner_router.query(
            service, query, REPLY_TIMEOUT_SECONDS, self._give_turn
        )
        return targets_by_incarnation.get(reply.incarnation), reply.wait

    def find_limits(self, targets: Sequence[Target]) -> tuple[TargetLimit, ...]:
        """Return the known limits of some targets, in their order."""
        rates = self.rates
        return tuple(
            TargetLimit(target.incarnation, rates[target.incarnation])
            for target in targets
            if target.incarnation in rates
        )

    def find_cold_times(
        self, targets: Sequence[Target]
    ) -> tuple[ColdTime, ...]:
        """Return for how long some targets are cold."""
        return tuple(
            ColdTime(target.incarnation, self.cold.find_left(target))
            for target in targets
            if self.cold.is_cold(target)
        )

    def take(self, target: Target) -> float:
        """Take a turn at a target of a service that this VM owns.

        :returns: monotonic time of the next turn.
        """
        now = time.monotonic()
        self.pacer.take(target.incarnation, now)
        return now + self.pacer.find_wait(target.incarnation, now)

    def forget_ended(self) -> None:
        """Forget the limits of targets that are gone, and unused seats."""
        self.seats.forget_ended()
        self.pacer.refresh(time.monotonic(), is_forced=True)
        self.pacer.retain(
            {one.incarnation for one in self._members.member_list.targets}
        )

    async def _give_turn(self, query: TurnQuery) -> TurnReply:
        """Give the first turn of a target, the preferred one of equals."""
        now = time.monotonic()
        self.pacer.learn_all(query.service, query.limits, query.cold, now)
        incarnations = [limit.incarnation for limit in query.limits]
        waits = [self.pacer.find_wait(one, now) for one in incarnations]
        wait = min(waits)
        horizon = self.pacer.find_horizon(incarnations[waits.index(wait)], now)
        if wait > min(query.max_wait, horizon):
            return TurnReply('', wait)
        incarnation = incarnations[waits.index(wait)]
        return TurnReply(incarnation, self.pacer.take(incarnation, now))

    async def _answer_turn_query(
        self, link: Link, query: TurnQuery
    ) -> TurnReply:
        return await self._give_turn(query)

    async def _answer_limits_query(
        self, link: Link, query: LimitsQuery
    ) -> LimitsReply:
        return LimitsReply(
            tuple(starmap(TargetLimit, self.pacer.named_rates.items()))
        )

    async def _receive_limit(self, link: Link, message: TargetLimit) -> None:
        self._apply(message, link)

    def _apply(self, limit: TargetLimit, source: Link) -> None:
        """Apply a limit that another VM has observed."""
        is_news = limit.incarnation in self.pacer.named_rates
        if limit.rate:
            now = time.monotonic()
            is_news = self.pacer.set_rate(limit.incarnation, limit.rate, now)
        else:
            self.pacer.remove(limit.incarnation)
        if is_news:
            self._spread(limit, source)

    def _spread(self, limit: TargetLimit, source: Link | None) -> None:
        get_logger().info(
            'target_limit', incarnation=limit.incarnation, rate=limit.rate
        )
        self._metrics.count('target_limit')
        self._mesh.spread(limit, source)
