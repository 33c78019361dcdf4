"""Questions for pieces, as the gatherer of a service takes them."""

from galenaswitch.gateway.messages import PiecesQuestion
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.limits.retries import RetryBudget
from galenaswitch.pipelines.demands import Demand, Standing

# Part of the room for results from which a target is short of it: what is
# left takes the results of a full call.
TIGHT_PART = 0.6


def count_pieces(
    question: PiecesQuestion,
    budget: RetryBudget,
    now: float,
) -> bool:
    """Count pieces as requests; those made again need a budget."""
    if question.again:
        return budget.take(now, len(question.pieces))
    for _ in question.pieces:
        budget.note_request(now)
    return True


def is_tight(held: float, limits: BatchLimits | None) -> bool:
    """Tell whether a target that holds some bytes is short of room."""
    return limits is not None and held > limits.room_bytes * TIGHT_PART


def make_demand(question: PiecesQuestion, now: float) -> Demand:
    return Demand(
        question.ident,
        question.pieces,
        question.result_bytes,
        question.zone,
        Standing(
            now + question.start_in,
            now + question.left,
            question.priority,
            question.stages_left,
            question.late,
        ),
        question.last_read,
    )
