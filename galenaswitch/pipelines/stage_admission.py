"""Refuses the stages of a service that can't be made in time."""

from collections.abc import Sequence

from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.pipelines.batch_queue import BatchQueue
from galenaswitch.pipelines.forecasts import estimate_retry_after
from galenaswitch.pipelines.pending import PendingStage


class StageAdmission:
    """Refuses stages on arrival, or when they have become infeasible."""

    def __init__(
        self, service: str, batch_queue: BatchQueue, metrics: Metrics
    ) -> None:
        """Build the admission to the queue of ``service``."""
        self._service = service
        self._batch_queue = batch_queue
        self._metrics = metrics

    def refuse_new(
        self,
        key: str,
        pending: PendingStage,
        targets: Sequence[Target],
        limits: BatchLimits,
        pause: float,
        now: float,
    ) -> float:
        """Queue a stage that arrives, unless it can't be made in time.

        :param pause: seconds for which all targets take no batches.
        :returns: seconds after which a refused caller may return, 0 for a
            stage that was queued.
        """
        batch_queue = self._batch_queue
        wait = pause + batch_queue.add(key, pending, targets, limits, now)
        left = pending.deadline - now
        if wait <= left:
            return 0
        batch_queue.remove(key)
        drain = batch_queue.estimate_clear_seconds(targets, limits)
        self._metrics.count('pieces_refused')
        get_logger().info(
            'pieces_refused',
            request=pending.ident,
            service=self._service,
            wait=round(wait, 3),
            left=round(left, 3),
            waiting=batch_queue.waiting(),
            late=pending.late,
            **batch_queue.describe_throughput(targets, limits, now),
        )
        return estimate_retry_after(wait, left, drain + pause)

    def refuse_infeasible(
        self,
        targets: Sequence[Target],
        limits: BatchLimits,
        pause: float,
        now: float,
    ) -> list[tuple[str, PendingStage]]:
        """Remove stages that can't be made in time any more, and return them.

        :param pause: seconds for which all targets take no batches.
        """
        refused = []
        batch_queue = self._batch_queue
        for key in batch_queue.find_infeasible(targets, limits, now, pause):
            pending = batch_queue.pending_stages[key]
            batch_queue.remove(key)
            self._metrics.count('pieces_hopeless')
            get_logger().info(
                'pieces_hopeless',
                request=pending.ident,
                service=self._service,
                left=round(pending.deadline - now, 3),
                waiting=batch_queue.waiting(),
                targets=len(targets),
                late=pending.late,
                **batch_queue.describe_throughput(targets, limits, now),
            )
            refused.append((key, pending))
        return refused
