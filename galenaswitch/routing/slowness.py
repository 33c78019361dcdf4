"""Choice that leaves out slow targets while others have room.

A slow target answers without failures, but several times later than the others
of its service, so it isn't ejected. The policy knows only the responses that
this VM has got.
"""

from collections.abc import Sequence
from statistics import median
from typing import NamedTuple

from galenaswitch.membership.lists import Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.routing.choice import LeastOutstanding, WorkEstimate
from galenaswitch.routing.loads import LoadView, TargetLoad

# A target is slow above this multiple of the median of the others' latencies,
# but not below the minimum in seconds, which callers hardly notice.
SLOW_FACTOR = 2
MIN_SLOW_SECONDS = 0.05
# Seconds without a request for a slow target, after which one request shows
# whether it is still slow. They double with each request up to the maximum, so
# that a target that stays slow holds up few requests.
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 20.0


class Pause(NamedTuple):
    """Time for which a slow target gets no request.

    :param until: monotonic time of its end.
    """

    seconds: float
    until: float


class SlowLast(LeastOutstanding):
    """Policy that uses slow targets only if no other one has room.

    The latency of the others includes their queues. If they have too few slots
    for all requests, it rises until the slow target no longer counts as slow.
    """

    def __init__(self, loads: LoadView, metrics: Metrics) -> None:
        """Build a policy that reads the latencies and counts of ``loads``."""
        super().__init__(loads)
        self._loads = loads
        self._metrics = metrics
        self._pauses: dict[str, Pause] = {}

    def choose(self, targets: Sequence[Target], work: WorkEstimate) -> Target:
        """Return a least loaded target that isn't slow, if there is one."""
        slow = [one for one in targets if self._is_slow(one, targets, work.now)]
        if not slow:
            return super().choose(targets, work)
        for target in slow:
            if self._is_due(target, work.now):
                return target
        free = [
            one
            for one in targets
            if one not in slow and self._has_room(one, work.now)
        ]
        return super().choose(free or targets, work)

    def _is_slow(
        self, target: Target, targets: Sequence[Target], now: float
    ) -> bool:
        """Tell whether a target is slow, and record when that changes."""
        load = self._loads.get_load(target.name)
        others = [
            latency
            for one in targets
            if one is not target
            and (latency := self._loads.get_load(one.name).latency)
        ]
        if not others:
            return False
        usual = median(others)
        limit = max(usual * SLOW_FACTOR, MIN_SLOW_SECONDS)
        # The last response shows at once that a target has become quick again.
        is_slow = min(load.latency, load.last_latency) > limit
        if not is_slow:
            self._pauses.pop(target.name, None)
        elif target.name not in self._pauses:
            self._pause(target, FIRST_PAUSE_SECONDS, now)
            self._report(target, load, usual, now)
        return is_slow

    def _is_due(self, target: Target, now: float) -> bool:
        """Tell whether a slow target gets a request now, to measure it."""
        pause = self._pauses[target.name]
        if now < pause.until or self._loads.get_load(target.name).outstanding:
            return False
        self._pause(target, min(pause.seconds * 2, MAX_PAUSE_SECONDS), now)
        return True

    def _has_room(self, target: Target, now: float) -> bool:
        load = self._loads.get_load(target.name)
        return load.estimate_in_progress(now) < target.capacity

    def _pause(self, target: Target, seconds: float, now: float) -> None:
        self._pauses[target.name] = Pause(seconds, now + seconds)

    def _report(
        self, target: Target, load: TargetLoad, usual: float, now: float
    ) -> None:
        get_logger().info(
            'target_slow',
            target=target.name,
            service=target.pool,
            seconds=round(load.latency, 3),
            usual=round(usual, 3),
            age=round(now - load.observed_at, 3),
        )
        self._metrics.count('target_slow')
