"""Calls of attempts at one stage, sent besides one another."""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

from galenaswitch.pipelines.hedging import Outcome, find_first_success
from galenaswitch.pipelines.requests import StageRun
from galenaswitch.targets.messages import StageCall

ATTEMPT_ID_BYTES = 8
# An attempt is hedged, and then late, after these multiples of the usual
# latency, but not before the minimum in seconds.
HEDGE_DELAY_FACTOR = 3
MIN_HEDGE_DELAY_SECONDS = 0.03
TIMEOUT_FACTOR = 10
MIN_TIMEOUT_SECONDS = 0.4


class SentCalls:
    """Attempts of one stage that are sent besides one another.

    :ivar targets: names of their targets, also of those that have ended.
    """

    def __init__(self) -> None:
        """Build a set without attempts."""
        self.targets: set[str] = set()
        self._sent_at: dict[str, float] = {}

    def start(self, target: str, now: float) -> None:
        """Record an attempt sent at a monotonic time in seconds."""
        self.targets.add(target)
        self._sent_at[target] = now

    def finish(self, target: str) -> None:
        """Record the end of an attempt."""
        self._sent_at.pop(target, None)

    def find_silent(self, since: float) -> list[str]:
        """Return the targets of attempts in flight since a time or longer."""
        return [target for target, at in self._sent_at.items() if at <= since]


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


def find_hedge_delay(latency: float) -> float:
    """Return the seconds after which an attempt is hedged.

    :param latency: usual seconds of an attempt, 0 when unknown.
    """
    return max(MIN_HEDGE_DELAY_SECONDS, latency * HEDGE_DELAY_FACTOR)


def find_timeout(job: StageRun, latency: float) -> float:
    """Return the seconds after which an attempt is late.

    It is half of the time left for a pool of unknown latency.

    :param latency: usual seconds of an attempt, 0 when unknown.
    """
    seconds = latency * TIMEOUT_FACTOR
    if not latency:
        left = job.request.deadline - asyncio.get_running_loop().time()
        seconds = left / 2
    return max(MIN_TIMEOUT_SECONDS, seconds)


async def race_calls(
    job: StageRun,
    first: asyncio.Task[Outcome],
    latency: float,
    hedge: Callable[[], set[asyncio.Task[Outcome]]],
) -> Outcome:
    """Return the first successful result of a call and its hedges.

    :param latency: usual seconds of an attempt, 0 when unknown.
    :param hedge: starts another attempt, or none if there can't be one.
    :raises GalenaError: the last failure, when all attempts have failed.
    """
    delays = (find_hedge_delay(latency), find_timeout(job, latency))
    return await find_first_success(first, delays, hedge)
