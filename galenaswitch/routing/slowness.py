"""Choice that leaves out slow targets while others have room.

A slow target answers without failures, but several times later than the others
of its service, so it isn't ejected. The policy knows only the responses that
this VM has got.
"""

from bisect import bisect_left
from collections.abc import Sequence
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
# Seconds after the end of a pause for which it is remembered. A target that is
# still there gets a request before, unless its service gets none.
RETENTION_SECONDS = 600.0


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
        if work.is_repeat:
            slow = [one for one in targets if one.name in self._pauses]
        else:
            slow = self._find_slow(targets, work.now)
        if not slow:
            return super().choose(targets, work)
        for target in () if work.is_repeat else slow:
            if self._is_due(target, work.now):
                return target
        free = [
            one
            for one in targets
            if one not in slow and self._has_room(one, work.now)
        ]
        return super().choose(free or targets, work)

    def _find_slow(self, targets: Sequence[Target], now: float) -> list[Target]:
        """Return the slow targets, and record which have changed.

        :param targets: all targets of a service that take requests. A part of
            them has another median, so a repeat of a request changes nothing.
        """
        ordered = sorted(
            latency
            for one in targets
            if (latency := self._loads.get_load(one.name).latency)
        )
        slow = []
        for target in targets:
            usual = self._find_usual(target, ordered)
            load = self._loads.get_load(target.name)
            # The last response shows at once that a target is quick again.
            latency = min(load.latency, load.last_latency)
            if usual is None or latency <= max(
                usual * SLOW_FACTOR, MIN_SLOW_SECONDS
            ):
                self._pauses.pop(target.name, None)
                continue
            slow.append(target)
            if target.name not in self._pauses:
                self._pause(target, FIRST_PAUSE_SECONDS, now)
                self._report(target, load, usual, now)
        return slow

    def _find_usual(
        self, target: Target, ordered: Sequence[float]
    ) -> float | None:
        """Return the median latency of the other targets, ``None`` if unknown.

        :param ordered: known latencies of all targets, the lowest first.
        """
        own = self._loads.get_load(target.name).latency
        count = len(ordered) - bool(own)
        if not count:
            return None
        skipped = bisect_left(ordered, own) if own else len(ordered)
        middle = ((count - 1) // 2, count // 2)
        return sum(ordered[one + (one >= skipped)] for one in middle) / 2

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
        # Targets that have ended are not among those to choose from again.
        outdated = [
            name
            for name, pause in self._pauses.items()
            if pause.until + RETENTION_SECONDS < now
        ]
        for name in outdated:
            self._pauses.pop(name)

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
