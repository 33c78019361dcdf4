"""Fingerprints that identify a whole request over attempts, callers and VMs.

A fingerprint is a keyed hash, so neither the evidence of a VM nor a record in
the store shows or confirms the content of a request.
"""

from collections.abc import Iterable
from hashlib import blake2b

# Ids of prompt parts never begin like this.
_PREFIX = 'request-'
_DIGEST_BYTES = 16
_PURPOSE = b'fingerprint'


class Fingerprints:
    """Makes the fingerprints of one deployment."""

    def __init__(self, secret: str) -> None:
        """Build fingerprints that only holders of ``secret`` can make."""
        self._key = blake2b(secret.encode(), person=_PURPOSE).digest()

    def make(self, content: Iterable[bytes]) -> str:
        """Return the fingerprint of a request.

        :param content: fields that are the same in each attempt.

        >>> fingerprints = Fingerprints('s')
        >>> one = fingerprints.make([b'ab', b'c'])
        >>> one == fingerprints.make([b'ab', b'c'])
        True
        >>> one == fingerprints.make([b'a', b'bc'])
        False
        """
        digest = blake2b(key=self._key, digest_size=_DIGEST_BYTES)
        for field in content:
            digest.update(len(field).to_bytes(8))
            digest.update(field)
        return f'{_PREFIX}{digest.hexdigest()}'


def is_fingerprint(ident: str) -> bool:
    """Tell whether an id is a fingerprint, and not that of a prompt part."""
    return ident.startswith(_PREFIX)
