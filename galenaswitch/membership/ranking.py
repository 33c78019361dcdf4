"""Rendezvous hashing: choice of the node that owns a key.

Every process ranks the same nodes for a key in the same order, so all
processes agree without an election that the first live node owns the key.

Reference: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", IEEE/ACM Transactions on Networking 6 (1), 1998.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rank_nodes(key: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Rank nodes by their hash weight for a key, highest weight first.

    >>> rank_nodes('a', ['x', 'y', 'z']) == rank_nodes('a', ['z', 'y', 'x'])
    True
    >>> top = rank_nodes('a', ['x', 'y', 'z'])
    >>> rank_nodes('a', top[1:])[0] == top[1]
    True
    """
    return tuple(
        sorted(
            nodes,
            key=lambda node: (
                xxh3_64_intdigest(f'{key}/{node}'.encode()),
                node,
            ),
            reverse=True,
        ),
    )


def pick_nodes(key: str, nodes: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the first ``count`` nodes of the ranking for a key."""
    return rank_nodes(key, nodes)[:count]
