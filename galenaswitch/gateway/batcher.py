"""Queues the work items of one service for all VMs and sends them in batches.

Failed work items are retried within the retry budget. Each result is tracked
until its producer no longer holds it.
"""

import asyncio
import time
from collections.abc import Callable

from galenaswitch.errors import (
    GalenaError,
    InvalidInputError,
    TargetBusyError,
    TargetError,
    TargetUnreachableError,
)
from galenaswitch.gateway.batch_answers import BatchAnswers
from galenaswitch.gateway.calls import Wire, WorkItem, WorkItemResult
from galenaswitch.gateway.failures import (
    LATE,
    LOST,
    NO_MEMORY,
    OUT_OF_CAPACITY,
    may_retry,
    pause_failed,
)
from galenaswitch.gateway.inputs import InputReleases
from galenaswitch.gateway.late_batches import LateBatches, find_end
from galenaswitch.gateway.messages import (
    HeldResults,
    PiecesCancel,
    PiecesQuestion,
    PiecesReply,
    ReleaseNote,
)
from galenaswitch.gateway.questions import (
    BatchedService,
    acquire_budget,
    count_crash,
    has_memory_pressure,
    make_pending_stage,
)
from galenaswitch.gateway.result_memory import ResultMemory
from galenaswitch.gateway.results import StoredResult, StoredResults
from galenaswitch.gateway.routes import BatchLimits
from galenaswitch.gateway.sending import Sender
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines.batch_queue import Batch, BatchQueue
from galenaswitch.pipelines.pending import PendingStage
from galenaswitch.pipelines.stage_admission import StageAdmission
from galenaswitch.quarantine.containment import Containment

# Seconds after which an idle connection to a target is not reused.
MAX_IDLE_SECONDS = 3.0
# Seconds between two searches for free targets while work items are queued.
POLL_SECONDS = 0.05
# Seconds for which a target with full result memory gets no batches.
MEMORY_PAUSE_SECONDS = 0.1


