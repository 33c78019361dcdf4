"""Which engine holds which prompt prefix.

A prompt is cut into blocks; the hash of a block covers all blocks before it
and the workspace, so equal hashes mean equal prefixes of one workspace. The
index is lossy: own sends enter at once, cache events correct them, and a gap
in an engine's events makes its whole part uncertain.
"""

from collections import OrderedDict
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from galenaswitch.membership.blocks import pick_blocks, shorten_blocks
from galenaswitch.membership.messages import CacheChange

BLOCK_CHARACTERS = 256
MAX_BLOCKS_PER_TARGET = 65_536
MAX_BLOCKS_PER_PROMPT = 4096
UNCERTAIN_DISCOUNT = 0.5
MESSAGE_MASK = 0x7FFFFFFFFFFFFFFF


def hash_blocks(workspace: str, prompt: str) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's whole blocks.

    >>> first = hash_blocks('w', 'a' * 512)
    >>> second = hash_blocks('w', 'a' * 256 + 'b' * 256)
    >>> first[0] == second[0], first[1] == second[1]
    (True, False)
    >>> hash_blocks('v', 'a' * 256) == hash_blocks('w', 'a' * 256)
    False
    """
    chain = xxh3_64_intdigest(workspace.encode())
    hashes = []
    whole = len(prompt) // BLOCK_CHARACTERS
    for number in range(min(whole, MAX_BLOCKS_PER_PROMPT)):
        start = number * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        chain = xxh3_64_intdigest(block, seed=chain) & MESSAGE_MASK
        hashes.append(chain)
    return tuple(hashes)


class PrefixIndex:
    """Blocks that each target is believed to hold."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._blocks: dict[str, OrderedDict[int, None]] = {}
        self._sequence: dict[str, int] = {}
        self._uncertain: set[str] = set()
        self.event_gaps = 0

    def add(self, target: str, blocks: Iterable[int]) -> None:
        """Note blocks that a target holds or is about to hold."""
        held = self._blocks.setdefault(target, OrderedDict())
        for block in shorten_blocks(blocks):
            held[block] = None
            held.move_to_end(block)
        while len(held) > MAX_BLOCKS_PER_TARGET:
            held.popitem(last=False)

    def apply_change(self, change: CacheChange) -> None:
        """Apply a cache event; a gap makes the target's part uncertain."""
        last = self._sequence.get(change.target)
        if last is not None and change.sequence <= last:
            return
        if last is not None and change.sequence != last + 1:
            self.event_gaps += 1
            self._uncertain.add(change.target)
        self._sequence[change.target] = change.sequence
        self.add(change.target, change.added)
        held = self._blocks[change.target]
        for block in change.removed:
            held.pop(block, None)

    def estimate_cached_share(
        self, target: str, blocks: tuple[int, ...]
    ) -> float:
        """Return the expected cached share of a prompt, from 0 to 1.

        Cache events tell of a sample of the blocks, so only those count; a
        prompt without any is known from own sends alone.

        >>> index = PrefixIndex()
        >>> index.add('a', (1, 2))
        >>> index.estimate_cached_share('a', (1, 2, 3, 4))
        0.5
        """
        held = self._blocks.get(target)
        if not held or not blocks:
            return 0
        sample = pick_blocks(blocks)
        matched = 0
        for block in sample:
            if block not in held:
                break
            matched += 1
        share = matched / len(sample)
        if target in self._uncertain:
            return share * UNCERTAIN_DISCOUNT
        return share
