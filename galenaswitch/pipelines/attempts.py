"""Attempts at one stage: single answers with hedges, streams with resumes."""

import asyncio
import secrets
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

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
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.first_token import FirstTokenTimeout
from galenaswitch.pipelines.lengths import AnswerLengths
from galenaswitch.pipelines.notices import LeavingSink
from galenaswitch.pipelines.priorities import Priorities
from galenaswitch.pipelines.requests import StageRun, name_token_latencies
from galenaswitch.pipelines.streams import STALL_SECONDS, order_tokens
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.ejection import Ejector, is_outlier
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex
from galenaswitch.targets.client import TargetClient
from galenaswitch.targets.messages import StageCall, Token
from galenaswitch.targets.sequence import TokenSequence

ATTEMPT_ID_BYTES = 8
MIN_HEDGE_SECONDS = 0.03
HEDGE_FACTOR = 3
MIN_ATTEMPT_SECONDS = 0.4
ATTEMPT_FACTOR = 10


class AttemptRunner:
    """Runs stages against targets, with what this entry knows of them."""

    def __init__(
        self,
        client: TargetClient,
        dispatcher: Dispatcher,
        loads: LoadView,
        ejector: Ejector,
        budgets: Budgets,
        prefixes: PrefixIndex,
        signs: LeavingSink,
        metrics: Metrics,
    ) -> None:
        """Send through ``client`` to what ``dispatcher`` chooses."""
        self._client = client
        self._dispatcher = dispatcher
        self._loads = loads
        self._ejector = ejector
        self._budgets = budgets
        self._signs = signs
        self._prefixes = prefixes
        self._metrics = metrics
        self.lengths = AnswerLengths()
        self._priorities = Priorities()
        self._first_token_timeout = FirstTokenTimeout(
            loads, dispatcher, budgets
        )

    async def run(self, job: StageRun) -> dict[str, Any]:
        """Run a stage that has a single answer.

        :returns: the stage's output.
        :raises RefusedError: when no attempt succeeded in time.
        """
        self._budgets.retries(job.stage.pool).earn()
        self._budgets.hedges(job.stage.pool).earn()
        tried: frozenset[str] = frozenset()
        while True:
            target = self._choose(job, tried)
            try:
                return await self._call_hedged(job, target, tried)
            except TargetError as error:
                self._judge(job, error)
            tried |= {target.name}

    async def stream(self, job: StageRun) -> AsyncGenerator[list[Token], None]:
        """Run a generating stage; a broken stream resumes where it broke.

        :returns: batches of tokens in order, each token once.
        :raises RefusedError: when the answer can't be completed in time.
        """
        self._budgets.retries(job.stage.pool).earn()
        sequence = TokenSequence()
        tried: frozenset[str] = frozenset()
        while True:
            target = self._choose(job, tried)
            self._first_token_timeout.check_feasible(
                job, target, sequence.count
            )
            try:
                async with aclosing(
                    self._stream_once(job, target, sequence),
                ) as batches:
                    async for tokens in batches:
                        yield tokens  # noqa: WPS220
                return
            except TargetError as error:
                self._judge(job, error)
            tried |= {target.name}

    def _choose(self, job: StageRun, tried: frozenset[str]) -> Target:
        now = asyncio.get_running_loop().time()
        if now >= job.request.deadline:
            raise RefusedError(Reason.deadline, job.progress.run)
        work = job.work._replace(now=now)
        target = self._dispatcher.choose(job.stage, work, tried)
        if target is None:
            raise RefusedError(
                Reason.stage_failed if tried else Reason.no_target,
                job.progress.run,
                f'no target of pool {job.stage.pool} can run {job.stage.name}',
            )
        return target

    def _judge(self, job: StageRun, error: TargetError) -> None:
        """Return when another attempt may be made, else refuse."""
        self._metrics.count('attempt_failed')
        get_logger().info(
            'attempt_failed',
            request=job.request.ident,
            stage=job.stage.name,
            failure=type(error).__name__,
            reason=str(error),
        )
        known = isinstance(error, (TargetUnreachableError, TargetBusyError))
        if not (known or job.stage.repeatable):
            raise RefusedError(Reason.stage_failed, job.progress.run)
        if isinstance(error, (TargetLeavingError, TargetLateError)):
            return
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
            return await self._call_once(job, target)
        first = asyncio.create_task(self._call_once(job, target))
        tasks = {first}
        try:
            await asyncio.wait(tasks, timeout=self._hedge_after(target))
            if not first.done():
                second = self._hedge(job, tried | {target.name})
                tasks |= second
            return await _first_success(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _hedge(
        self,
        job: StageRun,
        tried: frozenset[str],
    ) -> set[asyncio.Task[dict[str, Any]]]:
        now = asyncio.get_running_loop().time()
        work = job.work._replace(now=now)
        other = self._dispatcher.choose(job.stage, work, tried)
        if other is None or not self._budgets.hedges(job.stage.pool).acquire():
            return set()
        self._metrics.count('hedged')
        return {asyncio.create_task(self._call_once(job, other))}

    def _hedge_after(self, target: Target) -> float:
        seconds = self._typical(target.pool) * HEDGE_FACTOR
        return max(MIN_HEDGE_SECONDS, seconds)

    def _typical(self, pool: str) -> float:
        return self._loads.typical_latency(pool)

    async def _call_once(
        self,
        job: StageRun,
        target: Target,
    ) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        left = job.request.deadline - begun
        if job.stage.repeatable:
            left = min(left, self._attempt_limit(target, left))
        weight = job.request.contract.weight
        call = _make_call(job, job.payload, left, weight)
        load = self._loads.get_load(target.name)
        sent = load.start(begun, 0, 0)
        job.progress.record_sent(repeatable=job.stage.repeatable)
        succeeded = False
        try:
            output = await self._client.call(
                target,
                call,
                job.stage.repeatable,
            )
            succeeded = True
        except TargetError as error:
            self._blame(job, target, error)
            raise
        finally:
            load.finish(sent, loop.time())
            self._count_cost(job, job.stage.cost, succeeded)
            self._dispatcher.wake()
        job.progress.record_settled(repeatable=job.stage.repeatable)
        self._praise(target, loop.time() - begun)
        return output

    def _attempt_limit(self, target: Target, left: float) -> float:
        """Return the seconds after which a repeatable call is given up.

        While nothing is known of the pool, half of the time left.
        """
        typical = self._typical(target.pool)
        if not typical:
            return max(MIN_ATTEMPT_SECONDS, left / 2)
        return max(MIN_ATTEMPT_SECONDS, typical * ATTEMPT_FACTOR)

    async def _stream_once(
        self,
        job: StageRun,
        target: Target,
        sequence: TokenSequence,
    ) -> AsyncGenerator[list[Token], None]:
        loop = asyncio.get_running_loop()
        now = loop.time()
        resume = {'from': sequence.count, 'digest': sequence.digest()}
        payload = {**job.payload, **resume}
        call = _make_call(
            job,
            payload,
            job.request.deadline - now,
            self._priorities.start(job.request.contract),
        )
        load = self._loads.get_load(target.name)
        share = self._prefixes.estimate_cached_share(
            target.name, job.work.blocks
        )
        prompt = job.work.prompt_tokens * (1 - share)
        self._metrics.count('prefix_held' if share else 'prefix_missed')
        sent = load.start(now, prompt, job.work.answer_tokens)
        self._prefixes.add(target.name, job.work.blocks)
        self._dispatcher.wake()
        job.progress.record_sent(repeatable=True)
        before = sequence.count
        try:
            waits = self._first_token_timeout.plan_waits(job, target, before)
            async with aclosing(
                self._client.stream(target, call, STALL_SECONDS),
            ) as stream:
                async for ready in order_tokens(stream, waits, sequence):
                    yield ready
        except TargetError as error:
            self._blame(job, target, error)
            raise
        else:
            self._ejector.record_success(target.name)
            self._learn_tokens(job, now, sequence.count - before)
            self.lengths.observe(
                job.request.contract.workspace,
                job.request.pipeline.name,
                sequence.count,
            )
        finally:
            self._priorities.finish(job.request.contract)
            load.finish(sent, loop.time())
            self._account(job, sequence, sequence.count - before)
            self._dispatcher.wake()

    def _account(
        self,
        job: StageRun,
        sequence: TokenSequence,
        made: int,
    ) -> None:
        """Count the tokens of an attempt that has ended, and their cost."""
        job.progress.tokens += made
        self._metrics.count('tokens_doubled', sequence.pop_duplicate_count())
        cost = job.stage.cost + made * job.stage.cost_per_token
        self._count_cost(job, cost, made > 0)

    def _learn_tokens(self, job: StageRun, begun: float, made: int) -> None:
        if made:
            seconds = asyncio.get_running_loop().time() - begun
            workspace = job.request.contract.workspace
            for name in name_token_latencies(job.stage.pool, workspace):
                self._loads.observe_pool_latency(name, seconds / made)

    def _count_cost(self, job: StageRun, cost: float, useful: bool) -> None:
        if useful:
            job.progress.useful_cost += cost
        else:
            job.progress.wasted_cost += cost
        kind = 'useful' if useful else 'wasted'
        self._metrics.count(
            f'cost_{kind}.{job.stage.name}',
            max(1, round(cost)),
        )

    def _praise(self, target: Target, seconds: float) -> None:
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

    def _blame(
        self,
        job: StageRun,
        target: Target,
        error: TargetError,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(error, TargetLateError):
            return
        if isinstance(error, TargetLeavingError):
            job.progress.record_not_run()
            self._signs.note(LeavingSign(target.name, target.incarnation))
            return
        if isinstance(error, TargetBusyError):
            job.progress.record_not_run()
            return
        if isinstance(error, TargetUnreachableError):
            job.progress.record_not_run()
            self._ejector.eject(target.name, now)
            return
        if now >= job.request.deadline and self._first_token_timeout.is_alive(
            target
        ):
            return
        if isinstance(error, MismatchedAnswerError):
            self._metrics.count('answer_mismatched')
        self._ejector.record_failure(target.name, now)


def _make_call(
    job: StageRun,
    payload: dict[str, Any],
    left: float,
    priority: float,
) -> StageCall:
    kind = job.stage.kind.value
    return StageCall(
        request=job.request.ident,
        stage=job.stage.name,
        attempt=secrets.token_hex(ATTEMPT_ID_BYTES),
        model=job.stage.model,
        version=job.stage.version,
        path=f'/{kind}/{job.stage.operation}'.rstrip('/'),
        payload=payload,
        left_ms=max(1, int(left * 1000)),
        priority=priority,
    )


async def _first_success(
    tasks: set[asyncio.Task[dict[str, Any]]],
) -> dict[str, Any]:
    """Return the first good result; when all fail, raise the last failure."""
    waiting = tasks
    while True:
        done, waiting = await asyncio.wait(
            waiting,
            return_when=asyncio.FIRST_COMPLETED,
        )
        good = [task for task in done if not task.exception()]
        if good or not waiting:
            return (good or list(done))[0].result()
