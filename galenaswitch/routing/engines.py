"""Which model engine a request goes to, for all machines together.

Pattern answered: many machines send long prompts that share their
beginnings. Each prompt is read where most of it is held, until the wait for
prefill there costs more than reading it again elsewhere; what was sent but
not yet read counts at once, so that machines don't herd on one engine.
"""

from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from galenaswitch.gateway.calls import PromptPart
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.membership.lists import Target
from galenaswitch.membership.ranking import rank_nodes
from galenaswitch.routing.ejection import Ejector

# Prompt tokens that an engine reads in a second, until answers show it.
DEFAULT_PREFILL_RATE = 40_000.0
# Seconds to the first event besides prefill: one way and one step.
BASE_SECONDS = 0.02
# Shortest prompt in tokens from which a reading rate is learned.
MIN_LEARNED_TOKENS = 400
SMOOTHING = 0.15
# Bounds of the reading rate in tokens a second, against outliers.
LEAST_RATE = 2_000.0
MOST_RATE = 400_000.0
# Weight of engine time spent on reading again what another engine holds,
# beside the wait of the request itself: it keeps others waiting, and takes
# memory from what others have there.
READ_AGAIN_WEIGHT = 5.0
# Seconds that moving a megabyte of stage results to another zone counts.
CROSSING_SECONDS_PER_MB = 0.05
# Seconds that a first event behind the objective counts, and the margin.
LATE_SECONDS = 2.0
LATE_MARGIN_SECONDS = 0.03
# Seconds by which the engine that a prompt's shared beginning is assigned
# to goes before others when nobody holds it.
ASSIGNED_SECONDS = 0.03
# Seconds by which one running request slows a new one down.
RUNNING_SECONDS = 0.001
# Part of an engine's memory that running requests may take.
MEMORY_PART = 0.9
# Slowest that an engine is believed to be in relation to the others.
MOST_SLOWNESS = 20.0
LEAST_SLOWNESS = 0.5
# Least ratio of a time to the expected one that is learned from.
LEAST_RATIO = 0.2
MEGABYTE = 1_000_000


class PlacementRequest(NamedTuple):
    """What a request needs of an engine.

    :param ident: id of the caller's attempt.
    :param result_bytes: size of the stage results in each zone.
    :param start_in: seconds left for the first event to be on time.
    :param avoided: names of the engines that have failed it.
    """

    ident: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    zone: str
    result_bytes: dict[str, int]
    start_in: float
    avoided: tuple[str, ...] = ()


class Placement(NamedTuple):
    """The engine for a request.

    :param first_event_seconds: expected time to the first event.
    :param new_tokens: prompt tokens that have to be read.
    """

    target: Target
    first_event_seconds: float
    new_tokens: int


class PlacedRequest:
    """A request placed on an engine."""

    def __init__(self, placement: Placement, size: int, now: float) -> None:
        """Note a placement of ``size`` tokens at a monotonic time."""
        self.placement = placement
        self.size = size
        self.placed_at = now


