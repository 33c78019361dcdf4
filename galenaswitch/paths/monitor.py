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
    >>> monitor.record_detour('10.0.0.2:80', 8, now=1)
    True
    >>> monitor.record_lost(now=1)
    >>> monitor.state
    'lost'
    >>> monitor.record_direct('10.0.0.1:80', 8, opened_at=0), monitor.state
    (False, 'lost')
    >>> monitor.record_direct('10.0.0.1:80', 8, opened_at=2), monitor.state
    (False, 'lost')
    >>> monitor.record_direct('10.0.0.2:80', 8, opened_at=3), monitor.state
    (True, 'sound')
    """

    def __init__(self) -> None:
        """Build a monitor of a path that is sound."""
        self.state = SOUND
        self._detours: deque[tuple[float, str]] = deque()
        self._lost_at = 0.0
        self.regained: set[str] = set()

    @property
    def is_lost(self) -> bool:
        """Whether this VM can't reach the targets directly."""
        return self.state == LOST

    @property
    def suspects(self) -> set[str]:
        """Targets that a peer reached and this VM didn't."""
        return {address for _, address in self._detours}

    def record_detour(
        self, address: str, target_count: int, now: float
    ) -> bool:
        """Record a target that a peer reached and this VM didn't.

        :param target_count: number of addresses of targets.
        :param now: monotonic time in seconds.
        :returns: whether this proves that the path is lost, unless this VM
            reaches another target directly.
        """
        self._detours.append((now, address))
        while self._detours[0][0] < now - EVIDENCE_SECONDS:
            self._detours.popleft()
        return self.is_suspect(target_count)

    def is_suspect(self, target_count: int) -> bool:
        """Tell whether a sound path may be lost, by the detours left."""
        if self.is_lost:
            return False
        return len(self.suspects) >= min(LOST_TARGETS, target_count)

    def record_lost(self, now: float) -> None:
        """Record that no other target is reached directly either."""
        self.state = LOST
        self._lost_at = now
        self.regained.clear()

    def record_direct(
        self, address: str, target_count: int, opened_at: float
    ) -> bool:
        """Record a direct connection that has reached a target.

        It proves nothing about a path that was lost after it was opened.

        :param target_count: number of addresses of targets.
        :param opened_at: monotonic time in seconds when it was opened.
        :returns: whether the path has just become sound again.
        """
        while self._detours and self._detours[0][0] < opened_at:
            self._detours.popleft()
        if not self.is_lost or opened_at < self._lost_at:
            return False
        self.regained.add(address)
        if len(self.regained) < min(REGAINED_CONNECTIONS, target_count):
            return False
        self.state = SOUND
        return True

    def record_failure(self) -> None:
        """Record a direct connection that failed while the path is lost."""
        self.regained.clear()
