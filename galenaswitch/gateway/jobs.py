"""Holds the progress of one request for a generated answer.

A stream job also releases stage results early when their producers have memory
pressure.
"""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from galenaswitch.connections.handlers import AnswerWriter
from galenaswitch.connections.heads import AnswerHead
from galenaswitch.draining.paces import StreamPace
from galenaswitch.errors import GalenaError, TargetError
from galenaswitch.gateway.calls import CallerRequest
from galenaswitch.gateway.events import EventBuffer
from galenaswitch.gateway.messages import PlaceQuestion, TargetLimit
from galenaswitch.gateway.notices import TargetNotices
from galenaswitch.gateway.routes import RouteTable
from galenaswitch.gateway.sending import Attempt
from galenaswitch.gateway.stages import StageJob, StageResults
from galenaswitch.membership.lists import Target
from galenaswitch.quarantine.containment import Containment
from galenaswitch.quarantine.screening import Screening
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

# Seconds after which an engine has read the results of stages. An engine
# fetches them before the prompt.
INPUT_READ_SECONDS = 0.1
# Size of an id that takes the place of one that the caller didn't send.
IDENT_BYTES = 8


class PlacementRecord(NamedTuple):
    """Placement of one attempt.

    :param ident: id of the placement; each one of a request has its own.
    :param owner: VM that answered the query.
    :param target: engine of the placement.
    :param requested_at: monotonic time of the query in seconds.
    :param placed_at: earliest monotonic time of the placement.
    :param load: requests at the engine with this one, 0 if the owner didn't
        tell.
    """

    ident: str
    owner: str
    target: Target
    requested_at: float
    placed_at: float
    load: int = 0


class StageInputs:
    """Results of one run of a request's stages.

    :ivar made: the results, none until the stages have run.
    """

    def __init__(self, stages: StageJob) -> None:
        """Build the inputs that ``stages`` will make."""
        self.made = StageResults((), {})
        self._stages = stages

    @property
    def released(self) -> bool:
        """Whether results were released."""
        return self._stages.released

    def release(self) -> None:
        """Release the results."""
        self._stages.release()

    def close(self) -> None:
        """Release the results of all finished stages.

        Unfinished ones have ended with the task that ran them.
        """
        self._stages.release()


class EngineRun:
    """One attempt of a stream at an engine.

    :ivar resources: what the attempt holds: its placement and, once the
        request was sent, its connection. Leaving them ends the attempt.
    :ivar attempt: the request in flight, ``None`` before it is sent.
    :ivar answer: head of the answer, ``None`` before it has arrived.
    :ivar screening: screening as of the send, ``None`` before it and once a
        failure was examined.
    :ivar pace: measures the pace of the engine, ``None`` before the send.
    :ivar sent_at: monotonic time of the send in seconds.
    :ivar is_silent: whether nothing has come from the engine, or nothing after
        a silence.
    """

    def __init__(self, placement: PlacementRecord, inputs: StageInputs) -> None:
        """Build an attempt that reads ``inputs`` and isn't sent yet."""
        self.placement = placement
        self.inputs = inputs
        self.resources = contextlib.AsyncExitStack()
        self.attempt: Attempt | None = None
        self.answer: AnswerHead | None = None
        self.screening: Screening | None = None
        self.pace: StreamPace | None = None
        self.sent_at = 0.0
        self.is_silent = False

    @property
    def target(self) -> Target:
        """Engine of the attempt."""
        return self.placement.target

    def record_events(self, count: int) -> None:
        """Record how many events of the stream have arrived so far."""
        if self.pace:
            self.pace.record_events(count)


class HandedOverError(GalenaError):
    """Another attempt has a request now."""

    def __init__(
        self, successor: EngineRun, failure: TargetError | None
    ) -> None:
        """Build the error from the attempt that has the request.

        :param failure: failure of the attempt before, ``None`` if it was only
            silent.
        """
        super().__init__(f'handed over to {successor.target.name}')
        self.successor = successor
        self.failure = failure


