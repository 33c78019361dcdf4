"""Decides whether a request may wait for an engine.

A request is judged only while no engine has capacity for it.
"""

import math
from typing import NamedTuple, Protocol

# Share of the time left until its latest start that a request may spend in the
# queue. The rest is for the engine, whose first event counts for the objective.
QUEUE_SHARE = 0.5
# Number of standard deviations by which more requests may end in a time than on
# average. A request is rejected only if even these aren't enough: a rejection
# of what could be served costs more than a late answer.
OPTIMISM = 2.0
# Share of the measured duration for which a request may wait whatever its whole
# time is, but no longer than that time. The duration includes two deviations,
# so most answers leave more. Half would let work of 2 s with a deadline of 3 s
# begin too late.
MIN_WAIT_SHARE = 0.25


class Demand(NamedTuple):
    """What a request needs, in seconds from now.

    :param start_in: until its latest start that is on time.
    :param left: until its caller leaves without a first event.
    :param complete_in: until its answer must be complete.
    :param total: from its arrival until then, 0 if unknown.
    """

    start_in: float
    left: float
    complete_in: float
    total: float


class Conditions(NamedTuple):
    """The state of the queue and of the engines.

    :param ahead: number of requests that rank before the request.
    :param late_ahead: the same, if it ranks with the late ones.
    :param rate: requests that end per second, ``None`` if not measured.
    :param offered_rate: requests that arrive per second, whatever becomes of
        them, without the burst in which the queue began.
    :param free_rate: the part of it that more urgent requests leave.
    :param late_free_rate: the part that all timely requests leave.
    :param first_seconds: time from a placement to the first event.
    :param run_seconds: time from a placement to the end of the answer.
    """

    ahead: int
    late_ahead: int
    rate: float | None
    offered_rate: float
    free_rate: float
    late_free_rate: float
    first_seconds: float
    run_seconds: float


class Verdict(NamedTuple):
    """Decision about a request.

    :param is_admitted: whether it may wait.
    :param is_late: whether it ranks with those that can't be on time.
    :param wait: predicted wait in seconds.
    :param excess: seconds after which it would probably be admitted.
    """

    is_admitted: bool
    is_late: bool = False
    wait: float = 0
    excess: float = 0


class AdmissionPolicy(Protocol):
    """Decides which requests may wait."""

    def judge(self, demand: Demand, conditions: Conditions) -> Verdict:
        """Decide about a request that has just arrived."""

    def is_hopeless(self, demand: Demand, conditions: Conditions) -> bool:
        """Tell whether a request that waits can't be served in time."""


class MeasuredAdmission:
    """Admits what the measured rate of the engines can serve in time.

    >>> policy = MeasuredAdmission()
    >>> idle = Conditions(0, 0, None, 0, 0, 0, 0, 0)
    >>> policy.judge(Demand(1, 3, 3, 3), idle).is_admitted
    True
    >>> busy = Conditions(400, 400, 100, 180, 100, 5, 0.05, 0.25)
    >>> policy.judge(Demand(1, 3, 3, 3), busy).is_admitted
    False
    """

    def judge(self, demand: Demand, conditions: Conditions) -> Verdict:
        """Decide about a request that has just arrived.

        One that can begin early enough to be on time waits with the others.
        One that can't waits behind all of these, if what they leave is enough
        for it to be served at all. While no more arrives than the engines end,
        the queue is what a burst has left, and shrinks by itself: then only
        what can't be served is rejected.
        """
        rate = conditions.rate
        if rate is None:
            return Verdict(is_admitted=True)
        longest = find_longest_wait(demand, conditions)
        latest = _deduct(demand.start_in, conditions.first_seconds)
        if conditions.offered_rate <= rate:
            wait = _find_wait(conditions.ahead, rate)
            # The first one of the queue may be on time if luck has it.
            is_late = wait > latest and conditions.ahead > 0
            ahead = conditions.late_ahead if is_late else conditions.ahead
            return Verdict(
                _can_end(ahead, rate, longest),
                is_late,
                wait,
                max(0.0, wait - longest),
            )
        wait = _find_wait(conditions.ahead, conditions.free_rate)
        useful = min(longest, latest * QUEUE_SHARE)
        if wait <= useful:
            return Verdict(is_admitted=True, wait=wait)
        late_wait = _find_wait(conditions.late_ahead, conditions.late_free_rate)
        if _can_end(conditions.late_ahead, conditions.late_free_rate, longest):
            return Verdict(is_admitted=True, is_late=True, wait=late_wait)
        excess = max(0.0, wait - max(useful, 0.0))
        return Verdict(
            is_admitted=False, is_late=True, wait=late_wait, excess=excess
        )

    def is_hopeless(self, demand: Demand, conditions: Conditions) -> bool:
        """Tell whether a request that waits can't be served in time."""
        if conditions.rate is None:
            return False
        longest = find_longest_wait(demand, conditions)
        return not _can_end(conditions.ahead, conditions.rate, longest)


def find_longest_wait(demand: Demand, conditions: Conditions) -> float:
    """Return the seconds after which a start is useless.

    The first event has to come before the caller leaves, the end of the answer
    before the deadline. A duration near the whole time of the request, or above
    it, says little: the measured answers were longer than this one can be. So
    it leaves a part of that time, which never shrinks as the time grows.
    """
    longest = _deduct(demand.left, conditions.first_seconds)
    if not demand.total:
        return longest
    least = min(demand.total, conditions.run_seconds * MIN_WAIT_SHARE)
    waitable = max(demand.total - conditions.run_seconds, least)
    return min(longest, demand.complete_in - demand.total + waitable)


def _deduct(seconds: float, first_seconds: float) -> float:
    """Return a time less the time to a first event, at most by its half.

    The time to a first event is that of prompts of all lengths. One with a
    short objective usually has a short prompt.
    """
    return max(seconds - first_seconds, seconds / 2)


def _find_wait(ahead: int, rate: float) -> float:
    """Return a wait behind some requests that most don't exceed.

    The number that ends varies like that of a Poisson process, so that a queue
    which is admitted up to the average wait exceeds it half of the time.
    """
    return (ahead + 0.5 + math.sqrt(ahead)) / rate


def _can_end(ahead: int, rate: float, seconds: float) -> bool:
    """Tell whether enough requests can end in a time to reach the next one."""
    if seconds <= 0:
        return False
    ended = rate * seconds
    return ahead + 1 <= ended + OPTIMISM * math.sqrt(ended)
