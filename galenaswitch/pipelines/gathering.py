"""Filling calls with pieces of many requests.

Pattern answered: a target of a stage works on one call at a time, a call
costs much and a piece in it little, and each request brings a few pieces.
Calls are filled over all requests that wait, the most urgent first, and
sent whenever a target is free, so that calls fill themselves as load grows.

Results take room at their makers until all pieces of their request are made
and read. A request is begun only when there is room for all of its pieces:
half-made ones would hold room that none can use.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from galenaswitch.gateway.calls import Piece
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.workers import Worker

# A target this many times slower than the fastest gets no calls while the
# faster ones can take what waits.
SLOW_FACTOR = 1.6
# A request that waits for room keeps back those behind it whose results are
# larger than this part of its own.
BLOCKING_PART = 0.25


class Demand:
    """The pieces of one stage of one request."""

    def __init__(
        self,
        ident: str,
        pieces: Iterable[Piece],
        result_bytes: int,
        zone: str,
        start_by: float,
        deadline: float,
    ) -> None:
        """Ask for ``pieces``.

        :param result_bytes: size of one result.
        :param zone: zone in which the results are preferred, empty for any.
        :param start_by: monotonic time until which a call has to start so
            that the request can be on time.
        :param deadline: monotonic time after which results are of no use.
        """
        self.ident = ident
        self.unsent = list(pieces)
        self.missing = len(self.unsent)
        self.result_bytes = result_bytes
        self.zone = zone
        self.start_by = start_by
        self.deadline = deadline
        self.begun = False
        self.handles: dict[int, str] = {}
        self.failure = ''
        self.repeats = 0

    def rank(self, now: float) -> tuple[bool, bool, float]:
        """Order demands: begun ones, then those that can be on time."""
        return (not self.begun, self.start_by < now, self.start_by)


class PieceCall(NamedTuple):
    """One call for pieces.

    :param expected: seconds that it should take.
    """

    target: Target
    pieces: tuple[tuple[Demand, Piece], ...]
    expected: float


class Gathering:
    """Pieces that wait for the targets of one service."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self.demands: dict[str, Demand] = {}
        self._workers: dict[str, Worker] = {}

    def add(self, key: str, demand: Demand) -> None:
        """Let a demand wait."""
        self.demands[key] = demand

    def remove(self, key: str) -> None:
        """Forget a demand that has ended."""
        self.demands.pop(key, None)

    def waiting(self) -> int:
        """Return the pieces that no call has taken."""
        return sum(len(demand.unsent) for demand in self.demands.values())

    def worker(self, target: Target) -> Worker:
        """Return what is known of a target."""
        return self._workers.setdefault(target.incarnation, Worker())

    def next_call(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
    ) -> PieceCall | None:
        """Take pieces for the best free target.

        :returns: ``None`` when nothing can be sent now.
        """
        waiting = [one for one in self.demands.values() if one.unsent]
        if not waiting:
            return None
        waiting.sort(key=lambda demand: demand.rank(now))
        first = waiting[0].zone
        for target in self._order_free(targets, limits, first, now):
            filling = _Filling(self, target, targets, limits, now)
            pieces = filling.take(waiting)
            if pieces:
                return self._start(target, pieces, limits, now)
        return None

    def finish(self, call: PieceCall) -> None:
        """Note that a call has ended, however it ended."""
        self.worker(call.target).calls -= 1

    def release(self, target: Target, size: int) -> None:
        """Note that results of ``size`` bytes were given up."""
        self.worker(target).release(size)

    def dump(self) -> dict[str, float]:
        """Return counts for the state dump."""
        return {
            'demands': len(self.demands),
            'waiting_pieces': self.waiting(),
            'calls': sum(one.calls for one in self._workers.values()),
            'held_bytes': sum(one.held_bytes for one in self._workers.values()),
        }

    def _order_free(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        zone: str,
        now: float,
    ) -> list[Target]:
        """Return the free targets, the best first."""
        every = [(target, self.worker(target)) for target in targets]
        if not every:
            return []
        free = [
            (target, worker)
            for target, worker in every
            if worker.calls < limits.slots and worker.paused_until <= now
        ]
        fastest = min(worker.slowness for _, worker in every)
        quick = [
            target
            for target, worker in every
            if worker.slowness <= fastest * SLOW_FACTOR
        ]
        if self.waiting() <= len(quick) * limits.batch:
            free = [pair for pair in free if pair[0] in quick]
        free.sort(key=lambda pair: (pair[0].zone != zone, pair[1].slowness))
        return [target for target, _ in free]

    def _start(
        self,
        target: Target,
        pieces: tuple[tuple[Demand, Piece], ...],
        limits: BatchLimits,
        now: float,
    ) -> PieceCall:
        worker = self.worker(target)
        worker.calls += 1
        worker.held_bytes += sum(demand.result_bytes for demand, _ in pieces)
        plain = limits.call_seconds + len(pieces) * limits.piece_seconds
        expected = plain * worker.slowness
        worker.free_at = now + expected
        return PieceCall(target, pieces, expected)


