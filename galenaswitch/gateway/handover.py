"""Hand-over of a stream from an engine that is silent to another one.

A silent engine may go on after a second or so, or never. Its attempt stays
open while a successor is prepared beside it, and the first of the two to go on
has the request. Where no successor can be had, the attempt is kept.

A successor without an answer at the end of the overlap has the request if
another engine could take it should the successor refuse it. Otherwise it is
ended in place of the silent attempt, and is tried once more later.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.errors import (
    GalenaError,
    InputsLostError,
    TargetBrokenError,
    TargetError,
    TargetLateError,
)
from galenaswitch.gateway.answers import (
    check_answer,
    check_continuation,
    is_success,
)
from galenaswitch.gateway.dispatch import (
    MAX_ATTEMPTS,
    MAX_STAGE_RUNS,
    StreamDispatcher,
)
from galenaswitch.gateway.jobs import (
    EngineRun,
    HandedOverError,
    StreamJob,
)
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.operations.logs import describe_error, get_logger

# Seconds without data after which a successor of an attempt is prepared.
# Callers disconnect after two seconds without an event.
RESUME_TIMEOUT_SECONDS = 1.2
# Longest time in seconds for which two engines work on one request. It begins
# when the successor's request is sent. At its end one of the two is ended.
OVERLAP_SECONDS = 0.3
# Seconds until another successor is tried where none could be had.
RECHECK_SECONDS = 0.4
# Seconds without data after which a successor is tried once more that was ended
# for its silence. Sound engines have gone on after up to 2.5 s; at the end of
# the second overlap the silent attempt is closed.
SECOND_TRY_SECONDS = 2.4

Answered = TypeVar('Answered')


class NoSuccessorError(GalenaError):
    """An attempt that is silent can't have a successor now."""


class SilentSuccessorError(NoSuccessorError):
    """A successor was ended since it hasn't answered within the overlap."""


class Silence:
    """Silence of one attempt.

    :ivar reading: the read that waits for the attempt to go on.
    """

    def __init__(
        self,
        job: StreamJob,
        run: EngineRun,
        since: float,
        reading: asyncio.Task[Any],
    ) -> None:
        """Build a silence that began at a monotonic time in seconds."""
        self.job = job
        self.run = run
        self.reading = reading
        self._since = since
        self._reason = ''

    @property
    def seconds(self) -> float:
        """Seconds since the silence began."""
        return time.monotonic() - self._since

    @property
    def failure(self) -> TargetError | None:
        """Failure that ended the attempt before the deadline."""
        if not self.reading.done() or self.reading.cancelled():
            return None
        error = self.reading.exception()
        if isinstance(error, TargetError) and self.job.left > 0:
            return error
        return None

    def log(self, event: str, **fields: object) -> None:
        """Log what becomes of the silence."""
        get_logger().info(
            event,
            request=self.job.request.ident,
            target=self.run.target.name,
            seconds=round(self.seconds, 3),
            last_event=self.job.events.last_id,
            left=round(self.job.left, 3),
            **fields,
        )

    def log_kept(self, reason: str) -> None:
        """Log why the attempt is kept, unless the reason is known."""
        if reason != self._reason:
            self._reason = reason
            self.log('attempt_kept', reason=reason)

    def log_end(self) -> None:
        """Log how the silence of an attempt that was kept has ended."""
        is_over = self.reading.cancelled() or self.reading.exception()
        self.log('silence_ended', outcome='given-up' if is_over else 'went-on')


