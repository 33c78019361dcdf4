"""Which requests a VM that is stopping still takes.

A request that would be cut off by the stop is refused before a target gets it:
its caller sends it to another VM at once.
"""

import math
import time
from typing import NamedTuple

from galenaswitch.draining.estimates import (
    EARLY_FACTOR,
    LATE_FACTOR,
    SILENCE_SECONDS,
    EndEstimator,
    EngineLoad,
    Estimate,
    Expectations,
    SendState,
    TokenBounds,
    find_most_load,
)
from galenaswitch.draining.paces import EnginePaces
from galenaswitch.gateway.calls import CallerRequest
from galenaswitch.gateway.durations import RequestDurations
from galenaswitch.gateway.routes import CallKind
from galenaswitch.operations.logs import get_logger
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

# A caller that a stopping VM refuses may retry after this many seconds, as its
# next connection goes to another VM.
RETRY_AFTER_SECONDS = 0.05
# A request in progress ends these seconds before the process stops, so that its
# refusal is sent.
STOP_MARGIN_SECONDS = 0.15


class Decision(NamedTuple):
    """Whether a stopping VM takes a request, and why.

    :param is_taken: whether the request ends before the stop.
    :param estimate: the shortest estimate of its end.
    :param left: seconds until the requests in progress end.
    :param decided_at: monotonic time in seconds.
    """

    is_taken: bool
    estimate: Estimate
    left: float
    decided_at: float

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line."""
        pace = self.estimate.pace
        return {
            'basis': self.estimate.basis,
            'expected': round(self.estimate.seconds, 3),
            'left': round(self.left, 3),
            'event_seconds': round(pace.event_seconds, 4) if pace else None,
            'measured_load': pace.load if pace else None,
            'pace_age': round(pace.age, 3) if pace else None,
        }


class Draining:
    """Time that is left until the process stops, and what fits into it.

    :ivar stop_deadline: monotonic time in seconds at which the process stops,
        ``None`` while it isn't stopping.
    :ivar noticed_at: monotonic time in seconds at which the balancer has
        noticed that the process stops.
    :ivar durations: measured durations of requests.
    :ivar paces: measured paces of engines.
    """

    def __init__(self) -> None:
        """Build the state of a process that isn't stopping."""
        self.stop_deadline: float | None = None
        self.noticed_at = -math.inf
        self.durations = RequestDurations()
        self.paces = EnginePaces()
        bounds = TokenBounds(self.paces, self.durations)
        early = Expectations(self.durations, EARLY_FACTOR)
        late = Expectations(self.durations, LATE_FACTOR, SILENCE_SECONDS)
        # What bounds a request besides its deadline, by its kind and whether
        # the balancer knows of the stop. Before that, a caller that is refused
        # may get the same VM again, and a small risk of a cut answer costs it
        # less. A request that may not be repeated has to end at any odds: cut
        # off, its caller couldn't learn whether it ran. A plain one that may be
        # repeated ends with a refusal and not with a part of its answer.
        self._estimators: dict[
            tuple[CallKind, bool], tuple[EndEstimator, ...]
        ] = {
            (CallKind.stream, False): (bounds, early),
            (CallKind.stream, True): (bounds,),
            (CallKind.repeatable, False): (early,),
            (CallKind.repeatable, True): (late,),
        }
        self._taken: dict[str, Decision] = {}

    def find_end(self, deadline: float) -> float:
        """Return the time at which a request with ``deadline`` has to end."""
        if self.stop_deadline is None:
            return deadline
        return min(deadline, self.stop_deadline - STOP_MARGIN_SECONDS)

    def check_arrival(self, request: CallerRequest) -> None:
        """Check that a request, which has no target yet, ends before the stop.

        :raises RefusedError: when it doesn't, whatever target it gets.
        """
        self._check(request, SendState(is_sending=False))

    def check_send(
        self, request: CallerRequest, engine: EngineLoad | None = None
    ) -> float:
        """Check that a request, which no target has run, ends before the stop.

        :param engine: target of a stream.
        :returns: most requests at the engine with which the stream ends in
            time, infinity if that doesn't count.
        :raises RefusedError: when the request may last beyond the stop, or
            others at its engine with it.
        """
        state = SendState(is_sending=True, engine=engine)
        decision = self._check(request, state)
        if decision is None or time.monotonic() < self.noticed_at:
            return math.inf
        return find_most_load(request, decision.estimate, decision.left)

    def find_send_time(self, request: CallerRequest) -> float:
        """Return for how many seconds it is of use to wait for a target."""
        if self.stop_deadline is None:
            return math.inf
        decision = self._decide(request, SendState(is_sending=True))
        return max(0, decision.left - decision.estimate.seconds)

    def log_cut(self, request: CallerRequest) -> None:
        """Log that the stop ended a request, and what was expected of it."""
        decision = self._taken.get(request.ident)
        expected: dict[str, object] = {'basis': 'before-stop'}
        if decision:
            expected = decision.describe()
            expected['age'] = round(time.monotonic() - decision.decided_at, 3)
        get_logger().warning(
            'stop_cut',
            request=request.ident,
            route=request.route.name,
            tokens=request.fields.answer_tokens,
            **expected,
        )

    def forget(self, request: CallerRequest) -> None:
        """Forget the decision on a request that has ended."""
        self._taken.pop(request.ident, None)

    def _check(
        self, request: CallerRequest, state: SendState
    ) -> Decision | None:
        if self.stop_deadline is None:
            return None
        decision = self._decide(request, state)
        if state.is_sending or not decision.is_taken:
            get_logger().info(
                'stop_decided',
                request=request.ident,
                route=request.route.name,
                taken=decision.is_taken,
                is_sending=state.is_sending,
                tokens=request.fields.answer_tokens,
                load=state.engine.running if state.engine else None,
                **decision.describe(),
            )
        if not decision.is_taken:
            raise RefusedError(
                Reason.not_ready,
                ExecutionState.not_run,
                'the process is stopping',
                RETRY_AFTER_SECONDS,
            )
        if request.ident:
            self._taken[request.ident] = decision
        return decision

    def _decide(self, request: CallerRequest, state: SendState) -> Decision:
        now = time.monotonic()
        left = self.find_end(request.deadline) - now
        estimate = self._estimate(request, state, now)
        is_taken = estimate.seconds <= left
        if is_taken and not self._fits_beside_others(request, state):
            is_taken = False
            estimate = estimate._replace(basis='other-streams')
        return Decision(is_taken, estimate, left, now)

    def _estimate(
        self, request: CallerRequest, state: SendState, now: float
    ) -> Estimate:
        """Return the shortest estimate; no request outlasts its deadline."""
        estimators = self._estimators.get(
            (request.route.kind, now >= self.noticed_at), ()
        )
        found = (one.estimate(request, state) for one in estimators)
        deadline = Estimate('deadline', request.deadline - now)
        return min(
            (deadline, *filter(None, found)), key=lambda one: one.seconds
        )

    def _fits_beside_others(
        self, request: CallerRequest, state: SendState
    ) -> bool:
        """Tell whether streams at an engine end in time with one more."""
        if state.engine is None:
            return True
        engine = self.paces.get(request.service, state.engine.incarnation)
        return state.engine.running <= engine.most_load
