"""Reads and changes of contracts and pipelines in the store.

Each change is one conditional write to the store. The change is accepted only
when the write is known to have taken effect. If another change was written
first, the change is refused with the version now in the store.
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
from galenaswitch.store.client import StoreClient
from galenaswitch.store.objects import ABSENT, StoredObject
from galenaswitch.store.writes import Lost, Undecided, write_once

WRITE_TIMEOUT_SECONDS = 5
NAME_FIELDS = {CONTRACTS: 'workspace', PIPELINES: 'name'}


class VersionConflictError(GalenaError):
    """The object's version in the store differs from the change's base.

    :param current: version now in the store.
    """

    def __init__(self, current: int) -> None:
        """Build the error from the version now in the store."""
        super().__init__(f'the current version is {current}')
        self.current = current


class UnknownObjectError(GalenaError):
    """The requested contract, pipeline, kind or machine does not exist."""


class UnknownOutcomeError(GalenaError):
    """The change may or may not have taken effect in the store."""


class Change(NamedTuple):
    """Change of one configuration object that an operator requests.

    :param kind: ``contracts`` or ``pipelines``.
    :param name: name of the object.
    :param base: version to replace, ``ABSENT`` to create the object.
    :param document: new document, ``None`` to delete the object.
    """

    kind: str
    name: str
    base: int
    document: dict[str, Any] | None


class ConfigurationObjects:
    """Reads and changes contracts and pipelines in the store."""

    def __init__(self, store: StoreClient) -> None:
        """Build access to the contracts and pipelines in ``store``."""
        self._store = store

    async def show(self, kind: str, name: str) -> StoredObject:
        """Return an object without the system's own bookkeeping fields.

        :raises UnknownObjectError: when the object is absent or deleted.
        """
        found = await self._read_object(kind, name)
        if found is None or found.body.get('deleted'):
            raise UnknownObjectError(f'no {kind} named {name}')
        return found._replace(body=strip_bookkeeping(found.body))

    async def list_all(self, kind: str) -> list[dict[str, Any]]:
        """Return the names and versions of all existing objects of a kind."""
        listing = await self._store.list_kinds(_check_kind(kind))
        return [
            {'name': stored.name, 'version': stored.version}
            for stored in sorted(listing.objects)
            if not stored.body.get('deleted')
        ]

    async def apply(self, change: Change) -> int:
        """Validate a change and write it to the store.

        :returns: the new version in the store.
        :raises InvalidInputError: when the document is invalid.
        :raises VersionConflictError: when the stored version is not the base.
        :raises UnknownOutcomeError: when the write may have taken effect.
        """
        body = {'deleted': True}
        if change.document is not None:
            body = await self._check_document(change)
        base = await self._find_base_version(change)
        replacement = StoredObject(change.kind, change.name, base, body)
        outcome = await write_once(
            self._store, replacement, WRITE_TIMEOUT_SECONDS
        )
        if isinstance(outcome, Lost):
            raise VersionConflictError(outcome.current)
        if isinstance(outcome, Undecided):
            raise UnknownOutcomeError(outcome.reason)
        return outcome.version

    async def _read_object(self, kind: str, name: str) -> StoredObject | None:
        return await self._store.read(_check_kind(kind), name)

    async def _find_base_version(self, change: Change) -> int:
        """Return the stored version that a change replaces.

        A deleted object counts as absent. Its deletion stays in the store as
        a version, so versions keep rising when the object is created again.

        :raises VersionConflictError: when the stored version is not the base.
        """
        found = await self._read_object(change.kind, change.name)
        deleted = found is not None and found.body.get('deleted')
        if found and deleted and change.base == ABSENT:
            return found.version
        current = found.version if found else ABSENT
        if current != change.base:
            raise VersionConflictError(current)
        return change.base

    async def _check_document(self, change: Change) -> dict[str, Any]:
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
        existing = [item for item in items if not item.body.get('deleted')]
        known = {item.name for item in existing if item.kind == PIPELINES}
        unknown = sorted(set(contract.pipelines) - known)
        if unknown:
            raise InvalidInputError(f'pipelines: {unknown[0]} is unknown')
        for item in existing:
            is_other = item.kind == CONTRACTS and item.name != name
            shared = set(item.body.get('tokens', ())) & set(contract.tokens)
            if is_other and shared:
                raise InvalidInputError('tokens: used by another workspace')


def _check_kind(kind: str) -> str:
    if kind not in DOCUMENT_TYPES:
        raise UnknownObjectError(f'no objects of kind {kind}')
    return kind
