"""Target selection: policies that choose the target of a stage.

:class:`PredictedFinish` uses load reports and prefix caches. The other
policies are simpler, and :class:`RoundRobin` is a baseline for comparison.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from galenaswitch.membership.lists import Target
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex

# Seconds that are added to the estimate of a target in another zone.
OTHER_ZONE_SECONDS = 0.01
# A target counts as equal to the best target when its cost is higher by no more
# than this share of the best cost plus these seconds.
EQUAL_SHARE = 0.1
EQUAL_SECONDS = 0.01
# A target holds the prefix of a prompt when it has cached at least this share
# of the prompt.
MIN_PREFIX_SHARE = 0.5
# Weight of prefill in the cost of a target, because prefill on an engine
# delays all requests behind it.
PREFILL_WEIGHT = 5


class WorkEstimate(NamedTuple):
    """Estimated work of a stage before it runs.

    :param blocks: hash chain of the prompt's blocks, empty for stages that
        don't generate text.
    :param prompt_tokens: tokens to prefill when nothing is cached.
    :param answer_tokens: tokens that the stage is expected to generate.
    :param zone: zone of the entry.
    :param now: monotonic time in seconds.
    :param observed_answer_tokens: length of earlier similar answers in
        tokens, 0 when none was observed.
    :param is_repeat: whether other targets were tried before, which aren't
        among those to choose from.
    """

    blocks: tuple[int, ...]
    prompt_tokens: float
    answer_tokens: float
    zone: str
    now: float
    observed_answer_tokens: float = 0
    is_repeat: bool = False


class Chooser(Protocol):
    """Interface of the policies that choose among usable targets."""

    def choose(self, targets: Sequence[Target], work: WorkEstimate) -> Target:
        """Return one of ``targets``, which is not empty."""

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Return the seconds until the target begins to answer.

        0 means that the policy makes no prediction.
        """

    def holds_prefix(self, target: Target, work: WorkEstimate) -> bool:
        """Tell whether a target has cached most of the prompt."""


class RoundRobin:
    """Baseline policy that uses the targets in turn."""

    def __init__(self) -> None:
        """Build a policy without load data."""
        self._turn = 0

    def choose(self, targets: Sequence[Target], work: WorkEstimate) -> Target:
        """Return the next target in turn."""
        self._turn += 1
        return targets[self._turn % len(targets)]

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Return 0, because this policy makes no prediction."""
        return 0

    def holds_prefix(self, target: Target, work: WorkEstimate) -> bool:
        """Return ``False``, because this policy ignores prefix caches."""
        return False


class LeastOutstanding:
    """Policy that uses the target with the fewest requests.

    The policy counts only the requests that this entry sent.
    """

    def __init__(self, loads: LoadView) -> None:
        """Build a policy that reads the request counts of ``loads``."""
        self._loads = loads

    def choose(self, targets: Sequence[Target], work: WorkEstimate) -> Target:
        """Return a least loaded target, a random one among equals."""
        return min(
            targets,
            key=lambda target: (
                self._loads.get_load(target.name).outstanding,
                random.random(),
            ),
        )

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Return 0, because this policy makes no prediction."""
        return 0

    def holds_prefix(self, target: Target, work: WorkEstimate) -> bool:
        """Return ``False``, because this policy ignores prefix caches."""
        return False


class PredictedFinish:
    """Policy that uses the target with the earliest predicted finish.

    For generating stages the predicted time is the sum of the queue, the
    prefill of the uncached tokens and the decoding, at the speeds that the
    target reported. For other stages it follows from the observed latency.
    The policy draws a target at random among those with nearly equal costs,
    so that entries with the same view don't all use one target. The decoding
    time of the fastest target is part of every cost. It is subtracted before
    costs are compared, because it would hide differences between the targets.
    """

    def __init__(self, loads: LoadView, prefixes: PrefixIndex) -> None:
        """Build a policy that reads a load view and a prefix index."""
        self._loads = loads
        self._prefixes = prefixes

    def choose(self, targets: Sequence[Target], work: WorkEstimate) -> Target:
        """Return a target whose predicted finish is among the earliest."""
        fastest = min(self._estimate_decode(target, work) for target in targets)
        scored = [
            (self._estimate_cost(target, work) - fastest, target)
            for target in targets
        ]
        best = min(seconds for seconds, _ in scored)
        limit = best * (1 + EQUAL_SHARE) + EQUAL_SECONDS
        equal = [target for seconds, target in scored if seconds <= limit]
        return random.choice(equal)

    def holds_prefix(self, target: Target, work: WorkEstimate) -> bool:
        """Tell whether a target has cached most of the prompt."""
        share = self._prefixes.estimate_cached_share(target.name, work.blocks)
        return share >= MIN_PREFIX_SHARE

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Return the seconds until the target begins to answer.

        The time is the sum of the queue, the network delay and the prefill
        of the uncached tokens.
        """
        queue, prefill = self._estimate_start(target, work)
        return queue + prefill

    def _estimate_cost(self, target: Target, work: WorkEstimate) -> float:
        """Return the predicted seconds with prefill counted several times.

        Prefill blocks an engine for all requests behind it, so it also
        costs the time of those requests.
        """
        queue, prefill = self._estimate_start(target, work)
        decode = self._estimate_decode(target, work)
        return queue + prefill * PREFILL_WEIGHT + decode

    def _estimate_decode(self, target: Target, work: WorkEstimate) -> float:
        load = self._loads.get_load(target.name)
        return load.decode_seconds(work.answer_tokens, target.capacity)

    def _estimate_start(
        self, target: Target, work: WorkEstimate
    ) -> tuple[float, float]:
        """Estimate the seconds until the prefill starts and of the prefill.

        The first includes the queue and the network delay to another zone.
        """
        load = self._loads.get_load(target.name)
        distance = 0 if target.zone == work.zone else OTHER_ZONE_SECONDS
        if not work.prompt_tokens:
            rounds = 1 + load.outstanding / target.capacity
            return distance + load.latency * rounds, 0
        share = self._prefixes.estimate_cached_share(target.name, work.blocks)
        queue = load.queue_seconds(target.capacity, work.now)
        prefill = work.prompt_tokens * (1 - share) / load.prefill_rate()
        return distance + queue, prefill
