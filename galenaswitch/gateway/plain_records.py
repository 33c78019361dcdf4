"""What the attempts of plain requests show about their targets."""

import time

from galenaswitch.errors import (
    TargetBusyError,
    TargetError,
    TargetUnreachableError,
)
from galenaswitch.gateway.answers import MIN_SERVER_ERROR_STATUS
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.gateway.selection import Answer, PlainJob
from galenaswitch.hedging.sends import ExtraWork, NoExtraWork
from galenaswitch.membership.lists import Target
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.return_waits import ReturnWaits


class AttemptRecords:
    """Records latencies and failures of attempts.

    :ivar extra: receives the latencies and refusals, and decides on extra
        sends.
    :ivar ejector: leaves out failing targets.
    :ivar returns: knows the targets that have ended.
    """

    def __init__(self, loads: LoadView, ejector: Ejector) -> None:
        """Build records without extra sends."""
        self.returns = ReturnWaits()
        self.extra: ExtraWork = NoExtraWork()
        self._loads = loads
        self.ejector = ejector

    def record_answer(
        self, job: PlainJob, target: Target, answer: Answer, seconds: float
    ) -> None:
        """Record a complete answer of a target."""
        self.returns.record_answer(target)
        self._loads.observe_pool_latency(job.request.service, seconds)
        self._loads.get_load(target.name).observe(seconds)
        if answer.head.status >= MIN_SERVER_ERROR_STATUS:
            self.ejector.record_failure(target.name, time.monotonic())
            return
        self.ejector.record_success(target.name)
        self.extra.record_latency(job.request.service, seconds)

    def record_silent(
        self, job: PlainJob, seconds: float, timeout: float
    ) -> None:
        """Record failures of the targets in flight beside an answer in time.

        Beside one that is late, all targets may be silent. A silent target is
        left to the ejector: one that counted as slow would get too few requests
        to be ejected.

        :param seconds: latency of the answer.
        :param timeout: latency from which it is late.
        """
        now = time.monotonic()
        for name, sent_at in job.in_flight.items():
            silence = now - sent_at
            if silence > seconds:
                self.extra.record_latency(job.request.service, silence)
            if seconds < timeout and self.extra.is_silent(silence, timeout):
                self.ejector.record_failure(name, now)

    def record_failure(
        self, job: PlainJob, target: Target, error: TargetError, now: float
    ) -> None:
        """Record the failure of an attempt, unless nothing was sent."""
        if isinstance(error, TargetClosedError):
            return
        self.returns.record_failure(target, error)
        self.extra.record_error(job, error)
        if isinstance(error, TargetUnreachableError):
            self.ejector.eject(target.name, now)
        elif not isinstance(error, TargetBusyError):
            self.ejector.record_failure(target.name, now)
