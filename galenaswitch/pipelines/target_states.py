"""State of a target that runs batches of work items.

The state tracks batches in flight, used result memory, slowdown, the pace of
the target's host and pauses after failures. The batch queue chooses targets by
it.
"""

from typing import NamedTuple

SMOOTHING = 0.3
# Bounds of a target's slowdown.
MAX_SLOWDOWN = 20.0
MIN_SLOWDOWN = 0.5
# Largest ratio that one batch counts for: a target that was silent for a while
# isn't slow.
MAX_RATIO = 2.5
# Pause in seconds of a target after a failed batch. Each further failure
# doubles it up to the maximum.
FAILURE_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 8.0
# A target counts as shared for this many seconds after it last reported batches
# of another VM. For about that long, two VMs may both act as the owner of its
# service.
SHARED_SECONDS = 2.0
# A slowdown above 1 counts for forecasts for this many seconds after the last
# answer. Later it may be over, and only further batches would show it.
SLOWDOWN_SECONDS = 2.0
# Age in seconds at which the pace that a host reported has no weight any more.
# Hosts change their pace many times a second.
PACE_SECONDS = 0.3
# Weight of a pace that was just reported, as a power. With a weight of 1, the
# host that was fastest a moment ago would get every batch.
PACE_WEIGHT = 0.5
# Bounds of the pace that counts.
MIN_PACE = 0.5
MAX_PACE = 4.0
# Above this slowdown, a target may be running batches of another VM.
SHARED_MIN_SLOWDOWN = 1.4


class Pace(NamedTuple):
    """Pace that a target's host reported.

    :param reported: 1 is normal, and a larger value is slower.
    :param age: seconds since the report.
    :param factor: factor of the expected duration of a batch, 1 for none.
    """

    reported: float
    age: float
    factor: float


class TargetState:
    """Load, speed and result memory of one target.

    :ivar calls: number of batches in flight.
    :ivar slowdown: smoothed ratio of a batch's duration to its usual duration.
    :ivar held_bytes: result memory that is used or reserved.
    :ivar answered_at: monotonic time of the last answer to a batch.
    :ivar paused_until: monotonic time before which the target gets no batch.
    """

    def __init__(self) -> None:
        """Build the state of an idle target of usual speed."""
        self.calls = 0
        self.slowdown = 1.0
        self.held_bytes = 0.0
        self.answered_at = 0.0
        self.paused_until = 0.0
        self._pause_seconds = 0.0
        self._shared_until = 0.0
        self._pace = 1.0
        self._paced_at = 0.0

    def record_sharing(self, now: float) -> None:
        """Record that another VM also sends batches to the target."""
        self._shared_until = now + SHARED_SECONDS

    def is_shared(self, now: float) -> bool:
        """Tell whether a batch may queue behind another VM's batches."""
        return now < self._shared_until or self.slowdown > SHARED_MIN_SLOWDOWN

    def record_pace(self, pace: float, now: float) -> None:
        """Record the pace that the target's host reports, 1 is normal."""
        self._pace = min(max(pace, MIN_PACE), MAX_PACE)
        self._paced_at = now

    def find_pace(self, now: float) -> Pace:
        """Return the pace of the target's host as far as it counts."""
        age = now - self._paced_at
        weight = PACE_WEIGHT * max(0.0, 1 - age / PACE_SECONDS)
        return Pace(self._pace, age, self._pace**weight)

    def estimate_slowdown(self, now: float) -> float:
        """Return the slowdown that the next batch is expected to have.

        The smoothed slowdown follows what the pace doesn't explain, since it
        is measured against expected durations that include the pace.
        """
        return self.slowdown * self.find_pace(now).factor

    def is_idle(self, slots: int, now: float) -> bool:
        """Tell whether the target can get a batch at a monotonic time."""
        return self.calls < slots and self.paused_until <= now

    def find_certain_slowdown(self, now: float) -> float:
        """Return the slowdown that the next batch has at least."""
        if now - self.answered_at <= SLOWDOWN_SECONDS:
            return self.slowdown
        return min(1.0, self.slowdown)

    def observe(self, ratio: float) -> None:
        """Update slowdown from one batch and reset the failure pause.

        :param ratio: duration of the batch divided by its expected duration.
        """
        self._pause_seconds = 0.0
        observed = self.slowdown * min(ratio, MAX_RATIO)
        self.slowdown += SMOOTHING * (observed - self.slowdown)
        self.slowdown = min(
            max(self.slowdown, MIN_SLOWDOWN),
            MAX_SLOWDOWN,
        )

    def release(self, size: float) -> None:
        """Free ``size`` bytes of result memory."""
        self.held_bytes = max(0, self.held_bytes - size)

    def pause_until(self, resume_at: float) -> None:
        """Send no batches before a time, so that results can be released."""
        self.paused_until = max(self.paused_until, resume_at)

    def pause(self, now: float) -> None:
        """Pause the target after a failed batch, longer after each failure."""
        doubled = max(self._pause_seconds * 2, FAILURE_PAUSE_SECONDS)
        self._pause_seconds = min(doubled, MAX_PAUSE_SECONDS)
        self.paused_until = now + self._pause_seconds
