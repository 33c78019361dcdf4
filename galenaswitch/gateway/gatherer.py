"""Making the pieces of a service's stages for all machines."""

import asyncio
import time
from collections.abc import Callable

from galenaswitch.errors import (
    GalenaError,
    InvalidInputError,
    TargetBusyError,
    TargetError,
    TargetUnreachableError,
)
from galenaswitch.gateway.calls import Load, Piece, PieceResult, Wire
from galenaswitch.gateway.inputs import InputReleases
from galenaswitch.gateway.messages import (
    HeldResults,
    PiecesCancel,
    PiecesQuestion,
    PiecesReply,
    ReleaseNote,
)
from galenaswitch.gateway.questions import (
    count_pieces,
    find_return,
    is_tight,
    make_demand,
)
from galenaswitch.gateway.results import StoredResult, StoredResults
from galenaswitch.gateway.rooms import Rooms
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.gateway.sending import Sender
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines.demands import Demand
from galenaswitch.pipelines.gathering import Gathering, PieceCall

# Seconds that a connection to a target may have been idle.
MAX_IDLE_SECONDS = 3.0
# A call is given up after its expected time this many times, and a pause.
PATIENCE_FACTOR = 2.5
PATIENCE_SECONDS = 0.3
# Sends of one piece, the first included.
MAX_SENDS = 3
# Seconds between two looks for free targets while pieces wait.
LOOK_SECONDS = 0.05
# Seconds for which a target without room for a result gets no calls.
ROOM_PAUSE_SECONDS = 0.1
_LATE = 'late'
_ROOM = 'room'
# Failure of pieces whose inputs are gone.
GONE = 'gone'
_FULL = 'out-of-capacity'
OK = 200


