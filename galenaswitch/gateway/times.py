"""Usual times of the stages of a request."""

from galenaswitch.gateway.calls import CallerRequest
from galenaswitch.gateway.routes import BatchLimits, RouteTable

# Results of this many bytes are made near their reader, and not earlier
# than needed: they fill their maker's room and the links between zones.
LARGE_RESULT_BYTES = 200_000
# Part of the time that a stage has to spare in which it isn't begun.
SLACK_SHARE = 0.8
# Usual wait in seconds for a target that is in a call: half of a short one.
TARGET_WAIT_SECONDS = 0.1
# Seconds from the last result to the first event of a model engine until
# they are known: reading of a usual prompt and one step.
INITIAL_ENGINE_SECONDS = 0.25
# Part of a new measurement in what is expected: some ten requests count.
SMOOTHING = 0.1


class EngineTimes:
    """Seconds from the results of stages to a first event, by route.

    What is expected is the smoothed mean and deviation together, as for
    retransmission in TCP: a request that is begun as late as the mean allows
    would be late half of the time.

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
        """Start without a measurement."""
        self._means: dict[str, float] = {}
        self._deviations: dict[str, float] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Take in the time of one request."""
        mean = self._means.get(route, INITIAL_ENGINE_SECONDS)
        deviation = self._deviations.get(route, 0)
        error = seconds - mean
        self._means[route] = mean + SMOOTHING * error
        self._deviations[route] = deviation + SMOOTHING * (
            abs(error) - deviation
        )

    def estimate(self, route: str) -> float:
        """Return the seconds that are to be expected."""
        mean = self._means.get(route, INITIAL_ENGINE_SECONDS)
        return mean + self._deviations.get(route, 0)


class StageTimes:
    """Times of the stages of one request, in seconds."""

    def __init__(self, request: CallerRequest, table: RouteTable) -> None:
        """Work out the stages of ``request`` as ``table`` has them."""
        self._request = request
        self._table = table
        self._stages = request.route.stages

    def find_batch_limits(self, number: int) -> BatchLimits | None:
        """Return how targets of a stage work on calls."""
        stage = self._stages[number]
        return self._table.find_batches(stage.service)

    def estimate_rest(self, number: int) -> float:
        """Return the usual seconds of the stages behind one."""
        stages = self._stages
        downstream = [
            self.estimate_batch(later) + self.estimate_rest(later)
            for later in range(number + 1, len(stages))
            if number in stages[later].after
        ]
        return max(downstream, default=0)

    def count_stages_left(self, number: int) -> int:
        """Return how many stages wait for targets from one to the end.

        These are the stages one after the other on the longest way, as far
        as the request has work items for them.
        """
        downstream = [
            self.count_stages_left(later)
            for later in range(number + 1, len(self._stages))
            if number in self._stages[later].after
        ]
        return max(downstream, default=0) + bool(self.estimate_batch(number))

    def estimate_batch(self, number: int) -> float:
        """Return the seconds of one call for the work items of a stage."""
        batches = self.find_batch_limits(number)
        work_items = self._request.fields.work_items
        count = work_items[number] if number < len(work_items) else 0
        if batches is None or not count:
            return 0
        batch_work_items = min(count, batches.batch)
        batch_seconds = (
            batches.call_seconds + batch_work_items * batches.work_item_seconds
        )
        return batch_seconds + TARGET_WAIT_SECONDS

    def find_slack(self, number: int) -> float:
        """Return the seconds that a stage can wait for longer ones beside it.

        Its results would only take room until those are done.
        """
        if self._stages[number].result_bytes < LARGE_RESULT_BYTES:
            return 0
        paths = [
            self.estimate_batch(other) + self.estimate_rest(other)
            for other, stage in enumerate(self._stages)
            if not stage.after
        ]
        own = self.estimate_batch(number) + self.estimate_rest(number)
        return (max(paths) - own) * SLACK_SHARE
