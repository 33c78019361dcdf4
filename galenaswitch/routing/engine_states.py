"""Estimated state of a model engine: its requests and its prefix cache."""

from collections import OrderedDict
from typing import NamedTuple

from galenaswitch.membership.lists import Target


class Placement(NamedTuple):
    """The engine that is chosen for a request.

    :param target: the engine.
    :param first_event_seconds: estimated time to the first event.
    :param new_tokens: prompt tokens that the engine has to prefill.
    """

    target: Target
    first_event_seconds: float
    new_tokens: int


class PlacedRequest:
    """A request in progress on an engine.

    :ivar placement: the chosen engine and its estimates.
    :ivar memory_tokens: engine memory in tokens for prompt and answer.
    :ivar placed_at: monotonic time of the placement in seconds.
    """

    def __init__(
        self, placement: Placement, memory_tokens: int, now: float
    ) -> None:
        """Build the record of a request placed at a monotonic time."""
        self.placement = placement
        self.memory_tokens = memory_tokens
        self.placed_at = now


class Engine:
    """Estimated state of one engine.

    :ivar running: requests in progress by the id of the caller's attempt.
    :ivar used_tokens: memory in tokens that the requests in progress take.
    :ivar slowdown: moving average of the engine's latencies relative to their
        estimates, 1 without samples.
    """

    def __init__(self) -> None:
        """Build the state of an idle engine with an empty prefix cache."""
        self.running: dict[str, PlacedRequest] = {}
        self.used_tokens = 0
        self.slowdown = 1.0
        self._pending: dict[str, PlacedRequest] = {}
        self._pending_tokens = 0
        self._cached: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0

    def start(self, ident: str, placed: PlacedRequest) -> None:
        """Add a request that was placed on this engine."""
        self.running[ident] = placed
        self.used_tokens += placed.memory_tokens
        self._pending[ident] = placed
        self._pending_tokens += placed.placement.new_tokens

    def end_prefill(self, ident: str) -> bool:
        """Remove a prompt from the pending prefills; tell if it was pending."""
        placed = self._pending.pop(ident, None)
        if placed:
            self._pending_tokens -= placed.placement.new_tokens
        return placed is not None

    def end(self, ident: str) -> None:
        """Remove a request that has ended on this engine."""
        self.end_prefill(ident)
        self.used_tokens -= self.running.pop(ident).memory_tokens

    def count_cached_tokens(self, chain: tuple[tuple[int, int], ...]) -> int:
        """Return the tokens in the longest cached prefix of a hash chain."""
        matched = 0
        for key, tokens in chain:
            if key not in self._cached:
                break
            matched += tokens
        return matched

    def cache_prompt(
        self, chain: tuple[tuple[int, int], ...], free_tokens: int
    ) -> None:
        """Add a hash chain and evict the least recently used prompt parts.

        :param free_tokens: memory in tokens that the cache may take.
        """
        for key, tokens in reversed(chain):
            self._cached_tokens += tokens - self._cached.get(key, 0)
            self._cached[key] = tokens
            self._cached.move_to_end(key)
        while self._cached and self._cached_tokens > free_tokens:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens

    def estimate_pending_tokens(self, now: float, rate: float) -> float:
        """Return the prompt tokens that still wait for prefill.

        :param now: monotonic time in seconds.
        :param rate: prefill rate in tokens per second without slowdown.
        """
        if not self._pending:
            return 0.0
        oldest = next(iter(self._pending.values()))
        prefilled = (now - oldest.placed_at) * rate / self.slowdown
        return max(0.0, self._pending_tokens - prefilled)