class Engine:
    """What is known of one engine.

    :ivar used_tokens: memory that running requests take.
    :ivar slowness: its times in relation to the expected ones.
    """

    def __init__(self) -> None:
        """Start idle and with nothing held."""
        self.running: dict[str, PlacedRequest] = {}
        self.used_tokens = 0
        self.slowness = 1.0
        self._unread: dict[str, PlacedRequest] = {}
        self._unread_tokens = 0
        self._held: OrderedDict[int, int] = OrderedDict()
        self._held_tokens = 0

    def start(self, ident: str, one: PlacedRequest) -> None:
        """Note a request that was placed here."""
        self.running[ident] = one
        self.used_tokens += one.size
        self._unread[ident] = one
        self._unread_tokens += one.placement.new_tokens

    def note_read(self, ident: str) -> bool:
        """Note that the prompt of a request has been read.

        :returns: whether it had not been read before.
        """
        one = self._unread.pop(ident, None)
        if one:
            self._unread_tokens -= one.placement.new_tokens
        return one is not None

    def end(self, ident: str) -> None:
        """Note that a request is here no more."""
        self.note_read(ident)
        self.used_tokens -= self.running.pop(ident).size

    def match(self, chain: tuple[tuple[int, int], ...]) -> int:
        """Return the tokens of a prompt's beginning that are held."""
        matched = 0
        for key, tokens in chain:
            if key not in self._held:
                break
            matched += tokens
        return matched

    def hold(self, chain: tuple[tuple[int, int], ...], room: int) -> None:
        """Note a prompt as held; the least recently used parts yield."""
        for key, tokens in reversed(chain):
            self._held_tokens += tokens - self._held.get(key, 0)
            self._held[key] = tokens
            self._held.move_to_end(key)
        while self._held and self._held_tokens > room:
            _, tokens = self._held.popitem(last=False)
            self._held_tokens -= tokens

    def unread_tokens(self, now: float, rate: float) -> float:
        """Return the prompt tokens that wait to be read.

        :param rate: tokens a second that an engine of usual speed reads.
        """
        if not self._unread:
            return 0.0
        oldest = next(iter(self._unread.values()))
        read = (now - oldest.placed_at) * rate / self.slowness
        return max(0.0, self._unread_tokens - read)


