"""Placement of requests on the engines of a service.

The VM that owns a service places the requests of all VMs. A request waits in a
queue until an engine has capacity, and the most urgent request is placed first.
"""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from galenaswitch.admission.assignment import (
    AssignmentPass,
    EngineAssignment,
    SeatKeeper,
)
from galenaswitch.admission.control import (
    AdmissionControl,
    Applicant,
    Refusal,
)
from galenaswitch.admission.expiry import Expiries
from galenaswitch.admission.queue import PlacementQueue, Waiting
from galenaswitch.admission.turns import find_useful_wait
from galenaswitch.gateway.messages import (
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    PlaceReply,
)
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.limits.pacing import Pacer
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import LocalMetrics, Metrics
from galenaswitch.routing.engine_states import Placement

# Longest time in seconds between two checks of a waiting request. A change in
# placements starts a pass over the waiting requests earlier.
RECHECK_SECONDS = 0.1
# Shortest time in seconds that an engine needs for a request. The wait for a
# placement ends this long before the time given in the query runs out.
MIN_RUN_SECONDS = 0.1


class Pending(NamedTuple):
    """A query that isn't answered yet.

    :param asked_at: monotonic time at which it arrived, in seconds.
    :param applicant: what admission needs to know of the request.
    """

    query: PlaceQuestion
    asked_at: float
    applicant: Applicant
    reply: asyncio.Future[PlaceReply]

    @property
    def wait_deadline(self) -> float:
        """Monotonic time in seconds at which its wait ends."""
        return self.asked_at + self.query.left - MIN_RUN_SECONDS


