"""Rules for extra sends, without a network and without a clock.

An extra send is a second send beside a response that is later than most. Each
VM makes at most a ratio of its own first sends, so the sum over all VMs keeps
the ratio without messages between them.
"""

from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from galenaswitch.hedging.latencies import Quantile, RecentLatencies
from galenaswitch.limits.retries import RetryBudget

MAX_RATIO = 0.2
# Seconds in which first sends and extra sends are counted. One VM of many gets
# less than a request a second for a service, of which a small share is one
# extra send only over a longer time.
WINDOW_SECONDS = 60.0
# A response is late beyond the quantile that leaves as large a share of the
# responses as the limit allows extra sends for, but at most this share.
MAX_LATE_SHARE = 0.1
# Share of the retry budget that extra sends leave to true retries.
RESERVED_SHARE = 0.5
# Seconds for which a service counts as overloaded after one of its targets has
# turned a request away.
OVERLOAD_SECONDS = 2.0
# Smallest share of idle targets of a service that isn't overloaded.
MIN_IDLE_SHARE = 0.5


class LateRequest(NamedTuple):
    """A request whose response is late.

    :param is_repeatable: whether the request may run twice.
    :param has_attempts_left: whether one more attempt is allowed.
    :param has_retries_left: whether the retry budget allows an extra send.
    :param left: seconds until its objective.
    """

    service: str
    is_repeatable: bool
    has_attempts_left: bool
    has_retries_left: bool
    left: float


class TargetState(NamedTuple):
    """What is known of a target that could get an extra send.

    :param is_usable: whether the target takes a request without a wait for a
        turn, a seat or the end of a pause, and wasn't tried yet.
    :param is_idle: whether the target has no request as far as is known.
    :param latency: average of its latencies in seconds, 0 if unknown.
    """

    name: str
    is_usable: bool
    is_idle: bool
    latency: float


class ServiceRecord:
    """First sends, extra sends and latencies of one service on one VM."""

    def __init__(self, ratio: float) -> None:
        """Build the record of a service without requests."""
        self.limit = RetryBudget(ratio, 0, WINDOW_SECONDS)
        self.latencies = RecentLatencies()
        self.refused_at = -OVERLOAD_SECONDS


class ExtraWorkPolicy:
    """Decides when a late request gets an extra send, and to which target."""

    def __init__(self, ratio: float) -> None:
        """Build a policy without recorded requests.

        :param ratio: extra sends that are allowed for each first send.
        """
        self._late_share = min(ratio, MAX_LATE_SHARE)
        self._services: defaultdict[str, ServiceRecord] = defaultdict(
            lambda: ServiceRecord(ratio)
        )

    def record_first(self, service: str, now: float) -> None:
        """Record the first send of a request at a monotonic time."""
        self._services[service].limit.record_request(now)

    def record_latency(self, service: str, seconds: float, now: float) -> None:
        """Record the latency of a response, or that of an attempt given up.

        The latter is at least the quantile that made it late, so the
        quantile stays right though the true latency isn't known.
        """
        self._services[service].latencies.observe(seconds, now)

    def record_refusal(self, service: str, now: float) -> None:
        """Record that a target had no room for a request."""
        self._services[service].refused_at = now

    def find_delay(self, service: str, now: float) -> Quantile | None:
        """Return the time after which a response is late, if it is known."""
        latencies = self._services[service].latencies
        return latencies.find_quantile(1 - self._late_share, now)

    def find_obstacle(
        self, late: LateRequest, targets: Sequence[TargetState], now: float
    ) -> str:
        """Return the first rule against an extra send, empty for none."""
        record = self._services[late.service]
        usual = record.latencies.find_quantile(0.5, now)
        obstacles = {
            'not repeatable': not late.is_repeatable,
            'no attempts left': not late.has_attempts_left,
            'limit reached': not record.limit.can_acquire(now),
            'no retries left': not late.has_retries_left,
            'latency unknown': usual is None,
            'too late': usual is not None and late.left < usual.seconds,
            'overloaded': self._is_overloaded(record, targets, now),
            'no idle target': not self.select(late.service, targets, now),
        }
        return next((rule for rule, holds in obstacles.items() if holds), '')

    def select(
        self, service: str, targets: Sequence[TargetState], now: float
    ) -> tuple[str, ...]:
        """Return the names of the targets that may get an extra send.

        A target whose own latency is late wouldn't answer earlier.
        """
        delay = self.find_delay(service, now)
        return tuple(
            target.name
            for target in targets
            if target.is_usable
            and target.is_idle
            and delay is not None
            and target.latency <= delay.seconds
        )

    def acquire(self, service: str, now: float) -> bool:
        """Take one extra send from the limit, if any is left."""
        return self._services[service].limit.acquire(now)

    def _is_overloaded(
        self,
        record: ServiceRecord,
        targets: Sequence[TargetState],
        now: float,
    ) -> bool:
        """Tell whether an extra send might displace a first send."""
        idle = sum(target.is_idle for target in targets)
        return (
            now - record.refused_at < OVERLOAD_SECONDS
            or idle < len(targets) * MIN_IDLE_SHARE
        )
