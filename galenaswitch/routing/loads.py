"""Load of each target: what it last reported, corrected by own sends.

Reports lag. What this entry has sent since a report is added to it, and
what has ended since is taken off, so that an entry doesn't run to a target
only because its report is old.
"""

from collections import deque
from collections.abc import Collection
from time import monotonic
from typing import NamedTuple

from galenaswitch.membership.lists import Target
from galenaswitch.membership.messages import LoadReport

DEFAULT_RATE = 1000
REPORT_SECONDS = 3
FRESH_SECONDS = 1.2
SMOOTHING = 0.2
AVERAGE_SECONDS = 5
OVERCOMMIT_FACTOR = 2


class SentWork:
    """Work sent to a target."""

    def __init__(self, at: float, prompt: float, answer: float) -> None:
        """Note work sent at a monotonic time in seconds.

        :param prompt: tokens expected to be prefilled.
        :param answer: tokens expected to be generated.
        """
        self.at = at
        self.prompt = prompt
        self.answer = answer
        self.finished_at: float | None = None

    def weigh(self, reported_at: float) -> int:
        """Return how much this work counts beside a load report.

        Work sent since the report counts until it has finished; work that
        the report shows counts off once it has.

        >>> sent = SentWork(at=10, prompt=1, answer=1)
        >>> sent.weigh(9), sent.weigh(11)
        (1, 0)
        >>> sent.finished_at = 12
        >>> sent.weigh(9), sent.weigh(11)
        (0, -1)
        """
        if self.at > reported_at:
            return 0 if self.finished_at else 1
        if self.finished_at and self.finished_at > reported_at:
            return -1
        return 0


class Average(NamedTuple):
    """Moving average of a latency.

    :param seconds: the average.
    :param at: monotonic time of the last sample.
    """

    seconds: float
    at: float


class TargetLoad:
    """Load of one target as this entry sees it."""

    def __init__(self) -> None:
        """Start idle and without a report."""
        self.outstanding = 0
        self.report = LoadReport('', '')
        self.reported_at = -float(REPORT_SECONDS)
        self.latency = 0.0
        self._answer = 0.0
        self._sends: deque[SentWork] = deque()

    def start(self, now: float, prompt: float, answer: float) -> SentWork:
        """Note work sent at a monotonic time in seconds."""
        self.outstanding += 1
        self._answer += SMOOTHING * (answer - self._answer)
        sent = SentWork(now, prompt, answer)
        self._sends.append(sent)
        return sent

    def finish(self, sent: SentWork, now: float) -> None:
        """Note that work sent has ended, however it ended."""
        self.outstanding -= 1
        sent.finished_at = now

    def observe(self, seconds: float) -> None:
        """Take the latency of one successful call into the average."""
        if self.latency:
            seconds = self.latency + SMOOTHING * (seconds - self.latency)
        self.latency = seconds

    def accept(self, report: LoadReport, now: float) -> None:
        """Keep a report that arrived at a monotonic time."""
        self.report = report
        self.reported_at = now
        self._sends = deque(
            sent
            for sent in self._sends
            if (sent.finished_at or now) > now - REPORT_SECONDS
        )

    def is_fresh(self, now: float) -> bool:
        """Tell whether the target reported so lately that it must live."""
        return now - self.reported_at < FRESH_SECONDS

    def busy(self, now: float) -> int:
        """Return the requests estimated to be at the target."""
        if now - self.reported_at >= REPORT_SECONDS:
            return self.outstanding
        own = sum(sent.weigh(self.reported_at) for sent in self._sends)
        reported = self.report.running + self.report.waiting
        return max(reported + own, self.outstanding)

    def has_capacity(self, capacity: int, now: float) -> bool:
        """Tell whether a target may get one more request.

        It may hold a second batch waiting, which it begins while its next
        report is on the way.

        :param capacity: requests that the target works on at one time.
        """
        return self.busy(now) < capacity * OVERCOMMIT_FACTOR

    def queue_seconds(self, capacity: int, now: float) -> float:
        """Return the time that work already there takes up.

        Prompts are prefilled one after another; answers wait only when the
        batch is full.
        """
        waiting = max(0, self.busy(now) - capacity + 1)
        rate = self.report.tokens_per_second or DEFAULT_RATE
        return self._prefill_seconds(now) + waiting * self._answer / rate

    def decode_seconds(self, tokens: float, capacity: int) -> float:
        """Return the time to generate tokens in a full batch.

        It is 0 while the target has reported no speed.

        :param capacity: requests of a full batch, which share the speed.
        """
        rate = self.report.tokens_per_second
        return tokens * capacity / rate if rate else 0

    def prompt_rate(self) -> float:
        """Return the prompt tokens worked off in a second."""
        return self.report.prompt_tokens_per_second or DEFAULT_RATE

    def _prefill_seconds(self, now: float) -> float:
        own = sum(
            sent.prompt * sent.weigh(self.reported_at) for sent in self._sends
        )
        pending = max(0, self.report.pending_prompt_tokens + own)
        return pending / self.prompt_rate()


class LoadView:
    """Loads of all targets."""

    def __init__(self) -> None:
        """Start without targets."""
        self._loads: dict[str, TargetLoad] = {}
        self._pools: dict[str, Average] = {}
        self._members_of: dict[str, list[str]] = {}

    def get_load(self, target: str) -> TargetLoad:
        """Return the load of a target, idle when it is new."""
        return self._loads.setdefault(target, TargetLoad())

    def observe_pool_latency(self, pool: str, seconds: float) -> None:
        """Take a latency into the average of a pool."""
        known = self.typical_latency(pool) or seconds
        average = known + SMOOTHING * (seconds - known)
        self._pools[pool] = Average(average, monotonic())

    def typical_latency(self, pool: str) -> float:
        """Return the average latency of a pool, 0 when unknown.

        An average that nothing has confirmed for some seconds is not used,
        so that a pool that was slow is tried again.
        """
        known = self._pools.get(pool)
        if known is None or monotonic() - known.at > AVERAGE_SECONDS:
            return 0
        return known.seconds

    def other_latencies(self, target: Target) -> list[float]:
        """Return the known latencies of the pool's other targets."""
        names = self._members_of.get(target.pool, ())
        return [
            self._loads[name].latency
            for name in names
            if name != target.name
            and name in self._loads
            and self._loads[name].latency
        ]

    def keep_only(self, targets: Collection[Target]) -> None:
        """Forget targets that no list shows any more."""
        self._members_of = {}
        for target in targets:
            self._members_of.setdefault(target.pool, []).append(target.name)
        listed = {target.name for target in targets}
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in listed or load.outstanding
        }

    def dump(self) -> dict[str, int]:
        """Return the requests in progress at each target."""
        return {name: load.outstanding for name, load in self._loads.items()}