class Handover:
    """Reads from engines, and hands streams of silent ones over."""

    def __init__(self, dispatcher: StreamDispatcher) -> None:
        """Build a hand-over to attempts that ``dispatcher`` prepares."""
        self._dispatcher = dispatcher

    async def read(
        self,
        job: StreamJob,
        run: EngineRun,
        read: Callable[[float], Coroutine[Any, Any, Answered]],
    ) -> Answered:
        """Return what an attempt reads next.

        :param read: reads from the attempt, for a time in seconds.
        :raises HandedOverError: when another attempt has the request.
        :raises TargetError: when the attempt failed.
        """
        route = job.request.route
        if not route.resumable or route.attempts < 2:
            return await read(job.left)
        began_at = time.monotonic()
        try:
            answered = await read(min(RESUME_TIMEOUT_SECONDS, job.left))
        except TargetLateError:
            if job.left <= 0:
                raise
            run.is_silent = True
            answered = await self._read_silent(job, run, began_at, read)
        run.is_silent = False
        return answered

    async def _read_silent(
        self,
        job: StreamJob,
        run: EngineRun,
        since: float,
        read: Callable[[float], Coroutine[Any, Any, Answered]],
    ) -> Answered:
        reading = asyncio.create_task(read(job.left))
        silence = Silence(job, run, since, reading)
        silence.log('attempt_silent')
        try:
            while not reading.done():
                pause = await self._try_successor(silence)
                await asyncio.wait({reading}, timeout=pause)
            silence.log_end()
            return reading.result()
        finally:
            reading.cancel()

    async def _try_successor(self, silence: Silence) -> float:
        """Try to hand over, until the attempt has gone on.

        :returns: seconds until another successor may be tried.
        :raises HandedOverError: when the successor has the request.
        """
        job = silence.job
        preparing = asyncio.create_task(self._prepare(silence))
        async with contextlib.AsyncExitStack() as unused:
            unused.push_async_callback(_drop, job, preparing)
            await asyncio.wait(
                {silence.reading, preparing},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if silence.failure:
                await self._wait_alone(silence, preparing)
            elif silence.reading.done():
                return 0
            if preparing.cancelled() or preparing.exception():
                return _explain(silence, preparing)
            unused.pop_all()
            successor = preparing.result()
            silence.log(
                'silence_ended',
                outcome='handed-over',
                successor=successor.target.name,
                answered=successor.answer is not None,
                failure=str(silence.failure or ''),
            )
            raise HandedOverError(successor, silence.failure)

    async def _wait_alone(
        self, silence: Silence, preparing: asyncio.Task[EngineRun]
    ) -> None:
        """Wait for the successor of an attempt that has failed meanwhile."""
        run = silence.run
        if run.attempt:
            run.attempt.close()
        if silence.failure:
            await self._dispatcher.examine_failure(run, silence.failure)
        await asyncio.wait({preparing})

    async def _prepare(self, silence: Silence) -> EngineRun:
        """Return the successor that has the request now.

        Its answer has begun, or the time for which two engines may work on the
        request is over.

        :raises NoSuccessorError: when the silent attempt has the request.
        """
        job = silence.job
        self._check(job)
        self._dispatcher.continuations.prepare_rest(job)
        async with contextlib.AsyncExitStack() as unused:
            inputs = job.inputs
            if inputs is None or inputs.released:
                if job.stage_runs >= MAX_STAGE_RUNS:
                    raise NoSuccessorError('the stages ran too often')
                inputs = await self._dispatcher.run_stages(job)
                unused.callback(inputs.close)
            run = await self._dispatcher.place(job, inputs)
            run.is_silent = True
            await unused.enter_async_context(run.resources)
            await self._send(silence, run)
            unused.pop_all()
        return run

    def _check(self, job: StreamJob) -> None:
        """Check that a successor can be had, before it costs anything.

        :raises NoSuccessorError: when it can't.
        """
        obstacles = {
            'no attempt is left': job.sent >= job.request.route.attempts
            or len(job.tried_targets) >= MAX_ATTEMPTS,
            'no other engine': (
                not self._dispatcher.continuations.has_other_target(job)
            ),
            'the request may be harmful': not job.screening.may_repeat(),
            'the retry budget is used up': (
                not self._dispatcher.can_acquire_retry(job)
            ),
        }
        for reason, stands in obstacles.items():
            if stands:
                raise NoSuccessorError(reason)

    async def _send(self, silence: Silence, run: EngineRun) -> None:
        job = silence.job
        self._check(job)
        self._dispatcher.acquire_retry(job)
        try:
            await self._dispatcher.send(job, run)
            run.answer = await _read_head(job, run)
            self._check_head(job, run)
        except TargetError as error:
            self._dispatcher.uncount(job, run.target, error)
            if isinstance(error, InputsLostError):
                run.inputs.release()
            raise
        except asyncio.CancelledError:
            if run.attempt is None and run.target in job.tried_targets:
                job.tried_targets.remove(run.target)
            raise
        if run.answer is None and self._must_keep(silence):
            job.spare(run.target)
            raise SilentSuccessorError('the successor is silent too')

    def _must_keep(self, silence: Silence) -> bool:
        """Tell whether an attempt is kept beside a successor that is silent.

        If the successor refused the request later, nothing could take it. One
        successor of a request is ended for that, since the next one may be as
        slow and the attempt may be dead.
        """
        job = silence.job
        dispatcher = self._dispatcher
        may_go_on_elsewhere = (
            len(job.tried_targets) < MAX_ATTEMPTS
            and dispatcher.continuations.has_other_target(job)
            and dispatcher.can_acquire_retry(job)
        )
        has_failed = silence.reading.done()
        return not (has_failed or may_go_on_elsewhere or job.spared)

    def _check_head(self, job: StreamJob, run: EngineRun) -> None:
        """Check that a successor that has answered can go on.

        :raises TargetError: when it can't.
        """
        if run.answer is None:
            return
        fields = check_answer(job.request, run.answer, self._dispatcher.wire)
        if job.writer.started:
            check_continuation(run.answer)
        elif not is_success(fields):
            raise TargetBrokenError(f'the target answered {fields.status}')


async def _read_head(job: StreamJob, run: EngineRun) -> AnswerHead | None:
    """Return the head of a successor's answer.

    :returns: ``None`` when it hasn't arrived while two engines may work on the
        request.
    """
    if run.attempt is None:
        return None
    try:
        return await run.attempt.read_head(
            min(OVERLAP_SECONDS, job.left), limit_seconds=OVERLAP_SECONDS
        )
    except TargetLateError:
        return None


def _explain(silence: Silence, preparing: asyncio.Task[EngineRun]) -> float:
    """Log why there is no successor.

    :returns: seconds until another one may be tried.
    """
    error = None if preparing.cancelled() else preparing.exception()
    if error and not isinstance(error, GalenaError):
        get_logger().error(
            'successor_failed',
            request=silence.job.request.ident,
            **describe_error(error),
        )
    kind = type(error).__name__ if error else 'cancelled'
    is_plain = isinstance(error, NoSuccessorError)
    silence.log_kept(str(error) if is_plain else f'{kind}: {error}')
    if isinstance(error, SilentSuccessorError):
        return max(RECHECK_SECONDS, SECOND_TRY_SECONDS - silence.seconds)
    # An engine that fails is not tried again, one that is closed may be.
    failed = isinstance(error, TargetError)
    is_closed = isinstance(error, TargetClosedError)
    return 0 if failed and not is_closed else RECHECK_SECONDS


async def _drop(job: StreamJob, preparing: asyncio.Task[EngineRun]) -> None:
    """End a successor that isn't needed."""
    if not preparing.done():
        preparing.cancel()
        await asyncio.wait({preparing})
    if preparing.cancelled() or preparing.exception():
        return
    run = preparing.result()
    await run.resources.aclose()
    if run.inputs is not job.inputs:
        run.inputs.close()
