"""Longest recent durations of requests, by route and size of the answer."""

import time
from typing import NamedTuple

from galenaswitch.draining.maxima import RecentMaximum
from galenaswitch.gateway.calls import CallerRequest

# Ratio of the longest answers of two neighbouring size classes.
SIZE_FACTOR = 2.0
# Route, service and size class of an answer.
DurationKey = tuple[str, str, int]


class Duration(NamedTuple):
    """Duration of a request in seconds.

    :param queued: from the arrival to the send to the target that answers.
    :param running: from that send to the end of the answer.
    :param measured: number of requests that were measured.
    """

    queued: float
    running: float
    measured: int = 1

    @property
    def total(self) -> float:
        """Seconds from the arrival to the end of the answer."""
        return self.queued + self.running

    def scale(self, factor: float) -> 'Duration':
        """Return the duration with another time at the target."""
        return self._replace(running=self.running * factor)


class LongestDuration:
    """Longest duration in the last one or two windows with requests."""

    def __init__(self, now: float) -> None:
        """Begin a window at a monotonic time in seconds."""
        self._queued = RecentMaximum(now)
        self._running = RecentMaximum(now)

    def add(self, duration: Duration, now: float) -> None:
        """Add the duration of a request that ended at a monotonic time."""
        self._queued.add(duration.queued, now)
        self._running.add(duration.running, now)

    def find(self) -> Duration:
        """Return the longest time in the queue and at the target."""
        return Duration(
            self._queued.largest, self._running.largest, self._running.count
        )


class RequestDurations:
    """Measures how long complete requests of each route last.

    Answers of similar size are measured together: a size class holds those
    whose expected number of tokens has the same number of bits.
    """

    def __init__(self) -> None:
        """Build measurements of no request."""
        self._longest: dict[DurationKey, LongestDuration] = {}

    def observe(self, request: CallerRequest, sent_at: float) -> None:
        """Add a request whose answer is complete now.

        :param sent_at: monotonic time in seconds of its last send.
        """
        now = time.monotonic()
        key = _find_key(request)
        longest = self._longest.setdefault(key, LongestDuration(now))
        duration = Duration(sent_at - request.started, now - sent_at)
        longest.add(duration, now)

    def estimate(self, request: CallerRequest) -> Duration | None:
        """Return the longest recent duration of similar requests.

        A size that was not measured takes the next larger one that was, or
        twice the time of the next smaller one for each size between. That is
        no bound: answers may be longer than all measured ones.

        :returns: ``None`` when no request of its route was measured.
        """
        route, service, size = _find_key(request)
        sizes = sorted(
            known for *name, known in self._longest if name == [route, service]
        )
        if not sizes:
            return None
        nearest = next((one for one in sizes if one >= size), sizes[-1])
        found = self._longest[route, service, nearest].find()
        return found.scale(SIZE_FACTOR ** max(0, size - nearest))


def _find_key(request: CallerRequest) -> DurationKey:
    size = request.fields.answer_tokens.bit_length()
    return request.route.name, request.service, size
