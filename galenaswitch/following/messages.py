"""Messages by which the VMs that follow the store tell the others of it.

Revisions of the store are versions over all its eras, see
:mod:`galenaswitch.store.versions`.
"""

from typing import Annotated, Any, NamedTuple

from pydantic import Field

from galenaswitch.store.cache import Change, Changes
from galenaswitch.store.objects import Listing, StoredObject
from galenaswitch.store.versions import REVISION_BITS

# Eras of the store in which a revision of a peer may be.
MAX_ERA = 9999
Version = Annotated[int, Field(ge=0, lt=(MAX_ERA + 1) << REVISION_BITS)]


class KindState(NamedTuple):
    """What a follower knows of one kind.

    :param revision: version of the store that it reflects.
    :param digest: hash of the names and versions of all objects.
    """

    kind: str
    revision: Version
    digest: int


class FollowerSign(NamedTuple):
    """Sign of life of a VM that follows the store.

    :param incarnation: id of the sender's process.
    :param sequence: number that grows with each sign of the process.
    :param is_current: whether the store answers the sender.
    :param is_leaving: whether the sender is about to stop.
    :param configuration: digest of the sender's configuration.
    """

    node: str
    incarnation: str
    sequence: int
    is_current: bool
    is_leaving: bool
    states: tuple[KindState, ...]
    configuration: str = ''


class SharedObject(NamedTuple):
    """One object of the store.

    :param body: document of the object, ``None`` when it can't be read.
    """

    name: str
    version: Version
    body: Any


class SharedChange(NamedTuple):
    """One write or deletion of an object."""

    stored: SharedObject
    deleted: bool


class ObjectChanges(NamedTuple):
    """Changes of one kind between two revisions of the store.

    :param base: revision that the changes continue.
    :param revision: revision that they lead up to.
    """

    kind: str
    base: Version
    revision: Version
    changes: tuple[SharedChange, ...]


class ObjectListing(NamedTuple):
    """All objects of one kind at a revision of the store."""

    kind: str
    revision: Version
    objects: tuple[SharedObject, ...]


class ListingQuery(NamedTuple):
    """Query for what a peer knows of some kinds.

    :param revisions: revision that the sender knows, by kind.
    """

    revisions: dict[str, int]


class ListingReply(NamedTuple):
    """Listings of the kinds of which the replying VM knows more."""

    listings: tuple[ObjectListing, ...]


def share_changes(kind: str, base: int, changes: Changes) -> ObjectChanges:
    """Return the message of changes that a watch has shown."""
    return ObjectChanges(
        kind,
        base,
        changes.revision,
        tuple(
            SharedChange(_share_object(change.stored), change.deleted)
            for change in changes.changes
        ),
    )


def share_listing(kind: str, listing: Listing) -> ObjectListing:
    """Return the message of a listing."""
    return ObjectListing(
        kind,
        listing.revision,
        tuple(_share_object(stored) for stored in listing.objects),
    )


def read_changes(message: ObjectChanges) -> Changes:
    """Return the changes of a message."""
    return Changes(
        message.revision,
        tuple(
            Change(StoredObject(message.kind, *change.stored), change.deleted)
            for change in message.changes
        ),
    )


def read_listing(message: ObjectListing) -> Listing:
    """Return the listing of a message."""
    return Listing(
        message.revision,
        tuple(StoredObject(message.kind, *one) for one in message.objects),
    )


def _share_object(stored: StoredObject) -> SharedObject:
    return SharedObject(stored.name, stored.version, stored.body)