class Gatherer:
    """Pieces of one service."""

    def __init__(
        self,
        service: str,
        find_limits: Callable[[str], BatchLimits | None],
        members: Members,
        sender: Sender,
        wire: Wire,
        budgets: RetryBudgets,
        tasks: TaskGroup,
        give_up: Callable[[HeldResults], None],
    ) -> None:
        """Send calls to the ``members`` that serve ``service``.

        :param give_up: releases results that pieces have read.
        """
        self._inputs = InputReleases(give_up)
        self._service = service
        self._find_limits = find_limits
        self._members = members
        self._sender = sender
        self._wire = wire
        self._budgets = budgets
        self._tasks = tasks
        self._gathering = Gathering()
        self._done: dict[str, asyncio.Event] = {}
        self._stored = StoredResults(
            members,
            sender,
            wire,
            tasks,
            self._free_room,
        )
        self._rooms = Rooms(
            self._gathering,
            sender,
            wire,
            tasks,
            self._stored.add_unknown,
        )
        self._looking: asyncio.TimerHandle | None = None

    async def make(self, question: PiecesQuestion) -> PiecesReply:
        """Make the pieces of a question."""
        now = time.monotonic()
        if not count_pieces(question, self._budgets.of(self._service), now):
            return PiecesReply((), 'budget', 1)
        limits = self._find_limits(self._service)
        targets = self._members.usable(self._service)
        if limits is None or not targets:
            return PiecesReply((), 'no-target', 1)
        self._rooms.greet(targets, limits)
        key = f'{question.ident}/{question.pieces[0].stage}'
        demand = make_demand(question, now)
        wait = self._gathering.add(key, demand, targets, limits, now)
        if wait > question.left:
            self._gathering.remove(key)
            get_logger().info(
                'pieces_refused',
                request=question.ident,
                service=self._service,
                wait=round(wait, 3),
                left=round(question.left, 3),
                waiting=self._gathering.waiting(),
            )
            clear = self._gathering.find_clear(targets, limits)
            return PiecesReply(
                (),
                _FULL,
                find_return(wait, question.left, clear),
            )
        return await self._wait(key, demand, question)

    def cancel(self, message: PiecesCancel) -> None:
        """Forget the pieces of a request that have not been sent."""
        for key in list(self._done):
            if key.startswith(f'{message.ident}/'):
                self._gathering.remove(key)
                self._done[key].set()

    def release(self, message: ReleaseNote) -> None:
        """Give results up."""
        self._stored.release(message.handles)

    def dump(self) -> dict[str, float]:
        """Return counts for the state dump."""
        return {**self._gathering.dump(), 'stored': len(self._stored)}

    async def _wait(
        self,
        key: str,
        demand: Demand,
        question: PiecesQuestion,
    ) -> PiecesReply:
        done = asyncio.Event()
        self._replace(key, done)
        self._look()
        try:
            async with asyncio.timeout(question.left):
                await done.wait()
        except TimeoutError:
            demand.failure = demand.failure or _LATE
        finally:
            if self._done.get(key) is done:
                self._gathering.remove(key)
                self._done.pop(key)
        if demand.missing:
            self._stored.release(tuple(demand.handles.values()))
            failure = 'replaced' if key in self._done else 'cancelled'
            return PiecesReply((), demand.failure or failure, 0.1)
        handles = tuple(
            demand.handles[piece.number] for piece in question.pieces
        )
        return PiecesReply(
            handles,
            inputs_freed=demand.inputs_freed,
            late=demand.late,
            tight=is_tight(
                self._gathering.find_most_held(self._stored.makers(handles)),
                self._find_limits(self._service),
            ),
        )

    def _replace(self, key: str, done: asyncio.Event) -> None:
        """Wait for ``key``; whoever asked before gets no reply any more."""
        before = self._done.get(key)
        if before:
            before.set()
        self._done[key] = done

    def _free_room(self, stored: StoredResult) -> None:
        self._gathering.release(stored.target, stored.size)

    def _look(self) -> None:
        """Start all calls that can be started now."""
        if self._looking:
            self._looking.cancel()
            self._looking = None
        self._stored.drop_expired()
        limits = self._find_limits(self._service)
        if limits:
            self._refuse_hopeless(limits)
        while limits:
            call = self._gathering.next_call(
                self._members.usable(self._service),
                limits,
                time.monotonic(),
            )
            if call is None:
                break
            self._tasks.start(self._run(call, limits))
            worker = self._gathering.worker(call.target)
            self._inputs.watch(call, worker)
        if self._gathering.waiting():
            loop = asyncio.get_running_loop()
            self._looking = loop.call_later(LOOK_SECONDS, self._look)

    def _refuse_hopeless(self, limits: BatchLimits) -> None:
        """Refuse at once what can't be made in time any more."""
        now = time.monotonic()
        targets = self._members.usable(self._service)
        for key in self._gathering.find_hopeless(targets, limits, now):
            demand = self._gathering.demands[key]
            demand.failure = _FULL
            self._gathering.remove(key)
            get_logger().info(
                'pieces_hopeless',
                request=demand.ident,
                service=self._service,
                left=round(demand.deadline - now, 3),
                waiting=self._gathering.waiting(),
                targets=len(targets),
            )
            self._finish(key)

    async def _run(self, call: PieceCall, limits: BatchLimits) -> None:
        begun = time.monotonic()
        worker = self._gathering.worker(call.target)
        try:
            made = await self._send(call)
        except (TargetError, InvalidInputError) as error:
            worker.pause(time.monotonic())
            get_logger().info(
                'pieces_failed',
                service=self._service,
                target=call.target.name,
                requests=[demand.ident for demand, _ in call.pieces],
                failure=type(error).__name__,
                reason=str(error),
                seconds=round(time.monotonic() - begun, 3),
            )
            self._fail(call, error, limits)
        else:
            seconds = time.monotonic() - begun
            worker.learn(seconds / max(call.expected, limits.call_seconds))
            self._take(call, made, limits)
            self._gathering.note_made(len(made), time.monotonic())
            get_logger().info(
                'pieces_made',
                service=self._service,
                target=call.target.name,
                requests=[demand.ident for demand, _ in call.pieces],
                failures=[one.failure for one in made if one.failure],
                seconds=round(seconds, 3),
                expected=round(call.expected, 3),
                waiting=self._gathering.waiting(),
                held_bytes=round(worker.held_bytes),
                stored=len(self._stored),
            )
        finally:
            self._gathering.finish(call)
            self._look()

    async def _send(self, call: PieceCall) -> tuple[PieceResult, ...]:
        now = time.monotonic()
        pieces = tuple(piece for _, piece in call.pieces)
        left = tuple(demand.deadline - now for demand, _ in call.pieces)
        head, body = self._wire.make_pieces(pieces, left, call.target)
        seconds = call.expected * PATIENCE_FACTOR + PATIENCE_SECONDS
        async with self._sender.send(
            call.target.url,
            head,
            body,
            MAX_IDLE_SECONDS,
        ) as attempt:
            answer = await attempt.read_head(seconds)
            content = await attempt.read_whole(seconds)
        self._note_load(call, self._wire.read_load(answer))
        if self._wire.is_not_run(answer):
            raise TargetBusyError(f'status {answer.status}')
        if answer.status != OK:
            raise InvalidInputError(f'status {answer.status}')
        outcomes = self._wire.read_pieces(content)
        if len(outcomes) != len(call.pieces):
            raise InvalidInputError('not one outcome for each piece')
        return outcomes

    def _note_load(self, call: PieceCall, load: Load | None) -> None:
        """Note that others send calls to a target too.

        The load is that of the answer, so the answered call counts no more.
        """
        worker = self._gathering.worker(call.target)
        if load and load.running + load.waiting >= worker.calls:
            worker.share(time.monotonic())

    def _take(
        self,
        call: PieceCall,
        outcomes: tuple[PieceResult, ...],
        limits: BatchLimits,
    ) -> None:
        full = False
        until = time.monotonic() + limits.keep_seconds
        for (demand, piece), made in zip(call.pieces, outcomes, strict=True):
            size = demand.result_bytes
            if not made.handle:
                self._gathering.release(call.target, size)
                self._retry(demand, piece, made.failure)
                full = full or made.failure == _ROOM
                continue
            self._stored.add(
                made.handle,
                StoredResult(call.target, size, until),
            )
            self._accept(demand, piece, made.handle)
        if full:
            self._rooms.ask(call.target, limits)
            self._gathering.worker(call.target).wait_for_room(
                time.monotonic() + ROOM_PAUSE_SECONDS,
            )

    def _accept(self, demand: Demand, piece: Piece, handle: str) -> None:
        key = f'{demand.ident}/{piece.stage}'
        waits = self._gathering.demands.get(key) is demand
        if not waits or piece.number in demand.handles:
            self._stored.release((handle,))
            return
        demand.handles[piece.number] = handle
        demand.missing -= 1
        if not demand.missing:
            self._done[key].set()

    def _fail(
        self,
        call: PieceCall,
        error: GalenaError,
        limits: BatchLimits,
    ) -> None:
        """Let the pieces of a failed call wait again.

        The target may make results all the same, which take room there.
        """
        size = sum(demand.result_bytes for demand, _ in call.pieces)
        if isinstance(error, (TargetBusyError, TargetUnreachableError)):
            self._gathering.release(call.target, size)
        else:
            until = time.monotonic() + call.expected + limits.keep_seconds
            self._stored.add_unknown(StoredResult(call.target, size, until))
        for demand, piece in call.pieces:
            self._retry(demand, piece, type(error).__name__)

    def _retry(self, demand: Demand, piece: Piece, failure: str) -> None:
        """Let a piece wait again, or fail its request."""
        key = f'{demand.ident}/{piece.stage}'
        if self._gathering.demands.get(key) is not demand:
            return
        demand.repeats += 1
        if demand.inputs_freed:
            failure = GONE
        if self._may_repeat(demand, failure):
            demand.unsent.insert(0, piece)
            return
        demand.failure = failure
        self._finish(key)

    def _may_repeat(self, demand: Demand, failure: str) -> bool:
        now = time.monotonic()
        if now >= demand.deadline or failure in {_LATE, GONE}:
            return False
        if failure == _ROOM:
            return True
        if demand.repeats >= MAX_SENDS * (demand.missing + 1):
            return False
        return self._budgets.of(self._service).acquire(now)

    def _finish(self, key: str) -> None:
        done = self._done.get(key)
        if done:
            done.set()
