"""Measured paces of engines, by the number of requests that they run.

An engine makes the next token of all its requests in one step. A step takes a
fixed time and a time for each request, so that n times the requests make it at
most n times as long. With that, a pace that was measured at one load bounds
the pace at a higher one.
"""

import math
import time
from collections import defaultdict
from typing import NamedTuple

from galenaswitch.draining.maxima import WINDOW_SECONDS, RecentMaximum

# Least number of events in one measurement. Events that arrive together make a
# shorter one meaningless.
MIN_EVENTS = 8
# Least number of measurements at one engine.
MIN_MEASUREMENTS = 3
# Age in seconds from which on a measurement doesn't count.
MAX_AGE_SECONDS = 2 * WINDOW_SECONDS
# Most incarnations of engines of one service that are remembered.
MAX_ENGINES = 256


class Pace(NamedTuple):
    """Longest recent times of streams at an engine.

    :param first_seconds: time from the send to the first event.
    :param event_seconds: time from one event to the next.
    :param prompt_tokens: length of the longest measured prompt.
    :param load: most requests at the engine with which it was measured.
    :param age: seconds since the last measurement.
    """

    first_seconds: float
    event_seconds: float
    prompt_tokens: float
    load: int
    age: float

    def bound_seconds(
        self, prompt_tokens: int, answer_tokens: int, load: int
    ) -> float:
        """Return a bound of the time from a send to the end of the answer.

        An event holds one token at least. Longer prompts than those that were
        measured are read for longer. With fewer requests than were measured
        the engine isn't taken for faster, as others may come.

        :param load: requests at the engine.
        """
        prompt_ratio = max(1, prompt_tokens / max(1, self.prompt_tokens))
        seconds = self.first_seconds * prompt_ratio
        seconds += self.event_seconds * answer_tokens
        return seconds * max(1, load / self.load)


class _Span(NamedTuple):
    """Events in a row, and the time from one to the next."""

    events: int = 0
    seconds: float = 0

    def extend(self, events: int, seconds: float) -> '_Span':
        """Return the span with more events."""
        return _Span(self.events + events, self.seconds + seconds)


class StreamPace:
    """Measures the pace of one stream at an engine.

    :ivar most_load: most requests at the engine with which the stream is sure
        to end in time, infinity if that wasn't asked.
    """

    def __init__(
        self, engine: 'EnginePace', prompt_tokens: int, now: float
    ) -> None:
        """Begin with the send at a monotonic time in seconds."""
        self.most_load = math.inf
        self._engine = engine
        self._prompt_tokens = prompt_tokens
        self._sent_at = now
        self._first_events = 0
        self._last_events = 0
        self._first_at: float | None = None
        self._last_at = now
        self._load = engine.load

    def record_events(self, count: int) -> None:
        """Record that events arrived.

        :param count: events of the stream so far, those of engines before it
            included.
        """
        if count == self._last_events:
            return
        now = time.monotonic()
        self._last_events = count
        self._last_at = now
        if self._first_at is None:
            self._first_at = now
            self._first_events = count
            self._engine.first.add(self._load, now - self._sent_at, now)
            self._engine.prompt.add(self._prompt_tokens, now)

    def split(self, load: int) -> None:
        """End a measurement, as the engine has another load from now on."""
        count = self._last_events - self._first_events
        if self._first_at is not None and count:
            seconds = self._last_at - self._first_at
            self._engine.add_events(self._load, count, seconds, self._last_at)
            self._first_events = self._last_events
            self._first_at = self._last_at
        self._load = load

    def end(self) -> None:
        """End the measurements, as the stream has ended at this engine."""
        self._engine.end(self)


class LoadedTimes:
    """Longest recent times at an engine, by its load."""

    def __init__(self) -> None:
        """Build times without measurements."""
        self._by_load: dict[int, RecentMaximum] = {}

    def add(self, load: int, seconds: float, now: float) -> None:
        """Add a time that was measured at a load."""
        if load not in self._by_load:
            self._by_load[load] = RecentMaximum(now)
        self._by_load[load].add(seconds, now)

    def find_age(self, now: float) -> float:
        """Return the seconds since the last measurement."""
        ages = (one.find_age(now) for one in self._by_load.values())
        return min(ages, default=math.inf)

    def find_longest(self, now: float) -> tuple[int, float] | None:
        """Return the longest time, and the highest load that is known well.

        :returns: ``None`` when too little is known.

        >>> times = LoadedTimes()
        >>> for load in (1, 4, 4, 4, 6):
        ...     times.add(load, 0.5, now=0)
        >>> times.find_longest(now=1)
        (4, 0.5)
        """
        known = {
            load: one
            for load, one in self._by_load.items()
            if one.find_age(now) <= MAX_AGE_SECONDS
        }
        if sum(one.count for one in known.values()) < MIN_MEASUREMENTS:
            return None
        loads = [
            load for load, one in known.items() if one.count >= MIN_MEASUREMENTS
        ]
        longest = max(one.largest for one in known.values())
        return max(loads, default=min(known)), longest


