"""Rules by which a batcher admits queries for stage results.

The rules cover the retry budget, memory pressure at producers, the pending
stage that a query becomes, and the retry time after a refusal.
"""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.errors import GalenaError
from galenaswitch.gateway.failures import may_have_crashed
from galenaswitch.gateway.messages import PiecesQuestion
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.limits.retries import RetryBudget
from galenaswitch.membership.lists import Members
from galenaswitch.pipelines.arrivals import WINDOW_SECONDS
from galenaswitch.pipelines.batch_queue import Batch
from galenaswitch.pipelines.pending import PendingStage, Urgency
from galenaswitch.quarantine.containment import Containment

# Share of used result memory above which a target has memory pressure. The
# remaining memory holds the results of one full batch.
MEMORY_PRESSURE_SHARE = 0.6
# Largest share by which the retry time of a refused caller is increased at
# random.
RETRY_AFTER_JITTER = 0.3


def acquire_budget(
    query: PiecesQuestion,
    budget: RetryBudget,
    now: float,
) -> bool:
    """Record work items as requests, or acquire retry budget for a rerun."""
    if query.again:
        return budget.acquire(now, len(query.pieces))
    for _ in query.pieces:
        budget.record_request(now)
    return True


class BatchedService(NamedTuple):
    """Service whose targets make work items in batches.

    :param find_limits: returns the batch limits of a service.
    """

    name: str
    find_limits: Callable[[str], BatchLimits | None]


async def count_crash(
    batch: Batch,
    error: GalenaError,
    members: Members,
    containment: Containment,
    sent_at: float,
) -> None:
    """Count a crash of a batch's target against all stages in the batch.

    It implicates their requests, which come again under other ids.

    :param sent_at: monotonic time in seconds of the send to the target.
    """
    if not may_have_crashed(batch.target, error, members):
        return
    stages = list({id(one): one for one, _ in batch.work_items}.values())
    crashed = await asyncio.gather(
        *(
            containment.record_broken(
                batch.target, one.ident, one.implicated, sent_at
            )
            for one in stages
        )
    )
    for pending, has_crashed in zip(stages, crashed, strict=True):
        pending.crashes += has_crashed


def has_memory_pressure(used_bytes: float, limits: BatchLimits | None) -> bool:
    """Tell whether a target's result memory is nearly full."""
    return (
        limits is not None
        and used_bytes > limits.result_memory_bytes * MEMORY_PRESSURE_SHARE
    )


def estimate_retry_after(
    wait_seconds: float, seconds_left: float, drain_seconds: float
) -> float:
    """Return the seconds after which a retry will probably succeed.

    A retry succeeds once the expected wait is shorter than the time left, or
    once the current burst is over, whichever is earlier. A random spread keeps
    callers that were refused together from returning together.

    :param wait_seconds: expected seconds until the work items would be made.
    :param seconds_left: seconds after which their results are useless.
    :param drain_seconds: seconds in which all queued work items can be made.

    >>> 1.0 <= estimate_retry_after(3.0, 2.0, 9.0) <= 1.3
    True
    >>> 2.5 <= estimate_retry_after(60.0, 2.0, 0.5) <= 3.25
    True
    """
    seconds = min(wait_seconds - seconds_left, drain_seconds + WINDOW_SECONDS)
    return seconds * random.uniform(1, 1 + RETRY_AFTER_JITTER)


def make_pending_stage(query: PiecesQuestion, now: float) -> PendingStage:
    """Return the pending stage for a query that arrived at ``now``."""
    return PendingStage(
        query.ident,
        query.pieces,
        query.result_bytes,
        query.zone,
        Urgency(
            now + query.start_in,
            now + query.left,
            query.priority,
            query.stages_left,
            query.late,
        ),
        query.last_read,
        query.fingerprint,
    )
