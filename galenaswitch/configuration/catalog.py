"""The configuration that a process holds: the highest version of each item.

Versions of an item only grow. A deletion is an item whose body has
``deleted`` set, so an older version can't bring the item back.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from xxhash import xxh3_64_hexdigest

from galenaswitch.contracts.documents import (
    Contract,
    Pipeline,
    parse_document,
)
from galenaswitch.errors import InvalidInputError
from galenaswitch.store.client import StoredObject

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

    :param version: the store's version of it.
    :param body: the document as stored, with its bookkeeping fields.
    """

    kind: str
    name: str
    version: int
    body: dict[str, Any]


class Catalog:
    """Highest version of each item that this process has seen."""

    def __init__(self) -> None:
        """Start empty."""
        self._items: dict[tuple[str, str], Item] = {}
        self._digest = ''

    def __iter__(self) -> Iterator[Item]:
        """Iterate over all items, deletions included."""
        return iter(list(self._items.values()))

    def __len__(self) -> int:
        """Count the items, deletions included."""
        return len(self._items)

    def accept(self, items: Iterable[Item]) -> tuple[Item, ...]:
        """Keep each item that is newer than the one held.

        :returns: the items that were newer.

        >>> catalog = Catalog()
        >>> new = Item('pipelines', 'a', 2, {})
        >>> len(catalog.accept([new, new, new._replace(version=1)]))
        1
        """
        newer = []
        for item in items:
            held = self._items.get((item.kind, item.name))
            if held is None or held.version < item.version:
                self._items[item.kind, item.name] = item
                newer.append(item)
        if newer:
            self._digest = ''
        return tuple(newer)

    def find(self, kind: str, name: str) -> Item | None:
        """Return the item held, deletions included."""
        return self._items.get((kind, name))

    def digest(self) -> str:
        """Return a hash over all names and versions held."""
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
        """Return the items that a peer with these versions lacks."""
        return tuple(
            item
            for item in self
            if versions.get(f'{item.kind}/{item.name}', 0) < item.version
        )


def make_item(stored: StoredObject) -> Item:
    """Turn an object of the store into an item."""
    return Item(stored.kind, stored.name, stored.version, stored.body)


def is_deleted(item: Item) -> bool:
    """Tell whether an item is a deletion."""
    return bool(item.body.get('deleted'))


def read_document(item: Item) -> Any:
    """Return the checked contract or pipeline of an item.

    :returns: ``None`` for a deletion or a body that fails its checks.
    """
    if is_deleted(item) or item.kind not in DOCUMENT_TYPES:
        return None
    plain = strip_bookkeeping(item.body)
    try:
        return parse_document(plain, DOCUMENT_TYPES[item.kind])
    except InvalidInputError:
        return None


def strip_bookkeeping(body: dict[str, Any]) -> dict[str, Any]:
    """Return a stored body without the fields that writes add.

    >>> strip_bookkeeping({'name': 'x', 'write_id': 'w', 'base': 1})
    {'name': 'x'}
    """
    return {
        key: field for key, field in body.items() if key not in _BOOKKEEPING
    }