class PlacementScheduler:
    """Assigns the requests for one service to its engines."""

    def __init__(
        self,
        service: str,
        find_limits: Callable[[str], EngineLimits | None],
        members: Members,
        pacer: Pacer,
        seats: SeatKeeper | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Build a scheduler for the ``members`` that serve ``service``.

        :param find_limits: returns the engine limits of a service, ``None``
            when the configuration has none.
        :param pacer: turns at engines that have named a limit.
        :param seats: seats at engines, ``None`` if none is ever brittle.
        """
        self._assignment = EngineAssignment(
            service, find_limits, members, pacer, seats
        )
        self._queue = PlacementQueue()
        self._control = AdmissionControl(
            service, self._queue, metrics or LocalMetrics()
        )
        self._expiries = Expiries()
        self._pending: dict[str, Pending] = {}
        self._arrived: dict[str, Waiting] = {}
        self._numbers = itertools.count()
        self._next_pass: asyncio.Handle | None = None
        self._next_check: asyncio.Handle | None = None
        self._next_check_at = 0.0

    async def place(self, query: PlaceQuestion) -> PlaceReply:
        """Return an engine for a request, waiting until one has capacity.

        The reply names no engine when none has capacity in time.
        """
        now = time.monotonic()
        self._assignment.learn_limits(query, now)
        self._withdraw(query.ident)
        loop = asyncio.get_running_loop()
        pending = Pending(
            query, now, _make_applicant(query, now), loop.create_future()
        )
        self._pending[query.ident] = pending
        is_returning = self._control.record_arrival(query.fingerprint, now)
        waiting = Waiting(
            query.ident,
            query.start_in < 0,
            query.priority,
            not (is_returning or query.avoided),
            now + query.start_in,
            next(self._numbers),
        )
        self._queue.add(waiting)
        self._arrived[query.ident] = waiting
        self._notify_waiting()
        self._schedule_check(pending.wait_deadline - now)
        try:
            return await pending.reply
        finally:
            if self._pending.get(query.ident) is pending:
                self._forget(query.ident)

    def record_first_event(self, message: PlaceFirst) -> None:
        """Record that the engine sent the first event of a request."""
        now = time.monotonic()
        self._assignment.placements.record_first_event(message.ident, now)
        self._control.measured.record_first_event(message.ident, now)

    def record_end(self, message: PlaceEnd) -> None:
        """Release the placement of an attempt that ended, or end its wait.

        The outcome counts as a success or failure of the engine.
        """
        now = time.monotonic()
        if message.ident not in self._expiries:
            # The task of a query that came just before may not have begun.
            # Without a running loop there is none.
            with contextlib.suppress(RuntimeError):
                loop = asyncio.get_running_loop()
                loop.call_soon(self._withdraw, message.ident)
        self._withdraw(message.ident)
        self._expiries.drop(message.ident)
        self._assignment.record_end(message, now)
        self._control.measured.end(message.ident, now)
        self._notify_waiting()

    def dump(self) -> dict[str, object]:
        """Return the queue length and the state of each engine."""
        return {'waiting': len(self._queue), **self._assignment.dump()}

    def _notify_waiting(self) -> None:
        """Start a pass in the next iteration of the event loop.

        All changes of one iteration are covered by one pass.
        """
        if len(self._queue) and self._next_pass is None:
            loop = asyncio.get_running_loop()
            self._next_pass = loop.call_soon(self._run_pass)

    def _run_pass(self) -> None:
        """Place what fits, and reject what has arrived in vain."""
        self._next_pass = None
        now = time.monotonic()
        self._drop_expired(now)
        self._queue.demote_late(now)
        placer = AssignmentPass(
            self._assignment, lambda ident: self._pending[ident].query, now
        )
        is_ended_early = self._queue.run_pass(placer)
        for ident, placement in placer.placed.items():
            self._record_placement(self._pending[ident], placement, now)
        if is_ended_early:
            self._notify_waiting()
            return
        arrived = self._arrived
        self._arrived = {}
        for ident in arrived:
            self._judge(ident, now)

    def _record_placement(
        self, pending: Pending, placement: Placement, now: float
    ) -> None:
        query = pending.query
        self._expiries.record(query.ident, pending.asked_at + query.longest)
        self._control.measured.begin(query.ident, query.answer_tokens, now)
        arrived = self._arrived.pop(query.ident, None)
        if arrived:
            self._control.record_admitted(arrived, now)
        get_logger().info(
            'place_given',
            request=query.request or query.ident,
            placement=query.ident,
            target=placement.target.name,
            new_tokens=placement.new_tokens,
            first=round(placement.first_event_seconds, 3),
            running=self._assignment.placements.count_in_progress(),
        )
        reply = PlaceReply(
            placement.target.name,
            waited=now - pending.asked_at,
            load=self._assignment.placements.find_load(query.ident),
        )
        self._answer(query.ident, reply)

    def _schedule_check(self, seconds: float) -> None:
        """Let the next check of all waiting requests follow in time."""
        loop = asyncio.get_running_loop()
        due = loop.time() + min(max(0, seconds), RECHECK_SECONDS)
        if self._next_check and self._next_check_at > due:
            self._next_check.cancel()
            self._next_check = None
        if self._next_check is None:
            self._next_check_at = due
            self._next_check = loop.call_at(due, self._check_all)

    def _check_all(self) -> None:
        """Check all waiting requests, and place what time alone lets fit."""
        self._next_check = None
        now = time.monotonic()
        try:
            self._run_pass()
            for ident in tuple(self._pending):
                self._check(ident, now)
            self._refuse(
                self._control.find_hopeless(
                    lambda ident: self._pending[ident].applicant, now
                )
            )
        finally:
            if self._pending:
                due = min(one.wait_deadline for one in self._pending.values())
                self._schedule_check(due - now)

    def _check(self, ident: str, now: float) -> None:
        """Reject a request whose wait is over, or is too long for a turn."""
        pending = self._pending.get(ident)
        if pending is None:
            return
        excess = self._find_excess_wait(pending, now)
        if now >= pending.wait_deadline or excess > 0:
            applicant = pending.applicant
            self._refuse(self._control.refuse(applicant, excess, now))

    def _judge(self, ident: str, now: float) -> None:
        """Decide whether a request that has arrived may wait."""
        self._check(ident, now)
        pending = self._pending.get(ident)
        if pending:
            self._refuse(self._control.judge(pending.applicant, now))

    def _refuse(self, refusals: Iterable[Refusal]) -> None:
        for refusal in refusals:
            self._answer(
                refusal.ident,
                PlaceReply('', refusal.retry_after, refusal.reason.value),
            )

    def _withdraw(self, ident: str) -> None:
        """End the wait of a request that needs no placement, if it waits."""
        if ident in self._pending:
            self._answer(ident, PlaceReply(''))

    def _answer(self, ident: str, reply: PlaceReply) -> None:
        pending = self._pending[ident]
        self._forget(ident)
        if not pending.reply.done():
            pending.reply.set_result(reply)

    def _forget(self, ident: str) -> None:
        self._pending.pop(ident, None)
        self._arrived.pop(ident, None)
        self._queue.remove(ident)

    def _find_excess_wait(self, pending: Pending, now: float) -> float:
        """Return by how much the wait for a turn exceeds a useful wait."""
        if not self._assignment.has_limits:
            return 0
        query = pending.query
        waited = now - pending.asked_at
        ahead = self._queue.count_ahead(self._queue.find(query.ident))
        wait = self._assignment.find_turn_wait(query, ahead, now)
        return wait - find_useful_wait(
            query.start_in - waited, query.left - waited
        )

    def _drop_expired(self, now: float) -> None:
        """Release placements when the time given in their query has run out.

        A VM that is lost never reports the end of its requests.
        """
        for ident in self._expiries.pop_expired(now):
            self._assignment.placements.record_end(ident)
            self._control.measured.drop(ident)


def _make_applicant(query: PlaceQuestion, asked_at: float) -> Applicant:
    """Return what admission needs to know of a request."""
    return Applicant(
        query.ident,
        query.request or query.ident,
        query.fingerprint,
        query.answer_tokens,
        asked_at + query.start_in,
        asked_at + query.left,
        asked_at + query.complete_in,
        query.complete_in,
    )