class Batcher:
    """Queues the work items of one service and sends them in batches."""

    def __init__(
        self,
        service: BatchedService,
        members: Members,
        sender: Sender,
        wire: Wire,
        budgets: RetryBudgets,
        tasks: TaskGroup,
        release: Callable[[HeldResults], None],
        containment: Containment,
    ) -> None:
        """Build a batcher for the ``members`` that serve ``service``.

        :param release: releases results that work items have read.
        :param containment: learns which requests crash targets.
        """
        self._containment = containment
        self._inputs = InputReleases(release)
        self._service = service.name
        self._find_limits = service.find_limits
        self._metrics = service.metrics
        self._members = members
        self._sender = sender
        self._notices = sender.notices
        self._wire = wire
        self._budgets = budgets
        self._tasks = tasks
        self._batch_queue = BatchQueue()
        self._admission = StageAdmission(
            service.name, self._batch_queue, service.metrics
        )
        self._done_events: dict[str, asyncio.Event] = {}
        self._stored_results = StoredResults(
            members, sender, wire, tasks, self._release_memory
        )
        self._result_memory = ResultMemory(
            self._batch_queue,
            sender,
            wire,
            tasks,
            self._stored_results.add_unknown,
        )
        self._answers = BatchAnswers(wire)
        self._late_batches = LateBatches(
            service,
            self._batch_queue,
            members,
            sender.notices,
            budgets,
            self._dispatch,
        )
        self._dispatch_timer: asyncio.TimerHandle | None = None

    async def make_results(self, query: PiecesQuestion) -> PiecesReply:
        """Queue the work items of ``query`` and wait for their results."""
        now = time.monotonic()
        if not acquire_budget(query, self._budgets.of(self._service), now):
            return PiecesReply((), 'budget', 1)
        limits = self._find_limits(self._service)
        targets = self._members.usable(self._service)
        if limits is None or not targets:
            return PiecesReply((), 'no-target', 1)
        self._result_memory.query_new(targets, limits)
        key = f'{query.ident}/{query.pieces[0].stage}'
        pending = make_pending_stage(query, now)
        retry_after = self._admission.refuse_new(
            key,
            pending,
            targets,
            limits,
            self._notices.find_pause(self._service),
            now,
        )
        if retry_after:
            return PiecesReply((), OUT_OF_CAPACITY, retry_after)
        return await self._wait_for_results(key, pending, query)

    def cancel(self, message: PiecesCancel) -> None:
        """Remove the queued work items of a request that was cancelled."""
        for key in list(self._done_events):
            if key.startswith(f'{message.ident}/'):
                self._batch_queue.remove(key)
                self._done_events[key].set()

    def release(self, message: ReleaseNote) -> None:
        """Release the results that ``message`` names."""
        self._stored_results.release(message.handles)

    def dump(self) -> dict[str, float]:
        """Return the queue lengths and stored results for the state dump."""
        return {**self._batch_queue.dump(), 'stored': len(self._stored_results)}

    async def _wait_for_results(
        self, key: str, pending: PendingStage, query: PiecesQuestion
    ) -> PiecesReply:
        done = asyncio.Event()
        self._replace_waiter(key, done)
        self._dispatch()
        try:
            async with asyncio.timeout(query.left):
                await done.wait()
        except TimeoutError:
            pending.failure = pending.failure or LATE
        finally:
            if self._done_events.get(key) is done:
                self._batch_queue.remove(key)
                self._done_events.pop(key)
        if pending.missing_results:
            self._stored_results.release(tuple(pending.handles.values()))
            failure = 'replaced' if key in self._done_events else 'cancelled'
            retry_after = max(0.1, self._notices.find_pause(self._service))
            return PiecesReply((), pending.failure or failure, retry_after)
        handles = tuple(
            pending.handles[work_item.number] for work_item in query.pieces
        )
        return PiecesReply(
            handles,
            inputs_freed=pending.inputs_released,
            late=pending.late,
            tight=has_memory_pressure(
                self._batch_queue.find_max_held_bytes(
                    self._stored_results.find_producers(handles)
                ),
                self._find_limits(self._service),
            ),
        )

    def _replace_waiter(self, key: str, done: asyncio.Event) -> None:
        """Register ``done`` for a stage and end an earlier query for it."""
        replaced = self._done_events.get(key)
        if replaced:
            replaced.set()
        self._done_events[key] = done

    def _release_memory(self, stored: StoredResult) -> None:
        self._batch_queue.release(stored.target, stored.size_bytes)

    def _dispatch(self) -> None:
        """Send all batches for which a target is free now."""
        if self._dispatch_timer:
            self._dispatch_timer.cancel()
            self._dispatch_timer = None
        self._stored_results.drop_expired()
        limits = self._find_limits(self._service)
        if limits:
            self._refuse_infeasible(limits)
        while limits:
            usable = self._members.usable(self._service)
            batch = self._batch_queue.next_batch(
                self._sender.select(usable), limits, time.monotonic()
            )
            if batch is None:
                break
            if batch.pace.factor != 1:
                self._metrics.count('pieces_paced')
            self._tasks.start(self._run_batch(batch, limits))
            target_state = self._batch_queue.target_state(batch.target)
            self._inputs.watch(batch, target_state)
            target_state.pause_until(self._sender.turns.take(batch.target))
        if self._batch_queue.waiting():
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(POLL_SECONDS, self._dispatch)

    def _refuse_infeasible(self, limits: BatchLimits) -> None:
        """Refuse pending stages that can no longer meet their deadline."""
        for key, pending in self._admission.refuse_infeasible(
            self._members.usable(self._service),
            limits,
            self._notices.find_pause(self._service),
            time.monotonic(),
        ):
            pending.failure = OUT_OF_CAPACITY
            self._finish_stage(key)

    async def _run_batch(self, batch: Batch, limits: BatchLimits) -> None:
        started_at = time.monotonic()
        target_state = self._batch_queue.target_state(batch.target)
        try:
            outcomes = await self._late_batches.run(
                batch, self._send_batch(batch)
            )
        except (TargetError, InvalidInputError) as error:
            pause_failed(target_state, error)
            get_logger().info(
                'pieces_failed',
                service=self._service,
                target=batch.target.name,
                requests=[pending.ident for pending, _ in batch.work_items],
                failure=type(error).__name__,
                reason=str(error),
                seconds=round(time.monotonic() - started_at, 3),
            )
            await count_crash(
                batch, error, self._members, self._containment, started_at
            )
            self._handle_failure(batch, error, limits)
        else:
            seconds = time.monotonic() - started_at
            target_state.observe(
                seconds / max(batch.expected, limits.call_overhead_seconds)
            )
            self._apply_outcomes(batch, outcomes, limits)
            self._batch_queue.record_completed(len(outcomes), time.monotonic())
            get_logger().info(
                'pieces_made',
                service=self._service,
                target=batch.target.name,
                requests=[pending.ident for pending, _ in batch.work_items],
                failures=[one.failure for one in outcomes if one.failure],
                seconds=round(seconds, 3),
                expected=round(batch.expected, 3),
                pace=batch.pace.reported,
                pace_age=round(batch.pace.age, 3),
                waiting=self._batch_queue.waiting(),
                held_bytes=round(target_state.held_bytes),
                stored=len(self._stored_results),
            )
        finally:
            self._dispatch()

    async def _send_batch(self, batch: Batch) -> tuple[WorkItemResult, ...]:
        now = time.monotonic()
        work_items = tuple(work_item for _, work_item in batch.work_items)
        left = tuple(pending.deadline - now for pending, _ in batch.work_items)
        head, body = self._wire.make_batch(work_items, left, batch.target)
        ends_at = find_end(batch, now)
        async with self._sender.send(
            batch.target, head, body, MAX_IDLE_SECONDS, is_own=True
        ) as attempt:
            answer = await attempt.read_head(ends_at - time.monotonic())
            content = await attempt.read_complete(ends_at - time.monotonic())
            load = self._wire.read_load(answer, batch.target.name)
            self._batch_queue.record_load(batch.target, load, time.monotonic())
            return self._answers.read(attempt, answer, content, batch)

    def _apply_outcomes(
        self,
        batch: Batch,
        outcomes: tuple[WorkItemResult, ...],
        limits: BatchLimits,
    ) -> None:
        is_memory_full = False
        expires_at = time.monotonic() + limits.retention_seconds
        for (pending, work_item), outcome in zip(
            batch.work_items, outcomes, strict=True
        ):
            size_bytes = pending.result_bytes
            if not outcome.handle:
                self._batch_queue.release(batch.target, size_bytes)
                self._retry_or_fail(pending, work_item, outcome.failure)
                is_memory_full = is_memory_full or outcome.failure == NO_MEMORY
                continue
            self._stored_results.add(
                outcome.handle,
                StoredResult(batch.target, size_bytes, expires_at),
            )
            self._accept_result(pending, work_item, outcome.handle)
        if is_memory_full:
            self._result_memory.query(batch.target, limits)
            self._batch_queue.target_state(batch.target).pause_until(
                time.monotonic() + MEMORY_PAUSE_SECONDS
            )

    def _accept_result(
        self, pending: PendingStage, work_item: WorkItem, handle: str
    ) -> None:
        key = f'{pending.ident}/{work_item.stage}'
        is_pending = self._batch_queue.pending_stages.get(key) is pending
        if not (is_pending and pending.accept(work_item, handle)):
            self._stored_results.release((handle,))
            return
        if not pending.missing_results:
            self._done_events[key].set()

    def _handle_failure(
        self, batch: Batch, error: GalenaError, limits: BatchLimits
    ) -> None:
        """Retry a failed batch; its target may still make and hold results."""
        size_bytes = sum(
            pending.result_bytes for pending, _ in batch.work_items
        )
        if isinstance(error, (TargetBusyError, TargetUnreachableError)):
            self._batch_queue.release(batch.target, size_bytes)
        else:
            expires_at = (
                time.monotonic() + batch.expected + limits.retention_seconds
            )
            self._stored_results.add_unknown(
                StoredResult(batch.target, size_bytes, expires_at)
            )
        for pending, work_item in batch.work_items:
            self._retry_or_fail(pending, work_item, type(error).__name__)

    def _retry_or_fail(
        self, pending: PendingStage, work_item: WorkItem, failure: str
    ) -> None:
        """Queue a work item again, or fail its pending stage."""
        key = f'{pending.ident}/{work_item.stage}'
        if self._batch_queue.pending_stages.get(key) is not pending:
            return
        if pending.is_covered(work_item):
            return
        pending.retries += 1
        pause_seconds = self._notices.find_pause(self._service)
        if pause_seconds > max(0, pending.deadline - time.monotonic()):
            failure = OUT_OF_CAPACITY
        if pending.inputs_released:
            failure = LOST
        if may_retry(pending, failure, self._budgets.of(self._service)):
            pending.queued.insert(0, work_item)
            return
        pending.failure = failure
        self._finish_stage(key)

    def _finish_stage(self, key: str) -> None:
        done = self._done_events.get(key)
        if done:
            done.set()
