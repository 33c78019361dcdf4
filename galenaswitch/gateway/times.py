"""Estimates how long the stages and the engine of a request take.

A stage's time follows from the configured batch limits. An engine's time to
the first event is estimated per route from earlier requests.
"""

from galenaswitch.gateway.calls import CallerRequest
from galenaswitch.gateway.routes import BatchLimits, RouteTable

# Results of at least this many bytes are made near their reader and no earlier
# than needed, because they fill their producer's result memory and the network
# links between zones.
LARGE_RESULT_BYTES = 200_000
# Share of a stage's slack for which its start is delayed.
SLACK_SHARE = 0.8
# Typical seconds until a busy target is free: half of a short batch.
TARGET_WAIT_SECONDS = 0.1
# Initial estimate, in seconds, of the time from the last result to an engine's
# first event: reading a typical prompt and one decoding step.
INITIAL_ENGINE_SECONDS = 0.25
# Weight of a new measurement in a moving average: about ten requests count.
SMOOTHING = 0.1


class EngineTimes:
    """Estimates the seconds from stage results to a first event, by route.

    The estimate is the smoothed mean plus the smoothed deviation, as for the
    retransmission timeout of TCP. A request that starts as late as the mean
    allows would be late half of the time.

    Reference: V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.

    >>> times = EngineTimes()
    >>> times.estimate('a') == INITIAL_ENGINE_SECONDS
    True
    >>> for _ in range(99):
    ...     times.observe('a', 0.4)
    >>> round(times.estimate('a'), 2)
    0.4
    """

    def __init__(self) -> None:
        """Build the estimates before any request is measured."""
        self._means: dict[str, float] = {}
        self._deviations: dict[str, float] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Add the measured seconds of one request to the averages."""
        mean = self._means.get(route, INITIAL_ENGINE_SECONDS)
        deviation = self._deviations.get(route, 0)
        error = seconds - mean
        self._means[route] = mean + SMOOTHING * error
        self._deviations[route] = deviation + SMOOTHING * (
            abs(error) - deviation
        )

    def estimate(self, route: str) -> float:
        """Return the estimated seconds to the first event of a route."""
        mean = self._means.get(route, INITIAL_ENGINE_SECONDS)
        return mean + self._deviations.get(route, 0)


class StageTimes:
    """Estimates the times of one request's stages, in seconds."""

    def __init__(self, request: CallerRequest, table: RouteTable) -> None:
        """Build estimates for ``request`` from the limits in ``table``."""
        self._request = request
        self._table = table
        self._stages = request.route.stages

    def find_batch_limits(self, number: int) -> BatchLimits | None:
        """Return the batch limits of a stage's service."""
        stage = self._stages[number]
        return self._table.find_batch_limits(stage.service)

    def estimate_rest(self, number: int) -> float:
        """Return the estimated seconds of the longest path after a stage."""
        stages = self._stages
        seconds_after = [
            self.estimate_batch(later) + self.estimate_rest(later)
            for later in range(number + 1, len(stages))
            if number in stages[later].after
        ]
        return max(seconds_after, default=0)

    def count_stages_left(self, number: int) -> int:
        """Return how many stages wait for targets one after the other.

        The count follows the longest path from this stage to the last and
        includes only stages for which the request has work items.
        """
        stages_after = [
            self.count_stages_left(later)
            for later in range(number + 1, len(self._stages))
            if number in self._stages[later].after
        ]
        return max(stages_after, default=0) + bool(self.estimate_batch(number))

    def estimate_batch(self, number: int) -> float:
        """Return the estimated seconds of one batch of a stage."""
        limits = self.find_batch_limits(number)
        work_items = self._request.fields.work_items
        count = work_items[number] if number < len(work_items) else 0
        if limits is None or not count:
            return 0
        batch_work_items = min(count, limits.batch_size)
        batch_seconds = (
            limits.call_overhead_seconds
            + batch_work_items * limits.work_item_seconds
        )
        return batch_seconds + TARGET_WAIT_SECONDS

    def find_slack(self, number: int) -> float:
        """Return the seconds by which a stage's start can be delayed.

        Large results that are made before longer parallel stages finish would
        only use result memory until then.
        """
        if self._stages[number].result_bytes < LARGE_RESULT_BYTES:
            return 0
        path_seconds = [
            self.estimate_batch(other) + self.estimate_rest(other)
            for other, stage in enumerate(self._stages)
            if not stage.after
        ]
        own_seconds = self.estimate_batch(number) + self.estimate_rest(number)
        return (max(path_seconds) - own_seconds) * SLACK_SHARE
