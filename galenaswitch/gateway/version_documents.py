"""Documents of the records of versions in the store."""

from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError

from galenaswitch.store.objects import StoredObject
from galenaswitch.store.unreadable import UnreadableLog


class VersionRecord(NamedTuple):
    """Record of one service, as it stands in the store.

    :param versions: versions at which streams of the service may have begun.
    :param era: era of the store in which the record was written.
    :param complete: whether no stream that a caller may take up began at
        another version.
    :param retiring: versions that are dropped unless a VM admits one again.
    """

    versions: tuple[str, ...]
    era: int
    complete: bool
    retiring: tuple[str, ...] = ()


_RECORD = TypeAdapter(VersionRecord)
# Stands for a record that can't be read.
UNREADABLE = VersionRecord((), -1, complete=False)


def read_record(
    stored: StoredObject, unreadable: UnreadableLog
) -> VersionRecord:
    """Return the record of a store entry, whose new fields are ignored.

    :param unreadable: logs an entry that is not valid.
    """
    body: Any = stored.body if isinstance(stored.body, dict) else {}
    fields = {
        name: body[name] for name in VersionRecord._fields if name in body
    }
    try:
        return _RECORD.validate_python(fields)
    except ValidationError as error:
        unreadable.report(stored, str(error))
        return UNREADABLE


def is_named(record: VersionRecord, version: str, era: int) -> bool:
    """Tell whether a record names a version for good.

    :param era: current era of the store.

    >>> record = VersionRecord(('v1', 'v2'), 3, True, retiring=('v1',))
    >>> [is_named(record, one, 3) for one in ('v1', 'v2', 'v3')]
    [False, True, False]
    >>> is_named(record, 'v2', 4)
    False
    """
    return (
        record.era == era
        and version in record.versions
        and version not in record.retiring
    )
