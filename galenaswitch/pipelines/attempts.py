"""Runs attempts at one stage of a request.

A slow stage with a single answer is hedged, and a failed one is retried at
another target. A broken token stream resumes at another target. Budgets limit
retries and hedges. Stages that may have run are retried only if repeatable.
"""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

from galenaswitch.errors import (
    TargetBusyError,
    TargetError,
    TargetLeavingError,
    TargetUnreachableError,
)
from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.pipelines.budgets import Budget, Budgets
from galenaswitch.pipelines.calls import (
    SentCalls,
    find_timeout,
    make_call,
    race_calls,
)
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.first_token import FirstTokenTimeout
from galenaswitch.pipelines.notices import FailureSinks
from galenaswitch.pipelines.outcomes import OutcomeRecorder
from galenaswitch.pipelines.requests import StageRun
from galenaswitch.pipelines.successors import Successors
from galenaswitch.pipelines.token_streams import (
    StreamAttempt,
    StreamRun,
    TokenStreams,
)
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex
from galenaswitch.targets.client import TargetClient
from galenaswitch.targets.messages import Token
from galenaswitch.targets.sequence import TokenSequence


class AttemptRunner:
    """Sends stages to targets and records load, failures and costs."""

    def __init__(
        self,
        client: TargetClient,
        dispatcher: Dispatcher,
        loads: LoadView,
        ejector: Ejector,
        budgets: Budgets,
        prefixes: PrefixIndex,
        sinks: FailureSinks,
        metrics: Metrics,
    ) -> None:
        """Build a runner that sends to targets chosen by ``dispatcher``.

        :param sinks: receive notices of leaving targets, and crashes.
        """
        self.guard = sinks.guard
        self._client = client
        self._dispatcher = dispatcher
        self._loads = loads
        self._ejector = ejector
        self._budgets = budgets
        self._metrics = metrics
        self._outcomes = OutcomeRecorder(loads, ejector, sinks, metrics)
        self._streams = TokenStreams(
            client,
            dispatcher,
            loads,
            ejector,
            prefixes,
            sinks.guard,
            metrics,
            self._outcomes,
        )
        self.lengths = self._streams.lengths
        self._first_token_timeout = FirstTokenTimeout(
            loads, dispatcher, budgets
        )

    async def run(self, job: StageRun) -> dict[str, Any]:
        """Run a stage that has a single answer.

        :returns: the stage's output.
        :raises RefusedError: when no attempt succeeds in time.
        """
        self._budgets.retries(job.stage.pool).earn()
        self._budgets.hedges(job.stage.pool).earn()
        tried: frozenset[str] = frozenset()
        while True:
            target = self._choose(job, tried)
            try:
                return await self._call_hedged(job, target, tried)
            except TargetError as error:
                self._record_failed(job, error)
                self._check_retry(job, error)
            tried |= {target.name}

    async def stream(self, job: StageRun) -> AsyncGenerator[list[Token], None]:
        """Run a generating stage; a broken stream resumes where it stopped.

        :returns: groups of tokens in order, each token once.
        :raises RefusedError: when the answer can't be completed in time.
        """
        self._budgets.retries(job.stage.pool).earn()
        run = StreamRun(job, TokenSequence())
        successors = Successors(run, self._streams, self._first_token_timeout)
        attempt: StreamAttempt | None = self._send(run, successors)
        async with aclosing(successors):
            while attempt:
                async with aclosing(successors.read(attempt)) as token_groups:
                    async for tokens in token_groups:
                        yield tokens  # noqa: WPS220
                attempt = await self._find_next(run, attempt, successors)

    async def _find_next(
        self, run: StreamRun, attempt: StreamAttempt, successors: Successors
    ) -> StreamAttempt | None:
        """Return the attempt that has a stream after one that was read.

        :returns: ``None`` when the stream is complete.
        :raises RefusedError: when the stream can't go on.
        """
        failure = attempt.failure
        if failure is None:
            return None
        self._record_failed(run.job, failure)
        successor = await successors.take(attempt, failure)
        if successor:
            return successor
        self._check_retry(run.job, failure)
        return self._send(run, successors)

    def _send(self, run: StreamRun, successors: Successors) -> StreamAttempt:
        """Send a stream to an engine that hasn't failed it.

        Engines that were only silent get it if there is no other.

        :raises RefusedError: when there is no engine or not enough time.
        """
        job, sequence = run
        tried = successors.find_tried()
        target = self._choose(job, tried, successors.failed)
        self._first_token_timeout.check_feasible(job, target, sequence.count)
        return self._streams.send(run, target)

    def _choose(
        self,
        job: StageRun,
        tried: frozenset[str],
        failed: frozenset[str] | None = None,
    ) -> Target:
        """Return an untried target, or else one that hasn't failed.

        :param failed: names of the tried targets that have failed, ``None``
            if all of them have.
        :raises RefusedError: when there is no target, or no time is left.
        """
        now = asyncio.get_running_loop().time()
        if now >= job.request.deadline:
            raise RefusedError(Reason.deadline, job.progress.run)
        work = job.work._replace(now=now)
        target = self._dispatcher.choose(job.stage, work, tried)
        if target is None and failed is not None:
            target = self._dispatcher.choose(job.stage, work, failed)
        if target is None:
            raise RefusedError(
                Reason.stage_failed if tried else Reason.no_target,
                job.progress.run,
                f'no target of pool {job.stage.pool} can run {job.stage.name}',
            )
        return target

    def _record_failed(self, job: StageRun, error: TargetError) -> None:
        self._metrics.count('attempt_failed')
        get_logger().info(
            'attempt_failed',
            request=job.request.ident,
            stage=job.stage.name,
            failure=type(error).__name__,
            reason=str(error),
        )

    def _check_retry(self, job: StageRun, error: TargetError) -> None:
        """Refuse the request unless another attempt is allowed.

        The retry after a leaving target is free.
        """
        not_run = isinstance(error, (TargetUnreachableError, TargetBusyError))
        if not (not_run or job.stage.repeatable):
            raise RefusedError(Reason.stage_failed, job.progress.run)
        if isinstance(error, TargetLeavingError):
            return
        job.progress.check_harmless()
        if not (not_run or self.guard.may_repeat(job)):
            raise RefusedError(
                Reason.stage_failed,
                job.progress.run,
                'the request crashed its targets',
            )
        if asyncio.get_running_loop().time() >= job.request.deadline:
            raise RefusedError(Reason.deadline, job.progress.run)
        if not self._budgets.retries(job.stage.pool).acquire():
            raise RefusedError(
                Reason.stage_failed,
                job.progress.run,
                'the retry budget is used up',
            )

    async def _call_hedged(
        self,
        job: StageRun,
        target: Target,
        tried: frozenset[str],
    ) -> dict[str, Any]:
        if not job.stage.repeatable:
            return await self._call_once(job, target, SentCalls())
        pool = job.stage.pool
        latency = self._loads.typical_latency(pool)
        sent = SentCalls()
        budgets = iter(
            (self._budgets.hedges(pool), self._budgets.retries(pool))
        )
        return await race_calls(
            job,
            asyncio.create_task(self._call_once(job, target, sent)),
            latency,
            lambda: self._hedge(job, tried, sent, next(budgets)),
        )

    def _hedge(
        self,
        job: StageRun,
        tried: frozenset[str],
        sent: SentCalls,
        budget: Budget,
    ) -> set[asyncio.Task[dict[str, Any]]]:
        """Start an attempt besides those that are silent, if that is allowed.

        The attempts in flight stay: their targets may go on at any time.
        """
        if self.guard.is_suspect(job):
            return set()
        now = asyncio.get_running_loop().time()
        work = job.work._replace(now=now)
        other = self._dispatcher.choose(job.stage, work, tried | sent.targets)
        if other is None or not budget.acquire():
            return set()
        self._metrics.count('hedged')
        return {asyncio.create_task(self._call_once(job, other, sent))}

    async def _call_once(
        self, job: StageRun, target: Target, sent_calls: SentCalls
    ) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        seconds_left = job.request.deadline - started_at
        weight = job.request.contract.weight
        call = make_call(job, job.payload, seconds_left, weight)
        latency = self._loads.typical_latency(target.pool)
        timeout = find_timeout(job, latency)
        sent_calls.start(target.name, started_at)
        self.guard.check_send(job)
        load = self._loads.get_load(target.name)
        sent = load.start(started_at, 0, 0)
        job.progress.record_sent(repeatable=job.stage.repeatable)
        succeeded = False
        try:
            output = await self._client.call(target, call, job.stage.repeatable)
            succeeded = True
            self.guard.record_answer(job)
        except TargetError as error:
            await self._outcomes.record_failure(job, target, error, started_at)
            raise
        finally:
            load.finish(sent, loop.time())
            sent_calls.finish(target.name)
            self._outcomes.count_cost(job, job.stage.cost, succeeded)
            self._dispatcher.wake()
        job.progress.record_success(repeatable=job.stage.repeatable)
        now = loop.time()
        self._outcomes.record_success(target, now - started_at)
        if now - started_at < timeout:
            for name in sent_calls.find_silent(now - timeout):
                self._ejector.record_failure(name, now)
        return output
