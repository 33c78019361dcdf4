"""Requests to plain services: one answer, repeated only where allowed."""

import time

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import AnswerWriter
from galenaswitch.errors import (
    TargetBusyError,
    TargetError,
    TargetUnreachableError,
)
from galenaswitch.gateway.answers import (
    FIRST_SERVER_ERROR,
    check_answer,
    send_whole,
)
from galenaswitch.gateway.calls import CallerRequest, Wire
from galenaswitch.gateway.routes import CallKind
from galenaswitch.gateway.sending import Sender
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.pipelines.requests import Progress
from galenaswitch.refusals import (
    ExecutionState,
    Reason,
    RefusedError,
    find_timeout_reason,
)
from galenaswitch.routing.choice import Chooser, WorkEstimate
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView

# Seconds that a connection may have been idle before a request that may be
# repeated, and before one that may not: a target closes it unannounced.
MAX_IDLE_SECONDS = 3.0
MAX_IDLE_ONCE_SECONDS = 0.3
# A call that may be repeated is given up after the usual time this many
# times, and not before the shortest patience in seconds.
PATIENCE_FACTOR = 4.0
LEAST_PATIENCE_SECONDS = 0.15
# Targets tried where none has run the request.
MAX_TRIES = 4


class PlainRunner:
    """Runs requests of plain services."""

    def __init__(
        self,
        zone: str,
        members: Members,
        sender: Sender,
        wire: Wire,
        budgets: RetryBudgets,
        chooser: Chooser,
        loads: LoadView,
    ) -> None:
        """Choose among ``members`` with ``chooser`` for a VM of ``zone``."""
        self._zone = zone
        self._members = members
        self._sender = sender
        self._wire = wire
        self._budgets = budgets
        self._chooser = chooser
        self._loads = loads
        self._ejector = Ejector()

    async def run(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Run a request and send its answer.

        :raises RefusedError: when no target answered it whole.
        """
        self._budgets.of(request.service).note_request(time.monotonic())
        progress = Progress()
        tried: set[str] = set()
        while True:
            target = self._choose(request, progress, tried)
            tried.add(target.name)
            try:
                head, body = await self._attempt(request, target, progress)
            except TargetError as error:
                self._judge(request, target, progress, error, len(tried))
                continue
            if self._should_repeat(request, head, progress):
                continue
            await send_whole(writer, head, body)
            return

    def dump(self) -> dict[str, float]:
        """Return the pause of each ejected target in seconds."""
        return self._ejector.dump()

    def _choose(
        self,
        request: CallerRequest,
        progress: Progress,
        tried: set[str],
    ) -> Target:
        now = time.monotonic()
        if now >= request.deadline:
            raise RefusedError(find_timeout_reason(progress.run), progress.run)
        usable = self._members.usable(request.service)
        fresh = [one for one in usable if one.name not in tried]
        names = set(
            self._ejector.select([target.name for target in fresh], now),
        )
        kept = [target for target in fresh if target.name in names]
        if not kept:
            reason = Reason.stage_failed if progress.sent else Reason.no_target
            raise RefusedError(reason, progress.run)
        return self._chooser.choose(
            kept, WorkEstimate((), 0, 0, self._zone, now)
        )

    async def _attempt(
        self,
        request: CallerRequest,
        target: Target,
        progress: Progress,
    ) -> tuple[AnswerHead, bytes]:
        now = time.monotonic()
        left = request.deadline - now
        once = request.route.kind is CallKind.once
        head = self._wire.make_request(request, target, left, (), '')
        seconds = min(left, self._find_patience(request, progress, left))
        load = self._loads.get_load(target.name)
        sent = load.start(now, 0, 0)
        progress.record_sent(repeatable=not once)
        try:
            async with self._sender.send(
                target.url,
                head,
                request.body,
                MAX_IDLE_ONCE_SECONDS if once else MAX_IDLE_SECONDS,
            ) as attempt:
                answer = await attempt.read_head(seconds)
                check_answer(request, answer, self._wire)
                body = await attempt.read_complete(seconds)
        finally:
            load.finish(sent, time.monotonic())
        self._note_answer(request, target, answer, time.monotonic() - now)
        return answer, body

    def _find_patience(
        self,
        request: CallerRequest,
        progress: Progress,
        left: float,
    ) -> float:
        """Return the seconds after which another target is tried."""
        last = progress.sent + 1 >= request.route.attempts
        if request.route.kind is CallKind.once or last:
            return left
        if not self._budgets.of(request.service).has_left(time.monotonic()):
            return left
        typical = self._loads.typical_latency(request.service)
        if not typical:
            return left / 2
        return max(LEAST_PATIENCE_SECONDS, typical * PATIENCE_FACTOR)

    def _note_answer(
        self,
        request: CallerRequest,
        target: Target,
        answer: AnswerHead,
        seconds: float,
    ) -> None:
        self._loads.observe_pool_latency(request.service, seconds)
        self._loads.get_load(target.name).observe(seconds)
        if answer.status < FIRST_SERVER_ERROR:
            self._ejector.record_success(target.name)
        else:
            self._ejector.record_failure(target.name, time.monotonic())

    def _should_repeat(
        self,
        request: CallerRequest,
        head: AnswerHead,
        progress: Progress,
    ) -> bool:
        """Tell whether a target's own failure is worth another try."""
        if head.status < FIRST_SERVER_ERROR:
            return False
        if request.route.kind is not CallKind.repeatable:
            return False
        targets = len(self._members.usable(request.service))
        if progress.attempts >= min(request.route.attempts, targets):
            return False
        return self._budgets.of(request.service).take(time.monotonic())

    def _judge(
        self,
        request: CallerRequest,
        target: Target,
        progress: Progress,
        error: TargetError,
        tries: int,
    ) -> None:
        """Return when another target may be tried, else refuse.

        :raises RefusedError: when the request may have run and may not be
            repeated, or the budget of repeated sends is used up.
        """
        now = time.monotonic()
        self._blame(target, error, now)
        known = isinstance(error, (TargetUnreachableError, TargetBusyError))
        if known:
            progress.record_not_run()
        get_logger().info(
            'attempt_failed',
            request=request.ident,
            target=target.name,
            failure=type(error).__name__,
            reason=str(error),
            left=round(request.deadline - now, 3),
        )
        if now >= request.deadline:
            raise RefusedError(find_timeout_reason(progress.run), progress.run)
        if not known and request.route.kind is CallKind.once:
            raise RefusedError(Reason.stage_failed, ExecutionState.unknown)
        if tries >= MAX_TRIES or self._is_spent(request, progress, error, now):
            reason = Reason.capacity if known else Reason.stage_failed
            if progress.run is not ExecutionState.not_run:
                reason = Reason.stage_failed
            raise RefusedError(reason, progress.run)

    def _is_spent(
        self,
        request: CallerRequest,
        progress: Progress,
        error: TargetError,
        now: float,
    ) -> bool:
        """Tell whether no further send is allowed."""
        if progress.sent >= request.route.attempts:
            return True
        if isinstance(error, TargetUnreachableError):
            return False
        return not self._budgets.of(request.service).take(now)

    def _blame(self, target: Target, error: TargetError, now: float) -> None:
        if isinstance(error, TargetUnreachableError):
            self._ejector.eject(target.name, now)
        elif not isinstance(error, TargetBusyError):
            self._ejector.record_failure(target.name, now)
