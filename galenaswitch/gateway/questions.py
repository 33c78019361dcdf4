"""Questions for work items, as the batcher of a service takes them."""

import random

from galenaswitch.gateway.messages import PiecesQuestion
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.limits.retries import RetryBudget
from galenaswitch.pipelines.arrivals import WINDOW_SECONDS
from galenaswitch.pipelines.pending import PendingStage, Standing

# Part of the room for results from which a target is short of it: what is
# left takes the results of a full call.
MEMORY_PRESSURE_SHARE = 0.6
# Part by which callers that are refused at one time return later.
RETRY_AFTER_JITTER = 0.3


def acquire_budget(
    query: PiecesQuestion,
    budget: RetryBudget,
    now: float,
) -> bool:
    """Count work items as requests; those made again need a budget."""
    if query.again:
        return budget.take(now, len(query.pieces))
    for _ in query.pieces:
        budget.note_request(now)
    return True


def has_memory_pressure(used_bytes: float, limits: BatchLimits | None) -> bool:
    """Tell whether a target that holds some bytes is short of room."""
    return (
        limits is not None
        and used_bytes > limits.room_bytes * MEMORY_PRESSURE_SHARE
    )


def estimate_retry_after(
    wait_seconds: float, seconds_left: float, drain_seconds: float
) -> float:
    """Return the seconds after which another try is likely to do.

    That is when the wait is within what a caller has left, or else when a
    burst is likely to be over. It is spread, so that callers that were
    refused together don't return together.

    :param wait: expected seconds until the work items would be made.
    :param left: seconds after which they are of no use.
    :param clear: seconds in which all that waits now can be made.

    >>> 1.0 <= estimate_retry_after(3.0, 2.0, 9.0) <= 1.3
    True
    >>> 2.5 <= estimate_retry_after(60.0, 2.0, 0.5) <= 3.25
    True
    """
    seconds = min(wait_seconds - seconds_left, drain_seconds + WINDOW_SECONDS)
    return seconds * random.uniform(1, 1 + RETRY_AFTER_JITTER)


def make_pending_stage(query: PiecesQuestion, now: float) -> PendingStage:
    return PendingStage(
        query.ident,
        query.pieces,
        query.result_bytes,
        query.zone,
        Standing(
            now + query.start_in,
            now + query.left,
            query.priority,
            query.stages_left,
            query.late,
        ),
        query.last_read,
    )
