"""Decides by the silence of the targets whether the direct path is lost.

Something between may accept connections, or keep them open, and deliver
nothing. Silence alone doesn't tell this from targets that work for long, that
are overloaded or frozen: it only asks for a check, in which the same probe is
sent to some targets directly and through a peer. The path is lost when the
answers come only through the peer.
"""

from collections import Counter
from collections.abc import Collection

# Seconds without a byte of any target, while requests are unanswered at
# several, after which the path is checked. Targets together are rarely silent
# for as long, and two checks fit into the 3 s in which a VM has to act.
SILENCE_SECONDS = 0.5
# Seconds between two checks, each of which is a probe to its targets.
CHECK_INTERVAL_SECONDS = 1.0
# Longest time that one look adds to the silence. A process that was frozen
# hasn't read yet what has arrived meanwhile.
MAX_STEP_SECONDS = 0.2
# Fewest targets whose silence asks for a check, and fewest that only a peer
# reached which prove that the path is lost. One may be silent to this VM alone.
SILENT_TARGETS = 2


class SilenceMonitor:
    """Tells when a path is to be checked, and what a check proves.

    :ivar silent_seconds: time without a byte, while requests are unanswered at
        several targets.
    :ivar heard: number of times at which bytes have come from any target.

    >>> monitor = SilenceMonitor()
    >>> monitor.begin('10.0.0.1:80')
    >>> monitor.begin('10.0.0.2:80')
    >>> [monitor.is_check_due(8, tick / 10) for tick in range(6)][-2:]
    [False, True]
    >>> heard = monitor.heard
    >>> monitor.is_lost(heard, ('10.0.0.1:80', '10.0.0.3:80'), 3)
    True
    >>> monitor.hear()
    >>> monitor.is_lost(heard, ('10.0.0.1:80', '10.0.0.3:80'), 3)
    False
    """

    def __init__(self) -> None:
        """Build a monitor of a path on which nothing is unanswered."""
        self.silent_seconds = 0.0
        self.heard = 0
        self._waiting: Counter[str] = Counter()
        self._looked_at = 0.0
        self._checked_at = float('-inf')

    @property
    def waiting(self) -> Collection[str]:
        """Addresses of the targets with requests that no byte answers yet."""
        return self._waiting.keys()

    def begin(self, address: str) -> None:
        """Record a request that is written on a direct connection."""
        self._waiting[address] += 1

    def end(self, address: str) -> None:
        """Record that a request is answered, or its connection is closed."""
        self._waiting[address] -= 1
        if not self._waiting[address]:
            self._waiting.pop(address)

    def hear(self) -> None:
        """Record bytes of any target on a direct connection."""
        self.heard += 1
        self.silent_seconds = 0

    def is_check_due(self, target_count: int, now: float) -> bool:
        """Tell at a regular look whether the path is to be checked.

        :param target_count: number of addresses of targets.
        :param now: monotonic time in seconds.
        """
        step = min(now - self._looked_at, MAX_STEP_SECONDS)
        self._looked_at = now
        if len(self._waiting) < min(SILENT_TARGETS, max(1, target_count)):
            self.silent_seconds = 0
            return False
        self.silent_seconds += step
        if self.silent_seconds < SILENCE_SECONDS:
            return False
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return False
        self._checked_at = now
        return True

    def is_lost(
        self, heard: int, reached: Collection[str], probed: int
    ) -> bool:
        """Tell whether a check proves that the path is lost.

        :param heard: value of :attr:`heard` when the check began.
        :param reached: addresses whose probe a peer has passed on, and the
            target has answered.
        :param probed: number of addresses that were probed.
        """
        is_proof = len(set(reached)) >= min(SILENT_TARGETS, max(1, probed))
        return is_proof and self.heard == heard
