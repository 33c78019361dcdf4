"""Filling calls with pieces of many requests.

Pattern answered: a target of a stage works on one call at a time, a call
costs much and a piece in it little, and each request brings a few pieces.
Calls are filled over all requests that wait, the most urgent first, and
sent whenever a target is free, so that calls fill themselves as load grows.
"""

from collections.abc import Iterable
from typing import NamedTuple

from galenaswitch.gateway.calls import Piece
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target

# Part of the room for results that calls may fill.
ROOM_PART = 0.95
SMOOTHING = 0.3
# Slowest that a target is believed to be in relation to the others.
MOST_SLOWNESS = 20.0
LEAST_SLOWNESS = 0.5
# A target this many times slower than the fastest gets no calls while a
# faster one will be free before it would be done.
SLOW_FACTOR = 1.6
# Seconds for which a target that failed a call gets no other.
FAILURE_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 8.0


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
        :param zone: zone in which the results are preferred.
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
        self.handles: dict[int, str] = {}
        self.failure = ''
        self.repeats = 0

    def rank(self, now: float) -> tuple[bool, float]:
        """Order demands: those that can be on time, by their last start."""
        return (self.start_by < now, self.start_by)


class PieceCall(NamedTuple):
    """One call for pieces.

    :param expected: seconds that it should take.
    """

    target: Target
    pieces: tuple[tuple[Demand, Piece], ...]
    expected: float


class Worker:
    """What is known of one target of a stage."""

    def __init__(self) -> None:
        """Start idle."""
        self.calls = 0
        self.slowness = 1.0
        self.held_bytes = 0
        self.paused_until = 0.0
        self.free_at = 0.0
        self._pause = 0.0

    def learn(self, ratio: float) -> None:
        """Take the time of a call in relation to the expected one."""
        self._pause = 0.0
        seen = self.slowness * min(ratio, MOST_SLOWNESS)
        self.slowness += SMOOTHING * (seen - self.slowness)
        self.slowness = min(
            max(self.slowness, LEAST_SLOWNESS),
            MOST_SLOWNESS,
        )

    def wait_for_room(self, until: float) -> None:
        """Keep calls away for a moment; results have to be given up."""
        self.paused_until = max(self.paused_until, until)

    def pause(self, now: float) -> None:
        """Keep calls away after a failure, longer at each one."""
        doubled = max(self._pause * 2, FAILURE_PAUSE_SECONDS)
        self._pause = min(doubled, MAX_PAUSE_SECONDS)
        self.paused_until = now + self._pause


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
        targets: Iterable[Target],
        limits: BatchLimits,
        now: float,
    ) -> PieceCall | None:
        """Take pieces for the best free target.

        :returns: ``None`` when nothing waits or no target is free.
        """
        waiting = [one for one in self.demands.values() if one.unsent]
        if not waiting:
            return None
        waiting.sort(key=lambda demand: demand.rank(now))
        target = self._pick_target(targets, limits, waiting[0], now)
        if target is None:
            return None
        pieces = _fill(waiting, limits, self.worker(target))
        if not pieces:
            return None
        return self._start(target, pieces, limits, now)

    def finish(self, call: PieceCall) -> None:
        """Note that a call has ended, however it ended."""
        self.worker(call.target).calls -= 1

    def release(self, target: Target, size: int) -> None:
        """Note that results of ``size`` bytes were given up."""
        worker = self.worker(target)
        worker.held_bytes = max(0, worker.held_bytes - size)

    def expect_wait(
        self,
        targets: Iterable[Target],
        limits: BatchLimits,
        pieces: int,
    ) -> float:
        """Return the seconds until so many more pieces would be done."""
        count = max(1, sum(1 for _ in targets))
        whole = limits.call_seconds + limits.batch * limits.piece_seconds
        calls = -(-(self.waiting() + pieces) // limits.batch)
        rounds = -(-calls // (count * limits.slots))
        return rounds * whole

    def dump(self) -> dict[str, float]:
        """Return counts for the state dump."""
        return {
            'demands': len(self.demands),
            'waiting_pieces': self.waiting(),
            'calls': sum(one.calls for one in self._workers.values()),
        }

    def _pick_target(
        self,
        targets: Iterable[Target],
        limits: BatchLimits,
        first: Demand,
        now: float,
    ) -> Target | None:
        every = [(target, self.worker(target)) for target in targets]
        free = [
            (target, worker)
            for target, worker in every
            if worker.calls < limits.slots
            and worker.paused_until <= now
            and _has_room(worker, first, limits)
        ]
        if not free:
            return None
        fastest = min(worker.slowness for _, worker in every)
        quick = [
            pair for pair in free if pair[1].slowness <= fastest * SLOW_FACTOR
        ]
        if not quick and not self._is_worth_waiting_for(every, limits):
            quick = free
        if not quick:
            return None
        return min(quick, key=lambda pair: _rank(pair, first))[0]

    def _is_worth_waiting_for(
        self,
        every: list[tuple[Target, Worker]],
        limits: BatchLimits,
    ) -> bool:
        """Tell whether the faster targets can take what waits soon."""
        fastest = min(worker.slowness for _, worker in every)
        quick = sum(
            1 for _, worker in every if worker.slowness <= fastest * SLOW_FACTOR
        )
        return self.waiting() <= quick * limits.batch

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


def _rank(pair: tuple[Target, Worker], first: Demand) -> tuple[bool, float]:
    target, worker = pair
    return (target.zone != first.zone, worker.slowness)


def _has_room(worker: Worker, demand: Demand, limits: BatchLimits) -> bool:
    room = limits.room_bytes * ROOM_PART
    return worker.held_bytes + demand.result_bytes <= room


def _fill(
    waiting: list[Demand],
    limits: BatchLimits,
    worker: Worker,
) -> tuple[tuple[Demand, Piece], ...]:
    """Take pieces in order until the call or the room is full."""
    taken: list[tuple[Demand, Piece]] = []
    room = limits.room_bytes * ROOM_PART - worker.held_bytes
    for demand in waiting:
        while demand.unsent and len(taken) < limits.batch:
            if demand.result_bytes > room:
                break
            room -= demand.result_bytes
            taken.append((demand, demand.unsent.pop(0)))
    return tuple(taken)
