"""Rules by which a batcher admits queries for stage results.

The rules cover the retry budget, memory pressure at producers, and the pending
stage that a query becomes.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.errors import GalenaError
from galenaswitch.gateway.failures import may_have_crashed
from galenaswitch.gateway.messages import PiecesQuestion
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.limits.retries import RetryBudget
from galenaswitch.membership.lists import Members
from galenaswitch.operations.metrics import LocalMetrics, Metrics
from galenaswitch.pipelines.batch_queue import Batch
from galenaswitch.pipelines.pending import PendingStage, Urgency
from galenaswitch.quarantine.containment import Containment

# Share of used result memory above which a target has memory pressure. The
# remaining memory holds the results of one full batch.
MEMORY_PRESSURE_SHARE = 0.6


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
    metrics: Metrics = LocalMetrics()


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
