"""Records what attempts end with: costs, loads, failures of their targets."""

import asyncio

from galenaswitch.errors import (
    MismatchedAnswerError,
    TargetBusyError,
    TargetError,
    TargetLateError,
    TargetLeavingError,
    TargetUnreachableError,
)
from galenaswitch.membership.lists import LeavingSign, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.pipelines.notices import FailureSinks
from galenaswitch.pipelines.requests import StageRun
from galenaswitch.routing.ejection import Ejector, is_outlier
from galenaswitch.routing.loads import LoadView


class OutcomeRecorder:
    """Records the outcomes of attempts at targets."""

    def __init__(
        self,
        loads: LoadView,
        ejector: Ejector,
        sinks: FailureSinks,
        metrics: Metrics,
    ) -> None:
        """Build a recorder.

        :param sinks: receive notices of leaving targets, and crashes.
        """
        self._guard = sinks.guard
        self._loads = loads
        self._ejector = ejector
        self._notices = sinks.notices
        self._metrics = metrics

    def count_cost(self, job: StageRun, cost: float, useful: bool) -> None:
        """Count the cost of an attempt that has ended."""
        if useful:
            job.progress.useful_cost += cost
        else:
            job.progress.wasted_cost += cost
        kind = 'useful' if useful else 'wasted'
        self._metrics.count(
            f'cost_{kind}.{job.stage.name}',
            max(1, round(cost)),
        )

    def record_success(self, target: Target, seconds: float) -> None:
        """Record the latency of a call that succeeded."""
        load = self._loads.get_load(target.name)
        load.observe(seconds)
        self._loads.observe_pool_latency(target.pool, seconds)
        others = self._loads.other_latencies(target)
        if is_outlier(load.latency, others):
            now = asyncio.get_running_loop().time()
            get_logger().warning('target_ejected', target=target.name)
            self._ejector.eject(target.name, now)
            load.latency = 0
            return
        self._ejector.record_success(target.name)

    async def record_failure(
        self,
        job: StageRun,
        target: Target,
        error: TargetError,
        sent_at: float,
        answered_seconds: float = 0,
    ) -> None:
        """Record the failure of an attempt, and find out whether it crashed.

        :param sent_at: monotonic time in seconds of the send to the target.
        :param answered_seconds: seconds since the first part of the answer.
        """
        self._judge_target(job, target, error)
        await self._guard.record_failure(
            job, target, error, sent_at, answered_seconds
        )

    def _judge_target(
        self, job: StageRun, target: Target, error: TargetError
    ) -> None:
        now = asyncio.get_running_loop().time()
        is_alive = self._loads.get_load(target.name).is_fresh(now)
        job.progress.record_failure(error)
        if isinstance(error, TargetLateError):
            if not is_alive:
                self._ejector.record_failure(target.name, now)
            return
        if isinstance(error, TargetLeavingError):
            job.progress.record_not_run()
            self._notices.report_leaving(
                LeavingSign(target.name, target.incarnation)
            )
            return
        if isinstance(error, TargetBusyError):
            job.progress.record_not_run()
            return
        if isinstance(error, TargetUnreachableError):
            job.progress.record_not_run()
            self._ejector.eject(target.name, now)
            return
        if now >= job.request.deadline and is_alive:
            return
        if isinstance(error, MismatchedAnswerError):
            self._metrics.count('answer_mismatched')
        self._ejector.record_failure(target.name, now)
