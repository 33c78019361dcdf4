"""Batches that are late: their work items are made elsewhere as well.

The batch itself stays in flight. Its target may be silent for a while and go
on, and a target ends no batch because its caller closes.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from galenaswitch.errors import TargetLateError
from galenaswitch.gateway.calls import WorkItemResult
from galenaswitch.gateway.failures import may_retry
from galenaswitch.gateway.notices import TargetNotices
from galenaswitch.gateway.questions import BatchedService
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.pipelines.batch_queue import Batch, BatchQueue

# A batch is late after its expected seconds times the factor, plus the margin.
TIMEOUT_FACTOR = 2.5
TIMEOUT_MARGIN_SECONDS = 0.3
# Seconds between two searches for targets that can make late work items. The
# target of a late batch is paused for a little longer each time.
POLL_SECONDS = 0.05
PAUSE_SECONDS = 0.1


class LateBatches:
    """Queues copies of work items whose batches are late."""

    def __init__(
        self,
        service: BatchedService,
        batch_queue: BatchQueue,
        members: Members,
        notices: TargetNotices,
        budgets: RetryBudgets,
        dispatch: Callable[[], None],
    ) -> None:
        """Build a watch over the batches of ``service``.

        :param dispatch: sends what is queued to targets that are free.
        """
        self._service = service
        self._batch_queue = batch_queue
        self._members = members
        self._notices = notices
        self._budgets = budgets
        self._dispatch = dispatch

    async def run(
        self,
        batch: Batch,
        call: Coroutine[Any, Any, tuple[WorkItemResult, ...]],
    ) -> tuple[WorkItemResult, ...]:
        """Return the outcomes of a batch.

        While it is late, its target gets no other batch, and other targets
        may make its work items.

        :param call: sends the batch and waits for its answer.
        """
        sent_at = time.monotonic()
        watch = asyncio.create_task(self._watch(batch, sent_at))
        try:
            return await call
        finally:
            watch.cancel()
            self._batch_queue.finish(batch)

    async def _watch(self, batch: Batch, sent_at: float) -> None:
        await asyncio.sleep(_find_timeout(batch))
        target_state = self._batch_queue.target_state(batch.target)
        get_logger().info(
            'pieces_late',
            service=self._service.name,
            target=batch.target.name,
            requests=[pending.ident for pending, _ in batch.work_items],
        )
        while True:
            target_state.pause_until(time.monotonic() + PAUSE_SECONDS)
            if self._has_other_target(sent_at):
                self._queue_copies(batch)
            await asyncio.sleep(POLL_SECONDS)

    def _has_other_target(self, sent_at: float) -> bool:
        """Tell whether another target takes batches, now or after others.

        Those of late batches are paused. One that is at work may be silent,
        too, unless it has answered since ``sent_at``.
        """
        limits = self._service.find_limits(self._service.name)
        slots = limits.slots if limits else 0
        now = time.monotonic()
        usable = self._members.usable(self._service.name)
        target_states = [
            self._batch_queue.target_state(one)
            for one in self._notices.select(usable)
        ]
        return any(
            one.is_idle(slots, now)
            or (one.paused_until <= now and one.answered_at > sent_at)
            for one in target_states
        )

    def _queue_copies(self, batch: Batch) -> None:
        """Queue the work items that may be retried."""
        budget = self._budgets.of(self._service.name)
        failure = TargetLateError.__name__
        for pending, work_item in batch.work_items:
            key = f'{pending.ident}/{work_item.stage}'
            is_pending = self._batch_queue.pending_stages.get(key) is pending
            if not (is_pending and pending.may_copy(work_item)):
                continue
            if may_retry(pending, failure, budget):
                pending.retries += 1
                pending.queued.insert(0, work_item)
        self._dispatch()


def find_end(batch: Batch, now: float) -> float:
    """Return the time until which a batch sent now may be answered.

    Its results are of use until the last deadline of its requests.
    """
    deadline = max(pending.deadline for pending, _ in batch.work_items)
    return max(deadline, now + _find_timeout(batch))


def _find_timeout(batch: Batch) -> float:
    """Return the seconds after which a batch is late.

    A host that was fast a moment ago may be slow now.
    """
    expected = batch.expected / min(1.0, batch.pace.factor)
    return expected * TIMEOUT_FACTOR + TIMEOUT_MARGIN_SECONDS