class _Filling:
    """One call that is being filled for a target."""

    def __init__(
        self,
        gathering: Gathering,
        target: Target,
        targets: Sequence[Target],
        limits: BatchLimits,
        now: float,
    ) -> None:
        self._gathering = gathering
        self._target = target
        self._targets = targets
        self._limits = limits
        self._now = now
        worker = gathering.worker(target)
        self._room = limits.room_bytes - worker.held_bytes
        self._taken: list[tuple[Demand, Piece]] = []
        self._ahead: dict[str, int] = {}

    def take(
        self,
        waiting: list[Demand],
    ) -> tuple[tuple[Demand, Piece], ...]:
        """Take pieces in the order of ``waiting``."""
        blocked = 0.0
        for demand in waiting:
            if len(self._taken) >= self._limits.batch:
                break
            if blocked and demand.result_bytes > blocked * BLOCKING_PART:
                continue
            if self._waits_at_home(demand):
                continue
            if not demand.begun and not self._has_room(demand):
                blocked = max(blocked, demand.result_bytes)
                continue
            self._add(demand)
        return tuple(self._taken)

    def _add(self, demand: Demand) -> None:
        while demand.unsent and len(self._taken) < self._limits.batch:
            if demand.result_bytes > self._room:
                return
            demand.begun = True
            self._room -= demand.result_bytes
            self._taken.append((demand, demand.unsent.pop(0)))

    def _has_room(self, demand: Demand) -> bool:
        """Tell whether all pieces of a demand have room somewhere."""
        size = demand.result_bytes
        if not size:
            return True
        places = self._room // size
        for target in self._targets:
            if target is not self._target:
                worker = self._gathering.worker(target)
                places += (self._limits.room_bytes - worker.held_bytes) // size
        promised = sum(
            len(other.unsent) * other.result_bytes
            for other in self._gathering.demands.values()
            if other.begun
        )
        most = len(self._targets) * (self._limits.room_bytes // size)
        wanted = min(len(demand.unsent), most)
        return places - promised / size >= wanted

    def _waits_at_home(self, demand: Demand) -> bool:
        """Tell whether a demand can be on time at a target of its zone."""
        if not demand.zone or demand.zone == self._target.zone:
            return False
        free = [
            self._gathering.worker(target).free_at
            for target in self._targets
            if target.zone == demand.zone
        ]
        if not free:
            return False
        ahead = self._ahead.get(demand.zone, 0)
        self._ahead[demand.zone] = ahead + len(demand.unsent)
        whole = self._limits.call_seconds
        whole += self._limits.batch * self._limits.piece_seconds
        rounds = ahead // (self._limits.batch * len(free))
        start = max(self._now, min(free)) + rounds * whole
        return start <= demand.start_by
