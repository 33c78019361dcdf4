"""Catalog of the configuration of a process.

The catalog contains the highest version of each item that the process has
received. The versions of an item only grow. A deletion is a version whose body
has ``deleted`` set, so that an older version can't restore the item.
"""

from collections.abc import Container, Iterable, Iterator
from typing import Any, NamedTuple

from xxhash import xxh3_64_hexdigest

from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    parse_document,
)
from galenaswitch.errors import InvalidInputError
from galenaswitch.store.objects import StoredObject

CONTRACTS = 'contracts'
PIPELINES = 'pipelines'
KINDS = (CONTRACTS, PIPELINES)
DOCUMENT_TYPES: dict[str, type[Any]] = {
    CONTRACTS: Contract,
    PIPELINES: Pipeline,
}
_BOOKKEEPING = frozenset(('write_id', 'base', 'deleted'))


class Item(NamedTuple):
    """One version of one configuration object.

    :param kind: kind of the object, such as ``contracts``.
    :param name: name of the object.
    :param version: number that orders the versions of the object, the highest
        last.
    :param body: document as stored, including the fields that writes add.
    """

    kind: str
    name: str
    version: int
    body: dict[str, Any]


class Catalog:
    """Highest version of each configuration item, by kind and name."""

    def __init__(self, kinds: Container[str] | None = None) -> None:
        """Create a catalog without items.

        :param kinds: kinds of the items that it takes, all by default.
        """
        self._kinds = kinds
        self._items: dict[tuple[str, str], Item] = {}
        self._digest = ''

    def __iter__(self) -> Iterator[Item]:
        """Iterate over all items, deletions included."""
        return iter(list(self._items.values()))

    def __len__(self) -> int:
        """Count the items, deletions included."""
        return len(self._items)

    def accept(self, items: Iterable[Item]) -> tuple[Item, ...]:
        """Store each item that is newer than the catalog's version of it.

        :returns: the items that were newer.

        >>> catalog = Catalog()
        >>> new = Item('pipelines', 'a', 2, {})
        >>> len(catalog.accept([new, new, new._replace(version=1)]))
        1
        """
        newer = []
        for item in items:
            if self._kinds is not None and item.kind not in self._kinds:
                continue
            held = self._items.get((item.kind, item.name))
            if held is None or held.version < item.version:
                self._items[item.kind, item.name] = item
                newer.append(item)
        if newer:
            self._digest = ''
        return tuple(newer)

    def correct(self, item: Item) -> bool:
        """Replace the content of an item at an unchanged version.

        :returns: whether the content differs from the catalog's.
        """
        held = self._items.get((item.kind, item.name))
        if held is None or held.version != item.version:
            return False
        self._items[item.kind, item.name] = item
        return held.body != item.body

    def find(self, kind: str, name: str) -> Item | None:
        """Return an item, also if it is a deletion, or ``None``."""
        return self._items.get((kind, name))

    def digest(self) -> str:
        """Return a hash of the names and versions of all items."""
        if not self._digest:
            lines = sorted(
                f'{item.kind}/{item.name}@{item.version}' for item in self
            )
            self._digest = xxh3_64_hexdigest('\n'.join(lines).encode())
        return self._digest

    def versions(self) -> dict[str, int]:
        """Return the version of each item by ``kind/name``."""
        return {f'{item.kind}/{item.name}': item.version for item in self}

    def newer_than(self, versions: dict[str, int]) -> tuple[Item, ...]:
        """Return the items that are newer than these versions.

        :param versions: versions of a peer by ``kind/name``.
        """
        return tuple(
            item
            for item in self
            if versions.get(f'{item.kind}/{item.name}', 0) < item.version
        )


def make_item(stored: StoredObject) -> Item:
    """Return the configuration item of an object in the store."""
    return Item(stored.kind, stored.name, stored.version, stored.body)


def is_deleted(item: Item) -> bool:
    """Return whether an item is a deletion."""
    return bool(item.body.get('deleted'))


def read_document(item: Item) -> Any:
    """Return the validated contract or pipeline of an item.

    :returns: the document, or ``None`` if the item is a deletion, has
        another kind or has an invalid body.
    """
    if is_deleted(item) or item.kind not in DOCUMENT_TYPES:
        return None
    plain = strip_bookkeeping(item.body)
    try:
        return parse_document(plain, DOCUMENT_TYPES[item.kind])
    except InvalidInputError:
        return None


def strip_bookkeeping(body: dict[str, Any]) -> dict[str, Any]:
    """Return a stored document without the fields that writes add.

    >>> strip_bookkeeping({'name': 'x', 'write_id': 'w', 'base': 1})
    {'name': 'x'}
    """
    return {
        key: field for key, field in body.items() if key not in _BOOKKEEPING
    }
