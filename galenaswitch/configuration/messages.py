"""Messages that synchronize configuration and report what is in force."""

from typing import NamedTuple

from galenaswitch.configuration.catalog import Item


class Digest(NamedTuple):
    """Digest of the sender's configuration.

    :param digest: hash of the names and versions of all items.
    """

    digest: str


class Versions(NamedTuple):
    """Versions of the sender's configuration items.

    :param versions: versions by ``kind/name``, empty if the digests of both
        sides are equal.
    :param ready: whether the sender has synchronized its configuration, so
        that a new machine can become ready with it.
    """

    versions: dict[str, int]
    ready: bool = False


class Items(NamedTuple):
    """Configuration items that the receiver may not have yet."""

    items: tuple[Item, ...]


class NodeStatus(NamedTuple):
    """Configuration that one machine has in force.

    :param node: name of the machine.
    :param digest: digest of the machine's configuration.
    :param ready: whether the machine serves callers.
    """

    node: str
    digest: str
    ready: bool
