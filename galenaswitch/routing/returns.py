"""Decides whether a request waits for a target that has just ended.

When all targets of a service have ended, one that crashed is back within a
fraction of a second, perhaps under another name. A request that found none left
may wait for it, shortly, instead of being refused.
"""

import math
from collections.abc import Collection
from enum import Enum, auto
from typing import NamedTuple

from galenaswitch.errors import TargetBusyError

# Longest time in seconds that one request waits for targets to return. Those of
# a process manager are back after 0.3 s and listed after 0.2 s more.
MAX_WAIT_SECONDS = 0.5
# Seconds after its end in which a target is expected back.
RECENT_SECONDS = 2.0
# Seconds after its end for which a target is taken for refusing or replaced. A
# replaced one is no longer listed then, unless the answer was wrong.
KNOWN_SECONDS = 10.0
# Seconds for which the end of a target is known. One that stays away is waited
# for once more after them.
MAX_END_AGE_SECONDS = 60.0
# Seconds for which a measured return counts, so that targets which have become
# faster are waited for again.
MAX_MEASURE_AGE_SECONDS = 30.0


class TargetReplacedError(TargetBusyError):
    """The address belongs to another target now, which ran nothing."""


class EndKind(Enum):
    """How a target has shown that it has ended."""

    # It broke a connection.
    broken = auto()
    # It accepts no connection, and may do so later under the same name.
    refusing = auto()
    # Another target has its address.
    replaced = auto()


class End(NamedTuple):
    """End of a target, as far as this VM knows.

    :param at: monotonic time in seconds of the first failure that showed it.
    :param kind: how the target showed it.
    """

    at: float
    kind: EndKind


class Measure(NamedTuple):
    """Time that targets of a service took to return, measured at a time."""

    seconds: float
    at: float


class Returns:
    """Ends of the targets of all services, and who waits for their return.

    >>> returns = Returns()
    >>> returns.record_end('desk', 'a', EndKind.broken, 1)
    >>> returns.start_wait('desk', ('a',), 5, now=1)
    0.5
    >>> returns.start_wait('desk', ('a',), 5, now=1)
    0
    >>> returns.end_wait('desk')
    >>> returns.record_answer('desk', 'a', now=1.75)
    >>> returns.find_typical('desk', now=2)
    0.75
    """

    def __init__(self) -> None:
        """Build a record of targets that all run."""
        self._ends: dict[str, dict[str, End]] = {}
        self._waiting: set[str] = set()
        self._gone_since: dict[str, float] = {}
        self._measures: dict[str, Measure] = {}

    def record_end(
        self, service: str, target: str, kind: EndKind, now: float
    ) -> None:
        """Record a failure which shows that a target has ended.

        :param now: monotonic time in seconds.
        """
        ends = {
            name: end
            for name, end in self._ends.get(service, {}).items()
            if now - end.at <= MAX_END_AGE_SECONDS
        }
        at = ends[target].at if target in ends else now
        ends[target] = End(at, kind)
        self._ends[service] = ends

    def record_answer(self, service: str, target: str, now: float) -> None:
        """Record an answer of a target, which has not ended."""
        self._ends.get(service, {}).pop(target, None)
        if service in self._gone_since:
            seconds = now - self._gone_since.pop(service)
            self._measures[service] = Measure(seconds, now)

    def find_ended(self, service: str, kind: EndKind, now: float) -> set[str]:
        """Return the names of the targets that lately ended in one way."""
        return {
            name
            for name, end in self._ends.get(service, {}).items()
            if end.kind is kind and now - end.at <= KNOWN_SECONDS
        }

    def find_typical(self, service: str, now: float) -> float:
        """Return the seconds that targets of a service take to return.

        Until they are measured, that is the longest time to wait for them.
        """
        measure = self._measures.get(service)
        if measure and now - measure.at <= MAX_MEASURE_AGE_SECONDS:
            return measure.seconds
        return MAX_WAIT_SECONDS

    def find_last_end(self, service: str) -> float:
        """Return the time of the last end in a service, 0 for none."""
        ends = self._ends.get(service, {}).values()
        return max((end.at for end in ends), default=0)

    def start_wait(
        self, service: str, usable: Collection[str], max_wait: float, now: float
    ) -> float:
        """Return the seconds for which a request may wait, 0 not to wait.

        Only one request of a service waits at one time: the target that comes
        back first may take no more.

        :param usable: names of the usable targets of the service.
        :param max_wait: longest wait with which the request is on time.
        :param now: monotonic time in seconds.
        """
        ends = self._ends.get(service, {})
        recent = [
            end.at for end in ends.values() if now - end.at <= RECENT_SECONDS
        ]
        is_sound = any(name not in ends for name in usable)
        if service in self._waiting or is_sound or not recent:
            return 0
        expected = min(recent) + self.find_typical(service, now) - now
        allowed = min(max_wait, MAX_WAIT_SECONDS)
        if allowed <= 0 or expected > allowed:
            return 0
        self._waiting.add(service)
        if now - self._gone_since.get(service, -math.inf) > RECENT_SECONDS:
            self._gone_since[service] = min(recent)
        return allowed

    def end_wait(self, service: str) -> None:
        """Let another request of a service wait."""
        self._waiting.discard(service)
