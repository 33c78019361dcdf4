"""First stages whose work several attempts of one request use.

A caller that retries sends a new attempt, perhaps through another VM, while the
first stage of its earlier attempt is still queued or being made. The new
attempt uses that work. Only stages without inputs are shared: their results
follow from the request alone.
"""

from typing import NamedTuple

from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.pipelines.batch_queue import BatchQueue
from galenaswitch.pipelines.pending import PendingStage

# Entries above which those of ended stages are dropped.
MAX_ENTRIES = 1024


class _Entry(NamedTuple):
    """A first stage that may be shared.

    :param key: key of the stage in the batch queue.
    :param queued_at: monotonic time at which it was queued.
    """

    key: str
    pending: PendingStage
    queued_at: float


class SharedStages:
    """Readers of the pending stages of one service.

    A reader is the query of one attempt. A stage stays queued until its last
    reader leaves. What is in a batch by then goes on, and an attempt that comes
    before the batch ends uses it.
    """

    def __init__(
        self, service: str, batch_queue: BatchQueue, metrics: Metrics
    ) -> None:
        """Build a record of stages without readers."""
        self._service = service
        self._batch_queue = batch_queue
        self._metrics = metrics
        self._read: dict[str, PendingStage] = {}
        self._entries: dict[tuple[object, ...], _Entry] = {}

    def enter(self, key: str, pending: PendingStage, now: float) -> None:
        """Add the first reader of a stage that was queued."""
        self._add_reader(key, pending, pending.ident)
        work_key = _find_work_key(pending)
        if work_key:
            self._entries[work_key] = _Entry(key, pending, now)
        if len(self._entries) > MAX_ENTRIES:
            self._entries = {
                work_key: entry
                for work_key, entry in self._entries.items()
                if _is_live(entry.pending)
            }

    def join(
        self, key: str, pending: PendingStage, now: float
    ) -> PendingStage | None:
        """Add a reader to a stage with the same work, if there is one.

        :param pending: stage of the attempt, which is not queued.
        :returns: the stage that the attempt uses, ``None`` if its own must be
            queued.
        """
        entry = self._entries.get(_find_work_key(pending))
        if entry is None or not _is_live(entry.pending):
            return None
        shared = entry.pending
        earlier = shared.ident
        if shared.readers:
            _share(shared, pending, now)
        else:
            _resume(shared, pending)
            self._batch_queue.pending_stages[entry.key] = shared
        self._add_reader(key, shared, pending.ident)
        self._metrics.count('pieces_shared')
        get_logger().info(
            'pieces_shared',
            request=pending.ident,
            service=self._service,
            earlier=earlier,
            readers=len(shared.readers),
            queued=len(shared.queued),
            missing=shared.missing_results,
            age=round(now - entry.queued_at, 3),
        )
        return shared

    def leave(self, key: str) -> None:
        """Remove a reader, and the stage from the queue with its last one."""
        pending = self._read.pop(key, None)
        if pending is None:
            return
        _remove_reader(pending, key)
        if pending.readers:
            return
        for queued_key, queued in list(
            self._batch_queue.pending_stages.items()
        ):
            if queued is pending:
                self._batch_queue.remove(queued_key)

    def _add_reader(self, key: str, pending: PendingStage, ident: str) -> None:
        replaced = self._read.get(key)
        if replaced is not None:
            _remove_reader(replaced, key)
        self._read[key] = pending
        pending.readers[key] = ident
        pending.ident = ident


def _remove_reader(pending: PendingStage, key: str) -> None:
    """Remove a reader; work that isn't sent yet names another one."""
    pending.readers.pop(key, None)
    for ident in pending.readers.values():
        pending.ident = ident


def _find_work_key(pending: PendingStage) -> tuple[object, ...]:
    """Return what tells equal work, empty if a stage can't be shared."""
    if pending.has_inputs or not pending.implicated:
        return ()
    items = ((one.stage, one.number, one.key) for one in pending.queued)
    return (*pending.implicated, pending.result_bytes, *items)


def _is_live(pending: PendingStage) -> bool:
    """Tell whether the work of a stage is still queued or being made."""
    is_made = not pending.missing_results
    has_ended = is_made or bool(pending.failure)
    return not has_ended and bool(pending.readers or pending.is_in_flight)


def _share(pending: PendingStage, other: PendingStage, now: float) -> None:
    """Serve two attempts; the request is on time if one of them is."""
    starts = [
        one.start_by for one in (pending, other) if not one.is_late(now)
    ] or [pending.start_by, other.start_by]
    pending.late = pending.late and other.late
    pending.urgency = pending.urgency._replace(
        start_by=min(starts),
        deadline=max(pending.deadline, other.deadline),
        priority=min(pending.urgency.priority, other.urgency.priority),
    )


def _resume(pending: PendingStage, other: PendingStage) -> None:
    """Serve another attempt after all earlier ones have ended.

    Their results were released, but what is in batches is used.
    """
    pending.urgency = other.urgency
    pending.late = other.late
    pending.handles = {}
    pending.missing_results = len(other.queued)
    pending.queued = []
    pending.queued = [
        one for one in other.queued if not pending.is_covered(one)
    ]
