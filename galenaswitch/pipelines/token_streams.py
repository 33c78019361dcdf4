"""Attempts of token streams: their sends, their reads and their records.

A stream may have two attempts at one time, while one takes over from another.
The records of an attempt begin with its send and end with its connection.
"""

import asyncio
from collections.abc import AsyncGenerator, Iterable
from contextlib import aclosing
from typing import NamedTuple

from galenaswitch.errors import TargetError
from galenaswitch.membership.lists import Target
from galenaswitch.operations.metrics import Metrics
from galenaswitch.pipelines.calls import make_call
from galenaswitch.pipelines.crashes import CrashGuard
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.lengths import AnswerLengths
from galenaswitch.pipelines.outcomes import OutcomeRecorder
from galenaswitch.pipelines.priorities import Priorities
from galenaswitch.pipelines.requests import StageRun, name_token_latencies
from galenaswitch.pipelines.streams import StallWatch, order_tokens
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView, SentWork
from galenaswitch.routing.prefix import PrefixIndex
from galenaswitch.targets.client import TargetClient
from galenaswitch.targets.messages import StreamEnd, Token
from galenaswitch.targets.sequence import TokenSequence


class StreamRun(NamedTuple):
    """A generating stage of one request and the tokens that it has made."""

    job: StageRun
    sequence: TokenSequence


class StreamAttempt:
    """One attempt of a token stream, from its send on.

    :ivar target: engine of the attempt.
    :ivar work: the attempt in the load of its engine.
    :ivar first: the read of the first part.
    :ivar tokens_made: tokens that the attempt has added to the answer.
    :ivar failure: why its read has ended early, ``None`` if it hasn't.
    """

    def __init__(
        self,
        target: Target,
        work: SentWork,
        parts: AsyncGenerator[list[Token] | StreamEnd, None],
    ) -> None:
        """Send an attempt, whose answer is read from ``parts``."""
        self.target = target
        self.work = work
        self.first = asyncio.ensure_future(anext(parts))
        self.tokens_made = 0
        self.failure: TargetError | None = None
        self._parts = parts

    async def read_parts(
        self,
    ) -> AsyncGenerator[list[Token] | StreamEnd, None]:
        """Yield the parts of the stream."""
        async with aclosing(self._parts) as parts:
            yield await self.first
            async for part in parts:
                yield part

    async def close(self) -> None:
        """End the attempt."""
        self.first.cancel()
        await asyncio.gather(self.first, return_exceptions=True)
        await self._parts.aclose()


class TokenStreams:
    """Sends and reads attempts, and records load, failures and costs."""

    def __init__(
        self,
        client: TargetClient,
        dispatcher: Dispatcher,
        loads: LoadView,
        ejector: Ejector,
        prefixes: PrefixIndex,
        guard: CrashGuard,
        metrics: Metrics,
        outcomes: OutcomeRecorder,
    ) -> None:
        """Build streams of ``client``.

        :param guard: keeps requests that crash their targets away from them.
        """
        self.guard = guard
        self.lengths = AnswerLengths()
        self.metrics = metrics
        self._client = client
        self._dispatcher = dispatcher
        self._loads = loads
        self._ejector = ejector
        self._prefixes = prefixes
        self._outcomes = outcomes
        self._priorities = Priorities()

    def send(self, run: StreamRun, target: Target) -> StreamAttempt:
        """Send an attempt that continues the tokens made so far.

        :raises RefusedError: when the request was quarantined meanwhile.
        """
        job, sequence = run
        self.guard.check_send(job)
        now = asyncio.get_running_loop().time()
        resume = {'from': sequence.count, 'digest': sequence.digest()}
        seconds_left = job.request.deadline - now
        call = make_call(
            job,
            {**job.payload, **resume},
            seconds_left,
            self._priorities.start(job.request.contract),
        )
        load = self._loads.get_load(target.name)
        share = self._prefixes.estimate_cached_share(
            target.name, job.work.blocks
        )
        prompt = job.work.prompt_tokens * (1 - share)
        self.metrics.count('prefix_held' if share else 'prefix_missed')
        work = load.start(now, prompt, job.work.answer_tokens)
        self._prefixes.add(target.name, job.work.blocks)
        self._dispatcher.wake()
        job.progress.record_sent(repeatable=True)
        parts = self._client.stream(target, call, seconds_left)
        return StreamAttempt(target, work, parts)

    async def read(
        self,
        run: StreamRun,
        attempt: StreamAttempt,
        waits: Iterable[float],
        watch: StallWatch,
    ) -> AsyncGenerator[list[Token], None]:
        """Read an attempt to its end or failure, and close it.

        :param waits: timeouts in seconds of successive waits for the first
            part.
        :returns: groups of tokens in order.
        """
        try:
            async with aclosing(attempt.read_parts()) as parts:
                async for ready in order_tokens(
                    parts, waits, run.sequence, watch
                ):
                    attempt.tokens_made += len(ready)
                    yield ready  # noqa: WPS220
        except TargetError as error:
            attempt.failure = error
            await self.record_failure(
                run, attempt, error, watch.answered_seconds
            )
        else:
            self.guard.record_answer(run.job)
            self._ejector.record_success(attempt.target.name)
            self._observe_tokens(run, attempt)
        finally:
            self.metrics.count(
                'tokens_doubled', run.sequence.pop_duplicate_count()
            )
            self.finish(run, attempt)
            await attempt.close()

    def find_obstacle(self, job: StageRun) -> str:
        """Return why a stream may not be sent again, empty if it may."""
        if not job.stage.repeatable:
            return 'the stage may not be repeated'
        if self.guard.may_repeat(job) and job.progress.is_harmless:
            return ''
        return 'the request may be harmful'

    async def record_failure(
        self,
        run: StreamRun,
        attempt: StreamAttempt,
        error: TargetError,
        answered_seconds: float = 0,
    ) -> None:
        """Record the failure of an attempt."""
        await self._outcomes.record_failure(
            run.job, attempt.target, error, attempt.work.at, answered_seconds
        )

    def finish(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """End the records of an attempt, which is closed next."""
        job = run.job
        self._priorities.finish(job.request.contract)
        load = self._loads.get_load(attempt.target.name)
        load.finish(attempt.work, asyncio.get_running_loop().time())
        job.progress.record_tokens(attempt.tokens_made)
        cost = job.stage.cost + attempt.tokens_made * job.stage.cost_per_token
        self._outcomes.count_cost(job, cost, attempt.tokens_made > 0)
        self._dispatcher.wake()

    def _observe_tokens(self, run: StreamRun, attempt: StreamAttempt) -> None:
        """Observe the length of a complete answer and the pace of its end."""
        job = run.job
        contract, pipeline = job.request.contract, job.request.pipeline
        self.lengths.observe(
            contract.workspace, pipeline.name, run.sequence.count
        )
        if attempt.tokens_made:
            seconds = asyncio.get_running_loop().time() - attempt.work.at
            names = name_token_latencies(job.stage.pool, contract.workspace)
            for name in names:
                self._loads.observe_pool_latency(
                    name, seconds / attempt.tokens_made
                )
