"""What the owner of a service measures of the requests at its engines."""

from collections import deque
from typing import NamedTuple

# Sliding window in seconds over which ended requests are counted. It is that
# of the arrivals (`pipelines/arrivals.py`), so that both tell of one time.
WINDOW_SECONDS = 2.0
# Number of ended requests from which the measurements are used.
MIN_SAMPLES = 8
# Weight of a new sample in the moving averages.
SMOOTHING = 0.1
# Average deviations above the average below which most durations lie.
DEVIATIONS = 2.0
# The measurements count as outdated after so many times the average duration
# without an end, but not before the number of seconds.
MAX_SILENT_DURATIONS = 3.0
MIN_OUTDATED_SECONDS = 10.0
# Lower bound of the average duration in seconds, so that a rate is finite.
MIN_SECONDS = 0.001


class RunningRequest(NamedTuple):
    """A request at an engine.

    :param size: size class of its answer.
    :param began_at: monotonic time of its placement in seconds.
    :param first_at: monotonic time of its first event, ``None`` before it.
    """

    size: int
    began_at: float
    first_at: float | None = None


class Average:
    """Moving average of samples.

    :ivar seconds: the average, 0 without a sample.
    :ivar deviation: average distance of a sample from the average.
    """

    def __init__(self) -> None:
        """Build an average of no samples."""
        self.seconds = 0.0
        self.deviation = 0.0
        self.samples = 0

    def add(self, seconds: float) -> None:
        """Add a sample."""
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        distance = seconds - self.seconds if self.samples > 1 else 0.0
        self.seconds += weight * (seconds - self.seconds)
        self.deviation += weight * (abs(distance) - self.deviation)


class EngineMeasurements:
    """Durations and rate of the requests that end at the engines.

    Only requests that had a first event are measured: what an engine rejects
    ends in no time, and says nothing about how long work takes.

    >>> measured = EngineMeasurements()
    >>> for number in range(20):
    ...     measured.begin('one', 60, now=number)
    ...     measured.record_first_event('one', now=number + 0.1)
    ...     measured.end('one', now=number + 0.5)
    >>> measured.begin('two', 60, now=20)
    >>> round(measured.find_rate(now=20), 2), measured.find_run_seconds(60)
    (2.0, 0.5)
    """

    def __init__(self) -> None:
        """Build measurements of no requests."""
        self._running: dict[str, RunningRequest] = {}
        self._ends: deque[float] = deque()
        self._durations = Average()
        self._firsts = Average()
        self._by_size: dict[int, Average] = {}
        self._last_end = 0.0

    def begin(self, ident: str, answer_tokens: int, now: float) -> None:
        """Record that a request was placed."""
        size = answer_tokens.bit_length()
        self._running[ident] = RunningRequest(size, now)

    def record_first_event(self, ident: str, now: float) -> None:
        """Record the first event of a request."""
        running = self._running.get(ident)
        if running and running.first_at is None:
            self._running[ident] = running._replace(first_at=now)
            self._firsts.add(now - running.began_at)

    def end(self, ident: str, now: float) -> None:
        """Record the end of a request."""
        running = self._running.pop(ident, None)
        if running is None or running.first_at is None:
            return
        seconds = now - running.began_at
        self._durations.add(seconds)
        self._by_size.setdefault(running.size, Average()).add(seconds)
        self._ends.append(now)
        self._last_end = now

    def drop(self, ident: str) -> None:
        """Forget a request whose end was never reported."""
        self._running.pop(ident, None)

    def find_rate(self, now: float) -> float | None:
        """Return how many requests a second the engines can end.

        It is asked for while no engine is free. Then it follows from the
        requests at the engines and their average duration; where fewer are
        there than a moment ago, the rate of ends stands until it falls too.

        :returns: ``None`` without measurements of late, and while no request
            runs: nothing tells then how fast the engines will be.
        """
        is_measured = self._durations.samples >= MIN_SAMPLES
        if not is_measured or not self._running or self._is_outdated(now):
            return None
        while self._ends and self._ends[0] < now - WINDOW_SECONDS:
            self._ends.popleft()
        return max(
            len(self._ends) / WINDOW_SECONDS,
            len(self._running) / max(self._durations.seconds, MIN_SECONDS),
        )

    def find_run_seconds(self, answer_tokens: int) -> float:
        """Return how long most answers of a size take, 0 if none was measured.

        A stream that begins later is cut at its deadline, and its work wasted.
        """
        average = self._by_size.get(answer_tokens.bit_length())
        if average is None:
            return 0.0
        return average.seconds + DEVIATIONS * average.deviation

    @property
    def first_seconds(self) -> float:
        """Average time from a placement to the first event."""
        return self._firsts.seconds

    def find_age(self, now: float) -> float:
        """Return the seconds since the last end that was measured."""
        return now - self._last_end

    def _is_outdated(self, now: float) -> bool:
        longest = MAX_SILENT_DURATIONS * self._durations.seconds
        return self.find_age(now) > max(longest, MIN_OUTDATED_SECONDS)
