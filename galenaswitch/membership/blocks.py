"""Truncated hashes of prompt blocks and a deterministic sample of them.

The prefix index is approximate, so it uses 32 bits of each block hash. The
hash itself decides whether a block is in the sample, so all processes sample
the same blocks.
"""

from collections.abc import Iterable
from functools import lru_cache

SHORT_HASH_MASK = 0xFFFFFFFF
SAMPLE_MODULUS = 8
_LOOKUP_CACHE_SIZE = 64


def truncate_hashes(blocks: Iterable[int]) -> tuple[int, ...]:
    """Truncate block hashes to 32 bits.

    >>> truncate_hashes((1 << 32, (1 << 32) + 5))
    (0, 5)
    """
    return tuple(block & SHORT_HASH_MASK for block in blocks)


def sample_hashes(blocks: Iterable[int]) -> tuple[int, ...]:
    """Return the truncated hashes that :data:`SAMPLE_MODULUS` divides.

    About one block in :data:`SAMPLE_MODULUS` is in the sample.

    >>> sample_hashes((8, 9, (1 << 32) + 16))
    (8, 16)
    """
    return tuple(
        block
        for block in truncate_hashes(blocks)
        if block % SAMPLE_MODULUS == 0
    )


@lru_cache(maxsize=_LOOKUP_CACHE_SIZE)
def select_lookup_hashes(blocks: tuple[int, ...]) -> tuple[int, ...]:
    """Return the block hashes by which the prefix index looks up a prompt.

    These are the sampled hashes, or all hashes of a prompt without a sampled
    block. The results are cached, because routing looks up the same prompt
    once for each candidate target.

    >>> select_lookup_hashes((7, 8, 9)), select_lookup_hashes((7, 9))
    ((8,), (7, 9))
    """
    return sample_hashes(blocks) or truncate_hashes(blocks)
