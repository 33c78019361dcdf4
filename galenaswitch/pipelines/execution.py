"""Runs the stages of one request under one deadline.

Each stage waits for capacity, runs through the attempt runner and passes its
output to later stages. A request is refused before a stage that can't finish
in time.
"""

import asyncio
from collections.abc import Sequence
from contextlib import aclosing
from typing import Any, NamedTuple, Protocol

from galenaswitch.contracts.documents import Shortage, Stage, StageKind
from galenaswitch.pipelines.attempts import AttemptRunner
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.requests import (
    PipelineRequest,
    Progress,
    StageRun,
    estimate_tokens,
    name_token_latencies,
)
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.choice import WorkEstimate
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import hash_blocks
from galenaswitch.targets.messages import Token


class TokenSink(Protocol):
    """Receives the tokens of a generated answer in order."""

    async def send(self, tokens: Sequence[Token]) -> None:
        """Receive the next tokens of the answer."""


class Result(NamedTuple):
    """Result of a pipeline request.

    :param output: output of the last stage; the sink gets generated text.
    :param stages: names of the stages that ran.
    """

    output: dict[str, Any]
    stages: tuple[str, ...]


class Executor:
    """Runs requests through their pipelines."""

    def __init__(
        self,
        attempts: AttemptRunner,
        dispatcher: Dispatcher,
        loads: LoadView,
        zone: str,
    ) -> None:
        """Build an executor for an entry process of ``zone``.

        :param attempts: runs each stage at targets.
        """
        self._attempts = attempts
        self._dispatcher = dispatcher
        self._loads = loads
        self._zone = zone

    async def run(
        self,
        request: PipelineRequest,
        progress: Progress,
        sink: TokenSink,
    ) -> Result:
        """Run all stages in order.

        :param progress: records the attempts of the request.
        :param sink: receives the tokens of generating stages.
        :raises RefusedError: when the request can't be completed in time.
        """
        self._attempts.guard.admit(request, progress)
        outputs: dict[str, Any] = {}
        output: dict[str, Any] = {}
        for number, stage in enumerate(request.pipeline.stages):
            self._check_deadline(request, progress, number)
            output = await self._run_stage(
                request,
                progress,
                stage,
                outputs,
                sink,
            )
            outputs[stage.name] = output
        return Result(output, tuple(outputs))

    def estimate_seconds(self, request: PipelineRequest, number: int) -> float:
        """Return the seconds that the stages from ``number`` on usually take.

        :param number: index of the first stage that is counted.
        """
        return sum(
            self._estimate_stage_seconds(request, stage)
            for stage in request.pipeline.stages[number:]
        )

    def _estimate_stage_seconds(
        self, request: PipelineRequest, stage: Stage
    ) -> float:
        if stage.kind is StageKind.generate:
            names = name_token_latencies(
                stage.pool,
                request.contract.workspace,
            )
            latencies = map(self._loads.typical_latency, names)
            latency = next(filter(None, latencies), 0)
            return latency * self._estimate_answer_tokens(request)
        return self._loads.typical_latency(stage.pool)

    def _check_deadline(
        self,
        request: PipelineRequest,
        progress: Progress,
        number: int,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if now >= request.deadline:
            raise RefusedError(Reason.deadline, progress.run)
        if not self._dispatcher.shedding:
            return
        if now + self.estimate_seconds(request, number) > request.deadline:
            raise RefusedError(Reason.deadline_unreachable, progress.run)

    async def _run_stage(
        self,
        request: PipelineRequest,
        progress: Progress,
        stage: Stage,
        outputs: dict[str, Any],
        sink: TokenSink,
    ) -> dict[str, Any]:
        number = request.pipeline.stages.index(stage)
        payload = make_payload(request, outputs)
        work = self._estimate_work(request, stage, payload)
        stage = await self._find_stage_with_capacity(
            request,
            progress,
            stage,
            number,
            work,
        )
        job = StageRun(request, stage, payload, work, progress)
        shares = self._dispatcher.shares
        shares.enter(stage.pool, request.contract)
        try:
            return await self._run_attempts(job, sink)
        finally:
            shares.leave(stage.pool, request.contract)

    async def _run_attempts(
        self, job: StageRun, sink: TokenSink
    ) -> dict[str, Any]:
        if job.stage.kind is not StageKind.generate:
            return await self._attempts.run(job)
        job.payload['blocks'] = list(job.work.blocks)
        async with aclosing(self._attempts.stream(job)) as stream:
            async for tokens in stream:
                await sink.send(tokens)
        return {}

    async def _find_stage_with_capacity(
        self,
        request: PipelineRequest,
        progress: Progress,
        stage: Stage,
        number: int,
        work: WorkEstimate,
    ) -> Stage:
        try:
            await self._dispatcher.wait_for_capacity(
                request,
                stage,
                progress,
                work,
                lambda: self.estimate_seconds(request, number),
            )
        except RefusedError:
            smaller = use_smaller_model(request, stage)
            if smaller is None:
                raise
            return smaller
        return stage

    def _estimate_work(
        self,
        request: PipelineRequest,
        stage: Stage,
        payload: dict[str, Any],
    ) -> WorkEstimate:
        now = asyncio.get_running_loop().time()
        if stage.kind is not StageKind.generate:
            return WorkEstimate((), 0, 0, self._zone, now)
        prompt = payload['prompt']
        workspace = request.contract.workspace
        expected_tokens = self._estimate_answer_tokens(request)
        return WorkEstimate(
            hash_blocks(workspace, prompt),
            estimate_tokens(prompt),
            expected_tokens or request.max_tokens,
            self._zone,
            now,
            expected_tokens,
        )

    def _estimate_answer_tokens(self, request: PipelineRequest) -> float:
        return self._attempts.lengths.estimate(
            request.contract.workspace,
            request.pipeline.name,
            request.max_tokens,
        )


def use_smaller_model(
    request: PipelineRequest,
    stage: Stage,
) -> Stage | None:
    """Return the stage with the contract's smaller model, or ``None``.

    The contract names the smaller model as ``pool/model@version``.
    """
    contract = request.contract
    allows_smaller_model = contract.shortage is Shortage.smaller_model
    if not allows_smaller_model or stage.kind is not StageKind.generate:
        return None
    pool, _, rest = contract.smaller_model.partition('/')
    model, _, version = rest.partition('@')
    return stage._replace(pool=pool, model=model, version=version)


def make_payload(
    request: PipelineRequest,
    outputs: dict[str, Any],
) -> dict[str, Any]:
    """Return a stage's input, built from the caller's and earlier outputs.

    The prompt begins with the caller's text, so that requests with the same
    text share a prefix. It ends with the passages of the latest stage that
    returned passages.
    """
    passages: list[str] = []
    for output in outputs.values():
        passages = output.get('passages', passages)
    return {
        'prompt': '\n'.join((request.prompt, *passages)),
        'fields': request.fields,
        'inputs': outputs,
        'max_tokens': request.max_tokens,
    }
