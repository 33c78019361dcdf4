"""Choosing the target of a stage."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from galenaswitch.membership.lists import Target
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex

OTHER_ZONE_SECONDS = 0.01
NEAR_SHARE = 0.1
NEAR_SECONDS = 0.01
MOST_SHARE = 0.5
PREFILL_WEIGHT = 5


class WorkEstimate(NamedTuple):
    """What is known of a stage before it runs.

    :param blocks: prefix hashes of the prompt, empty for other stages.
    :param prompt_tokens: tokens to prefill when nothing is cached.
    :param answer_tokens: tokens expected to be generated.
    :param zone: zone of the entry.
    :param now: monotonic time in seconds.
    :param observed_answer_tokens: the same where answers alike have shown it, else 0.
    """

    blocks: tuple[int, ...]
    prompt_tokens: float
    answer_tokens: float
    zone: str
    now: float
    observed_answer_tokens: float = 0


class Chooser(Protocol):
    """A way to choose among usable targets."""

    def choose(self, targets: Sequence[Target], work: WorkEstimate) -> Target:
        """Return one of ``targets``, which is not empty."""

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Return the seconds until the work begins to be answered.

        0 means that nothing is known.
        """

    def holds_prefix(self, target: Target, work: WorkEstimate) -> bool:
        """Tell whether a target holds most of the prompt's prefix."""


class RoundRobin:
    """Baseline: each target in turn."""

    def __init__(self) -> None:
        """Start at the first target."""
        self._turn = 0

    def choose(self, targets: Sequence[Target], work: WorkEstimate) -> Target:
        """Return the next target."""
        self._turn += 1
        return targets[self._turn % len(targets)]

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Expect nothing."""
        return 0

    def holds_prefix(self, target: Target, work: WorkEstimate) -> bool:
        """Know of no prefix."""
        return False


class LeastOutstanding:
    """Baseline: the target with the fewest requests of this entry."""

    def __init__(self, loads: LoadView) -> None:
        """Count in ``loads``."""
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
        """Expect nothing."""
        return 0

    def holds_prefix(self, target: Target, work: WorkEstimate) -> bool:
        """Know of no prefix."""
        return False


class PredictedFinish:
    """The target that is expected to finish first.

    Expected time = queue ahead + prefill of the part not cached + decoding,
    at the target's reported speeds, or the observed latency for other stages.
    Among targets that are nearly equal one is drawn at random, so that
    entries with the same view spread; what the fastest takes to decode is
    left out, for it says nothing of how near the others are.
    """

    def __init__(self, loads: LoadView, prefixes: PrefixIndex) -> None:
        """Predict from a load view and a prefix index."""
        self._loads = loads
        self._prefixes = prefixes

    def choose(self, targets: Sequence[Target], work: WorkEstimate) -> Target:
        """Return a target whose expected finish is among the best."""
        fastest = min(self._decode(target, work) for target in targets)
        scored = [
            (self._weigh(target, work) - fastest, target) for target in targets
        ]
        best = min(seconds for seconds, _ in scored)
        limit = best * (1 + NEAR_SHARE) + NEAR_SECONDS
        near = [target for seconds, target in scored if seconds <= limit]
        return random.choice(near)

    def holds_prefix(self, target: Target, work: WorkEstimate) -> bool:
        """Tell whether a target holds most of the prompt's prefix."""
        share = self._prefixes.estimate_cached_share(target.name, work.blocks)
        return share >= MOST_SHARE

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Return queue, prefill of what isn't cached, and distance."""
        queue, prefill = self._split(target, work)
        return queue + prefill

    def _weigh(self, target: Target, work: WorkEstimate) -> float:
        """Return the expected seconds, prefill counted several times.

        Prefill keeps an engine from all who come after, so it costs others
        as much again for each of them.
        """
        queue, prefill = self._split(target, work)
        decode = self._decode(target, work)
        return queue + prefill * PREFILL_WEIGHT + decode

    def _decode(self, target: Target, work: WorkEstimate) -> float:
        load = self._loads.get_load(target.name)
        return load.decode_seconds(work.answer_tokens, target.capacity)

    def _split(self, target: Target, work: WorkEstimate) -> tuple[float, float]:
        """Return seconds of queue and distance, and of prefill."""
        load = self._loads.get_load(target.name)
        distance = 0 if target.zone == work.zone else OTHER_ZONE_SECONDS
        if not work.prompt_tokens:
            rounds = 1 + load.outstanding / target.capacity
            return distance + load.latency * rounds, 0
        share = self._prefixes.estimate_cached_share(target.name, work.blocks)
        queue = load.queue_seconds(target.capacity, work.now)
        prefill = work.prompt_tokens * (1 - share) / load.prompt_rate()
        return distance + queue, prefill
