"""The stages of one request, each begun when those before it are done."""

import asyncio
import time
from collections.abc import Callable, Iterable
from itertools import chain
from typing import NamedTuple

from galenaswitch.gateway.batcher import Batcher
from galenaswitch.gateway.calls import CallerRequest, Wire, WorkItem
from galenaswitch.gateway.messages import (
    HeldResults,
    PiecesCancel,
    PiecesQuestion,
    PiecesReply,
    ReleaseNote,
)
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.gateway.routes import RouteTable
from galenaswitch.gateway.times import (
    LARGE_RESULT_BYTES,
    EngineTimes,
    StageTimes,
)
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from galenaswitch.routing.engines import assign_engine

# Seconds that a reply may take beyond the time in which it is of use.
REPLY_SLACK_SECONDS = 0.1
# Seconds that a request needs at the least behind its stages.
LEAST_ENGINE_SECONDS = 0.05


class StageResults(NamedTuple):
    """Results that a request reads.

    :param handles: where they lie, in the order of stages and work items.
    :param zone_bytes: size of the results in each zone.
    :param tight: whether a maker of them is short of room.
    """

    handles: tuple[str, ...]
    zone_bytes: dict[str, int]
    tight: bool = False


class StageJob:
    """The stages of one request."""

    def __init__(
        self,
        request: CallerRequest,
        table: RouteTable,
        runner: 'StageRunner',
        end: float,
        *,
        again: bool,
    ) -> None:
        """Run the stages of ``request`` as ``table`` has them.

        Once one stage has found that the request can't be on time, the
        others are told.

        :param end: monotonic time at which the results are of no use.
        :param again: whether they were made before and are lost.
        """
        self._end = end
        self._again = again
        self.released = False
        self.late = again
        self._request = request
        self._runner = runner
        self._handles: dict[int, tuple[str, ...]] = {}
        self._owners: dict[str, str] = {}
        self._made_at: dict[int, float] = {}
        self._tight: set[int] = set()
        self._stages = request.route.stages
        self._times = StageTimes(request, table)
        self._done = [asyncio.Event() for _ in self._stages]

    async def run(self) -> StageResults:
        """Run all stages.

        :returns: the results that the request itself reads.
        :raises RefusedError: when one can't be made in time.
        """
        tasks = [
            asyncio.create_task(self._run_stage(number))
            for number, _ in enumerate(self._done)
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
        final = self._request.route.final_stages()
        read = [self._handles[number] for number in final]
        return StageResults(
            tuple(chain.from_iterable(read)),
            self._sum_zones(final),
            bool(self._find_tight(final)),
        )

    def cancel(self) -> None:
        """Tell the batchers that no more work items are needed."""
        services = {
            stage.service
            for stage, done in zip(self._stages, self._done, strict=True)
            if not done.is_set()
        }
        for service in services:
            self._runner.cancel(
                self._owners.get(service, ''),
                service,
                self._request.ident,
            )

    def release(self) -> None:
        """Give all results up."""
        held = self._find_held(self._handles)
        for one in held:
            self._runner.release(one)
        self.released = self.released or bool(held)
        self._handles = {}

    def _find_held(self, numbers: Iterable[int]) -> tuple[HeldResults, ...]:
        """Return what makers hold of the results of some stages."""
        found = []
        for number in numbers:
            service = self._stages[number].service
            owner = self._owners.get(service)
            handles = self._handles[number]
            if handles and owner:
                found.append(HeldResults(service, owner, handles))
        return tuple(found)

    def _release(self, numbers: Iterable[int]) -> None:
        for held in self._find_held(numbers):
            self._runner.release(held)

    async def _run_stage(self, number: int) -> None:
        stage = self._stages[number]
        for before in stage.after:
            await self._done[before].wait()
        if not stage.after:
            await asyncio.sleep(self._times.find_slack(number))
        work_items = self._make_work_items(number)
        if work_items:
            early = self._find_tight(self._find_last_read(number))
            reply = await self._ask(number, work_items, early)
            self._handles[number] = reply.handles
            if reply.tight:
                self._tight.add(number)
            if reply.inputs_freed:
                self._forget(early)
        else:
            self._handles[number] = ()
        self._made_at[number] = time.monotonic()
        self._done[number].set()
        last_read = self._find_last_read(number)
        self._release(last_read)
        self._forget(last_read)

    def _find_zone(self, number: int) -> str:
        """Return the zone in which results should be made, empty for any.

        That is where the inputs lie, which every work item reads, or else where
        the engine is that is likely to read large results.
        """
        stage = self._stages[number]
        sizes = self._sum_zones(stage.after)
        if sizes:
            return max(sizes, key=sizes.__getitem__)
        if stage.result_bytes < LARGE_RESULT_BYTES:
            return ''
        return self._runner.guess_zone(self._request)

    def _make_work_items(self, number: int) -> tuple[WorkItem, ...]:
        fields = self._request.fields
        stage = self._stages[number]
        count = (
            fields.work_items[number] if number < len(fields.work_items) else 0
        )
        inputs = tuple(
            handle for before in stage.after for handle in self._handles[before]
        )
        return tuple(
            WorkItem(
                fields.ident,
                number,
                work_item,
                '' if stage.after else fields.work_item_key,
                inputs,
            )
            for work_item in range(count)
        )

    async def _ask(
        self,
        number: int,
        work_items: tuple[WorkItem, ...],
        early: tuple[int, ...],
    ) -> PiecesReply:
        """Ask for the work items of a stage.

        :param early: stages whose results can be given up once they are
            read, before the work items are made.
        """
        stage = self._stages[number]
        now = time.monotonic()
        own = self._times.find_call(number)
        rest = self._times.find_rest(number)
        engine = self._runner.engine_times.find(self._request.route.name)
        left = self._end - now - rest - LEAST_ENGINE_SECONDS
        left = min(left, self._find_kept(stage.after, now))
        if left <= 0:
            raise RefusedError(Reason.hopeless)
        question = PiecesQuestion(
            stage.service,
            self._request.ident,
            work_items,
            stage.result_bytes,
            self._find_zone(number),
            self._request.objective - now - own - rest - engine,
            left,
            self._find_held(early),
            self._again,
            self._request.priority,
            self._times.count_left(number),
            self.late,
        )
        owner, reply = await self._runner.query(question)
        self._owners[stage.service] = owner
        self.late = self.late or reply.late
        if reply.failure:
            get_logger().info(
                'stage_failed',
                request=self._request.ident,
                stage=number,
                service=stage.service,
                holder=owner,
                failure=reply.failure,
                left=round(self._request.deadline - time.monotonic(), 3),
            )
            raise RefusedError(
                Reason.capacity,
                ExecutionState.not_run,
                reply.failure,
                reply.retry_after,
            )
        return reply

    def _find_last_read(self, number: int) -> tuple[int, ...]:
        """Return the inputs of a stage that no other stage is to read."""
        return tuple(
            before
            for before in self._stages[number].after
            if all(
                reader == number or self._done[reader].is_set()
                for reader, stage in enumerate(self._stages)
                if before in stage.after
            )
        )

    def _find_tight(self, numbers: Iterable[int]) -> tuple[int, ...]:
        """Return the stages whose results lie where room is short.

        Only these are given up before their readers are done: a work item that
        fails after that costs a second run of all stages.
        """
        return tuple(number for number in numbers if number in self._tight)

    def _forget(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self._handles[number] = ()

    def _find_kept(self, numbers: Iterable[int], now: float) -> float:
        """Return the seconds for which makers keep the results of stages."""
        kept = []
        for number in numbers:
            batches = self._times.find_batches(number)
            if self._handles[number] and batches:
                made_at = self._made_at[number]
                kept.append(made_at + batches.keep_seconds - now)
        return min(kept, default=float('inf'))

    def _sum_zones(self, numbers: Iterable[int]) -> dict[str, int]:
        """Return the bytes in each zone of the results of some stages."""
        sizes: dict[str, int] = {}
        for number in numbers:
            stage = self._stages[number]
            for handle in self._handles[number]:
                zone = self._runner.find_zone(handle)
                sizes[zone] = sizes.get(zone, 0) + stage.result_bytes
        return sizes


class StageRunner:
    """Asks the batchers of the services for work items."""

    def __init__(
        self,
        zone: str,
        members: Members,
        wire: Wire,
        owner_router: OwnerRouter,
        find_batcher: Callable[[str], Batcher],
    ) -> None:
        """Ask through ``owner_router``.

        :param find_batcher: returns this machine's batcher of a service.
        """
        self.zone = zone
        self.engine_times = EngineTimes()
        self._members = members
        self._wire = wire
        self._owner_router = owner_router
        self._find_batcher = find_batcher

    def guess_zone(self, request: CallerRequest) -> str:
        """Return the zone of the engine that a request is likely to get."""
        engine = assign_engine(
            request.fields.parts,
            self._members.usable(request.service),
        )
        return engine.zone if engine else ''

    def open_job(
        self,
        request: CallerRequest,
        table: RouteTable,
        end: float,
        *,
        again: bool,
    ) -> StageJob:
        """Begin the stages of a request.

        :param end: monotonic time at which the results are of no use.
        :param again: whether they were made before and are lost.
        """
        return StageJob(request, table, self, end, again=again)

    async def query(self, question: PiecesQuestion) -> tuple[str, PiecesReply]:
        """Let the results of a stage be made."""
        return await self._owner_router.query(
            question.service,
            question,
            question.left + REPLY_SLACK_SECONDS,
            self.decide,
        )

    async def answer(
        self,
        link: Link,
        question: PiecesQuestion,
    ) -> PiecesReply:
        """Make work items for another VM."""
        return await self.decide(question)

    async def decide(self, question: PiecesQuestion) -> PiecesReply:
        """Make work items on this machine."""
        return await self._find_batcher(question.service).make(question)

    def cancel(self, owner: str, service: str, ident: str) -> None:
        """Cancel the work items of a request.

        :param owner: machine that makes them, empty while it hasn't
            replied.
        """
        self._owner_router.notify(
            owner or self._owner_router.find_owner(service),
            PiecesCancel(service, ident),
            self.receive_cancel,
        )

    def release(self, held: HeldResults) -> None:
        """Give results up."""
        self._owner_router.notify(
            held.holder,
            ReleaseNote(held.service, held.handles),
            self.receive_release,
        )

    def receive_cancel(self, message: PiecesCancel) -> None:
        """Cancel work items that are made on this machine."""
        self._find_batcher(message.service).cancel(message)

    def receive_release(self, message: ReleaseNote) -> None:
        """Give up results that were made through this machine."""
        self._find_batcher(message.service).release(message)

    def find_zone(self, handle: str) -> str:
        """Return the zone in which a result lies, empty when unknown."""
        target = self._members.find_address(self._wire.find_producer(handle))
        return target.zone if target else ''
