"""Placement of requests on model engines.

One VM places the requests of a service for all VMs. Long prompts often share a
prefix, so a prompt goes to the engine that has cached most of it, until the
wait for prefill there costs more than prefilling the prompt elsewhere. A placed
prompt counts as pending prefill at once, so that the requests of many VMs don't
all go to one engine.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from galenaswitch.gateway.calls import PromptPart
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.membership.lists import Target
from galenaswitch.membership.ranking import rank_nodes
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.engine_states import (
    Engine,
    PlacedRequest,
    Placement,
)

# Prefill rate in tokens per second before any first event is observed.
DEFAULT_PREFILL_RATE = 40_000.0
# Time to the first event on an idle engine without prefill: one network trip
# and one decoding step.
BASE_LATENCY_SECONDS = 0.02
# Shortest uncached part of a prompt from which a prefill rate is observed.
MIN_OBSERVED_TOKENS = 400
# Weight of a new sample in the moving averages.
SMOOTHING = 0.15
# Bounds of the estimated prefill rate in tokens per second, against outliers.
MIN_PREFILL_RATE = 2_000.0
MAX_PREFILL_RATE = 400_000.0
# Weight of the time to prefill tokens that another engine has cached, relative
# to the request's own wait. It is above 1 because such a prefill also delays
# other requests and evicts other prompts from the prefix cache.
RECOMPUTE_WEIGHT = 5.0
# Cost in seconds of moving a megabyte of stage results to another zone.
CROSS_ZONE_SECONDS_PER_MB = 0.05
# Cost in seconds of a late first event. A first event counts as late when it is
# expected after its latest time minus the margin.
LATE_PENALTY_SECONDS = 2.0
LATE_MARGIN_SECONDS = 0.03
# Cost in seconds of an engine that isn't assigned to the shared prompt prefix.
# The assigned engine wins when no engine has the prompt cached.
UNASSIGNED_PENALTY_SECONDS = 0.03
# Seconds by which each running request delays a first event on its engine.
SECONDS_PER_RUNNING_REQUEST = 0.001
# Share of an engine's token memory that running requests may take.
MAX_MEMORY_SHARE = 0.9
# Bounds of an engine's slowdown, the ratio of its latency to the estimate.
MAX_SLOWDOWN = 20.0
MIN_SLOWDOWN = 0.5
# Lower bound of a single ratio of an observed latency to its estimate.
MIN_LATENCY_RATIO = 0.2
MEGABYTE = 1_000_000


class PlacementRequest(NamedTuple):
    """A request that needs a placement on an engine.

    :param ident: id of the caller's attempt.
    :param parts: parts of the prompt; the last part is this request's own.
    :param prompt_tokens: length of the prompt.
    :param answer_tokens: expected length of the answer.
    :param zone: zone of the VM that serves the request's caller.
    :param result_bytes: size of the stage results in each zone.
    :param start_in: seconds left until the latest time for the first event.
    :param avoided: names of the engines that the request was sent to before.
    """

    ident: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    zone: str
    result_bytes: dict[str, int]
    start_in: float
    avoided: tuple[str, ...] = ()


class EnginePlacements:
    """Requests placed on the engines of one service."""

    def __init__(self, ejector: Ejector) -> None:
        """Build placements that avoid the engines ejected by ``ejector``."""
        self._ejector = ejector
        self._engines: dict[str, Engine] = {}
        self._incarnations: dict[str, str] = {}
        self._prefill_rate = DEFAULT_PREFILL_RATE

    def place(
        self,
        request: PlacementRequest,
        targets: Sequence[Target],
        limits: EngineLimits,
        now: float,
        without_turn: Collection[str] = (),
    ) -> Placement | None:
        """Place a request on the cheapest engine that has free capacity.

        :param now: monotonic time in seconds.
        :param without_turn: names of engines whose own limit allows no request
            now.
        :returns: the placement, ``None`` when no engine has free capacity.
        """
        candidates = [
            target for target in targets if target.name not in request.avoided
        ]
        usable = set(
            self._ejector.select([target.name for target in candidates], now),
        )
        usable.difference_update(without_turn)
        chain = make_hash_chain(request.parts)
        engines = [
            (target, engine, engine.count_cached_tokens(chain))
            for target, engine in zip(
                candidates, map(self._get_engine, candidates), strict=True
            )
        ]
        max_cached_tokens = max((cached for _, _, cached in engines), default=0)
        assigned = assign_engine(request.parts, candidates)
        total_bytes = sum(request.result_bytes.values())
        best: tuple[float, Placement] | None = None
        for target, engine, cached_tokens in engines:
            if target.name not in usable or not _has_capacity(
                engine, request, limits
            ):
                continue
            cost, placement = self._estimate_cost(
                target,
                engine,
                request,
                cached_tokens,
                max_cached_tokens,
                total_bytes,
                now,
            )
            if target is not assigned:
                cost += UNASSIGNED_PENALTY_SECONDS
            if best is None or cost < best[0]:
                best = (cost, placement)
        if best is None:
            return None
        self._start(best[1], request, chain, limits, now)
        return best[1]

    def record_first_event(self, ident: str, now: float) -> None:
        """Observe the time to the first event of a request."""
        engine = self._find_engine(ident)
        if engine is None:
            return
        placed = engine.running[ident]
        if engine.end_prefill(ident):
            self._observe(engine, placed, now - placed.placed_at)

    def record_end(self, ident: str) -> None:
        """Remove a request that has ended, whether it succeeded or failed."""
        engine = self._find_engine(ident)
        self._incarnations.pop(ident, None)
        if engine:
            engine.end(ident)

    def count_in_progress(self) -> int:
        """Return the number of requests in progress on all engines."""
        return len(self._incarnations)

    def find_load(self, ident: str) -> int:
        """Return the number of requests at an engine as one was placed there.

        That one counts, those that were placed behind it don't.
        """
        engine = self._find_engine(ident)
        return list(engine.running).index(ident) + 1 if engine else 0

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the estimated state of each engine."""
        return {
            name: {
                'running': len(engine.running),
                'used_tokens': engine.used_tokens,
                'slowness': round(engine.slowdown, 2),
            }
            for name, engine in self._engines.items()
        }

    def _estimate_cost(
        self,
        target: Target,
        engine: Engine,
        request: PlacementRequest,
        cached_tokens: int,
        max_cached_tokens: int,
        total_bytes: int,
        now: float,
    ) -> tuple[float, Placement]:
        """Return the cost in seconds and the placement on one engine.

        :param cached_tokens: prompt tokens that this engine has cached.
        :param max_cached_tokens: most prompt tokens that any engine caches.
        :param total_bytes: size of the stage results in all zones.
        """
        new_tokens = max(1, request.prompt_tokens - cached_tokens)
        prefill_seconds = new_tokens * engine.slowdown / self._prefill_rate
        queue_seconds = (
            engine.estimate_pending_tokens(now, self._prefill_rate)
            * engine.slowdown
            / self._prefill_rate
        )
        running_seconds = (
            len(engine.running) * SECONDS_PER_RUNNING_REQUEST * engine.slowdown
        )
        first_event_seconds = (
            BASE_LATENCY_SECONDS * engine.slowdown
            + queue_seconds
            + prefill_seconds
            + running_seconds
        )
        moved_bytes = total_bytes - request.result_bytes.get(target.zone, 0)
        transfer_cost = moved_bytes / MEGABYTE * CROSS_ZONE_SECONDS_PER_MB
        recompute_cost = (
            (max_cached_tokens - cached_tokens)
            / self._prefill_rate
            * RECOMPUTE_WEIGHT
        )
        late = first_event_seconds > request.start_in - LATE_MARGIN_SECONDS
        cost = (
            first_event_seconds
            + recompute_cost
            + transfer_cost
            + late * LATE_PENALTY_SECONDS
        )
        return cost, Placement(target, first_event_seconds, new_tokens)

    def _start(
        self,
        placement: Placement,
        request: PlacementRequest,
        chain: tuple[tuple[int, int], ...],
        limits: EngineLimits,
        now: float,
    ) -> None:
        """Record a placement and remove an earlier one of the same request."""
        self.record_end(request.ident)
        engine = self._get_engine(placement.target)
        memory_tokens = request.prompt_tokens + request.answer_tokens
        engine.start(
            request.ident, PlacedRequest(placement, memory_tokens, now)
        )
        engine.cache_prompt(chain, limits.kv_cache_tokens - engine.used_tokens)
        self._incarnations[request.ident] = placement.target.incarnation

    def _get_engine(self, target: Target) -> Engine:
        return self._engines.setdefault(target.incarnation, Engine())

    def _find_engine(self, ident: str) -> Engine | None:
        """Return the engine on which a request is in progress."""
        engine = self._engines.get(self._incarnations.get(ident, ''))
        return engine if engine and ident in engine.running else None

    def _observe(
        self, engine: Engine, placed: PlacedRequest, seconds: float
    ) -> None:
        """Update slowdown and prefill rate from the time to a first event.

        A request gives a sample of the prefill rate only when it runs alone on
        its engine and has a long uncached prompt.
        """
        tokens = placed.placement.new_tokens
        expected = placed.placement.first_event_seconds
        ratio = seconds / max(expected, BASE_LATENCY_SECONDS)
        slowdown = engine.slowdown * min(
            max(ratio, MIN_LATENCY_RATIO), MAX_SLOWDOWN
        )
        engine.slowdown += SMOOTHING * (slowdown - engine.slowdown)
        engine.slowdown = min(max(engine.slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        alone = len(engine.running) == 1 and tokens >= MIN_OBSERVED_TOKENS
        if alone and seconds > BASE_LATENCY_SECONDS:
            rate = tokens / (seconds - BASE_LATENCY_SECONDS / 2)
            self._prefill_rate += SMOOTHING * (rate - self._prefill_rate)
            self._prefill_rate = min(
                max(self._prefill_rate, MIN_PREFILL_RATE), MAX_PREFILL_RATE
            )


def assign_engine(
    parts: tuple[PromptPart, ...], targets: Sequence[Target]
) -> Target | None:
    """Return the engine assigned to the shared prefix of a prompt.

    The last part of a prompt belongs to one request and is left out. All VMs
    that know the same targets find the same engine by rendezvous hashing,
    without messages between the VMs.
    """
    if not targets:
        return None
    key = '/'.join(part.ident for part in parts[:-1])
    named = {target.name: target for target in targets}
    return named[rank_nodes(key, named)[0]]


def make_hash_chain(
    parts: tuple[PromptPart, ...],
) -> tuple[tuple[int, int], ...]:
    """Return a hash and a length in tokens for each part of a prompt.

    The hash of a part covers all parts before it, so a part counts as cached
    only together with all earlier parts.

    >>> one, two = PromptPart('a', 5), PromptPart('b', 7)
    >>> make_hash_chain((one, two))[0] == make_hash_chain((one,))[0]
    True
    >>> make_hash_chain((two,)) == make_hash_chain((one, two))[1:]
    False
    """
    key = 0
    chain = []
    for part in parts:
        key = xxh3_64_intdigest(part.ident.encode(), seed=key)
        chain.append((key, part.tokens))
    return tuple(chain)


def _has_capacity(
    engine: Engine, request: PlacementRequest, limits: EngineLimits
) -> bool:
    """Tell whether an engine has a slot and memory for a request."""
    if len(engine.running) >= limits.slots:
        return False
    memory_tokens = request.prompt_tokens + request.answer_tokens
    used = engine.used_tokens
    return (
        not used
        or used + memory_tokens <= limits.kv_cache_tokens * MAX_MEMORY_SHARE
    )
