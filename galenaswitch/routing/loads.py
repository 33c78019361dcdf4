"""Load estimate of each target: its last report, corrected by own requests.

Load reports lag behind. An entry adds the requests that it has sent since a
report and subtracts those that have ended since, so that an old report
doesn't draw more requests to a target.
"""

from collections import deque
from collections.abc import Collection
from time import monotonic
from typing import NamedTuple

from galenaswitch.membership.lists import Target
from galenaswitch.membership.messages import LoadReport

# Tokens per second assumed for a target that has reported no speed.
DEFAULT_TOKENS_PER_SECOND = 1000
# Age in seconds from which a load report is ignored.
MAX_REPORT_AGE_SECONDS = 3
# Age in seconds of a load report up to which its target counts as alive.
FRESH_REPORT_SECONDS = 1.2
# Weight of a new sample in the moving averages.
SMOOTHING = 0.2
# Age in seconds from which the average latency of a pool is ignored.
MAX_AVERAGE_AGE_SECONDS = 5
# A target counts as silent after this multiple of the pool's average latency,
# but not before the minimum in seconds.
TIMEOUT_FACTOR = 4.0
MIN_TIMEOUT_SECONDS = 0.15
# Limit of the requests at a target, as a multiple of the target's capacity.
OVERCOMMIT_FACTOR = 2


class SentWork:
    """One request that this entry sent to a target.

    :ivar at: monotonic time of sending in seconds.
    :ivar prompt_tokens: tokens that the target is expected to prefill.
    :ivar answer_tokens: tokens that the target is expected to generate.
    :ivar finished_at: monotonic time of the end, ``None`` before it.
    """

    def __init__(
        self, at: float, prompt_tokens: float, answer_tokens: float
    ) -> None:
        """Build the record of a request sent at a monotonic time."""
        self.at = at
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.finished_at: float | None = None

    def find_correction(self, reported_at: float) -> int:
        """Return what this request adds to a load report.

        A request sent after the report adds 1 until it has finished. A
        request that the report includes adds -1 after it has finished.

        :param reported_at: monotonic time at which the report arrived.

        >>> sent = SentWork(at=10, prompt_tokens=1, answer_tokens=1)
        >>> sent.find_correction(9), sent.find_correction(11)
        (1, 0)
        >>> sent.finished_at = 12
        >>> sent.find_correction(9), sent.find_correction(11)
        (0, -1)
        """
        if self.at > reported_at:
            return 0 if self.finished_at else 1
        if self.finished_at and self.finished_at > reported_at:
            return -1
        return 0


class LatencyAverage(NamedTuple):
    """Moving average of a latency.

    :param seconds: the average.
    :param at: monotonic time of the last sample.
    """

    seconds: float
    at: float


