"""Admission of the requests for one service, as its owner sees them."""

from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.admission.arrivals import LastingArrivals
from galenaswitch.admission.measurements import EngineMeasurements
from galenaswitch.admission.policy import (
    AdmissionPolicy,
    Conditions,
    Demand,
    MeasuredAdmission,
    Verdict,
)
from galenaswitch.admission.queue import PlacementQueue, Waiting
from galenaswitch.admission.returns import ReturnSchedule
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.pipelines.arrivals import MIN_FREE_SHARE, ArrivalRate
from galenaswitch.refusals import Reason

# Shortest time in seconds after which a rejected caller may return. A sooner
# one finds the same queue.
MIN_RETRY_SECONDS = 0.5


class Applicant(NamedTuple):
    """A request that waits, with what admission needs to know of it.

    :param ident: id of the placement.
    :param request: id of the caller's attempt.
    :param key: id of the request over its attempts, empty if unknown.
    :param answer_tokens: expected length of the answer.
    :param start_by: monotonic time of the latest start that is on time.
    :param leaves_at: monotonic time at which the caller leaves without a first
        event.
    :param complete_by: monotonic time by which the answer must be complete.
    :param total: seconds from the arrival until then, 0 if unknown.
    """

    ident: str
    request: str
    key: str
    answer_tokens: int
    start_by: float
    leaves_at: float
    complete_by: float
    total: float

    def find_demand(self, now: float) -> Demand:
        """Return what the request needs from now on."""
        return Demand(
            self.start_by - now,
            self.leaves_at - now,
            self.complete_by - now,
            self.total,
        )


class Refusal(NamedTuple):
    """Rejection of a request that gets no placement.

    :param ident: id of the placement.
    :param retry_after: seconds after which the caller may return.
    """

    ident: str
    retry_after: float
    reason: Reason


