"""Requests for generated answers, which an engine streams as events.

A request runs its stages first, then gets a placement on an engine, and the
engine's events are forwarded to the caller. Another engine may resume a
resumable stream after the last complete event.
"""

import time
from collections.abc import Callable

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import AnswerWriter
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
from galenaswitch.gateway.failures import LOST, may_have_crashed
from galenaswitch.gateway.jobs import (
    PlacementRecord,
    StreamJob,
    make_placement_query,
    release_early,
    wait_for_engine,
)
from galenaswitch.gateway.messages import (
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    PlaceReply,
)
from galenaswitch.gateway.notices import TargetClosedError
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

# Longest idle time in seconds of a connection that is reused for a request to
# an engine.
MAX_IDLE_SECONDS = 3.0
# Most engines that one request is placed on, counting those that refuse it.
MAX_ATTEMPTS = 4
# Most runs of the stages of one request, counting the first run.
MAX_STAGE_RUNS = 2
# A resumable stream moves to another engine after this many seconds without
# data. Callers disconnect after two seconds without an event.
RESUME_TIMEOUT_SECONDS = 1.2
# A placement query times out this many seconds after the time left for the
# placement is over.
REPLY_SLACK_SECONDS = 0.1


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
        self._members = continuations.members
        self._sender = sender
        self._wire = wire
        self._budgets = budgets
        self._owner_router = owner_router
        self._stages = stages
        self._find_scheduler = find_scheduler

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

    async def answer_placement_query(
        self,
        link: Link,
        query: PlaceQuestion,
    ) -> PlaceReply:
        """Answer the placement query of another VM."""
        return await self.place_locally(query)

    async def place_locally(self, query: PlaceQuestion) -> PlaceReply:
        """Place a request with this VM's own scheduler."""
        return await self._find_scheduler(query.service).place(query)

    def receive_first_event(self, message: PlaceFirst) -> None:
        """Record the first event of a request that this VM placed."""
        self._find_scheduler(message.service).record_first_event(message)

    def receive_end(self, message: PlaceEnd) -> None:
        """Record the end of a request that this VM placed."""
        self._find_scheduler(message.service).record_end(message)

    async def _generate(self, job: StreamJob) -> None:
        await job.screening.admit()
        while True:
            self._continuations.check(job)
            if job.stages is None:
                await self._run_stages(job)
            target = await self._request_placement(job)
            failed = False
            try:
                await self._attempt(job, target)
            except TargetError as error:
                failed = not isinstance(
                    error, (TargetBusyError, TargetClosedError)
                )
                await self._examine_failure(job, target, error)
                self._check_retry(job, target, error)
            else:
                return
            finally:
                self._end_placement(job, target, failed=failed)

    async def _run_stages(self, job: StreamJob) -> None:
        """Run the stages, and run them again when their results are lost."""
        while True:
            job.stage_runs += 1
            job.stages = self._stages.open_job(
                job.request,
                job.table,
                job.event_deadline,
                is_rerun=job.stage_runs > 1,
            )
            try:
                job.inputs = await job.stages.run()
            except RefusedError as error:
                if error.detail != LOST or job.stage_runs >= MAX_STAGE_RUNS:
                    raise
                get_logger().info('stages_lost', request=job.request.ident)
                job.close_stages()
            else:
                return

    async def _request_placement(self, job: StreamJob) -> Target:
        self._continuations.check(job)
        request = job.request
        now = time.monotonic()
        seconds_left = job.event_deadline - now
        if seconds_left <= 0:
            raise RefusedError(find_timeout_reason(job.run), job.run)
        usable = self._members.usable(request.service)
        await wait_for_engine(job, usable, self._sender.notices)
        now = time.monotonic()
        query = make_placement_query(
            job,
            self._stages.zone,
            now,
            self._sender.turns.find_limits(usable),
            self._sender.notices.find_closed(request.service),
        )
        owner, reply = await self._owner_router.query(
            request.service,
            query,
            seconds_left + REPLY_SLACK_SECONDS,
            self.place_locally,
        )
        job.placement = PlacementRecord(owner, now)
        for target in self._members.usable(request.service):
            if target.name != reply.target:
                continue
            if self._continuations.fits(job, target):
                return target
            # The owner knows another version of the target, or none.
            self._end_placement(job, target, failed=False)
        raise RefusedError(
            Reason.stage_failed if job.sent else Reason.capacity,
            job.run,
            'no engine has free capacity',
            reply.retry_after,
        )

    async def _attempt(self, job: StreamJob, target: Target) -> None:
        job.screening.start_send(job.run)
        job.tried_targets.append(target)
        head = self._wire.make_request(
            job.request,
            target,
            job.left,
            job.inputs.handles,
            job.events.last_id,
        )
        async with self._sender.send(
            target,
            head,
            job.request.body,
            MAX_IDLE_SECONDS,
        ) as attempt:
            job.sent += 1
            with release_early(job):
                await self._relay_answer(job, attempt)

    async def _relay_answer(self, job: StreamJob, attempt: Attempt) -> None:
        answer = await attempt.read_head(self._find_read_timeout(job))
        fields = check_answer(job.request, answer, self._wire)
        if job.writer.started:
            check_continuation(answer)
        elif not is_success(fields):
            await self._relay_failure(job, attempt, answer)
            return
        await self._relay_events(job, attempt, answer)

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
        attempt: Attempt,
        answer: AnswerHead,
    ) -> None:
        while chunk := await attempt.read(self._find_read_timeout(job)):
            complete_events = job.events.feed(chunk)
            if job.events.is_oversized:
                raise TargetBrokenError('an event is larger than the limit')
            if complete_events:
                self._record_first_event(job)
                await send_events(job.writer, answer, complete_events)
            if job.events.is_broken:
                raise TargetBrokenError('bytes that are no event of the stream')
        check_end(job.events, answer)
        finish_events(job.writer, answer)

    def _find_read_timeout(self, job: StreamJob) -> float:
        """Return the seconds after which a read from an engine times out.

        An attempt that no other engine can resume may use all the time left.
        """
        if (
            job.request.route.resumable
            and job.sent < job.request.route.attempts
            and self._continuations.has_other_target(job)
        ):
            return min(RESUME_TIMEOUT_SECONDS, job.left)
        return job.left

    def _record_first_event(self, job: StreamJob) -> None:
        if job.has_first_event:
            return
        job.has_first_event = True
        target = job.tried_targets[-1]
        self._continuations.record_first_event(job, target)
        job.screening.record_answer()
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
            now - job.placement.requested_at,
        )
        job.release()
        message = PlaceFirst(job.request.service, job.request.ident)
        self._owner_router.notify(
            job.placement.owner, message, self.receive_first_event
        )

    def _end_placement(
        self, job: StreamJob, target: Target, *, failed: bool
    ) -> None:
        request = job.request
        message = PlaceEnd(request.service, request.ident, target.name, failed)
        self._owner_router.notify(
            job.placement.owner, message, self.receive_end
        )

    async def _examine_failure(
        self,
        job: StreamJob,
        target: Target,
        error: TargetError,
    ) -> None:
        """Find out whether a request has ended its target."""
        if job.has_first_event:
            return
        if may_have_crashed(target, error, self._members):
            await job.screening.record_broken(target)

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
        if isinstance(error, TargetBusyError):
            job.sent -= 1
        if isinstance(error, TargetClosedError):
            job.tried_targets.pop()
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
            reason = Reason.stage_failed if job.sent else Reason.capacity
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
        return self._budgets.of(job.request.service).acquire(time.monotonic())
