"""Successors of engines that are silent with a token stream.

A silent engine may go on after a second or so, or never. Its attempt stays
open while a successor is sent beside it, and the first of the two to go on has
the stream. At the end of the overlap one of the two is ended.
"""

import asyncio
from collections.abc import AsyncGenerator
from typing import Any

from galenaswitch.errors import TargetError, TargetLateError
from galenaswitch.operations.logs import describe_error, get_logger
from galenaswitch.operations.timeouts import READING_TURNS
from galenaswitch.pipelines.first_token import FirstTokenTimeout
from galenaswitch.pipelines.overlaps import (
    OVERLAP_SECONDS,
    Overlap,
    find_second_try,
)
from galenaswitch.pipelines.streams import StallWatch
from galenaswitch.pipelines.token_streams import (
    StreamAttempt,
    StreamRun,
    TokenStreams,
)
from galenaswitch.refusals import RefusedError
from galenaswitch.targets.messages import Token


class Successors:
    """Sends successors of the silent attempts of one stream.

    :ivar failed: names of engines that have failed the stream.
    """

    def __init__(
        self, run: StreamRun, streams: TokenStreams, timeouts: FirstTokenTimeout
    ) -> None:
        """Build the successors of a stream that isn't sent yet."""
        self._run = run
        self._streams = streams
        self._timeouts = timeouts
        self.failed: frozenset[str] = frozenset()
        self._silent: frozenset[str] = frozenset()
        self._holder: StreamAttempt | None = None
        self._watch = StallWatch(self.begin)
        self._successor: StreamAttempt | None = None
        self._timer: asyncio.Handle | None = None
        self._closings: list[asyncio.Task[None]] = []
        self._resume_at = 0.0
        self._was_spared = False
        self._reason = ''

    @property
    def in_progress(self) -> bool:
        """Whether a successor is open or not closed yet."""
        return self._successor is not None or not all(
            closing.done() for closing in self._closings
        )

    def find_tried(self) -> frozenset[str]:
        """Return the names of engines that are no successors."""
        return self.failed | self._silent

    def read(self, attempt: StreamAttempt) -> AsyncGenerator[list[Token], None]:
        """Read an attempt that has the stream, until a successor has it.

        :returns: groups of tokens in order.
        """
        self._holder = attempt
        self._reason = ''
        self._resume_at = 0
        self._watch = StallWatch(self.begin, self.drop)
        job, sequence = self._run
        waits = self._timeouts.plan_waits(
            job, attempt.target, sequence.count, self
        )
        return self._streams.read(self._run, attempt, waits, self._watch)

    def begin(self) -> bool:
        """Send a successor unless there is one or it isn't allowed.

        :returns: ``False``, since the silent attempt has the stream still.
        """
        now = asyncio.get_running_loop().time()
        if self.in_progress or now < self._resume_at:
            return False
        reason = self._streams.find_obstacle(self._run.job) or self._send()
        if reason:
            self._log_kept(reason)
        return False

    def drop(self) -> None:
        """End the successor of an attempt that has gone on."""
        if self._successor:
            self._log('silence_ended', outcome='went-on')
            self._end()

    async def take(
        self, holder: StreamAttempt, error: TargetError
    ) -> StreamAttempt | None:
        """Return the successor that has the stream after its holder.

        :param error: failure of the holder, or the end of its read.
        :returns: ``None`` when there is no successor.
        """
        is_silence = isinstance(error, TargetLateError)
        if is_silence:
            self._silent |= {holder.target.name}
        else:
            self.failed |= {holder.target.name}
        successor = self._successor
        if successor:
            self._stop_overlap()
            self._successor = None
            self._streams.metrics.count('stream_handed_over')
            get_logger().info(
                'silence_ended',
                request=self._run.job.request.ident,
                target=holder.target.name,
                outcome='handed-over',
                successor=successor.target.name,
                answered=successor.first.done(),
                failure='' if is_silence else str(error),
            )
            return successor
        # The failure of a successor may forbid to send the request again.
        await self._settle()
        return None

    async def aclose(self) -> None:
        """End the successor and wait until all are closed."""
        if self._successor:
            self._end()
        await self._settle()

    def _send(self) -> str:
        """Send a successor.

        :returns: why none could be sent, empty if one was.
        """
        job, sequence = self._run
        tried = self.find_tried()
        if self._holder:
            tried |= {self._holder.target.name}
        target = self._timeouts.find_other(job, tried, sequence.count)
        if target is None:
            return 'no other engine'
        if not self._timeouts.acquire_retry(job):
            return 'the retry budget is used up'
        try:
            successor = self._streams.send(self._run, target)
        except RefusedError as error:
            return str(error)
        self._successor = successor
        successor.first.add_done_callback(self._receive_first)
        self._timer = asyncio.get_running_loop().call_later(
            OVERLAP_SECONDS, self._end_overlap, READING_TURNS
        )
        self._log('attempt_silent', successor=target.name)
        return ''

    def _receive_first(self, first: asyncio.Task[Any]) -> None:
        """Hand over to a successor that has answered within the overlap."""
        successor = self._successor
        if not successor or successor.first is not first or not self._timer:
            return
        error = None if first.cancelled() else first.exception()
        if error is None:
            self._hand_over()
            return
        self.failed |= {successor.target.name}
        self._log_kept(f'{type(error).__name__}: {error}')
        self._end(error)

    def _end_overlap(self, turns: int) -> None:
        """Decide which of two engines has the stream, as none has gone on."""
        successor = self._successor
        if successor is None:
            return
        if turns:
            # What has arrived while the loop was held up is read first.
            self._timer = asyncio.get_running_loop().call_soon(
                self._end_overlap, turns - 1
            )
            return
        job, sequence = self._run
        others = self.failed | {successor.target.name}
        other = self._timeouts.find_other(job, others, sequence.count)
        overlap = Overlap(
            other is not None,
            self._timeouts.has_retry(job),
            self._holder is None
            or self._timeouts.is_alive(self._holder.target),
            self._was_spared,
        )
        self._log(
            'overlap_ended',
            successor=successor.target.name,
            keeps_successor=overlap.keeps_successor,
            **overlap._asdict(),
        )
        if overlap.keeps_successor:
            self._hand_over()
        else:
            self._spare()

    def _hand_over(self) -> None:
        self._stop_overlap()
        self._watch.leave()

    def _spare(self) -> None:
        """End a successor, whose engine may get the stream once more."""
        self._was_spared = True
        now = asyncio.get_running_loop().time()
        self._resume_at = now + find_second_try(self._watch.silent_seconds)
        self._streams.metrics.count('successor_ended')
        self._end()

    def _stop_overlap(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = None

    def _end(self, error: BaseException | None = None) -> None:
        self._stop_overlap()
        successor = self._successor
        self._successor = None
        if successor:
            self._streams.finish(self._run, successor)
            closing = asyncio.create_task(self._close(successor, error))
            self._closings.append(closing)

    async def _close(
        self, successor: StreamAttempt, error: BaseException | None
    ) -> None:
        await successor.close()
        if isinstance(error, TargetError):
            await self._streams.record_failure(self._run, successor, error)
        elif error:
            get_logger().error(
                'successor_failed',
                request=self._run.job.request.ident,
                **describe_error(error),
            )

    async def _settle(self) -> None:
        if self._closings:
            await asyncio.wait(self._closings)

    def _log_kept(self, reason: str) -> None:
        """Log why an attempt is kept, unless the reason is known."""
        if reason != self._reason:
            self._reason = reason
            self._log('attempt_kept', reason=reason)

    def _log(self, event: str, **fields: object) -> None:
        get_logger().info(
            event,
            request=self._run.job.request.ident,
            target=self._holder.target.name if self._holder else '',
            seconds=round(self._watch.silent_seconds, 3),
            tokens=self._run.sequence.count,
            **fields,
        )
