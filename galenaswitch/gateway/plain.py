"""Requests to plain services, which return one complete response.

A request that a target has not run is sent to another target. A request that
may have run is retried only if its route is repeatable. The retry budget of
the service limits the retries.
"""

import asyncio
import time
from collections.abc import Sequence

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import AnswerWriter
from galenaswitch.errors import (
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
from galenaswitch.gateway.failures import may_have_crashed
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.gateway.routes import CallKind
from galenaswitch.gateway.sending import Sender
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.pipelines.requests import Progress
from galenaswitch.quarantine.containment import Containment
from galenaswitch.quarantine.screening import Screening
from galenaswitch.refusals import (
    ExecutionState,
    Reason,
    RefusedError,
    find_timeout_reason,
)
from galenaswitch.routing.choice import Chooser, WorkEstimate
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView

# Longest idle time in seconds of a connection that is reused, for idempotent
# and for non-idempotent requests. A target may close an idle connection without
# notice, and a non-idempotent request can't be retried then.
MAX_IDLE_SECONDS = 3.0
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 0.3
# An attempt that can be retried times out after this multiple of the pool's
# average latency, but not before the minimum in seconds.
TIMEOUT_FACTOR = 4.0
MIN_TIMEOUT_SECONDS = 0.15
# Most targets that one request is sent to, counting those that refuse it.
MAX_ATTEMPTS = 4


class PlainRunner:
    """Runs requests to plain services."""

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
        self._zone = zone
        self._members = members
        self._sender = sender
        self._wire = wire
        self._budgets = budgets
        self._chooser = chooser
        self._loads = loads
        self._containment = containment
        self._ejector = Ejector()

    async def run(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Run a request and send its answer to the caller.

        :raises RefusedError: when no target returns a complete answer.
        """
        screening = Screening(
            self._containment, request.ident, (), request.content
        )
        await screening.admit()
        self._budgets.of(request.service).record_request(time.monotonic())
        progress = Progress()
        tried: set[str] = set()
        while True:
            target = await self._choose(request, progress, tried)
            tried.add(target.name)
            screening.start_send(progress.run)
            try:
                head, body = await self._attempt(request, target, progress)
            except TargetError as error:
                if isinstance(error, TargetClosedError):
                    tried.discard(target.name)
                await self._examine_failure(target, error, screening)
                self._check_retry(
                    request, target, progress, error, len(tried), screening
                )
                continue
            # An error of the target doesn't show that it ran the request.
            if head.status < MIN_SERVER_ERROR_STATUS:
                screening.record_answer()
            if self._should_retry(request, head, progress):
                continue
            await send_complete(writer, head, body)
            return

    def dump(self) -> dict[str, float]:
        """Return the seconds for which each ejected target is paused."""
        return self._ejector.dump()

    async def _choose(
        self,
        request: CallerRequest,
        progress: Progress,
        tried: set[str],
    ) -> Target:
        now = time.monotonic()
        if now >= request.deadline:
            raise RefusedError(find_timeout_reason(progress.run), progress.run)
        usable = self._members.usable(request.service)
        untried = [one for one in usable if one.name not in tried]
        names = set(
            self._ejector.select([target.name for target in untried], now),
        )
        candidates = [target for target in untried if target.name in names]
        if not candidates:
            reason = Reason.stage_failed if progress.sent else Reason.no_target
            wait = self._sender.notices.find_wait(usable)
            raise RefusedError(reason, progress.run, '', wait)
        opened = await self._find_open(request, progress, candidates)
        chosen = self._choose_untried(opened, now)
        if chosen.incarnation not in self._sender.turns.pacer.rates:
            return chosen
        return await self._find_turn(request, progress, opened, chosen)

    async def _find_open(
        self,
        request: CallerRequest,
        progress: Progress,
        candidates: Sequence[Target],
    ) -> Sequence[Target]:
        """Return the targets that aren't paused, after a wait if need be.

        :raises RefusedError: when all are paused for too long.
        """
        notices = self._sender.notices
        max_wait = self._find_max_wait(request)
        wait = await notices.wait_for_open(candidates, max_wait)
        if wait:
            reason = Reason.stage_failed if progress.sent else Reason.capacity
            raise RefusedError(
                reason, progress.run, 'all targets are paused', wait
            )
        return notices.select(candidates)

    def _find_max_wait(self, request: CallerRequest) -> float:
        """Return the longest wait with which a request is still on time."""
        latency = self._loads.typical_latency(request.service)
        left = request.objective_deadline - time.monotonic()
        return max(0, left - latency)

    def _choose_untried(
        self, candidates: Sequence[Target], now: float
    ) -> Target:
        work = WorkEstimate((), 0, 0, self._zone, now)
        return self._chooser.choose(candidates, work)

    async def _find_turn(
        self,
        request: CallerRequest,
        progress: Progress,
        candidates: Sequence[Target],
        chosen: Target,
    ) -> Target:
        """Return a target that takes the request under its own limit.

        :raises RefusedError: when all targets have a limit, and none of them
            has a turn in time for the request's objective.
        """
        now = time.monotonic()
        rates = self._sender.turns.pacer.rates
        limited = [chosen]
        limited.extend(
            one
            for one in candidates
            if one.incarnation in rates and one is not chosen
        )
        unlimited = [one for one in candidates if one.incarnation not in rates]
        max_wait = self._find_max_wait(request)
        target, wait = await self._sender.turns.find_turn(
            request.service, limited, 0 if unlimited else max_wait
        )
        if target is None and unlimited:
            return self._choose_untried(unlimited, now)
        if target is None:
            reason = Reason.stage_failed if progress.sent else Reason.capacity
            raise RefusedError(
                reason, progress.run, 'all targets are at their limits', wait
            )
        await asyncio.sleep(wait)
        return target

    async def _attempt(
        self,
        request: CallerRequest,
        target: Target,
        progress: Progress,
    ) -> tuple[AnswerHead, bytes]:
        now = time.monotonic()
        seconds_left = request.deadline - now
        once = request.route.kind is CallKind.once
        head = self._wire.make_request(request, target, seconds_left, (), '')
        seconds = min(
            seconds_left,
            self._find_answer_timeout(request, progress, seconds_left),
        )
        load = self._loads.get_load(target.name)
        sent = load.start(now, 0, 0)
        progress.record_sent(repeatable=not once)
        try:
            async with self._sender.send(
                target,
                head,
                request.body,
                MAX_IDLE_NON_IDEMPOTENT_SECONDS if once else MAX_IDLE_SECONDS,
            ) as attempt:
                answer = await attempt.read_head(seconds)
                check_answer(request, answer, self._wire)
                body = await attempt.read_complete(seconds)
        finally:
            load.finish(sent, time.monotonic())
        self._record_answer(request, target, answer, time.monotonic() - now)
        return answer, body

    def _find_answer_timeout(
        self,
        request: CallerRequest,
        progress: Progress,
        seconds_left: float,
    ) -> float:
        """Return the seconds after which an attempt times out.

        An attempt that can't be retried may use all the time left. While the
        pool's latency is unknown, an attempt may use half of the time left.
        """
        last = progress.sent + 1 >= request.route.attempts
        if request.route.kind is CallKind.once or last:
            return seconds_left
        if not self._budgets.of(request.service).can_acquire(time.monotonic()):
            return seconds_left
        typical_seconds = self._loads.typical_latency(request.service)
        if not typical_seconds:
            return seconds_left / 2
        return max(MIN_TIMEOUT_SECONDS, typical_seconds * TIMEOUT_FACTOR)

    def _record_answer(
        self,
        request: CallerRequest,
        target: Target,
        answer: AnswerHead,
        seconds: float,
    ) -> None:
        self._loads.observe_pool_latency(request.service, seconds)
        self._loads.get_load(target.name).observe(seconds)
        if answer.status < MIN_SERVER_ERROR_STATUS:
            self._ejector.record_success(target.name)
        else:
            self._ejector.record_failure(target.name, time.monotonic())

    def _should_retry(
        self,
        request: CallerRequest,
        head: AnswerHead,
        progress: Progress,
    ) -> bool:
        """Tell whether a server error of a target is retried elsewhere."""
        if head.status < MIN_SERVER_ERROR_STATUS:
            return False
        if request.route.kind is not CallKind.repeatable:
            return False
        targets = len(self._members.usable(request.service))
        if progress.attempts >= min(request.route.attempts, targets):
            return False
        return self._budgets.of(request.service).acquire(time.monotonic())

    async def _examine_failure(
        self,
        target: Target,
        error: TargetError,
        screening: Screening,
    ) -> None:
        """Find out whether a request has ended its target."""
        if may_have_crashed(target, error, self._members):
            await screening.record_broken(target)

    def _check_retry(
        self,
        request: CallerRequest,
        target: Target,
        progress: Progress,
        error: TargetError,
        attempts: int,
        screening: Screening,
    ) -> None:
        """Refuse the request unless it may be sent to another target.

        :raises RefusedError: when no time is left, when a non-idempotent
            request may have run, when the request may be harmful, or when no
            retries are left.
        """
        now = time.monotonic()
        self._record_failure(target, error, now)
        known_not_run = isinstance(
            error, (TargetUnreachableError, TargetBusyError)
        )
        if known_not_run:
            progress.record_not_run()
        get_logger().info(
            'attempt_failed',
            request=request.ident,
            target=target.name,
            failure=type(error).__name__,
            reason=str(error),
            left=round(request.deadline - now, 3),
            incarnation=target.incarnation,
            parts=screening.parts,
        )
        if now >= request.deadline:
            raise RefusedError(find_timeout_reason(progress.run), progress.run)
        if not known_not_run and request.route.kind is CallKind.once:
            raise RefusedError(Reason.stage_failed, ExecutionState.unknown)
        if not known_not_run and not screening.may_repeat():
            raise RefusedError(Reason.stage_failed, progress.run)
        if attempts >= MAX_ATTEMPTS or self._is_out_of_retries(
            request, progress, error, now
        ):
            reason = Reason.capacity if known_not_run else Reason.stage_failed
            if progress.run is not ExecutionState.not_run:
                reason = Reason.stage_failed
            raise RefusedError(reason, progress.run)

    def _is_out_of_retries(
        self,
        request: CallerRequest,
        progress: Progress,
        error: TargetError,
        now: float,
    ) -> bool:
        """Tell whether the attempts or the retry budget are used up.

        An unreachable target received nothing, so replacing it costs no
        budget.
        """
        if progress.sent >= request.route.attempts:
            return True
        if isinstance(error, TargetUnreachableError):
            return False
        return not self._budgets.of(request.service).acquire(now)

    def _record_failure(
        self, target: Target, error: TargetError, now: float
    ) -> None:
        if isinstance(error, TargetClosedError):
            return
        if isinstance(error, TargetUnreachableError):
            self._ejector.eject(target.name, now)
        elif not isinstance(error, TargetBusyError):
            self._ejector.record_failure(target.name, now)
