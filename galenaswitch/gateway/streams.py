"""Requests for generated answers, which an engine streams as events.

A request runs its stages first, then gets a placement on an engine, and the
engine's events are forwarded to the caller. Another engine may resume a
resumable stream after the last complete event.
"""

import time
from collections.abc import Callable
from functools import partial

from galenaswitch.connections.handlers import AnswerWriter
from galenaswitch.connections.heads import AnswerHead
from galenaswitch.errors import (
    InputsLostError,
    TargetBrokenError,
    TargetBusyError,
    TargetError,
    TargetUnreachableError,
)
from galenaswitch.gateway.answers import (
    check_answer,
    check_continuation,
    check_end,
    finish_events,
    is_success,
    send_complete,
    send_events,
)
from galenaswitch.gateway.calls import CallerRequest, Wire
from galenaswitch.gateway.continuation import ContinuationPolicy
from galenaswitch.gateway.dispatch import MAX_ATTEMPTS, StreamDispatcher
from galenaswitch.gateway.handover import Handover
from galenaswitch.gateway.jobs import (
    EngineRun,
    HandedOverError,
    StreamJob,
    release_early,
)
from galenaswitch.gateway.messages import (
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    PlaceReply,
)
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.routes import RouteTable
from galenaswitch.gateway.sending import Attempt, Sender
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.quarantine.containment import Containment
from galenaswitch.refusals import Reason, RefusedError, find_timeout_reason


