"""Running a checked request: limits, claims, stages."""

import asyncio
from typing import Any

from galenaswitch.callers.bodies import check_key
from galenaswitch.callers.server import Answer
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
from galenaswitch.refusals import Run

SETTLEMENTS = {
    Run.not_run: Settlement.released,
    Run.partial: Settlement.released,
    Run.unknown: Settlement.unknown,
}


class RequestHandling:
    """Runs requests under their contracts."""

    def __init__(
        self,
        executor: Executor,
        claims: Claims,
        admission: Admission,
    ) -> None:
        """Run stages through ``executor``, keyed calls under ``claims``."""
        self._admission = admission
        self._attempts: set[asyncio.Task[Answer]] = set()
        self._executor = executor
        self._claims = claims

    @property
    def attempts(self) -> int:
        """Claimed attempts in progress, also of callers that have left."""
        return len(self._attempts)

    async def handle(
        self,
        request: PipelineRequest,
        key: str,
        progress: Progress,
        sink: TokenSink,
    ) -> Answer:
        """Run a request and return its whole answer.

        A pipeline with a call that may not be repeated is run under a claim
        when the caller gave a key; without a key it gets a single attempt.
        """
        if key:
            check_key(key)
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
    ) -> Answer:
        if not key or is_repeatable(request.pipeline):
            ran = await self._executor.run(request, progress, sink)
            return Answer(ran.output)
        claimed = await self._claims.claim(request, key)
        if isinstance(claimed, FirstOutcome):
            return Answer(claimed.output, replayed=True)
        # The attempt goes on when its caller leaves: a retry gets its outcome.
        attempt = asyncio.create_task(
            self._run_claimed(request, claimed, progress, sink),
        )
        self._attempts.add(attempt)
        attempt.add_done_callback(self._forget)
        return await asyncio.shield(attempt)

    def _forget(self, attempt: asyncio.Task[Answer]) -> None:
        self._attempts.discard(attempt)
        if not attempt.cancelled():
            attempt.exception()

    async def _run_claimed(
        self,
        request: PipelineRequest,
        claim: Claim,
        progress: Progress,
        sink: TokenSink,
    ) -> Answer:
        """Make the one attempt that a claim allows and settle it."""
        output: dict[str, Any] | None = None
        try:
            ran = await self._executor.run(request, progress, sink)
            output = ran.output
        finally:
            settlement = SETTLEMENTS[progress.run]
            if output is not None:
                settlement = Settlement.done
            noted = self._claims.settle(claim, settlement, output)
        await wait_until_reported(noted)
        return Answer(output)
