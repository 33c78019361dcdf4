"""Runs the stages of a request, each as soon as its inputs are made.

The owner of a service makes the results. A job releases the results of a stage
once no other stage reads them.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from functools import partial
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

# Seconds that a query waits for its reply beyond the results' deadline.
REPLY_SLACK_SECONDS = 0.1
# Minimum seconds that an engine needs after the stages of a request.
MIN_ENGINE_SECONDS = 0.05


class StageResults(NamedTuple):
    """Results of a request's final stages.

    :param handles: handles of the results, ordered by stage and work item.
    :param zone_bytes: bytes of results in each zone.
    :param memory_pressure: whether a producer's result memory is nearly full.
    """

    handles: tuple[str, ...]
    zone_bytes: dict[str, int]
    memory_pressure: bool = False


class StageJob:
    """Runs the stages of one request and holds their results."""

    def __init__(
        self,
        request: CallerRequest,
        table: RouteTable,
        runner: 'StageRunner',
        deadline: float,
        *,
        is_rerun: bool,
    ) -> None:
        """Build a job for ``request`` from the routes in ``table``.

        The job reports a late request to the batchers of all later stages.

        :param deadline: monotonic time after which results are useless.
        :param is_rerun: whether earlier results were made and then lost.
        """
        self._deadline = deadline
        self._is_rerun = is_rerun
        self.released = False
        # The rest of a stream has no objective before its deadline.
        self.late = is_rerun and request.objective_deadline < deadline
        self._request = request
        self._runner = runner
        self._handles: dict[int, tuple[str, ...]] = {}
        self._owners: dict[str, str] = {}
        self._finished_at: dict[int, float] = {}
        self._pressured: set[int] = set()
        self._stages = request.route.stages
        self._stage_times = StageTimes(request, table)
        self._done_events = [asyncio.Event() for _ in self._stages]

    async def run(self) -> StageResults:
        """Run all stages.

        :returns: results of the final stages, which the request reads.
        :raises RefusedError: when a stage fails or can't finish in time.
        """
        tasks = [
            asyncio.create_task(self._run_stage(number))
            for number, _ in enumerate(self._done_events)
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
        final_stages = self._request.route.final_stages()
        read = [self._handles[number] for number in final_stages]
        return StageResults(
            tuple(chain.from_iterable(read)),
            self._sum_zone_bytes(final_stages),
            bool(self._find_pressured(final_stages)),
        )

    def release(self) -> None:
        """Release the results of all finished stages."""
        held = self._find_held(self._handles)
        for held_results in held:
            self._runner.release(held_results)
        self.released = self.released or bool(held)
        self._handles = {}

    def _find_held(self, numbers: Iterable[int]) -> tuple[HeldResults, ...]:
        """Return the results that producers hold for the given stages."""
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
        for source in stage.after:
            await self._done_events[source].wait()
        if not stage.after:
            await asyncio.sleep(self._stage_times.find_slack(number))
        work_items = self._make_work_items(number)
        if work_items:
            early_inputs = self._find_pressured(self._unshared_inputs(number))
            reply = await self._query_batcher(number, work_items, early_inputs)
            self._handles[number] = reply.handles
            if reply.tight:
                self._pressured.add(number)
            if reply.inputs_freed:
                self._remove_handles(early_inputs)
        else:
            self._handles[number] = ()
        self._finished_at[number] = time.monotonic()
        self._done_events[number].set()
        last_read = self._unshared_inputs(number)
        self._release(last_read)
        self._remove_handles(last_read)

    def _choose_zone(self, number: int) -> str:
        """Return the preferred zone for a stage's results, empty for any.

        Results are made in the zone with most input bytes, because every
        work item reads all inputs. Without inputs, large results are made in
        the zone of the engine that will probably read them.
        """
        stage = self._stages[number]
        zone_bytes = self._sum_zone_bytes(stage.after)
        if zone_bytes:
            return max(zone_bytes, key=zone_bytes.__getitem__)
        if stage.result_bytes < LARGE_RESULT_BYTES:
            return ''
        return self._runner.predict_engine_zone(self._request)

    def _make_work_items(self, number: int) -> tuple[WorkItem, ...]:
        fields = self._request.fields
        stage = self._stages[number]
        count = (
            fields.work_items[number] if number < len(fields.work_items) else 0
        )
        inputs = tuple(
            handle for source in stage.after for handle in self._handles[source]
        )
        return tuple(
            WorkItem(
                fields.ident,
                number,
                position,
                '' if stage.after else fields.work_item_key,
                inputs,
            )
            for position in range(count)
        )

    async def _query_batcher(
        self,
        number: int,
        work_items: tuple[WorkItem, ...],
        early_inputs: tuple[int, ...],
    ) -> PiecesReply:
        """Query the owner of a stage's service for the stage's results.

        :param early_inputs: stages whose results the batcher may release
            once the work items have read them, while the batch still runs.
        """
        stage = self._stages[number]
        now = time.monotonic()
        batch_seconds = self._stage_times.estimate_batch(number)
        rest_seconds = self._stage_times.estimate_rest(number)
        engine_seconds = self._runner.engine_times.estimate(
            self._request.route.name
        )
        seconds_left = self._deadline - now - rest_seconds - MIN_ENGINE_SECONDS
        seconds_left = min(seconds_left, self._find_retention(stage.after, now))
        if seconds_left <= 0:
            raise RefusedError(Reason.deadline_unreachable)
        query = PiecesQuestion(
            stage.service,
            self._request.ident,
            work_items,
            stage.result_bytes,
            self._choose_zone(number),
            self._request.objective_deadline
            - now
            - batch_seconds
            - rest_seconds
            - engine_seconds,
            seconds_left,
            self._find_held(early_inputs),
            self._is_rerun,
            self._request.priority,
            self._stage_times.count_stages_left(number),
            self.late,
            self._request.fingerprint,
        )
        owner, reply = await self._runner.query(query)
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

    def _unshared_inputs(self, number: int) -> tuple[int, ...]:
        """Return the input stages that no other unfinished stage reads."""
        return tuple(
            source
            for source in self._stages[number].after
            if all(
                reader == number or self._done_events[reader].is_set()
                for reader, stage in enumerate(self._stages)
                if source in stage.after
            )
        )

    def _find_pressured(self, numbers: Iterable[int]) -> tuple[int, ...]:
        """Return the given stages whose producers have memory pressure.

        Only their results are released before the reading stage is done. A
        work item that fails after the release costs a rerun of all stages.
        """
        return tuple(number for number in numbers if number in self._pressured)

    def _remove_handles(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self._handles[number] = ()

    def _find_retention(self, numbers: Iterable[int], now: float) -> float:
        """Return the seconds until a result of the given stages expires."""
        retention_seconds = []
        for number in numbers:
            limits = self._stage_times.find_batch_limits(number)
            if self._handles[number] and limits:
                ends_at = self._finished_at[number] + limits.retention_seconds
                retention_seconds.append(ends_at - now)
        return min(retention_seconds, default=float('inf'))

    def _sum_zone_bytes(self, numbers: Iterable[int]) -> dict[str, int]:
        """Return the result bytes of the given stages in each zone."""
        zone_bytes: dict[str, int] = {}
        for number in numbers:
            stage = self._stages[number]
            for handle in self._handles[number]:
                zone = self._runner.find_result_zone(handle)
                zone_bytes[zone] = zone_bytes.get(zone, 0) + stage.result_bytes
        return zone_bytes


class StageRunner:
    """Queries the owners of services for the results of stages."""

    def __init__(
        self,
        zone: str,
        members: Members,
        wire: Wire,
        owner_router: OwnerRouter,
        find_batcher: Callable[[str], Batcher],
    ) -> None:
        """Build a runner that finds owners through ``owner_router``.

        :param find_batcher: returns this VM's batcher of a service.
        """
        self.zone = zone
        self.engine_times = EngineTimes()
        self._members = members
        self._wire = wire
        self._owner_router = owner_router
        self._find_batcher = find_batcher

    def predict_engine_zone(self, request: CallerRequest) -> str:
        """Return the zone of the engine that a request will probably use."""
        engine = assign_engine(
            request.fields.prompt_parts, self._members.usable(request.service)
        )
        return engine.zone if engine else ''

    def open_job(
        self,
        request: CallerRequest,
        table: RouteTable,
        deadline: float,
        *,
        is_rerun: bool,
    ) -> StageJob:
        """Return a job that runs the stages of a request."""
        return StageJob(request, table, self, deadline, is_rerun=is_rerun)

    async def query(self, query: PiecesQuestion) -> tuple[str, PiecesReply]:
        """Return the VM that made a stage's results, and its reply.

        Whichever VM was queried in vain, or has not replied when the wait is
        cancelled, is told that the request needs no more work items.
        """
        return await self._owner_router.query(
            query.service,
            query,
            query.left + REPLY_SLACK_SECONDS,
            self.make_locally,
            partial(self._cancel, query),
        )

    async def answer(self, link: Link, query: PiecesQuestion) -> PiecesReply:
        """Answer another VM's query for the results of a stage."""
        return await self.make_locally(query)

    async def make_locally(self, query: PiecesQuestion) -> PiecesReply:
        """Make the results of a stage through this VM's batcher."""
        return await self._find_batcher(query.service).make_results(query)

    def release(self, held: HeldResults) -> None:
        """Release results through the VM whose batcher tracks them."""
        self._owner_router.notify(
            held.holder,
            ReleaseNote(held.service, held.handles),
            self.receive_release,
        )

    def receive_cancel(self, message: PiecesCancel) -> None:
        """Cancel a request's work items in this VM's batcher."""
        self._find_batcher(message.service).cancel(message)

    def receive_release(self, message: ReleaseNote) -> None:
        """Release results that this VM's batcher tracks."""
        self._find_batcher(message.service).release(message)

    def find_result_zone(self, handle: str) -> str:
        """Return the zone of a result's producer, empty when unknown."""
        target = self._members.find_target_by_url(
            self._wire.find_producer(handle)
        )
        return target.zone if target else ''

    def _cancel(self, query: PiecesQuestion, owner: str) -> None:
        """Cancel the work items of a request at a VM, if it can be reached."""
        message = PiecesCancel(query.service, query.ident)
        self._owner_router.notify(owner, message, lambda _: None)
