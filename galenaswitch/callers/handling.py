"""Runs a checked request under the limits and claims of its contract.

Admission applies the limits first. A request with an idempotency key whose
pipeline may not be repeated then runs under a claim, so that a retry does not
run it twice.
"""

import asyncio
from typing import Any

from galenaswitch.callers.bodies import check_idempotency_key
from galenaswitch.callers.server import PipelineResult
from galenaswitch.claims.client import (
    Claim,
    Claims,
    FirstOutcome,
    wait_until_reported,
)
from galenaswitch.claims.messages import Settlement
from galenaswitch.contracts.documents import is_repeatable
from galenaswitch.limits.admission import Admission
from galenaswitch.pipelines.execution import Executor, TokenSink
from galenaswitch.pipelines.requests import PipelineRequest, Progress
from galenaswitch.refusals import ExecutionState

# Settlement of a claim after a failed attempt, by its execution state.
SETTLEMENTS_BY_RUN = {
    ExecutionState.not_run: Settlement.released,
    ExecutionState.partial: Settlement.released,
    ExecutionState.unknown: Settlement.unknown,
}


class PipelineRequestHandler:
    """Runs pipeline requests under their contracts' limits and claims."""

    def __init__(
        self,
        executor: Executor,
        claims: Claims,
        admission: Admission,
    ) -> None:
        """Build a handler from the parts that run, claim and admit requests.

        :param executor: runs the stages of a pipeline.
        :param claims: claims idempotency keys.
        :param admission: applies the limits of a contract.
        """
        self._admission = admission
        self._claimed_attempts: set[asyncio.Task[PipelineResult]] = set()
        self._executor = executor
        self._claims = claims

    @property
    def attempts(self) -> int:
        """Number of attempts under a claim, also of disconnected callers."""
        return len(self._claimed_attempts)

    async def handle(
        self,
        request: PipelineRequest,
        key: str,
        progress: Progress,
        sink: TokenSink,
    ) -> PipelineResult:
        """Run a request and return the result of its pipeline.

        A pipeline with a call that may not be repeated runs under a claim
        when the caller sent an idempotency key. Without a key, the pipeline
        gets a single attempt.
        """
        if key:
            check_idempotency_key(key)
        await self._admission.admit(request)
        try:
            return await self._run(request, key, progress, sink)
        finally:
            self._admission.finish(request, progress)

    async def _run(
        self,
        request: PipelineRequest,
        key: str,
        progress: Progress,
        sink: TokenSink,
    ) -> PipelineResult:
        if not key or is_repeatable(request.pipeline):
            execution = await self._executor.run(request, progress, sink)
            return PipelineResult(execution.output)
        claim_or_outcome = await self._claims.claim(request, key)
        if isinstance(claim_or_outcome, FirstOutcome):
            return PipelineResult(claim_or_outcome.output, replayed=True)
        # The attempt continues when its caller disconnects, so that a retry
        # with the same idempotency key gets its outcome.
        attempt = asyncio.create_task(
            self._run_claimed(request, claim_or_outcome, progress, sink),
        )
        self._claimed_attempts.add(attempt)
        attempt.add_done_callback(self._remove_attempt)
        return await asyncio.shield(attempt)

    def _remove_attempt(self, attempt: asyncio.Task[PipelineResult]) -> None:
        self._claimed_attempts.discard(attempt)
        if not attempt.cancelled():
            attempt.exception()

    async def _run_claimed(
        self,
        request: PipelineRequest,
        claim: Claim,
        progress: Progress,
        sink: TokenSink,
    ) -> PipelineResult:
        """Run the single attempt that a claim allows and settle the claim."""
        output: dict[str, Any] | None = None
        try:
            execution = await self._executor.run(request, progress, sink)
            output = execution.output
        finally:
            settlement = SETTLEMENTS_BY_RUN[progress.run]
            if output is not None:
                settlement = Settlement.done
            recorded = self._claims.settle(claim, settlement, output)
        await wait_until_reported(recorded)
        return PipelineResult(output)