class StreamJob:
    """State of one request for a generated answer.

    :ivar inputs: results of the stages, ``None`` before they run.
    :ivar spared: engine that was ended as a silent successor. It may get the
        request once more, and that doesn't count as another send.
    :ivar has_retry: whether a retry was acquired that isn't sent yet.
    :ivar version: software version that began the stream, ``None`` before the
        first event of a new stream.
    """

    def __init__(
        self,
        request: CallerRequest,
        table: RouteTable,
        writer: AnswerWriter,
        version: str | None,
        containment: Containment,
    ) -> None:
        """Build a job that answers ``request`` through ``writer``.

        :param version: software version that began the stream, ``None`` for a
            new stream.
        :param containment: refuses the request if it is harmful.
        """
        self.table = table
        self.writer = writer
        self.inputs: StageInputs | None = None
        self.stage_runs = 0
        self.events = EventBuffer(request.fields.last_event)
        self.tried_targets: list[Target] = []
        self.sent = 0
        self.spared: Target | None = None
        self.has_retry = False
        self.has_first_event = False
        self.version = version
        self._placements = 0
        self.screening = Screening(
            containment,
            request.ident,
            request.fields.shared_parts,
            request.content,
        )
        fingerprint = self.screening.fingerprint
        self.request = request._replace(fingerprint=fingerprint)

    @property
    def run(self) -> ExecutionState:
        """Whether an engine may have run the request, for a refusal."""
        if self.may_have_run:
            return ExecutionState.unknown
        return ExecutionState.not_run

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have run the request.

        One that was ended for its silence may have, too.
        """
        return bool(self.sent or self.spared)

    @property
    def origin_ident(self) -> str:
        """Id of the caller's attempt that brought the first event."""
        fields = self.request.fields
        return fields.origin if fields.last_event else fields.ident

    @property
    def left(self) -> float:
        """Seconds until the deadline of the request."""
        return self.request.deadline - time.monotonic()

    @property
    def event_deadline(self) -> float:
        """Monotonic time after which the next event is useless."""
        return (
            self.request.deadline
            if self.has_first_event
            else self.request.first_byte_deadline
        )

    @property
    def useful_wait(self) -> float:
        """Longest wait in seconds after which an engine is still useful."""
        now = time.monotonic()
        left = self.event_deadline - now
        if self.has_first_event:
            return left
        return min(left, self.request.objective_deadline - now)

    def name_placement(self) -> str:
        """Return an id for the next placement of the request.

        An engine's owner may hold two placements of one request. Callers that
        send no id must not share a placement.
        """
        self._placements += 1
        if self._placements == 1 and self.request.ident:
            return self.request.ident
        name = self.request.ident or secrets.token_hex(IDENT_BYTES)
        return f'{name}#{self._placements}'

    def spare(self, target: Target) -> None:
        """Let an engine that was ended for its silence be tried once more."""
        self.spared = target
        self.sent -= 1
        self.tried_targets.remove(target)

    def may_send_to(self, target: Target) -> bool:
        """Tell whether a send keeps the limit of the route.

        It limits the targets of a request, of which the spared one is one.
        """
        is_other = self.spared and self.spared.name != target.name
        return not is_other or self.sent + 1 < self.request.route.attempts

    def find_open(self, targets: Iterable[Target]) -> list[Target]:
        """Return the targets that the request may be sent to now."""
        tried = {target.name for target in self.tried_targets}
        return [
            one
            for one in targets
            if one.name not in tried and self.may_send_to(one)
        ]

    def use_inputs(self, inputs: StageInputs) -> None:
        """Replace the results of the stages, which are released."""
        if inputs is not self.inputs:
            self.close_stages()
        self.inputs = inputs

    @property
    def released(self) -> bool:
        """Whether results of the stages were released."""
        return self.inputs is not None and self.inputs.released

    def release(self) -> None:
        """Release the results of the stages."""
        if self.inputs:
            self.inputs.release()

    def close_stages(self) -> None:
        """Cancel unfinished stages and release results of finished stages."""
        if self.inputs:
            self.inputs.close()
        self.inputs = None


async def wait_for_engine(
    job: StreamJob, fitting: Sequence[Target], notices: TargetNotices
) -> None:
    """Wait until an untried engine isn't paused, if that is useful.

    :param fitting: engines of the version that the request needs.
    :raises RefusedError: when all are paused for too long, or the limit of the
        route allows none of them.
    """
    untried = job.find_open(fitting)
    if job.spared and not untried:
        raise RefusedError(Reason.stage_failed, job.run, 'no attempt is left')
    wait = await notices.wait_for_open(
        untried or fitting, job.useful_wait if untried else 0
    )
    if wait:
        reason = Reason.stage_failed if job.may_have_run else Reason.capacity
        raise RefusedError(reason, job.run, 'all engines are paused', wait)


def make_placement_query(
    job: StreamJob,
    ident: str,
    inputs: StageInputs,
    zone: str,
    now: float,
    limits: tuple[TargetLimit, ...],
    closed: tuple[str, ...],
) -> PlaceQuestion:
    """Return the query for the engine that should run a request.

    :param ident: id of the placement.
    :param inputs: results of the stages, which the engine will read.
    :param zone: zone of this VM, which sends the request.
    :param now: monotonic time in seconds.
    :param limits: limits of engines that this VM knows of.
    :param closed: incarnations that take no request of this VM now.
    """
    request = job.request
    return PlaceQuestion(
        request.service,
        ident,
        request.fields.prompt_parts,
        request.fields.prompt_tokens,
        request.fields.answer_tokens,
        zone,
        inputs.made.zone_bytes,
        tuple(target.name for target in job.tried_targets),
        request.priority,
        request.objective_deadline - now,
        job.event_deadline - now,
        limits,
        job.version,
        closed,
        request.ident,
        request.deadline - now,
        job.screening.fingerprint,
    )


@contextlib.contextmanager
def release_early(inputs: StageInputs) -> Iterator[None]:
    """Release stage results once an engine has read them.

    This happens only when their producers have memory pressure. Otherwise the
    results are kept until the first event, so that an engine that fails
    earlier can be replaced without a rerun of the stages.
    """
    if not inputs.made.memory_pressure:
        yield
        return
    loop = asyncio.get_running_loop()
    release_timer = loop.call_later(INPUT_READ_SECONDS, inputs.release)
    try:
        yield
    finally:
        release_timer.cancel()
