"""Versions of objects and of the store, over all its eras.

A store that is restored from a copy begins a new era, in which it gives out
revisions again. A version joins both numbers in one integer, the era in the
high bits, so that versions grow over all eras and no revision is compared
without its era. ZooKeeper joins epoch and counter of its transaction ids in the
same way.

Reference: F. Junqueira, B. Reed, M. Serafini, "Zab: High-performance broadcast
for primary-backup systems", DSN 2011.
"""

from typing import NamedTuple

REVISION_BITS = 48


class Revision(NamedTuple):
    """Revision of the store, which is unique only within its era.

    :param era: number of restores of the store, 0 when it doesn't tell.
    """

    era: int
    number: int


def join_version(revision: Revision) -> int:
    """Return the version of a revision.

    >>> join_version(Revision(0, 7))
    7
    >>> join_version(Revision(2, 1)) > join_version(Revision(1, 900))
    True
    """
    return (revision.era << REVISION_BITS) + revision.number


def split_version(version: int) -> Revision:
    """Return the era and the revision of a version.

    >>> split_version(join_version(Revision(3, 41)))
    Revision(era=3, number=41)
    """
    era = version >> REVISION_BITS
    return Revision(era, version - (era << REVISION_BITS))


def find_era(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def format_version(version: int) -> str:
    """Return a version as text for logs, its era first.

    >>> format_version(join_version(Revision(3, 41)))
    '3.41'
    """
    revision = split_version(version)
    return f'{revision.era}.{revision.number}'
