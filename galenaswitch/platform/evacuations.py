"""Decoder of the entries by which operators evacuate zones.

An object of the kind ``evacuations`` has the name of the zone and an empty
document. Fields that a later version may add are ignored.
"""

from typing import Any

from galenaswitch.errors import InvalidInputError
from galenaswitch.platform.fields import MAX_TEXT_LENGTH


class EvacuationEntries:
    """Decoder that the sync of evacuations uses.

    :ivar kind: kind of the objects in the store.
    """

    kind = 'evacuations'

    def read(self, name: str, body: Any) -> str:
        """Return the zone of an entry.

        :raises InvalidInputError: when the entry is not valid.

        >>> EvacuationEntries().read('north', {})
        'north'
        """
        if not isinstance(body, dict):
            raise InvalidInputError('the entry is not a document')
        if not 0 < len(name) <= MAX_TEXT_LENGTH:
            raise InvalidInputError(f'a zone has no {len(name)} characters')
        return name
