"""Calls of attempts at one stage, and the first success of several."""

import asyncio
import secrets
from typing import Any

from galenaswitch.pipelines.requests import StageRun
from galenaswitch.targets.messages import StageCall

ATTEMPT_ID_BYTES = 8


def make_call(
    job: StageRun,
    payload: dict[str, Any],
    seconds_left: float,
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
        left_ms=max(1, int(seconds_left * 1000)),
        priority=priority,
    )


async def find_first_success(
    tasks: set[asyncio.Task[dict[str, Any]]],
) -> dict[str, Any]:
    """Return the first successful result, or raise the last failure."""
    waiting = tasks
    while True:
        done, waiting = await asyncio.wait(
            waiting,
            return_when=asyncio.FIRST_COMPLETED,
        )
        succeeded = [task for task in done if not task.exception()]
        if succeeded or not waiting:
            return (succeeded or list(done))[0].result()