class EnginePlacements:
    """Requests placed on the engines of one service."""

    def __init__(self, ejector: Ejector) -> None:
        """Keep away from the engines that ``ejector`` has ejected."""
        self._ejector = ejector
        self._engines: dict[str, Engine] = {}
        self._where: dict[str, str] = {}
        self._rate = DEFAULT_PREFILL_RATE

    def place(
        self,
        wanted: PlacementRequest,
        targets: Sequence[Target],
        limits: EngineLimits,
        now: float,
    ) -> Placement | None:
        """Choose an engine with room, ``None`` when there is none.

        :param now: monotonic time in seconds.
        """
        able = [
            target for target in targets if target.name not in wanted.avoided
        ]
        kept = set(
            self._ejector.select([target.name for target in able], now),
        )
        chain = make_chain(wanted.parts)
        engines = [
            (target, engine, engine.match(chain))
            for target, engine in zip(
                able, map(self._engine, able), strict=True
            )
        ]
        most = max((held for _, _, held in engines), default=0)
        assigned = assign_engine(wanted.parts, able)
        result_bytes = sum(wanted.result_bytes.values())
        best: tuple[float, Placement] | None = None
        for target, engine, held in engines:
            if target.name not in kept or not _has_room(engine, wanted, limits):
                continue
            cost, placement = self._score(
                target,
                engine,
                wanted,
                held,
                most,
                result_bytes,
                now,
            )
            if target is not assigned:
                cost += ASSIGNED_SECONDS
            if best is None or cost < best[0]:
                best = (cost, placement)
        if best is None:
            return None
        self._note(best[1], wanted, chain, limits, now)
        return best[1]

    def record_first_event(self, ident: str, now: float) -> None:
        """Note that the first event of a request has come."""
        engine = self._find(ident)
        if engine is None:
            return
        one = engine.running[ident]
        if engine.note_read(ident):
            self._learn(engine, one, now - one.placed_at)

    def record_end(self, ident: str) -> None:
        """Note that a request has ended, however it ended."""
        engine = self._find(ident)
        self._where.pop(ident, None)
        if engine:
            engine.end(ident)

    def count_in_progress(self) -> int:
        """Return the requests in progress on all engines."""
        return len(self._where)

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the state of each engine."""
        return {
            name: {
                'running': len(engine.running),
                'used_tokens': engine.used_tokens,
                'slowness': round(engine.slowness, 2),
            }
            for name, engine in self._engines.items()
        }

    def _score(
        self,
        target: Target,
        engine: Engine,
        wanted: PlacementRequest,
        held: int,
        most: int,
        result_bytes: int,
        now: float,
    ) -> tuple[float, Placement]:
        new = max(1, wanted.prompt_tokens - held)
        reading = new * engine.slowness / self._rate
        waiting = (
            engine.unread_tokens(now, self._rate) * engine.slowness / self._rate
        )
        step = len(engine.running) * RUNNING_SECONDS * engine.slowness
        first = BASE_SECONDS * engine.slowness + waiting + reading + step
        elsewhere = result_bytes - wanted.result_bytes.get(target.zone, 0)
        crossing = elsewhere / MEGABYTE * CROSSING_SECONDS_PER_MB
        again = (most - held) / self._rate * READ_AGAIN_WEIGHT
        late = first > wanted.start_in - LATE_MARGIN_SECONDS
        cost = first + again + crossing + late * LATE_SECONDS
        return cost, Placement(target, first, new)

    def _note(
        self,
        placement: Placement,
        wanted: PlacementRequest,
        chain: tuple[tuple[int, int], ...],
        limits: EngineLimits,
        now: float,
    ) -> None:
        self.record_end(wanted.ident)
        engine = self._engine(placement.target)
        size = wanted.prompt_tokens + wanted.answer_tokens
        engine.start(wanted.ident, PlacedRequest(placement, size, now))
        engine.hold(chain, limits.memory_tokens - engine.used_tokens)
        self._where[wanted.ident] = placement.target.incarnation

    def _engine(self, target: Target) -> Engine:
        return self._engines.setdefault(target.incarnation, Engine())

    def _find(self, ident: str) -> Engine | None:
        engine = self._engines.get(self._where.get(ident, ''))
        return engine if engine and ident in engine.running else None

    def _learn(
        self, engine: Engine, one: PlacedRequest, seconds: float
    ) -> None:
        """Take the time to a first event into rate and slowness."""
        tokens = one.placement.new_tokens
        expected = one.placement.first_event_seconds
        ratio = seconds / max(expected, BASE_SECONDS)
        slowness = engine.slowness * min(max(ratio, LEAST_RATIO), MOST_SLOWNESS)
        engine.slowness += SMOOTHING * (slowness - engine.slowness)
        engine.slowness = min(
            max(engine.slowness, LEAST_SLOWNESS),
            MOST_SLOWNESS,
        )
        alone = len(engine.running) == 1 and tokens >= MIN_LEARNED_TOKENS
        if alone and seconds > BASE_SECONDS:
            rate = tokens / (seconds - BASE_SECONDS / 2)
            self._rate += SMOOTHING * (rate - self._rate)
            self._rate = min(max(self._rate, LEAST_RATE), MOST_RATE)


def assign_engine(
    parts: tuple[PromptPart, ...],
    targets: Sequence[Target],
) -> Target | None:
    """Return the engine for prompts with the same shared beginning.

    The last part is a request's own. All machines assign alike without a
    word between them, as long as they know the same targets.
    """
    if not targets:
        return None
    key = '/'.join(part.ident for part in parts[:-1])
    named = {target.name: target for target in targets}
    return named[rank_nodes(key, named)[0]]


def make_chain(parts: tuple[PromptPart, ...]) -> tuple[tuple[int, int], ...]:
    """Return a key for each beginning of a prompt, with its last tokens.

    A part counts as held only together with all parts before it.

    >>> one, two = PromptPart('a', 5), PromptPart('b', 7)
    >>> make_chain((one, two))[0] == make_chain((one,))[0]
    True
    >>> make_chain((two,)) == make_chain((one, two))[1:]
    False
    """
    key = 0
    chain = []
    for part in parts:
        key = xxh3_64_intdigest(part.ident.encode(), seed=key)
        chain.append((key, part.tokens))
    return tuple(chain)


def _has_room(
    engine: Engine,
    wanted: PlacementRequest,
    limits: EngineLimits,
) -> bool:
    if len(engine.running) >= limits.slots:
        return False
    size = wanted.prompt_tokens + wanted.answer_tokens
    used = engine.used_tokens
    return not used or used + size <= limits.memory_tokens * MEMORY_PART
