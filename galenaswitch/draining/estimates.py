"""Estimates of when a request ends, for a VM that is about to stop.

A bound holds for a request whatever came before it. An expectation is what
similar requests lasted for; the next one may last longer.
"""

import math
from typing import NamedTuple, Protocol

from galenaswitch.draining.paces import EnginePaces, Pace
from galenaswitch.gateway.calls import CallerRequest
from galenaswitch.gateway.durations import RequestDurations
from galenaswitch.gateway.routes import CallKind

# Factor of a measured pace: prompts that an engine reads between two tokens and
# requests that other VMs send to it may slow a stream.
PACE_FACTOR = 1.5
# Sound targets may be silent for about this long in the middle of an answer.
SILENCE_SECONDS = 1.25
# Factors of the longest measured time at a target, early and late in a stop.
EARLY_FACTOR = 1.1
LATE_FACTOR = 1.25
# Shortest time in seconds that a stream is expected to take.
MIN_SECONDS = 0.001
# Least number of similar requests from which the time of a stream is expected
# that can't be resumed. If it is cut, its caller loses the whole answer.
MIN_SIMILAR_STREAMS = 20


class EngineLoad(NamedTuple):
    """Engine that a request is about to be sent to.

    :param incarnation: incarnation of the engine.
    :param running: requests there with this one.
    :param is_cold: whether it is slow since it has just started.
    """

    incarnation: str
    running: int
    is_cold: bool


class SendState(NamedTuple):
    """How far a request has come.

    :param is_sending: whether its target is known and gets it now.
    :param engine: the target of a stream, ``None`` while it isn't known.
    """

    is_sending: bool
    engine: EngineLoad | None = None


class Estimate(NamedTuple):
    """Estimated time of a request until its end.

    :param basis: what it follows from.
    :param seconds: time from now on.
    :param pace: pace of its engine, ``None`` if that doesn't count.
    """

    basis: str
    seconds: float
    pace: Pace | None = None


class EndEstimator(Protocol):
    """Estimates how long requests last."""

    def estimate(
        self, request: CallerRequest, state: SendState
    ) -> Estimate | None:
        """Return the estimate for a request, ``None`` if nothing is known."""


class TokenBounds:
    """Bounds the time of a stream by the number of tokens that it names."""

    def __init__(self, paces: EnginePaces, durations: RequestDurations) -> None:
        """Build bounds from the paces of engines.

        :param durations: tells how long requests have waited for an engine.
        """
        self._paces = paces
        self._durations = durations

    def estimate(
        self, request: CallerRequest, state: SendState
    ) -> Estimate | None:
        """Return the bound of a stream.

        A stream without an engine gets that of the fastest engine.

        :returns: ``None`` when it names no tokens, nothing is known of the
            pace, or its engine has just started.
        """
        pace = self._find_pace(request.service, state.engine)
        if pace is None or not request.fields.answer_tokens:
            return None
        load = state.engine.running if state.engine else 1
        similar = self._durations.estimate(request)
        queued = similar.queued if similar and not state.is_sending else 0
        seconds = queued + _bound_running(request, pace, load)
        return Estimate('tokens', seconds + SILENCE_SECONDS, pace)

    def _find_pace(
        self, service: str, engine: EngineLoad | None
    ) -> Pace | None:
        if engine is None:
            return self._paces.find_fastest(service)
        if engine.is_cold:
            return None
        return self._paces.find(service, engine.incarnation)


def find_most_load(
    request: CallerRequest, estimate: Estimate, left: float
) -> float:
    """Return the most requests at an engine with which a stream ends in time.

    :param estimate: estimate for the stream, which is sent now.
    :param left: seconds until it has to end.
    """
    pace = estimate.pace
    if pace is None:
        return math.inf
    seconds = _bound_running(request, pace, pace.load)
    return pace.load * (left - SILENCE_SECONDS) / max(MIN_SECONDS, seconds)


class Expectations:
    """Expects requests to last as long as the longest similar ones."""

    def __init__(
        self,
        durations: RequestDurations,
        factor: float,
        margin_seconds: float = 0,
    ) -> None:
        """Build an expectation from measured durations.

        :param factor: factor of the measured time at the target.
        :param margin_seconds: time for silences of sound targets.
        """
        self._durations = durations
        self._factor = factor
        self._margin_seconds = margin_seconds

    def estimate(
        self, request: CallerRequest, state: SendState
    ) -> Estimate | None:
        """Return the expected time of a request.

        :returns: ``None`` when too few similar ones were measured.
        """
        found = self._durations.estimate(request)
        if found is None or found.measured < _find_least_similar(request):
            return None
        scaled = found.scale(self._factor)
        seconds = scaled.running if state.is_sending else scaled.total
        return Estimate('similar', seconds + self._margin_seconds)


def _bound_running(request: CallerRequest, pace: Pace, load: int) -> float:
    fields = request.fields
    return PACE_FACTOR * pace.bound_seconds(
        fields.prompt_tokens, fields.answer_tokens, load
    )


def _find_least_similar(request: CallerRequest) -> int:
    route = request.route
    is_stream = route.kind is CallKind.stream
    return MIN_SIMILAR_STREAMS if is_stream and not route.resumable else 1