class AdmissionControl:
    """Judges waiting requests by what was measured.

    :ivar measured: measurements of the engines.
    :ivar returns: retry times of rejected callers.
    """

    def __init__(
        self,
        service: str,
        queue: PlacementQueue,
        metrics: Metrics,
        policy: AdmissionPolicy | None = None,
    ) -> None:
        """Build a control for the requests in ``queue``."""
        self.measured = EngineMeasurements()
        self.returns = ReturnSchedule()
        self._service = service
        self._queue = queue
        self._metrics = metrics
        self._policy = policy or MeasuredAdmission()
        self._offered = LastingArrivals()
        self._arrivals: dict[tuple[int, bool], ArrivalRate] = {}

    def record_arrival(self, key: str, now: float) -> bool:
        """Count a request that arrives, before it waits.

        :param key: id of the request over its attempts, empty if unknown.
        :returns: whether its caller returns in time after a rejection.
        """
        self._offered.record(now, is_first=not len(self._queue))
        return self.returns.claim(key, now)

    def record_admitted(self, waiting: Waiting, now: float) -> None:
        """Count a request that was admitted and can be on time."""
        if not waiting.late:
            rank = (waiting.priority, waiting.is_new)
            self._arrivals.setdefault(rank, ArrivalRate()).record(1, now)

    def judge(self, applicant: Applicant, now: float) -> tuple[Refusal, ...]:
        """Judge a request that has just begun to wait.

        One that is admitted without a hope to be on time is ranked behind all
        others.

        :returns: its rejection, nothing if it may wait.
        """
        conditions = self._find_conditions(applicant, now)
        verdict = self._policy.judge(applicant.find_demand(now), conditions)
        if not verdict.is_admitted:
            reason = Reason.deadline_unreachable
            return (self._refuse(applicant, reason, verdict, conditions, now),)
        if verdict.is_late and not self._queue.find(applicant.ident).late:
            self._metrics.count('place_behind_timely')
            self._queue.demote(applicant.ident)
        self.record_admitted(self._queue.find(applicant.ident), now)
        return ()

    def find_hopeless(
        self, find_applicant: Callable[[str], Applicant], now: float
    ) -> list[Refusal]:
        """Return rejections of waiting requests that can't be served in time.

        :param find_applicant: returns the applicant of a placement's id.
        """
        rate = self.measured.find_rate(now)
        hopeless: list[Refusal] = []
        if rate is None:
            return hopeless
        for index, waiting in enumerate(self._queue):
            applicant = find_applicant(waiting.ident)
            conditions = self._make_conditions(applicant, rate)._replace(
                ahead=index - len(hopeless)
            )
            demand = applicant.find_demand(now)
            if self._policy.is_hopeless(demand, conditions):
                hopeless.append(
                    self._refuse(
                        applicant,
                        Reason.deadline_unreachable,
                        Verdict(is_admitted=False),
                        conditions,
                        now,
                    )
                )
        return hopeless

    def refuse(
        self, applicant: Applicant, excess: float, now: float
    ) -> tuple[Refusal, ...]:
        """Reject a request whose wait is over, or would be too long.

        :param excess: seconds by which it would be too long.
        """
        return (
            self._refuse(
                applicant,
                Reason.capacity,
                Verdict(is_admitted=False, excess=excess),
                self._make_conditions(applicant, self.measured.find_rate(now)),
                now,
            ),
        )

    def _refuse(
        self,
        applicant: Applicant,
        reason: Reason,
        verdict: Verdict,
        conditions: Conditions,
        now: float,
    ) -> Refusal:
        """Return a rejection, and log what it rests on."""
        refusal = Refusal(
            applicant.ident,
            self._find_retry_time(applicant, verdict, now),
            reason,
        )
        self._metrics.count(f'place_refused.{refusal.reason.value}')
        get_logger().info(
            'place_refused',
            request=applicant.request,
            service=self._service,
            reason=refusal.reason.value,
            wait=round(verdict.wait, 3),
            left=round(applicant.leaves_at - now, 3),
            ahead=conditions.ahead,
            rate=round(conditions.rate or 0, 1),
            offered=round(conditions.offered_rate, 1),
            seconds=round(conditions.run_seconds, 3),
            age=round(self.measured.find_age(now), 3),
            retry_after=round(refusal.retry_after, 3),
        )
        return refusal

    def _find_retry_time(
        self, applicant: Applicant, verdict: Verdict, now: float
    ) -> float:
        """Return the seconds after which a rejected caller may return.

        A caller that would return after its own time is over has no use for
        the answer, so that is the latest time.
        """
        rate = self.measured.find_rate(now)
        earliest = max(verdict.excess, MIN_RETRY_SECONDS)
        if rate is None:
            return earliest
        latest = max(applicant.complete_by, applicant.leaves_at) - now
        return self.returns.promise(
            applicant.key, earliest, max(latest, earliest), rate, now
        )

    def _make_conditions(
        self, applicant: Applicant, rate: float | None
    ) -> Conditions:
        return Conditions(
            0,
            0,
            rate,
            0,
            rate or 0,
            rate or 0,
            self.measured.first_seconds,
            self.measured.find_run_seconds(applicant.answer_tokens),
        )

    def _find_conditions(self, applicant: Applicant, now: float) -> Conditions:
        waiting = self._queue.find(applicant.ident)
        rate = self.measured.find_rate(now)
        conditions = self._make_conditions(applicant, rate)
        if rate is None:
            return conditions
        rates = {
            rank: arrivals.estimate(now)
            for rank, arrivals in self._arrivals.items()
        }
        own_rank = (waiting.priority, waiting.is_new)
        urgent = sum(one for rank, one in rates.items() if rank < own_rank)
        least = rate * MIN_FREE_SHARE
        return conditions._replace(
            offered_rate=self._offered.estimate(now),
            ahead=self._queue.count_ahead(waiting),
            late_ahead=self._queue.count_ahead(waiting._replace(late=True)),
            free_rate=max(rate - urgent, least),
            late_free_rate=max(rate - sum(rates.values()), least),
        )
