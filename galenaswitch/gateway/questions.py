"""Questions for work items, as the batcher of a service takes them."""

import random

from galenaswitch.gateway.messages import PiecesQuestion
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.limits.retries import RetryBudget
from galenaswitch.pipelines.arrivals import WINDOW_SECONDS
from galenaswitch.pipelines.pending import PendingStage, Urgency

# Part of the room for results from which a target is short of it: what is
# left takes the results of a full call.
TIGHT_PART = 0.6
# Part by which callers that are refused at one time return later.
RETURN_SPREAD = 0.3


def count_work_items(
    question: PiecesQuestion,
    budget: RetryBudget,
    now: float,
) -> bool:
    """Count work items as requests; those made again need a budget."""
    if question.again:
        return budget.acquire(now, len(question.pieces))
    for _ in question.pieces:
        budget.record_request(now)
    return True


def has_memory_pressure(held: float, limits: BatchLimits | None) -> bool:
    """Tell whether a target that holds some bytes is short of room."""
    return limits is not None and held > limits.result_memory_bytes * TIGHT_PART


def find_return(wait: float, left: float, clear: float) -> float:
    """Return the seconds after which another try is likely to do.

    That is when the wait is within what a caller has left, or else when a
    burst is likely to be over. It is spread, so that callers that were
    refused together don't return together.

    :param wait: expected seconds until the work items would be made.
    :param left: seconds after which they are of no use.
    :param clear: seconds in which all that waits now can be made.

    >>> 1.0 <= find_return(3.0, 2.0, 9.0) <= 1.3
    True
    >>> 2.5 <= find_return(60.0, 2.0, 0.5) <= 3.25
    True
    """
    seconds = min(wait - left, clear + WINDOW_SECONDS)
    return seconds * random.uniform(1, 1 + RETURN_SPREAD)


def make_pending_stage(question: PiecesQuestion, now: float) -> PendingStage:
    return PendingStage(
        question.ident,
        question.pieces,
        question.result_bytes,
        question.zone,
        Urgency(
            now + question.start_in,
            now + question.left,
            question.priority,
            question.stages_left,
            question.late,
        ),
        question.last_read,
    )