class TargetLoad:
    """Load of one target as this entry estimates it.

    :ivar outstanding: requests of this entry in progress at the target.
    :ivar report: last load report of the target.
    :ivar reported_at: monotonic time at which the report arrived.
    :ivar latency: moving average in seconds, 0 before the first sample.
    :ivar last_latency: last sample of it.
    :ivar observed_at: monotonic time of the last sample.
    """

    def __init__(self) -> None:
        """Build the load of an idle target that has sent no report."""
        self.outstanding = 0
        self.report = LoadReport('', '')
        self.reported_at = -float(MAX_REPORT_AGE_SECONDS)
        self.latency = 0.0
        self.last_latency = 0.0
        self.observed_at = 0.0
        self._average_answer_tokens = 0.0
        self._sent: deque[SentWork] = deque()

    def start(
        self, now: float, prompt_tokens: float, answer_tokens: float
    ) -> SentWork:
        """Record a request sent at a monotonic time in seconds."""
        self.outstanding += 1
        self._average_answer_tokens += SMOOTHING * (
            answer_tokens - self._average_answer_tokens
        )
        sent = SentWork(now, prompt_tokens, answer_tokens)
        self._sent.append(sent)
        return sent

    def finish(self, sent: SentWork, now: float) -> None:
        """Record the end of a request, whether it succeeded or failed."""
        self.outstanding -= 1
        sent.finished_at = now

    def observe(self, seconds: float) -> None:
        """Add the latency of one successful call to the moving average."""
        self.last_latency = seconds
        self.observed_at = monotonic()
        if self.latency:
            seconds = self.latency + SMOOTHING * (seconds - self.latency)
        self.latency = seconds

    def accept(self, report: LoadReport, now: float) -> None:
        """Replace the load report by one that arrived at a monotonic time."""
        self.report = report
        self.reported_at = now
        self._sent = deque(
            sent
            for sent in self._sent
            if (sent.finished_at or now) > now - MAX_REPORT_AGE_SECONDS
        )

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last report shows that the target is alive."""
        return now - self.reported_at < FRESH_REPORT_SECONDS

    def estimate_in_progress(self, now: float) -> int:
        """Return the estimated number of requests at the target."""
        if now - self.reported_at >= MAX_REPORT_AGE_SECONDS:
            return self.outstanding
        own = sum(sent.find_correction(self.reported_at) for sent in self._sent)
        reported = self.report.running + self.report.waiting
        return max(reported + own, self.outstanding)

    def has_capacity(self, capacity: int, now: float) -> bool:
        """Tell whether a target may get one more request.

        A target may have a second full batch in its queue, so that it can
        start on that batch before its next report arrives.

        :param capacity: requests that the target works on at one time.
        """
        return self.estimate_in_progress(now) < capacity * OVERCOMMIT_FACTOR

    def queue_seconds(self, capacity: int, now: float) -> float:
        """Return the estimated time that a new request waits in the queue.

        An engine prefills prompts one after another. Generation waits only
        when the batch is full.
        """
        waiting = max(0, self.estimate_in_progress(now) - capacity + 1)
        rate = self.report.tokens_per_second or DEFAULT_TOKENS_PER_SECOND
        return (
            self._prefill_seconds(now)
            + waiting * self._average_answer_tokens / rate
        )

    def decode_seconds(self, tokens: float, capacity: int) -> float:
        """Return the time to generate tokens in a full batch.

        Returns 0 for a target that has reported no speed.

        :param capacity: requests of a full batch, which share the speed.
        """
        rate = self.report.tokens_per_second
        return tokens * capacity / rate if rate else 0

    def prefill_rate(self) -> float:
        """Return the prompt tokens that the target prefills in a second."""
        return self.report.prompt_tokens_per_second or DEFAULT_TOKENS_PER_SECOND

    def _prefill_seconds(self, now: float) -> float:
        own = sum(
            sent.prompt_tokens * sent.find_correction(self.reported_at)
            for sent in self._sent
        )
        pending = max(0, self.report.pending_prompt_tokens + own)
        return pending / self.prefill_rate()


class LoadView:
    """Load estimates of all targets and average latencies of the pools."""

    def __init__(self) -> None:
        """Build a view without targets."""
        self._loads: dict[str, TargetLoad] = {}
        self._pool_latencies: dict[str, LatencyAverage] = {}
        self._pool_targets: dict[str, list[str]] = {}

    def get_load(self, target: str) -> TargetLoad:
        """Return the load of a target; a new target starts as idle."""
        return self._loads.setdefault(target, TargetLoad())

    def observe_pool_latency(self, pool: str, seconds: float) -> None:
        """Add a latency to the moving average of a pool."""
        known = self.typical_latency(pool) or seconds
        average = known + SMOOTHING * (seconds - known)
        self._pool_latencies[pool] = LatencyAverage(average, monotonic())

    def typical_latency(self, pool: str) -> float:
        """Return the average latency of a pool in seconds, 0 when unknown.

        An average without a recent sample counts as unknown, so that a pool
        that was slow gets requests again.
        """
        known = self._pool_latencies.get(pool)
        if known is None or monotonic() - known.at > MAX_AVERAGE_AGE_SECONDS:
            return 0
        return known.seconds

    def find_max_wait(self, pool: str, left: float) -> float:
        """Return the longest wait with which a request is still on time.

        :param left: seconds until the request is late.
        """
        return max(0, left - self.typical_latency(pool))

    def find_answer_timeout(self, pool: str, left: float) -> float:
        """Return the seconds after which a target counts as silent.

        While the pool's latency is unknown, that is half of the time left.

        :param left: seconds until the deadline of the request.
        """
        typical_seconds = self.typical_latency(pool)
        seconds = typical_seconds * TIMEOUT_FACTOR
        return max(MIN_TIMEOUT_SECONDS, seconds or left / 2)

    def other_latencies(self, target: Target) -> list[float]:
        """Return the known latencies of the other targets of the pool."""
        names = self._pool_targets.get(target.pool, ())
        return [
            self._loads[name].latency
            for name in names
            if name != target.name
            and name in self._loads
            and self._loads[name].latency
        ]

    def keep_only(self, targets: Collection[Target]) -> None:
        """Remove the loads of all targets that aren't in ``targets``.

        The load of a target with requests in progress stays.
        """
        self._pool_targets = {}
        for target in targets:
            self._pool_targets.setdefault(target.pool, []).append(target.name)
        listed = {target.name for target in targets}
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in listed or load.outstanding
        }

    def dump(self) -> dict[str, int]:
        """Return the requests of this entry in progress at each target."""
        return {name: load.outstanding for name, load in self._loads.items()}
