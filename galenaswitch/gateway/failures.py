"""Failures at targets: which may be crashes, and which are retried."""

import time

from galenaswitch.errors import (
    GalenaError,
    TargetBrokenError,
    TargetError,
)
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.limits.retries import RetryBudget
from galenaswitch.membership.lists import Members, Target
from galenaswitch.pipelines.pending import PendingStage
from galenaswitch.pipelines.target_states import TargetState

LATE = 'late'
NO_MEMORY = 'room'
# Failure of a work item whose inputs are lost at their producer.
LOST = 'gone'
OUT_OF_CAPACITY = 'out-of-capacity'
_FINAL = frozenset((LATE, LOST, OUT_OF_CAPACITY))
# Failures after which a work item is retried without using retry budget.
_FREE = frozenset((NO_MEMORY, TargetClosedError.__name__))


class TargetFailedError(TargetError):
    """The target answered the request with a failure of its own."""


def may_retry(pending: PendingStage, failure: str, budget: RetryBudget) -> bool:
    """Tell whether a work item that failed is queued again.

    :param pending: stage of the work item.
    :param budget: retry budget of the service, which may be used.
    """
    now = time.monotonic()
    if now >= pending.deadline or failure in _FINAL:
        return False
    if failure in _FREE:
        return True
    return pending.has_retries_left and budget.acquire(now)


def pause_failed(target_state: TargetState, error: GalenaError) -> None:
    """Pause the target of a batch that failed, unless it wasn't sent."""
    if not isinstance(error, TargetClosedError):
        target_state.pause(time.monotonic())


def may_have_crashed(
    target: Target, error: GalenaError, members: Members
) -> bool:
    """Tell whether a request may have ended the target that broke it.

    A target that is leaving ends by itself. One that is missing in the newest
    list, or has another entry there, may have crashed.

    :param target: entry of the target when the request was sent.
    """
    is_broken = isinstance(error, TargetBrokenError)
    return is_broken and not members.is_leaving(target)
