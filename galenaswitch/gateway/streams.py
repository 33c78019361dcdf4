"""Generated answers: stages, a place on an engine, and its events."""

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
    is_success,
    pass_on,
    send_whole,
)
from galenaswitch.gateway.batcher import GONE
from galenaswitch.gateway.calls import CallerRequest, Wire
from galenaswitch.gateway.jobs import StreamJob, release_early
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
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.refusals import Reason, RefusedError, find_timeout_reason

# Seconds that a connection to an engine may have been idle.
MAX_IDLE_SECONDS = 3.0
# Engines tried where none has run the request.
MAX_TRIES = 4
# Runs of a request's stages, the first included.
MAX_STAGE_RUNS = 2
# Seconds of silence after which a stream that may be resumed goes on at
# another engine: callers leave after two.
SILENT_SECONDS = 1.2
# Seconds that a reply may take beyond the time in which it is of use.
REPLY_SLACK_SECONDS = 0.1


class StreamRunner:
    """Runs requests for generated answers."""

    def __init__(
        self,
        members: Members,
        sender: Sender,
        wire: Wire,
        budgets: RetryBudgets,
        owner_router: OwnerRouter,
        stages: StageRunner,
        find_scheduler: Callable[[str], PlacementScheduler],
    ) -> None:
        """Ask for placements through ``owner_router``.

        :param find_scheduler: returns this machine's scheduler of a service.
        """
        self._members = members
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
        """Run a request and send its answer.

        :raises RefusedError: when it can't be answered whole in time.
        """
        self._budgets.of(request.service).note_request(time.monotonic())
        job = StreamJob(request, table, writer)
        try:
            await self._generate(job)
        finally:
            job.close_stages()

    async def answer(
        self,
        link: Link,
        question: PlaceQuestion,
    ) -> PlaceReply:
        """Find a place for another VM's request."""
        return await self.decide(question)

    async def decide(self, question: PlaceQuestion) -> PlaceReply:
        """Find a place on this machine."""
        return await self._find_scheduler(question.service).place(question)

    def receive_first(self, message: PlaceFirst) -> None:
        """Note the first event of a request that was placed here."""
        self._find_scheduler(message.service).record_first(message)

    def receive_end(self, message: PlaceEnd) -> None:
        """Note the end of a request that was placed here."""
        self._find_scheduler(message.service).record_end(message)

    async def _generate(self, job: StreamJob) -> None:
        while True:
            if job.stages is None:
                await self._run_stages(job)
            target = await self._find_place(job)
            failed = False
            try:
                await self._attempt(job, target)
            except TargetError as error:
                failed = not isinstance(error, TargetBusyError)
                self._judge(job, target, error)
            else:
                return
            finally:
                self._end_place(job, target, failed)

    async def _run_stages(self, job: StreamJob) -> None:
        """Run the stages, once more when results were lost."""
        while True:
            job.stage_runs += 1
            job.stages = self._stages.open_job(
                job.request,
                job.table,
                job.end,
                again=job.stage_runs > 1,
            )
            try:
                job.inputs = await job.stages.run()
            except RefusedError as error:
                if error.detail != GONE or job.stage_runs >= MAX_STAGE_RUNS:
                    raise
                get_logger().info('stages_lost', request=job.request.ident)
                job.close_stages()
            else:
                return

    async def _find_place(self, job: StreamJob) -> Target:
        request = job.request
        now = time.monotonic()
        left = job.end - now
        if left <= 0:
            raise RefusedError(find_timeout_reason(job.run), job.run)
        job.asked_at = now
        question = PlaceQuestion(
            request.service,
            request.ident,
            request.fields.parts,
            request.fields.prompt_tokens,
            request.fields.answer_tokens,
            self._stages.zone,
            job.inputs.zone_bytes,
            tuple(job.tried),
            request.priority,
            request.objective - now,
            left,
        )
        owner, reply = await self._owner_router.query(
            request.service,
            question,
            left + REPLY_SLACK_SECONDS,
            self.decide,
        )
        job.owner = owner
        for target in self._members.usable(request.service):
            if target.name == reply.target:
                return target
        raise RefusedError(
            Reason.stage_failed if job.sent else Reason.capacity,
            job.run,
            'no engine has room',
            reply.retry_after,
        )

    async def _attempt(self, job: StreamJob, target: Target) -> None:
        job.tried.append(target.name)
        head = self._wire.make_request(
            job.request,
            target,
            job.left,
            job.inputs.handles,
            job.events.last_id,
        )
        async with self._sender.send(
            target.url,
            head,
            job.request.body,
            MAX_IDLE_SECONDS,
        ) as attempt:
            job.sent += 1
            with release_early(job):
                await self._exchange(job, attempt)

    async def _exchange(self, job: StreamJob, attempt: Attempt) -> None:
        answer = await attempt.read_head(self._find_patience(job))
        fields = check_answer(job.request, answer, self._wire)
        if not is_success(fields):
            await self._pass_failure(job, attempt, answer)
            return
        await self._pass_events(job, attempt, answer)

    async def _pass_failure(
        self,
        job: StreamJob,
        attempt: Attempt,
        answer: AnswerHead,
    ) -> None:
        """Pass on an engine's own failure, unless a stream has begun."""
        body = await attempt.read_complete(job.left)
        if job.writer.started:
            raise TargetBrokenError(f'the engine answered {answer.status}')
        await send_whole(job.writer, answer, body)

    async def _pass_events(
        self,
        job: StreamJob,
        attempt: Attempt,
        answer: AnswerHead,
    ) -> None:
        while chunk := await attempt.read(self._find_patience(job)):
            whole = job.events.feed(chunk)
            if job.events.overfull:
                raise TargetBrokenError('an event without an end')
            if whole:
                self._note_first(job)
                await _send_events(job.writer, answer, whole)
        if job.events.pending:
            raise TargetBrokenError('the stream ended in an event')
        if not job.writer.started:
            job.writer.start(pass_on(answer), None)
        job.writer.finish()

    def _find_patience(self, job: StreamJob) -> float:
        """Return the seconds that an engine may be silent."""
        if (
            job.request.route.resumable
            and job.sent < job.request.route.attempts
        ):
            return min(SILENT_SECONDS, job.left)
        return job.left

    def _note_first(self, job: StreamJob) -> None:
        if job.first_seen:
            return
        job.first_seen = True
        now = time.monotonic()
        get_logger().info(
            'first_event',
            request=job.request.ident,
            target=job.tried[-1],
            seconds=round(now - job.request.started, 3),
            objective_left=round(job.request.objective - now, 3),
        )
        self._stages.engine_times.observe(
            job.request.route.name,
            now - job.asked_at,
        )
        job.release()
        message = PlaceFirst(job.request.service, job.request.ident)
        self._owner_router.notify(job.owner, message, self.receive_first)

    def _end_place(self, job: StreamJob, target: Target, failed: bool) -> None:
        request = job.request
        message = PlaceEnd(request.service, request.ident, target.name, failed)
        self._owner_router.notify(job.owner, message, self.receive_end)

    def _judge(
        self,
        job: StreamJob,
        target: Target,
        error: TargetError,
    ) -> None:
        """Return when another engine may be tried, else refuse.

        :raises RefusedError: when the stream can't go on elsewhere.
        """
        known = isinstance(error, (TargetUnreachableError, TargetBusyError))
        if isinstance(error, TargetBusyError):
            job.sent -= 1
        job.events.drop_pending()
        get_logger().info(
            'attempt_failed',
            request=job.request.ident,
            target=target.name,
            failure=type(error).__name__,
            reason=str(error),
            last_event=job.events.last_id,
            left=round(job.left, 3),
        )
        if job.left <= 0:
            raise RefusedError(find_timeout_reason(job.run), job.run)
        if not self._may_go_on(job, error, known):
            reason = Reason.stage_failed if job.sent else Reason.capacity
            raise RefusedError(reason, job.run)
        if isinstance(error, InputsLostError) or job.released:
            job.close_stages()

    def _may_go_on(
        self,
        job: StreamJob,
        error: TargetError,
        known: bool,
    ) -> bool:
        route = job.request.route
        if not known and not route.resumable:
            return False
        if job.sent >= route.attempts or len(job.tried) >= MAX_TRIES:
            return False
        if isinstance(error, TargetUnreachableError):
            return True
        return self._budgets.of(job.request.service).take(time.monotonic())


async def _send_events(
    writer: AnswerWriter,
    answer: AnswerHead,
    events: bytes,
) -> None:
    if not writer.started:
        writer.start(pass_on(answer), None)
    await writer.write(events)
