"""Objects of the store, as every client of it returns them."""

from typing import Any, NamedTuple

# Version of an object that doesn't exist.
ABSENT = 0


class StoredObject(NamedTuple):
    """One version of an object in the store.

    :param kind: kind of the object.
    :param name: name of the object, unique within its kind.
    :param version: number of the object's last write; the numbers grow across
        the whole store.
    :param body: JSON document of the object.
    """

    kind: str
    name: str
    version: int
    body: dict[str, Any]


class Listing(NamedTuple):
    """Objects of some kinds at one revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]
