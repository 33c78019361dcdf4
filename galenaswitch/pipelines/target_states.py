"""What is known of a target that works on calls for work items."""

SMOOTHING = 0.3
# Bounds of the speed of a target in relation to the expected one.
MAX_SLOWNESS = 20.0
MIN_SLOWNESS = 0.5
# Seconds for which a target that failed a call gets no other, doubled at
# each failure up to the longest pause.
FAILURE_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 8.0
# Seconds for which a target counts as shared after others' calls were seen
# there: two machines may decide for it for about as long.
SHARED_SECONDS = 2.0
# Slowness from which others' calls may be the reason.
SHARED_MIN_SLOWNESS = 1.4


class TargetState:
    """One target of a stage.

    :ivar calls: calls in progress.
    :ivar slowness: its time for a call in relation to the expected one.
    :ivar held_bytes: room that results take or will take.
    :ivar paused_until: monotonic time before which it gets no calls.
    """

    def __init__(self) -> None:
        """Start idle."""
        self.calls = 0
        self.slowness = 1.0
        self.held_bytes = 0.0
        self.paused_until = 0.0
        self._pause_seconds = 0.0
        self._shared_until = 0.0

    def share(self, now: float) -> None:
        """Note that another machine sends calls to it."""
        self._shared_until = now + SHARED_SECONDS

    def is_shared(self, now: float) -> bool:
        """Tell whether a call may have to wait there behind others' calls."""
        return now < self._shared_until or self.slowness > SHARED_MIN_SLOWNESS

    def is_idle(self, slots: int, now: float) -> bool:
        """Tell whether it can get a call at a monotonic time."""
        return self.calls < slots and self.paused_until <= now

    def observe(self, ratio: float) -> None:
        """Take the time of a call in relation to the expected one."""
        self._pause_seconds = 0.0
        observed = self.slowness * min(ratio, MAX_SLOWNESS)
        self.slowness += SMOOTHING * (observed - self.slowness)
        self.slowness = min(
            max(self.slowness, MIN_SLOWNESS),
            MAX_SLOWNESS,
        )

    def release(self, size: float) -> None:
        """Note that results of ``size`` bytes are gone."""
        self.held_bytes = max(0, self.held_bytes - size)

    def pause_until(self, resume_at: float) -> None:
        """Keep calls away for a moment; results have to be given up."""
        self.paused_until = max(self.paused_until, resume_at)

    def pause(self, now: float) -> None:
        """Keep calls away after a failure, longer at each one."""
        doubled = max(self._pause_seconds * 2, FAILURE_PAUSE_SECONDS)
        self._pause_seconds = min(doubled, MAX_PAUSE_SECONDS)
        self.paused_until = now + self._pause_seconds