class EnginePace:
    """Paces of one incarnation of an engine, by its load.

    :ivar load: requests at the engine, as far as this VM knows.
    """

    def __init__(self) -> None:
        """Build the paces of an engine without requests."""
        now = time.monotonic()
        self.load = 0
        self.first = LoadedTimes()
        self.prompt = RecentMaximum(now)
        self._event = LoadedTimes()
        self._unmeasured: defaultdict[int, _Span] = defaultdict(_Span)
        self._streams: set[StreamPace] = set()

    @property
    def most_load(self) -> float:
        """Most requests with which all streams here are sure to end in time."""
        return min((one.most_load for one in self._streams), default=math.inf)

    @property
    def is_idle(self) -> bool:
        """Whether this VM has no stream at the engine."""
        return not self._streams

    def find_next_load(self, load: int) -> int:
        """Return the load with another stream.

        :param load: the same as the owner of placements told, 0 if it didn't.
        """
        return max(load, len(self._streams) + 1)

    def begin(self, prompt_tokens: int, load: int) -> StreamPace:
        """Begin to measure a stream.

        :param load: requests at the engine with this one.
        """
        self._change_load(load)
        stream = StreamPace(self, prompt_tokens, time.monotonic())
        self._streams.add(stream)
        return stream

    def end(self, stream: StreamPace) -> None:
        """End the measurement of a stream."""
        if stream in self._streams:
            self._streams.remove(stream)
            stream.split(self.load)
            self._change_load(max(self.load - 1, len(self._streams)))

    def add_events(
        self, load: int, count: int, seconds: float, now: float
    ) -> None:
        """Add the time of several events; a few are added to later ones."""
        span = self._unmeasured[load].extend(count, seconds)
        if span.events >= MIN_EVENTS:
            self._event.add(load, span.seconds / span.events, now)
            span = _Span()
        self._unmeasured[load] = span

    def find_pace(self, now: float) -> Pace | None:
        """Return the measured pace, ``None`` when too little is known."""
        first = self.first.find_longest(now)
        event = self._event.find_longest(now)
        if first is None or event is None:
            return None
        load = min(first[0], event[0])
        age = self._event.find_age(now)
        return Pace(first[1], event[1], self.prompt.largest, load, age)

    def _change_load(self, load: int) -> None:
        if load != self.load:
            self.load = load
            for stream in self._streams:
                stream.split(load)


class EnginePaces:
    """Paces of all engines that this VM has sent streams to."""

    def __init__(self) -> None:
        """Build paces of no engine."""
        self._engines: defaultdict[str, dict[str, EnginePace]] = defaultdict(
            dict
        )

    def get(self, service: str, incarnation: str) -> EnginePace:
        """Return the paces of one incarnation of an engine."""
        engines = self._engines[service]
        if incarnation not in engines:
            _limit(engines)
            engines[incarnation] = EnginePace()
        return engines[incarnation]

    def find(self, service: str, incarnation: str) -> Pace | None:
        """Return the pace of an engine, or of the slowest one if it is unknown.

        :returns: ``None`` when too little is known of all.
        """
        engine = self._engines.get(service, {}).get(incarnation)
        pace = engine.find_pace(time.monotonic()) if engine else None
        return pace or max(
            self._find_all(service), key=_event_seconds, default=None
        )

    def find_fastest(self, service: str) -> Pace | None:
        """Return the pace of the fastest engine."""
        return min(self._find_all(service), key=_event_seconds, default=None)

    def _find_all(self, service: str) -> list[Pace]:
        now = time.monotonic()
        engines = self._engines.get(service, {}).values()
        paces = (engine.find_pace(now) for engine in engines)
        return [pace for pace in paces if pace]


def _limit(engines: dict[str, EnginePace]) -> None:
    """Forget the oldest engine without streams if there are many."""
    if len(engines) < MAX_ENGINES:
        return
    idle = (one for one, engine in engines.items() if engine.is_idle)
    engines.pop(next(idle, ''), None)


def _event_seconds(pace: Pace) -> float:
    return pace.event_seconds
