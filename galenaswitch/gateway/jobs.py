"""One request for a generated answer, as it stands."""

import asyncio
import contextlib
import time
from collections.abc import Iterator

from galenaswitch.connections.inbound import AnswerWriter
from galenaswitch.gateway.calls import CallerRequest
from galenaswitch.gateway.events import EventBuffer
from galenaswitch.gateway.routes import RouteTable
from galenaswitch.gateway.stages import StageJob, StageResults
from galenaswitch.refusals import ExecutionState

# Seconds after which an engine has read the results of stages: it fetches
# them before the prompt.
INPUT_READ_SECONDS = 0.1


class StreamJob:
    """One request for a generated answer."""

    def __init__(
        self,
        request: CallerRequest,
        table: RouteTable,
        writer: AnswerWriter,
    ) -> None:
        """Answer ``request`` through ``writer`` as ``table`` says."""
        self.request = request
        self.table = table
        self.writer = writer
        self.stages: StageJob | None = None
        self.stage_runs = 0
        self.inputs = StageResults((), {})
        self.events = EventBuffer(request.fields.last_event)
        self.tried: list[str] = []
        self.sent = 0
        self.owner = ''
        self.first_seen = False
        self.asked_at = 0.0

    @property
    def run(self) -> ExecutionState:
        """What a refusal may say now."""
        return ExecutionState.unknown if self.sent else ExecutionState.not_run

    @property
    def left(self) -> float:
        """Seconds until the deadline."""
        return self.request.deadline - time.monotonic()

    @property
    def end(self) -> float:
        """Monotonic time at which the next event is of no use."""
        return (
            self.request.deadline if self.first_seen else self.request.first_by
        )

    @property
    def released(self) -> bool:
        """Whether results of the stages were given up."""
        return self.stages is not None and self.stages.released

    def release(self) -> None:
        """Give up the results of the stages."""
        if self.stages:
            self.stages.release()

    def close_stages(self) -> None:
        """Give up the results of the stages, and what is being made."""
        if self.stages:
            self.stages.cancel()
            self.stages.release()
        self.stages = None


@contextlib.contextmanager
def release_early(job: StreamJob) -> Iterator[None]:
    """Give up the results of stages once they are read, if room is short.

    Else they are kept until the first event: an engine that fails before
    it can be replaced without a second run of the stages.
    """
    if not job.inputs.tight:
        yield
        return
    loop = asyncio.get_running_loop()
    read = loop.call_later(INPUT_READ_SECONDS, job.release)
    try:
        yield
    finally:
        read.cancel()
