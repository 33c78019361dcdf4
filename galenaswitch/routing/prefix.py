"""Index of the prompt prefixes in the caches of the engines.

A prompt is cut into blocks. The hash of a block covers the workspace and all
blocks before it, so equal hashes mean equal prefixes of one workspace. The
index is approximate. The blocks of this entry's requests are added when they
are sent, and cache events of the engines correct the index. A gap in the events
of an engine makes all its blocks uncertain.
"""

from collections import OrderedDict
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from galenaswitch.membership.blocks import select_lookup_hashes, truncate_hashes
from galenaswitch.membership.messages import CacheChange

BLOCK_CHARACTERS = 256
MAX_BLOCKS_PER_TARGET = 65_536
MAX_BLOCKS_PER_PROMPT = 4096
# Factor on the cached share of a target that has missed cache events.
UNCERTAIN_DISCOUNT = 0.5
# Mask that keeps a hash within a signed 64-bit integer.
SIGNED_HASH_MASK = 0x7FFFFFFFFFFFFFFF


def hash_blocks(workspace: str, prompt: str) -> tuple[int, ...]:
    """Return the hash chain of a prompt's full blocks.

    >>> first = hash_blocks('w', 'a' * 512)
    >>> second = hash_blocks('w', 'a' * 256 + 'b' * 256)
    >>> first[0] == second[0], first[1] == second[1]
    (True, False)
    >>> hash_blocks('v', 'a' * 256) == hash_blocks('w', 'a' * 256)
    False
    """
    chained = xxh3_64_intdigest(workspace.encode())
    hashes = []
    full_blocks = len(prompt) // BLOCK_CHARACTERS
    for number in range(min(full_blocks, MAX_BLOCKS_PER_PROMPT)):
        start = number * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        chained = xxh3_64_intdigest(block, seed=chained) & SIGNED_HASH_MASK
        hashes.append(chained)
    return tuple(hashes)


class PrefixIndex:
    """Prompt blocks that each target is expected to have cached.

    :ivar event_gaps: number of gaps in the cache events of all targets.
    """

    def __init__(self) -> None:
        """Build an index without blocks."""
        self._blocks: dict[str, OrderedDict[int, None]] = {}
        self._last_sequence: dict[str, int] = {}
        self._uncertain: set[str] = set()
        self.event_gaps = 0

    def add(self, target: str, blocks: Iterable[int]) -> None:
        """Add blocks that a target has cached or is about to cache.

        The least recently added blocks of a full target are removed.
        """
        cached = self._blocks.setdefault(target, OrderedDict())
        for block in truncate_hashes(blocks):
            cached[block] = None
            cached.move_to_end(block)
        while len(cached) > MAX_BLOCKS_PER_TARGET:
            cached.popitem(last=False)

    def apply_change(self, change: CacheChange) -> None:
        """Apply a cache event, or ignore one with an old sequence number.

        A gap in the sequence numbers makes the blocks of the target
        uncertain.
        """
        last = self._last_sequence.get(change.target)
        if last is not None and change.sequence <= last:
            return
        if last is not None and change.sequence != last + 1:
            self.event_gaps += 1
            self._uncertain.add(change.target)
        self._last_sequence[change.target] = change.sequence
        self.add(change.target, change.added)
        cached = self._blocks[change.target]
        for block in change.removed:
            cached.pop(block, None)

    def estimate_cached_share(
        self, target: str, blocks: tuple[int, ...]
    ) -> float:
        """Return the expected cached share of a prompt, from 0 to 1.

        Cache events contain only a sample of the blocks, so the share is
        computed from a prompt's sampled blocks. Without a sampled block it is
        computed from all blocks, which only this entry's requests have added.

        >>> index = PrefixIndex()
        >>> index.add('a', (1, 2))
        >>> index.estimate_cached_share('a', (1, 2, 3, 4))
        0.5
        """
        cached = self._blocks.get(target)
        if not cached or not blocks:
            return 0
        sample = select_lookup_hashes(blocks)
        matched = 0
        for block in sample:
            if block not in cached:
                break
            matched += 1
        share = matched / len(sample)
        if target in self._uncertain:
            return share * UNCERTAIN_DISCOUNT
        return share
