"""Seats at brittle targets: places for requests in flight.

A brittle target ends when it has to turn too many requests away for want of
room. So no request may be sent to it on trial: the owner of its service keeps
the requests in flight from all VMs within the slots of the target, and holds
off for a time after each refusal.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

# An answer without the notice ends it only this many seconds after the last
# one with it from any target of the service, because answers overtake others.
OVERTAKING_SECONDS = 2.0
# Seconds without new requests at a target that has turned one away.
HOLD_OFF_SECONDS = 1.0
# Part of them after which another refusal is told to other VMs.
REPEAT_SECONDS = 0.2
# Seconds for which a seat counts that its VM doesn't report as taken, because
# the reply that gives it may be on its way.
REPLY_SECONDS = 1.0
# Seconds for which a report may still name a seat that was freed, because its
# handling is delayed behind the message that freed the seat.
FREED_SECONDS = 2.0
# Seconds for which a reported seat counts. A VM that is lost reports no end.
REPORT_SECONDS = 5.0


class HeldSeat(NamedTuple):
    """A seat that is taken.

    :param ident: id of the seat.
    """

    incarnation: str
    ident: str


class Seat(NamedTuple):
    """Record of a seat.

    :param vm: VM that sends the request, empty for unknown.
    :param given_at: monotonic time at which it was given, in seconds.
    :param expires_at: monotonic time at which its request has ended.
    """

    vm: str
    given_at: float
    expires_at: float


class BrittleServices:
    """Services whose targets say that they are brittle.

    >>> services = BrittleServices()
    >>> services.observe('desk', 3, now=0)
    True
    >>> services.observe('desk', None, now=0.5)
    False
    >>> services.limits
    {'desk': 3}
    >>> services.observe('desk', None, now=3)
    True
    """

    def __init__(self) -> None:
        """Build a record without brittle services.

        The ``limits`` are the refusals in a second that a target of a service
        survives.
        """
        self.limits: dict[str, int] = {}
        self._named_at: dict[str, float] = {}

    def observe(self, service: str, limit: int | None, now: float) -> bool:
        """Apply what an answer of a target of a service says.

        :param limit: refusals in a second that the target survives, ``None``
            if the answer doesn't say that it is brittle.
        :returns: whether the known limit changed.
        """
        if limit is not None:
            self._named_at[service] = now
            is_news = self.limits.get(service) != limit
            self.limits[service] = limit
            return is_news
        named_at = self._named_at.get(service, now)
        if now - named_at < OVERTAKING_SECONDS:
            return False
        self.end(service)
        return True

    def end(self, service: str) -> bool:
        """Record that the targets of a service are no longer brittle.

        :returns: whether they were brittle.
        """
        self._named_at.pop(service, None)
        return self.limits.pop(service, None) is not None


class SeatLedger:
    """Seats that are taken, by the incarnation of their target.

    >>> ledger = SeatLedger()
    >>> ledger.take('t/1', 'one', Seat('a', 0, 9))
    >>> ledger.count('t/1'), ledger.has_room('t/1', 1, now=1)
    (1, False)
    >>> ledger.release('one')
    't/1'
    >>> ledger.has_room('t/1', 1, now=1)
    True
    """

    def __init__(self) -> None:
        """Build a ledger in which all seats are free."""
        self._seats: dict[str, dict[str, Seat]] = {}
        self._incarnations: dict[str, str] = {}
        self._idents: dict[str, set[str]] = {}
        self._held_off_until: dict[str, float] = {}
        self._freed_at: dict[str, float] = {}

    def take(self, incarnation: str, ident: str, seat: Seat) -> None:
        """Take a seat, also beyond the slots of its target."""
        self.release(ident)
        self._seats.setdefault(incarnation, {})[ident] = seat
        self._incarnations[ident] = incarnation
        self._idents.setdefault(seat.vm, set()).add(ident)

    def release(self, ident: str) -> str:
        """Free a seat and return the incarnation, empty if it was free."""
        incarnation = self._incarnations.pop(ident, '')
        seats = self._seats.get(incarnation, {})
        seat = seats.pop(ident, None)
        if seat:
            self._idents[seat.vm].discard(ident)
        if not seats:
            self._seats.pop(incarnation, None)
        return incarnation

    def end(self, ident: str, now: float) -> None:
        """Free the seat of a request that has ended.

        A report that was made before its end doesn't take it again.
        """
        self._freed_at[ident] = now
        self.release(ident)

    def report(
        self,
        vm: str,
        incarnations: set[str],
        held: Iterable[HeldSeat],
        now: float,
    ) -> None:
        """Replace the seats of a VM at some targets by those that it reports.

        :param incarnations: all targets that the report is about.
        """
        reported = {one.ident: one for one in held}
        for ident, seat in self._find_seats(vm):
            is_known = (
                ident in reported
                or now - seat.given_at < REPLY_SECONDS
                or self._incarnations[ident] not in incarnations
            )
            if not is_known:
                self.release(ident)
        for one in reported.values():
            if now - self._freed_at.get(one.ident, -math.inf) < FREED_SECONDS:
                continue
            seat = Seat(vm, now, now + REPORT_SECONDS)
            self.take(one.incarnation, one.ident, seat)

    def find_held(
        self, vm: str, incarnations: set[str]
    ) -> tuple[HeldSeat, ...]:
        """Return the seats of a VM at some targets."""
        return tuple(
            HeldSeat(self._incarnations[ident], ident)
            for ident, _ in self._find_seats(vm)
            if self._incarnations[ident] in incarnations
        )

    def find_given(
        self, vm: str, incarnations: set[str], now: float
    ) -> tuple[HeldSeat, ...]:
        """Return the seats of others than a VM that are new.

        Their VMs may not report them yet.

        :param incarnations: targets of the seats.
        """
        return tuple(
            HeldSeat(incarnation, ident)
            for incarnation in incarnations
            for ident, seat in self._seats.get(incarnation, {}).items()
            if seat.vm != vm and now - seat.given_at < REPLY_SECONDS
        )

    def learn_given(self, given: Iterable[HeldSeat], now: float) -> None:
        """Take the seats that another VM has given, unless they are known.

        Each is freed after some time unless its VM reports it.
        """
        for one in given:
            freed_at = self._freed_at.get(one.ident, -math.inf)
            is_known = one.ident in self._incarnations
            if not is_known and now - freed_at >= FREED_SECONDS:
                # It is too old to be passed on by this VM as a new one.
                seat = Seat('', now - REPLY_SECONDS, now + REPLY_SECONDS)
                self.take(one.incarnation, one.ident, seat)

    def hold_off(self, incarnation: str, now: float) -> bool:
        """Record that a target has turned a request away.

        :returns: whether the end of the time without requests moved by much.
        """
        known_end = self._held_off_until.get(incarnation, now)
        end = now + HOLD_OFF_SECONDS
        self._held_off_until[incarnation] = end
        return end - known_end > REPEAT_SECONDS

    def has_room(self, incarnation: str, slots: int, now: float) -> bool:
        """Tell whether a target has a free seat."""
        if self._held_off_until.get(incarnation, now) > now:
            return False
        return self.count(incarnation) < slots

    def count(self, incarnation: str) -> int:
        """Return the number of seats that are taken at a target."""
        return len(self._seats.get(incarnation, ()))

    def drop_expired(self, now: float) -> None:
        """Free the seats whose requests have ended, and forget refusals."""
        expired = [
            ident
            for seats in self._seats.values()
            for ident, seat in seats.items()
            if seat.expires_at < now
        ]
        for ident in expired:
            self.release(ident)
        self._freed_at = {
            ident: freed_at
            for ident, freed_at in self._freed_at.items()
            if now - freed_at < FREED_SECONDS
        }
        self._held_off_until = {
            incarnation: end
            for incarnation, end in self._held_off_until.items()
            if end > now
        }

    def _find_seats(self, vm: str) -> list[tuple[str, Seat]]:
        return [
            (ident, self._seats[self._incarnations[ident]][ident])
            for ident in self._idents.get(vm, ())
        ]
