"""Requests to plain services, which return one complete response.

A request that a target has not run is sent to another target. A request that
may have run is retried only if its route is repeatable. While its targets are
silent, such a request is sent to another one besides, and the first answer
wins. The retry budget of the service limits both.
"""

import asyncio
import time
from functools import partial

from galenaswitch.connections.handlers import AnswerWriter
from galenaswitch.errors import (
    GalenaError,
    TargetBusyError,
    TargetError,
    TargetUnreachableError,
)
from galenaswitch.gateway.answers import (
    MIN_SERVER_ERROR_STATUS,
    check_answer,
    send_complete,
)
from galenaswitch.gateway.calls import CallerRequest, Wire
from galenaswitch.gateway.failures import TargetFailedError, may_have_crashed
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.gateway.plain_records import AttemptRecords
from galenaswitch.gateway.routes import CallKind
from galenaswitch.gateway.selection import Answer, PlainJob, TargetSelection
from galenaswitch.gateway.sending import Sender
from galenaswitch.hedging.sends import Hedges
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.pipelines.hedging import find_first_success
from galenaswitch.quarantine.containment import Containment
from galenaswitch.quarantine.screening import Screening
from galenaswitch.refusals import (
    ExecutionState,
    Reason,
    RefusedError,
    find_timeout_reason,
)
from galenaswitch.routing.choice import Chooser
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView

# Longest idle time in seconds of a connection that is reused, for idempotent
# and for non-idempotent requests. A target may close an idle connection without
# notice, and a non-idempotent request can't be retried then.
MAX_IDLE_SECONDS = 3.0
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 0.3
# Most targets that one request is sent to, counting those that refuse it.
MAX_ATTEMPTS = 4


