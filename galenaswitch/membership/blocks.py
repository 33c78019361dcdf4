"""Short hashes of prompt blocks, and a sample of them.

An index of prefixes may err, so 32 bits of a hash are enough for it. The
same blocks are in every process's sample, since the hash itself decides.
"""

from collections.abc import Iterable
from functools import lru_cache

SHORT_HASH_MASK = 0xFFFFFFFF
SAMPLE_MODULUS = 8
_LOOKUP_CACHE_SIZE = 64


def truncate_hashes(blocks: Iterable[int]) -> tuple[int, ...]:
    """Return the short hashes of blocks.

    >>> truncate_hashes((1 << 32, (1 << 32) + 5))
    (0, 5)
    """
    return tuple(block & SHORT_HASH_MASK for block in blocks)


def sample_hashes(blocks: Iterable[int]) -> tuple[int, ...]:
    """Return the short hashes of one in :data:`SAMPLE_MODULUS` blocks.

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
    """Return the blocks that a prompt is looked up by.

    Those of the sample, or all of a prompt that has none in it. The choice
    of a target asks for the same prompt once for each target.

    >>> select_lookup_hashes((7, 8, 9)), select_lookup_hashes((7, 9))
    ((8,), (7, 9))
    """
    return sample_hashes(blocks) or truncate_hashes(blocks)
