"""Extra sends of plain requests: the policy applied to what a VM knows."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import NamedTuple, Protocol

from galenaswitch.errors import TargetBusyError, TargetError
from galenaswitch.gateway.calls import Load
from galenaswitch.gateway.routes import CallKind
from galenaswitch.gateway.selection import Answer, PlainJob
from galenaswitch.gateway.sending import Sender
from galenaswitch.hedging.latencies import Quantile
from galenaswitch.hedging.policy import (
    RESERVED_SHARE,
    ExtraWorkPolicy,
    LateRequest,
    TargetState,
)
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import MILLISECONDS, Metrics
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView

# Age in seconds from which the load that a response named is ignored.
MAX_LOAD_AGE_SECONDS = 1.0

Tasks = set[asyncio.Task[Answer]]
Send = Callable[[PlainJob, Target], Awaitable[Answer]]


class Hedges(NamedTuple):
    """When attempts start beside the first one, and how.

    :param delays: seconds before each start in which no attempt ends.
    :param start: starts another attempt, or none.
    :param may_start: whether the route and the budget allow another attempt.
    """

    delays: Iterator[float]
    start: Callable[[], Tasks]
    may_start: Callable[[], bool]


class ExtraWork(Protocol):
    """What a runner of plain requests tells and asks about extra sends."""

    def record_first(self, job: PlainJob) -> None:
        """Record that a request is about to be sent for the first time."""

    def record_latency(self, service: str, seconds: float) -> None:
        """Record the latency of a response, or of an attempt given up."""

    def record_load(self, target: Target, load: Load | None) -> None:
        """Record the load that a response names."""

    def record_error(self, job: PlainJob, error: TargetError) -> None:
        """Record the failure of an attempt."""

    def is_silent(self, seconds: float, timeout: float) -> bool:
        """Tell whether a target counts as silent beside an answer in time.

        :param seconds: time since the request was sent to the target.
        """

    def plan(self, job: PlainJob, hedges: Hedges, send: Send) -> Hedges:
        """Return the hedges of an attempt with an extra send among them.

        :param hedges: hedges beside silent targets.
        """


class NoExtraWork:
    """No extra sends: only silent targets are hedged."""

    def record_first(self, job: PlainJob) -> None:
        """Record nothing."""

    def record_latency(self, service: str, seconds: float) -> None:
        """Record nothing."""

    def record_load(self, target: Target, load: Load | None) -> None:
        """Record nothing."""

    def record_error(self, job: PlainJob, error: TargetError) -> None:
        """Record nothing."""

    def is_silent(self, seconds: float, timeout: float) -> bool:
        """Return ``True``, since hedges start only beside silent targets."""
        return True

    def plan(self, job: PlainJob, hedges: Hedges, send: Send) -> Hedges:
        """Return the hedges unchanged."""
        return hedges


class ExtraSends:
    """Extra sends of one VM within a limit."""

    def __init__(
        self,
        policy: ExtraWorkPolicy,
        members: Members,
        sender: Sender,
        loads: LoadView,
        budgets: RetryBudgets,
        ejector: Ejector,
        metrics: Metrics,
    ) -> None:
        """Build extra sends to ``members``.

        :param budgets: retry budgets, to which each extra send is charged.
        :param ejector: leaves out failing targets.
        """
        self._policy = policy
        self._members = members
        self._sender = sender
        self._loads = loads
        self._budgets = budgets
        self._ejector = ejector
        self._metrics = metrics
        self._reports: dict[str, tuple[Load, float]] = {}

    def record_first(self, job: PlainJob) -> None:
        """Record a first send, unless the request was sent before."""
        if not job.progress.attempts:
            self._policy.record_first(job.request.service, time.monotonic())

    def record_latency(self, service: str, seconds: float) -> None:
        """Add a latency to those of its service."""
        self._policy.record_latency(service, seconds, time.monotonic())
        self._metrics.time('plain_response', seconds * MILLISECONDS)

    def record_load(self, target: Target, load: Load | None) -> None:
        """Keep the load that a response names, and drop old ones."""
        now = time.monotonic()
        self._reports.pop(target.name, None)
        if load:
            self._reports[target.name] = (load, now)
        for name, (_, reported_at) in list(self._reports.items()):
            if now - reported_at <= MAX_LOAD_AGE_SECONDS:
                break
            self._reports.pop(name)

    def record_error(self, job: PlainJob, error: TargetError) -> None:
        """Record a refusal for want of room."""
        if isinstance(error, TargetBusyError):
            self._policy.record_refusal(job.request.service, time.monotonic())

    def is_silent(self, seconds: float, timeout: float) -> bool:
        """Tell whether a target had as long as a silent one.

        A target beside an extra send is only later than most.
        """
        return seconds >= timeout

    def plan(self, job: PlainJob, hedges: Hedges, send: Send) -> Hedges:
        """Return the hedges with an extra send before the first of them."""
        quantile = self._policy.find_delay(
            job.request.service, time.monotonic()
        )
        if quantile is None:
            return hedges
        silence = next(hedges.delays)
        if quantile.seconds >= silence:
            delays = itertools.chain((silence,), hedges.delays)
            return hedges._replace(delays=delays)
        starts: Iterator[Callable[[], Tasks]] = itertools.chain(
            (partial(self._start, job, hedges, send, quantile),),
            itertools.repeat(hedges.start),
        )
        return hedges._replace(
            delays=itertools.chain(
                (quantile.seconds, silence - quantile.seconds), hedges.delays
            ),
            start=lambda: next(starts)(),
        )

    def _start(
        self, job: PlainJob, hedges: Hedges, send: Send, quantile: Quantile
    ) -> Tasks:
        """Start an extra send unless a rule forbids it."""
        now = time.monotonic()
        service = job.request.service
        budget = self._budgets.of(service)
        usable = self._members.usable(service)
        states = self._find_states(job, usable, now)
        late = LateRequest(
            service,
            job.request.route.kind is CallKind.repeatable
            and job.screening.may_repeat(),
            hedges.may_start(),
            budget.can_acquire(now, used_share=1 - RESERVED_SHARE),
            job.request.objective_deadline - now,
        )
        obstacle = self._policy.find_obstacle(late, states, now)
        if obstacle:
            self._metrics.count('extra_withheld')
            return set()
        names = self._policy.select(service, states, now)
        target = random.choice([one for one in usable if one.name in names])
        self._policy.acquire(service, now)
        budget.acquire(now)
        job.tried.add(target.name)
        self._metrics.count('extra_sent')
        get_logger().info(
            'extra_sent',
            request=job.request.ident,
            target=target.name,
            waits_for=sorted(job.in_flight),
            seconds=round(quantile.seconds, 3),
            age=round(quantile.age, 3),
            samples=quantile.samples,
            left=round(late.left, 3),
        )
        return {asyncio.create_task(self._run(job, target, send))}

    async def _run(self, job: PlainJob, target: Target, send: Send) -> Answer:
        job.screening.start_send(job.progress.run)
        answer = await send(job, target)
        self._metrics.count('extra_won')
        return answer

    def _find_states(
        self, job: PlainJob, targets: tuple[Target, ...], now: float
    ) -> tuple[TargetState, ...]:
        return tuple(
            TargetState(
                target.name,
                self._is_usable(job, target, now),
                self._is_idle(target, now),
                self._loads.get_load(target.name).latency,
            )
            for target in targets
        )

    def _is_usable(self, job: PlainJob, target: Target, now: float) -> bool:
        turns = self._sender.turns
        obstacles = (
            target.name in job.tried,
            self._ejector.is_ejected(target.name, now),
            turns.seats.is_brittle(target.pool),
            target.incarnation in turns.pacer.rates,
            not self._sender.select((target,)),
            self._members.is_leaving(target),
        )
        return not any(obstacles)

    def _is_idle(self, target: Target, now: float) -> bool:
        """Tell whether a target has no request of this VM and a free slot."""
        if self._loads.get_load(target.name).estimate_in_progress(now):
            return False
        load, reported_at = self._reports.get(target.name, (None, now))
        if load is None or now - reported_at > MAX_LOAD_AGE_SECONDS:
            return True
        return load.running + load.waiting < load.slots