class PlainRunner:
    """Runs requests to plain services.

    :ivar records: what the attempts show about targets, and the extra sends.
    """

    def __init__(
        self,
        zone: str,
        members: Members,
        sender: Sender,
        wire: Wire,
        budgets: RetryBudgets,
        chooser: Chooser,
        loads: LoadView,
        containment: Containment,
    ) -> None:
        """Build a runner that sends to ``members`` from a VM in ``zone``.

        :param chooser: picks one of the usable targets.
        :param containment: refuses harmful requests.
        """
        self._members = members
        self._sender = sender
        self._wire = wire
        self._budgets = budgets
        self._loads = loads
        self._containment = containment
        self._ejector = Ejector()
        self.records = AttemptRecords(loads, self._ejector)
        self._selection = TargetSelection(
            zone, members, sender, chooser, self.records
        )

    async def run(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Run a request and send its answer to the caller.

        :raises RefusedError: when no target returns a complete answer.
        """
        screening = Screening(
            self._containment, request.ident, (), request.content
        )
        await screening.admit()
        self._budgets.of(request.service).record_request(time.monotonic())
        job = PlainJob(request, screening)
        try:
            answer = await self._run_attempts(job)
        except RefusedError:
            if job.failed is None:
                raise
            answer = job.failed
        finally:
            self._selection.release(job)
            job.drop_frames()
        await send_complete(writer, answer.head, answer.body)

    def dump(self) -> dict[str, float]:
        """Return the seconds for which each ejected target is paused."""
        return self._ejector.dump()

    async def _run_attempts(self, job: PlainJob) -> Answer:
        """Return the first answer that isn't a target's failure.

        :raises RefusedError: when no more attempts are allowed, or the request
            may not end before the process stops.
        """
        while True:
            left = job.request.objective_deadline - time.monotonic()
            max_wait = self._loads.find_max_wait(job.request.service, left)
            target = await self._selection.choose(job, max_wait)
            job.tried.add(target.name)
            if not job.progress.sent:
                self._sender.draining.check_send(job.request)
            job.screening.start_send(job.progress.run)
            try:
                return await self._race(job, target)
            except (TargetError, RefusedError) as error:
                self._check_retry(job, job.error or error)

    async def _race(self, job: PlainJob, target: Target) -> Answer:
        """Return the first answer of a target and of those asked besides."""
        extra = self.records.extra
        extra.record_first(job)
        attempt = self._attempt(job, target)
        if job.request.route.kind is CallKind.once:
            return await attempt
        hedges = Hedges(
            iter(partial(self._find_answer_timeout, job.request), 0),
            partial(self._hedge, job),
            partial(self._may_hedge, job),
        )
        hedges = extra.plan(job, hedges, self._attempt)
        return await find_first_success(
            asyncio.create_task(attempt), hedges.delays, hedges.start
        )

    def _find_answer_timeout(self, request: CallerRequest) -> float:
        """Return the seconds after which a target counts as silent."""
        left = request.deadline - time.monotonic()
        return self._loads.find_answer_timeout(request.service, left)

    def _hedge(self, job: PlainJob) -> set[asyncio.Task[Answer]]:
        """Start an attempt besides those that are silent, if that is allowed.

        The attempts in flight stay: their targets may go on at any time.
        """
        is_allowed = self._may_hedge(job) and job.screening.may_repeat()
        if not is_allowed:
            return set()
        return {asyncio.create_task(self._attempt_besides(job))}

    def _may_hedge(self, job: PlainJob) -> bool:
        budget = self._budgets.of(job.request.service)
        return (
            job.has_attempts_left
            and len(job.tried) < MAX_ATTEMPTS
            and budget.can_acquire(time.monotonic())
        )

    async def _attempt_besides(self, job: PlainJob) -> Answer:
        """Send a request to a target that takes it now.

        :raises RefusedError: when there is none, or no more retries are left.
        """
        target = await self._selection.choose(job, 0)
        # Another attempt may have begun meanwhile.
        if target.name in job.tried or not self._may_hedge(job):
            raise job.refuse(Reason.capacity)
        job.screening.start_send(job.progress.run)
        self._budgets.of(job.request.service).acquire(time.monotonic())
        job.tried.add(target.name)
        get_logger().info(
            'hedged',
            request=job.request.ident,
            target=target.name,
            silent=sorted(job.in_flight),
        )
        return await self._attempt(job, target)

    async def _attempt(self, job: PlainJob, target: Target) -> Answer:
        """Return an answer that may be forwarded.

        :raises TargetFailedError: when the target answered with a failure, and
            another target may be asked.
        """
        sent_at = time.monotonic()
        timeout = self._find_answer_timeout(job.request)
        job.in_flight[target.name] = sent_at
        try:
            answer = await self._send(job, target)
        except TargetError as error:
            await self._record_error(job, target, error, sent_at)
            raise
        finally:
            job.in_flight.pop(target.name)
        seconds = time.monotonic() - sent_at
        self.records.record_answer(job, target, answer, seconds)
        # An error of the target doesn't show that it ran the request.
        if answer.head.status < MIN_SERVER_ERROR_STATUS:
            job.screening.record_answer()
            self._sender.draining.durations.observe(job.request, sent_at)
            self.records.record_silent(job, seconds, timeout)
        elif job.request.route.kind is CallKind.repeatable:
            job.failed = answer
            job.error = TargetFailedError(f'status {answer.head.status}')
            raise job.error
        return answer

    async def _send(self, job: PlainJob, target: Target) -> Answer:
        request = job.request
        now = time.monotonic()
        once = request.route.kind is CallKind.once
        seconds_left = request.deadline - now
        head = self._wire.make_request(request, target, seconds_left, (), '')
        load = self._loads.get_load(target.name)
        sent = load.start(now, 0, 0)
        job.progress.record_sent(repeatable=not once)
        try:
            async with self._sender.send(
                target,
                head,
                request.body,
                MAX_IDLE_NON_IDEMPOTENT_SECONDS if once else MAX_IDLE_SECONDS,
                ident=request.ident,
                seat=job.seats.pop(target.name, ''),
            ) as attempt:
                answer = await attempt.read_head(seconds_left)
                fields = check_answer(request, answer, self._wire)
                self.records.extra.record_load(target, fields.load)
                seconds_left = request.deadline - time.monotonic()
                return Answer(answer, await attempt.read_complete(seconds_left))
        finally:
            load.finish(sent, time.monotonic())

    async def _record_error(
        self, job: PlainJob, target: Target, error: TargetError, sent_at: float
    ) -> None:
        job.error = error
        now = time.monotonic()
        if isinstance(error, TargetClosedError):
            job.tried.discard(target.name)
        if _is_not_run(error):
            job.progress.record_not_run()
        self.records.record_failure(job, target, error, now)
        get_logger().info(
            'attempt_failed',
            request=job.request.ident,
            target=target.name,
            failure=type(error).__name__,
            reason=str(error),
            left=round(job.request.deadline - now, 3),
            silent=round(now - sent_at, 3),
            incarnation=target.incarnation,
            parts=job.screening.parts,
        )
        if may_have_crashed(target, error, self._members):
            await self._containment.record_broken(
                target, job.request.ident, job.screening.parts, sent_at
            )

    def _check_retry(self, job: PlainJob, error: GalenaError) -> None:
        """Refuse the request unless it may be sent to another target.

        :raises RefusedError: when no time is left, when a non-idempotent
            request may have run, when the request may be harmful, or when no
            retries are left.
        """
        now = time.monotonic()
        run = job.progress.run
        if now >= job.request.deadline:
            raise RefusedError(find_timeout_reason(run), run)
        if isinstance(error, TargetFailedError):
            self._check_other_target(job)
        elif not _is_not_run(error):
            _check_repeat(job)
        if len(job.tried) >= MAX_ATTEMPTS or self._is_out_of_retries(
            job, error, now
        ):
            raise job.refuse(
                Reason.capacity if _is_not_run(error) else Reason.stage_failed
            )

    def _check_other_target(self, job: PlainJob) -> None:
        """Check that there may be a target that didn't fail the request.

        :raises RefusedError: when there is none.
        """
        targets = len(self._members.usable(job.request.service))
        if job.progress.attempts >= targets:
            raise job.refuse(Reason.stage_failed)

    def _is_out_of_retries(
        self, job: PlainJob, error: GalenaError, now: float
    ) -> bool:
        """Tell whether the attempts or the retry budget are used up.

        An unreachable target received nothing, so replacing it costs no
        budget.
        """
        if not job.has_attempts_left:
            return True
        if isinstance(error, TargetUnreachableError):
            return False
        return not self._budgets.of(job.request.service).acquire(now)


def _is_not_run(error: GalenaError) -> bool:
    return isinstance(error, (TargetUnreachableError, TargetBusyError))


def _check_repeat(job: PlainJob) -> None:
    """Check that a request which may have run may be sent again.

    :raises RefusedError: when it may not.
    """
    if job.request.route.kind is CallKind.once:
        raise RefusedError(Reason.stage_failed, ExecutionState.unknown)
    if not job.screening.may_repeat():
        raise job.refuse(Reason.stage_failed)
