"""Calls of attempts at one stage, and the first success of several."""

import asyncio
import secrets
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from galenaswitch.pipelines.requests import StageRun
from galenaswitch.targets.messages import StageCall

ATTEMPT_ID_BYTES = 8
Outcome = TypeVar('Outcome')


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
    first: asyncio.Task[Outcome],
    delays: Iterable[float],
    hedge: Callable[[], set[asyncio.Task[Outcome]]],
) -> Outcome:
    """Return the first successful result of an attempt and its hedges.

    A failure ends no other attempt. At the end, all that are left are
    cancelled.

    :param delays: seconds of silence before each hedge.
    :param hedge: starts another attempt, or none if there can't be one.
    :raises GalenaError: the last failure, when all attempts have failed.
    """
    tasks = {first}
    waiting = {first}
    left = iter(delays)
    try:
        while True:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=next(left, None),
                return_when=asyncio.FIRST_COMPLETED,
            )
            succeeded = [task for task in done if not task.exception()]
            if succeeded or not waiting:
                return (succeeded or list(done))[0].result()
            if not done:
                hedges = hedge()
                tasks |= hedges
                waiting |= hedges
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