class StreamRunner:
    """Runs requests for generated answers and forwards the events."""

    def __init__(
        self,
        sender: Sender,
        wire: Wire,
        budgets: RetryBudgets,
        owner_router: OwnerRouter,
        stages: StageRunner,
        find_scheduler: Callable[[str], PlacementScheduler],
        containment: Containment,
        continuations: ContinuationPolicy,
    ) -> None:
        """Build a runner that requests placements through ``owner_router``.

        :param find_scheduler: returns this VM's scheduler of a service.
        :param containment: refuses harmful requests.
        :param continuations: keeps streams at the version that began them.
        """
        self._continuations = continuations
        self._containment = containment
        self._wire = wire
        self._budgets = budgets
        self._stages = stages
        self._dispatcher = StreamDispatcher(
            sender,
            wire,
            budgets,
            owner_router,
            stages,
            find_scheduler,
            continuations,
        )
        self._handover = Handover(self._dispatcher)

    async def run(
        self,
        request: CallerRequest,
        table: RouteTable,
        writer: AnswerWriter,
    ) -> None:
        """Run a request and send its answer to the caller.

        :raises RefusedError: when no engine completes the answer in time.
        """
        admitted, version = await self._continuations.admit(request)
        self._budgets.of(admitted.service).record_request(time.monotonic())
        job = StreamJob(admitted, table, writer, version, self._containment)
        try:
            await self._generate(job)
        finally:
            job.close_stages()

    def handlers(self) -> dict[type[object], Callable[..., object]]:
        """Return the handlers of the messages from other VMs."""
        dispatcher = self._dispatcher
        return {
            PlaceEnd: lambda _, message: dispatcher.receive_end(message),
            PlaceFirst: lambda _, message: dispatcher.receive_first_event(
                message
            ),
            PlaceQuestion: self.answer_placement_query,
        }

    async def answer_placement_query(
        self,
        link: Link,
        query: PlaceQuestion,
    ) -> PlaceReply:
        """Answer the placement query of another VM."""
        return await self._dispatcher.place_locally(query)

    async def _generate(self, job: StreamJob) -> None:
        await job.screening.admit()
        run = await self._begin(job)
        while True:
            try:
                async with run.resources:
                    await self._relay(job, run)
            except HandedOverError as handed_over:
                self._dispatcher.uncount(job, run.target, handed_over.failure)
                run = handed_over.successor
                self._continuations.restart(job)
                job.use_inputs(run.inputs)
            except TargetError as error:
                await self._dispatcher.examine_failure(run, error)
                self._check_retry(job, run.target, error)
                run = await self._begin(job)
            else:
                return

    async def _begin(self, job: StreamJob) -> EngineRun:
        """Run the stages unless that is done, and get a placement."""
        self._continuations.check(job)
        if job.inputs is None:
            job.inputs = await self._dispatcher.run_stages(job)
        return await self._dispatcher.place(job, job.inputs)

    async def _relay(self, job: StreamJob, run: EngineRun) -> None:
        if run.attempt is None:
            await self._dispatcher.send(job, run)
        if run.attempt:
            with release_early(run.inputs):
                await self._relay_answer(job, run, run.attempt)

    async def _relay_answer(
        self, job: StreamJob, run: EngineRun, attempt: Attempt
    ) -> None:
        answer = run.answer
        if answer is None:
            answer = await self._handover.read(
                job, run, partial(self._read_head, job, attempt)
            )
        fields = self._wire.read_answer(job.request, answer)
        if job.writer.started or is_success(fields):
            await self._relay_events(job, run, attempt, answer)
        else:
            await self._relay_failure(job, attempt, answer)

    async def _read_head(
        self, job: StreamJob, attempt: Attempt, seconds: float
    ) -> AnswerHead:
        """Return the head of an answer that may be forwarded."""
        answer = await attempt.read_head(seconds)
        check_answer(job.request, answer, self._wire)
        if job.writer.started:
            check_continuation(answer)
        return answer

    async def _relay_failure(
        self,
        job: StreamJob,
        attempt: Attempt,
        answer: AnswerHead,
    ) -> None:
        """Forward the error response of an engine to the caller."""
        body = await attempt.read_complete(job.left)
        await send_complete(job.writer, answer, body)

    async def _relay_events(
        self,
        job: StreamJob,
        run: EngineRun,
        attempt: Attempt,
        answer: AnswerHead,
    ) -> None:
        while chunk := await self._handover.read(job, run, attempt.read):
            complete_events = job.events.feed(chunk)
            attempt.exchange.keep(job.events.partial_bytes)
            if job.events.is_oversized:
                raise TargetBrokenError('an event is larger than the limit')
            if complete_events:
                run.record_events(job.events.count)
                self._record_first_event(job, run)
                if run.screening:
                    run.screening.record_events()
                await send_events(job.writer, answer, complete_events)
            if job.events.is_broken:
                raise TargetBrokenError('bytes that are no event of the stream')
        check_end(job.events, answer)
        self._dispatcher.record_complete(job, run)
        finish_events(job.writer, answer)

    def _record_first_event(self, job: StreamJob, run: EngineRun) -> None:
        if job.has_first_event:
            return
        job.has_first_event = True
        target = run.target
        self._continuations.record_first_event(job, target)
        now = time.monotonic()
        get_logger().info(
            'first_event',
            request=job.request.ident,
            target=target.name,
            version=target.version,
            origin=job.request.fields.origin,
            seconds=round(now - job.request.started, 3),
            objective_left=round(job.request.objective_deadline - now, 3),
        )
        self._stages.engine_times.observe(
            job.request.route.name,
            now - run.placement.requested_at,
        )
        job.release()
        self._dispatcher.record_first_event(job, run)

    def _check_retry(
        self,
        job: StreamJob,
        target: Target,
        error: TargetError,
    ) -> None:
        """Refuse the request unless it may be sent to another engine.

        :raises RefusedError: when a retry isn't allowed or no time is left.
        """
        known_not_run = isinstance(
            error, (TargetUnreachableError, TargetBusyError)
        )
        self._dispatcher.uncount(job, target, error)
        self._continuations.restart(job)
        get_logger().info(
            'attempt_failed',
            request=job.request.ident,
            target=target.name,
            version=target.version,
            failure=type(error).__name__,
            reason=str(error),
            last_event=job.events.last_id,
            left=round(job.left, 3),
            sent=job.sent,
            incarnation=target.incarnation,
            parts=job.screening.parts,
        )
        if job.left <= 0:
            raise RefusedError(find_timeout_reason(job.run), job.run)
        if not self._may_retry(job, error, known_not_run):
            reason = (
                Reason.stage_failed if job.may_have_run else Reason.capacity
            )
            raise RefusedError(reason, job.run)
        if isinstance(error, InputsLostError) or job.released:
            job.close_stages()

    def _may_retry(
        self,
        job: StreamJob,
        error: TargetError,
        known_not_run: bool,
    ) -> bool:
        route = job.request.route
        if not known_not_run and not route.resumable:
            return False
        if job.sent >= route.attempts or len(job.tried_targets) >= MAX_ATTEMPTS:
            return False
        if isinstance(error, TargetUnreachableError):
            return True
        if not known_not_run and not job.screening.may_repeat():
            return False
        return self._dispatcher.acquire_retry(job)
