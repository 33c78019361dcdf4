"""Attempts of streams: the run of their stages, their placement, their send.

The owner of a service places each attempt on an engine. A request may have two
attempts at one time, while one takes over from another.
"""

import contextlib
import math
import time
from collections.abc import Callable
from copy import copy
from functools import partial
from types import TracebackType

from galenaswitch.draining.estimates import EngineLoad
from galenaswitch.errors import TargetBusyError, TargetError
from galenaswitch.gateway.calls import Wire
from galenaswitch.gateway.continuation import ContinuationPolicy
from galenaswitch.gateway.draining import Draining
from galenaswitch.gateway.failures import LOST, may_have_crashed
from galenaswitch.gateway.jobs import (
    EngineRun,
    HandedOverError,
    PlacementRecord,
    StageInputs,
    StreamJob,
    make_placement_query,
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
from galenaswitch.gateway.sending import Sender
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.refusals import Reason, RefusedError, find_timeout_reason

# Longest idle time in seconds of a connection that is reused for a request to
# an engine.
MAX_IDLE_SECONDS = 3.0
# Most engines that one request is placed on, counting those that refuse it.
MAX_ATTEMPTS = 4
# Most runs of the stages of one request, counting the first run.
MAX_STAGE_RUNS = 2
# A placement query times out this many seconds after the time left for the
# placement is over.
REPLY_SLACK_SECONDS = 0.1
# Reasons that a reply may name. Those of later builds count as no capacity.
_REASONS = {
    reason.value: reason
    for reason in (Reason.capacity, Reason.deadline_unreachable)
}


class StreamDispatcher:
    """Prepares and sends the attempts of streams."""

    def __init__(
        self,
        sender: Sender,
        wire: Wire,
        budgets: RetryBudgets,
        owner_router: OwnerRouter,
        stages: StageRunner,
        find_scheduler: Callable[[str], PlacementScheduler],
        continuations: ContinuationPolicy,
    ) -> None:
        """Build a dispatcher that places through ``owner_router``.

        :param find_scheduler: returns this VM's scheduler of a service.
        """
        self.continuations = continuations
        self.wire = wire
        self.budgets = budgets
        self.stages = stages
        self._find_scheduler = find_scheduler
        self._members = continuations.members
        self._sender = sender
        self._owner_router = owner_router

    async def run_stages(self, job: StreamJob) -> StageInputs:
        """Run the stages, and run them again when their results are lost.

        :raises RefusedError: when a stage fails or can't finish in time.
        """
        while True:
            try:
                return await self._run_stages_once(job)
            except RefusedError as error:
                if error.detail != LOST or job.stage_runs >= MAX_STAGE_RUNS:
                    _check_not_sent(job, error)
                    raise
            get_logger().info('stages_lost', request=job.request.ident)

    async def place(self, job: StreamJob, inputs: StageInputs) -> EngineRun:
        """Get a placement for the next attempt of a request.

        :raises RefusedError: when no engine is free in time.
        """
        self.continuations.check(job)
        service = job.request.service
        if job.event_deadline <= time.monotonic():
            raise RefusedError(find_timeout_reason(job.run), job.run)
        if not job.may_have_run:
            self._sender.draining.check_arrival(job.request)
        await wait_for_engine(
            job, self.continuations.find_targets(job), self._sender.notices
        )
        now = time.monotonic()
        usable = self._members.usable(service)
        forbidden = (one.name for one in usable if not job.may_send_to(one))
        query = make_placement_query(
            job,
            job.name_placement(),
            inputs,
            self.stages.zone,
            now,
            self._sender.turns.find_limits(usable),
            self._sender.notices.find_closed(service),
        )
        query = query._replace(
            avoided=(*query.avoided, *forbidden),
            cold=self._sender.turns.find_cold_times(usable),
            left=min(query.left, _find_send_time(job, self._sender.draining)),
        )
        # The owner may still place a request whose query was cancelled.
        with contextlib.ExitStack() as unanswered:
            unanswered.callback(self._withdraw, query)
            owner, reply = await self._owner_router.query(
                service,
                query,
                query.left + REPLY_SLACK_SECONDS,
                self.place_locally,
                partial(self._withdraw, query),
            )
            unanswered.pop_all()
        # A request to a target whose zone was evacuated meanwhile isn't sent,
        # but placed once more.
        for target in self._members.targets(service):
            if target.name == reply.target and self._may_run(job, target):
                # An owner of an earlier build doesn't tell when it was.
                placed_at = min(now + reply.waited, time.monotonic())
                record = PlacementRecord(
                    query.ident, owner, target, now, placed_at, reply.load
                )
                run = EngineRun(record, inputs)
                run.resources.push(partial(self._end_run, service, run))
                return run
        if reply.target:
            # The owner knows another version of the target, or an old list, or
            # the request may not be sent to one more target.
            self._notify_end(owner, PlaceEnd(service, query.ident, '', False))
        reason = _REASONS.get(reply.reason, Reason.capacity)
        raise RefusedError(
            Reason.stage_failed if job.may_have_run else reason,
            job.run,
            'no engine has free capacity',
            reply.retry_after,
        )

    async def place_locally(self, query: PlaceQuestion) -> PlaceReply:
        """Place a request with this VM's own scheduler."""
        return await self._find_scheduler(query.service).place(query)

    def receive_first_event(self, message: PlaceFirst) -> None:
        """Record the first event of a request that this VM placed."""
        self._find_scheduler(message.service).record_first_event(message)

    def receive_end(self, message: PlaceEnd) -> None:
        """Record the end of a placement that this VM gave."""
        self._find_scheduler(message.service).record_end(message)

    async def send(self, job: StreamJob, run: EngineRun) -> None:
        """Send a request to the engine of its placement.

        :raises RefusedError: when the request was quarantined meanwhile, or
            may not end before the process stops.
        :raises TargetUnreachableError: when no byte was sent.
        """
        _begin_pace(job, run, self._sender)
        job.screening.start_send(job.run)
        run.screening = copy(job.screening)
        job.tried_targets.append(run.target)
        placed_at = run.placement.placed_at
        if self._sender.turns.cold.is_turn_over(run.target, placed_at):
            raise TargetClosedError('the turn at a cold target has passed')
        head = self.wire.make_request(
            job.request,
            run.target,
            job.left,
            run.inputs.made.handles,
            job.events.last_id,
        )
        run.attempt = await run.resources.enter_async_context(
            self._sender.send(
                run.target,
                head,
                job.request.body,
                MAX_IDLE_SECONDS,
                ident=job.request.ident,
                seat=run.placement.ident,
            )
        )
        job.has_retry = False
        job.sent += 1
        run.sent_at = time.monotonic()

    def record_complete(self, job: StreamJob, run: EngineRun) -> None:
        """Record that the answer of an attempt is complete."""
        if run.screening:
            run.screening.record_answer()
        self._sender.draining.durations.observe(job.request, run.sent_at)

    def record_first_event(self, job: StreamJob, run: EngineRun) -> None:
        """Tell the owner of a placement that its engine has begun to answer."""
        placement = run.placement
        message = PlaceFirst(job.request.service, placement.ident)
        self._owner_router.notify(
            placement.owner, message, self.receive_first_event
        )

    def can_acquire_retry(self, job: StreamJob) -> bool:
        """Tell whether a retry is left, or is already the job's."""
        budget = self.budgets.of(job.request.service)
        return job.has_retry or budget.can_acquire(time.monotonic())

    def acquire_retry(self, job: StreamJob) -> bool:
        """Acquire a retry unless the job has one that it hasn't sent.

        :returns: whether the retry is allowed.
        """
        if not job.has_retry:
            budget = self.budgets.of(job.request.service)
            job.has_retry = budget.acquire(time.monotonic())
        return job.has_retry

    def uncount(
        self, job: StreamJob, target: Target, error: Exception | None
    ) -> None:
        """Take back what an attempt counts for that its engine hasn't run."""
        if isinstance(error, TargetBusyError):
            job.sent -= 1
        if isinstance(error, TargetClosedError):
            job.tried_targets.remove(target)

    async def examine_failure(self, run: EngineRun, error: TargetError) -> None:
        """Find out whether a request has ended its target."""
        screening = run.screening
        run.screening = None
        if screening and may_have_crashed(run.target, error, self._members):
            await screening.record_broken(run.target)

    async def _run_stages_once(self, job: StreamJob) -> StageInputs:
        job.stage_runs += 1
        stages = self.stages.open_job(
            job.request,
            job.table,
            job.event_deadline,
            is_rerun=job.stage_runs > 1,
        )
        inputs = StageInputs(stages)
        with contextlib.ExitStack() as unfinished:
            unfinished.callback(inputs.close)
            inputs.made = await stages.run()
            unfinished.pop_all()
        return inputs

    def _may_run(self, job: StreamJob, target: Target) -> bool:
        """Tell whether an attempt may go to the target of its placement."""
        return (
            not self._members.is_leaving(target)
            and self.continuations.fits(job, target)
            and job.may_send_to(target)
        )

    def _end_run(
        self,
        service: str,
        run: EngineRun,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the placement of an attempt that ended with ``error``, if any."""
        handed_over = isinstance(error, HandedOverError)
        cause = error.failure if isinstance(error, HandedOverError) else error
        is_silence = handed_over and cause is None
        failed = is_silence or _is_failure(cause)
        says_nothing = run.is_silent and not failed
        message = PlaceEnd(
            service,
            run.placement.ident,
            '' if says_nothing else run.target.name,
            failed,
            is_silence,
        )
        self._notify_end(run.placement.owner, message)

    def _withdraw(self, query: PlaceQuestion, owner: str = '') -> None:
        """Withdraw a query that has no reply from a VM, else from this one."""
        message = PlaceEnd(query.service, query.ident, '', failed=False)
        if owner:
            self._notify_end(owner, message)
        else:
            self.receive_end(message)

    def _notify_end(self, owner: str, message: PlaceEnd) -> None:
        self._owner_router.notify(owner, message, self.receive_end)


def _begin_pace(job: StreamJob, run: EngineRun, sender: Sender) -> None:
    """Begin to measure the pace of an attempt that is sent now.

    :raises RefusedError: when no engine may have run its request, which may not
        end before the process stops.
    """
    target = run.target
    draining = sender.draining
    engine = draining.paces.get(job.request.service, target.incarnation)
    load = engine.find_next_load(run.placement.load)
    most_load = math.inf
    if not job.may_have_run:
        is_cold = sender.turns.cold.is_cold(target)
        most_load = draining.check_send(
            job.request, EngineLoad(target.incarnation, load, is_cold)
        )
    run.pace = engine.begin(job.request.fields.prompt_tokens, load)
    run.pace.most_load = most_load
    run.resources.callback(run.pace.end)


def _find_send_time(job: StreamJob, draining: Draining) -> float:
    """Return for how many seconds a placement is of use to a request."""
    if job.may_have_run:
        return math.inf
    return draining.find_send_time(job.request)


def _check_not_sent(job: StreamJob, refusal: RefusedError) -> None:
    """Check that no engine may have run a request whose stages are refused.

    :raises RefusedError: when one may have, before the stages ran once more.
    """
    if job.may_have_run:
        raise RefusedError(
            Reason.stage_failed, job.run, refusal.detail
        ) from refusal


def _is_failure(error: BaseException | None) -> bool:
    """Tell whether the error that ended an attempt is its engine's."""
    return isinstance(error, TargetError) and not isinstance(
        error, (TargetBusyError, TargetClosedError)
    )
