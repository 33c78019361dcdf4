"""Changes of contracts and pipelines, each decided by the store.

A change is accepted only when its conditional write is known to have taken
effect; a race is refused with the version that won.
"""

from typing import Any, NamedTuple

from galenaswitch.configuration.catalog import (
    CONTRACTS,
    DOCUMENT_TYPES,
    PIPELINES,
    make_item,
    strip_bookkeeping,
)
from galenaswitch.contracts.documents import parse_document
from galenaswitch.errors import GalenaError, InvalidInputError
from galenaswitch.store.client import ABSENT, StoreClient, StoredObject
from galenaswitch.store.writes import Lost, Undecided, write_once

WRITE_SECONDS = 5
NAME_FIELDS = {CONTRACTS: 'workspace', PIPELINES: 'name'}


class VersionConflictError(GalenaError):
    """Another change came first.

    :param current: version now in the store.
    """

    def __init__(self, current: int) -> None:
        """Keep the version that won."""
        super().__init__(f'the current version is {current}')
        self.current = current


class UnknownObjectError(GalenaError):
    """No such contract or pipeline."""


class UnknownOutcomeError(GalenaError):
    """Whether the change took effect is not known."""


class Change(NamedTuple):
    """A change that an operator asks for.

    :param kind: ``contracts`` or ``pipelines``.
    :param name: the object's name.
    :param base: version to be replaced, ``ABSENT`` to create.
    :param document: the new document, ``None`` to delete.
    """

    kind: str
    name: str
    base: int
    document: dict[str, Any] | None


class Objects:
    """Contracts and pipelines in the store."""

    def __init__(self, store: StoreClient) -> None:
        """Keep them in ``store``."""
        self._store = store

    async def show(self, kind: str, name: str) -> StoredObject:
        """Return an object as operators wrote it.

        :raises UnknownObjectError: when it is absent or deleted.
        """
        found = await self._find(kind, name)
        if found is None or found.body.get('deleted'):
            raise UnknownObjectError(f'no {kind} named {name}')
        return found._replace(body=strip_bookkeeping(found.body))

    async def list_all(self, kind: str) -> list[dict[str, Any]]:
        """Return names and versions of all objects of a kind."""
        listing = await self._store.list_kinds(_check_kind(kind))
        return [
            {'name': stored.name, 'version': stored.version}
            for stored in sorted(listing.objects)
            if not stored.body.get('deleted')
        ]

    async def apply(self, change: Change) -> int:
        """Make a change.

        :returns: the new version, which is in the store.
        :raises InvalidInputError: when the document fails its checks.
        :raises VersionConflictError: when another change came first.
        :raises UnknownOutcomeError: when the store doesn't tell.
        """
        body = {'deleted': True}
        if change.document is not None:
            body = await self._check(change)
        base = await self._find_base(change)
        wanted = StoredObject(change.kind, change.name, base, body)
        outcome = await write_once(self._store, wanted, WRITE_SECONDS)
        if isinstance(outcome, Lost):
            raise VersionConflictError(outcome.current)
        if isinstance(outcome, Undecided):
            raise UnknownOutcomeError(outcome.reason)
        return outcome.version

    async def _find(self, kind: str, name: str) -> StoredObject | None:
        return await self._store.read(_check_kind(kind), name)

    async def _find_base(self, change: Change) -> int:
        """Return the version to replace; a deleted object counts as absent.

        A deletion stays in the store as a version, so that creating the
        object again continues its versions.
        """
        found = await self._find(change.kind, change.name)
        deleted = found is not None and found.body.get('deleted')
        if found and deleted and change.base == ABSENT:
            return found.version
        current = found.version if found else ABSENT
        if current != change.base:
            raise VersionConflictError(current)
        return change.base

    async def _check(self, change: Change) -> dict[str, Any]:
        shape = DOCUMENT_TYPES[_check_kind(change.kind)]
        checked = parse_document(change.document, shape)
        field = NAME_FIELDS[change.kind]
        if getattr(checked, field) != change.name:
            raise InvalidInputError(f'{field} must be {change.name}')
        if change.kind == CONTRACTS:
            await self._check_references(change.name, checked)
        return dict(change.document or {})

    async def _check_references(self, name: str, contract: Any) -> None:
        listing = await self._store.list_kinds(CONTRACTS, PIPELINES)
        items = [make_item(stored) for stored in listing.objects]
        live = [item for item in items if not item.body.get('deleted')]
        known = {item.name for item in live if item.kind == PIPELINES}
        unknown = sorted(set(contract.pipelines) - known)
        if unknown:
            raise InvalidInputError(f'pipelines: {unknown[0]} is unknown')
        for item in live:
            other = item.kind == CONTRACTS and item.name != name
            shared = set(item.body.get('tokens', ())) & set(contract.tokens)
            if other and shared:
                raise InvalidInputError('tokens: used by another workspace')


def _check_kind(kind: str) -> str:
    if kind not in DOCUMENT_TYPES:
        raise UnknownObjectError(f'no objects of kind {kind}')
    return kind
