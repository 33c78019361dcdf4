"""State of the path from this VM to the targets.

A target that is down looks the same to a VM as a lost path. The proof of a lost
path is a target that a peer reaches at a time when this VM doesn't.
"""

from collections import deque

SOUND = 'sound'
LOST = 'lost'
# Seconds for which a target that only a peer reached counts.
EVIDENCE_SECONDS = 3.0
# Number of targets that only a peer reached which prove that the path is lost.
# One alone may just refuse this VM.
LOST_TARGETS = 2
# Number of direct connections in a row, to different targets if there are some,
# after which the path is sound again.
REGAINED_CONNECTIONS = 2


class PathMonitor:
    """Tells whether this VM reaches the targets directly.

    >>> monitor = PathMonitor()
    >>> monitor.record_detour('10.0.0.1:80', 8, now=0)
    False
    >>> monitor.record_detour('10.0.0.2:80', 8, now=1), monitor.state
    (True, 'lost')
    >>> monitor.record_direct('10.0.0.1:80', 8), monitor.state
    (False, 'lost')
    >>> monitor.record_direct('10.0.0.2:80', 8), monitor.state
    (True, 'sound')
    """

    def __init__(self) -> None:
        """Build a monitor of a path that is sound."""
        self.state = SOUND
        self._detours: deque[tuple[float, str]] = deque()
        self.regained: set[str] = set()

    @property
    def is_lost(self) -> bool:
        """Whether this VM can't reach the targets directly."""
        return self.state == LOST

    def record_detour(
        self, address: str, target_count: int, now: float
    ) -> bool:
        """Record a target that a peer reached and this VM didn't.

        :param target_count: number of addresses of targets.
        :param now: monotonic time in seconds.
        :returns: whether the path has just become lost.
        """
        self._detours.append((now, address))
        while self._detours[0][0] < now - EVIDENCE_SECONDS:
            self._detours.popleft()
        found = {other for _, other in self._detours}
        if self.is_lost or len(found) < min(LOST_TARGETS, target_count):
            return False
        self.state = LOST
        self.regained.clear()
        return True

    def record_direct(self, address: str, target_count: int) -> bool:
        """Record a direct connection to a target.

        :param target_count: number of addresses of targets.
        :returns: whether the path has just become sound again.
        """
        self._detours.clear()
        if not self.is_lost:
            return False
        self.regained.add(address)
        if len(self.regained) < min(REGAINED_CONNECTIONS, target_count):
            return False
        self.state = SOUND
        return True

    def record_failure(self) -> None:
        """Record a direct connection that failed while the path is lost."""
        self.regained.clear()
