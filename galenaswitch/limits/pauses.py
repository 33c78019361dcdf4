"""Pauses that targets ask for when they refuse a request.

A pause holds for one incarnation of a target and for this VM only. After its
end, a single request probes the target. The others follow when the target has
answered it, so that they don't all reach a target that refuses again.
"""

# Longest pause in seconds. A target may ask for any time.
MAX_PAUSE_SECONDS = 2_592_000.0
# Seconds after which another request probes a target that hasn't answered.
PROBE_SECONDS = 0.5
# Seconds after its end for which a pause still limits a target to one probe.
MEMORY_SECONDS = 60.0


class Pauses:
    """Pauses of targets in force, and the probes after their end.

    >>> pauses = Pauses()
    >>> pauses.pause('t/1', 2.0, now=0)
    True
    >>> pauses.find_wait('t/1', now=0.5), pauses.find_wait('t/1', now=2)
    (1.5, 0)
    >>> pauses.start('t/1', now=2), pauses.find_wait('t/1', now=2)
    (True, 0.5)
    >>> pauses.end_probe('t/1', now=2.1)
    >>> pauses.find_wait('t/1', now=2.1)
    0
    """

    def __init__(self) -> None:
        """Build pauses of which none is in force."""
        self._ends: dict[str, float] = {}
        self._probe_ends: dict[str, float] = {}

    def pause(self, incarnation: str, seconds: float, now: float) -> bool:
        """Pause a target; a longer pause in force stays.

        :param seconds: length of the pause from ``now`` on.
        :param now: monotonic time in seconds.
        :returns: whether the target was not paused yet.
        """
        known_end = self._ends.get(incarnation, now)
        end = now + min(seconds, MAX_PAUSE_SECONDS)
        self._ends[incarnation] = max(known_end, end)
        self._probe_ends.pop(incarnation, None)
        return known_end <= now

    def find_wait(
        self, incarnation: str, now: float, *, is_probe: bool = False
    ) -> float:
        """Return the seconds until a target takes a request, 0 for now.

        :param is_probe: whether the request is the probe, for which the others
            wait.
        """
        end = self._ends.get(incarnation, now)
        if not is_probe:
            end = max(end, self._probe_ends.get(incarnation, now))
        return max(0, end - now)

    def start(self, incarnation: str, now: float) -> bool:
        """Record a request that is sent now, while no pause is in force.

        :returns: whether the request is a probe.
        """
        if incarnation not in self._ends:
            return False
        self._probe_ends[incarnation] = now + PROBE_SECONDS
        return True

    def end_probe(self, incarnation: str, now: float) -> None:
        """Record that a target has answered a probe without a new pause."""
        if self._ends.get(incarnation, now) <= now:
            self._ends.pop(incarnation, None)
            self._probe_ends.pop(incarnation, None)

    def forget_ended(self, now: float) -> None:
        """Forget pauses that ended a while ago, also of targets long gone."""
        ended = [
            incarnation
            for incarnation, end in self._ends.items()
            if end + MEMORY_SECONDS < now
        ]
        for incarnation in ended:
            self._ends.pop(incarnation)
            self._probe_ends.pop(incarnation, None)
