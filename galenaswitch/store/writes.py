"""Compare-and-swap writes that survive a lost answer of the store.

Each written body carries a unique ``write_id`` and ``base``, the version that
it replaces. A write without an answer is sent again with the same id and base.
This is safe, because the store accepts one write for each base version: a
repeated write either takes effect or conflicts with the first send, which
carries the same id.

When the store reports a conflict, the object is read:

- The object has the id of this write: the write took effect.
- The object has another id and the same base: another write took effect, and
  this one never can.
- The object has another base: later writes hide the outcome.
- The object is absent or still at the base version: the read lags behind, and
  the write is sent again.
"""

import asyncio
import secrets
from typing import Any, NamedTuple, Protocol

from galenaswitch.errors import (
    StoreConflictError,
    StoreUnavailableError,
)
from galenaswitch.store.objects import StoredObject

RETRY_SECONDS = 0.05
_WRITE_ID_BYTES = 8


class ConditionalStore(Protocol):
    """Interface of a store with reads and compare-and-swap writes."""

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` when it doesn't exist."""

    async def write(
        self,
        kind: str,
        name: str,
        body: dict[str, Any],
        replaces: int,
    ) -> int:
        """Write an object if its current version is the expected one.

        :param replaces: expected current version.
        :returns: the new version.
        """


class Written(NamedTuple):
    """The write took effect.

    :param version: version of the object that the write created.
    """

    version: int


class Lost(NamedTuple):
    """Another write took effect first, so this write never will.

    :param current: current version of the object in the store.
    """

    current: int


class Undecided(NamedTuple):
    """The outcome of the write is unknown.

    :param reason: why the outcome could not be determined.
    """

    reason: str


Outcome = Written | Lost | Undecided


async def write_once(
    store: ConditionalStore,
    replacement: StoredObject,
    seconds: float,
) -> Outcome:
    """Replace an object by compare-and-swap and determine the outcome.

    :param replacement: kind, name and body to write, with the version that
        the write replaces.
    :param seconds: time after which an undecided write is abandoned.
    :returns: :class:`Written`, :class:`Lost` or :class:`Undecided`.
    """
    body = {
        **replacement.body,
        'write_id': secrets.token_hex(_WRITE_ID_BYTES),
        'base': replacement.version,
    }
    tagged = replacement._replace(body=body)
    deadline = asyncio.get_running_loop().time() + seconds
    outcome: Outcome = Undecided('the store does not answer')
    while asyncio.get_running_loop().time() < deadline:
        outcome = await _try_write(store, tagged)
        if not isinstance(outcome, Undecided):
            return outcome
        if outcome.reason == SUPERSEDED:
            return outcome
        await asyncio.sleep(RETRY_SECONDS)
    return outcome


SUPERSEDED = 'later writes hide whether this one took effect'


async def _try_write(
    store: ConditionalStore,
    tagged: StoredObject,
) -> Outcome:
    try:
        version = await store.write(
            tagged.kind,
            tagged.name,
            tagged.body,
            tagged.version,
        )
    except StoreConflictError:
        return await _read_outcome(store, tagged)
    except StoreUnavailableError as error:
        return Undecided(str(error))
    return Written(version)


async def _read_outcome(
    store: ConditionalStore,
    tagged: StoredObject,
) -> Outcome:
    try:
        current = await store.read(tagged.kind, tagged.name)
    except StoreUnavailableError as error:
        return Undecided(str(error))
    return resolve_outcome(tagged, current)


def resolve_outcome(
    tagged: StoredObject, current: StoredObject | None
) -> Outcome:
    """Determine the outcome of a write after the store reported a conflict.

    :param tagged: object of the write, with its write id and base version.
    :param current: current object in the store, ``None`` when absent.

    >>> tagged = StoredObject('k', 'n', 4, {'write_id': 'a', 'base': 4})
    >>> resolve_outcome(tagged, StoredObject('k', 'n', 5, tagged.body))
    Written(version=5)
    >>> other = StoredObject('k', 'n', 5, {'write_id': 'b', 'base': 4})
    >>> resolve_outcome(tagged, other)
    Lost(current=5)
    >>> resolve_outcome(tagged, other._replace(body={'base': 5}))
    Undecided(reason='later writes hide whether this one took effect')
    """
    if current is None or current.version == tagged.version:
        return Undecided('the store returned an older state')
    if current.body.get('write_id') == tagged.body['write_id']:
        return Written(current.version)
    if current.body.get('base') == tagged.version:
        return Lost(current.version)
    return Undecided(SUPERSEDED)
