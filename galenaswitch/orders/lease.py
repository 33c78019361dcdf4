"""Lease in the store with a fencing number.

The number is the version that the acquiring write made, so it grows with
each holder. A contender acquires only after it has seen the lease unchanged
for its whole term on its own monotonic clock; what makes the takeover safe
is the conditional write and the number, not the clocks.

Reference: C. Gray, D. Cheriton, "Leases: An Efficient Fault-Tolerant
Mechanism for Distributed File Cache Consistency", SOSP 1989.
"""

import time
from typing import NamedTuple

from galenaswitch.store.client import ABSENT, StoreClient, StoredObject
from galenaswitch.store.writes import Written, write_once

LEASES = 'leases'
TERM_SECONDS = 6
RENEW_SECONDS = 2
MARGIN_SECONDS = 1
WRITE_SECONDS = 2


class Seen(NamedTuple):
    """The lease as last read, and when it was first read so.

    :param version: version of the lease object.
    :param holder: who holds it.
    :param since: monotonic second of the first reading of this version.
    """

    version: int
    holder: str
    since: float


class Lease:
    """One lease as one process sees it."""

    def __init__(self, store: StoreClient, name: str, holder: str) -> None:
        """Contend for lease ``name`` as ``holder``."""
        self._store = store
        self._name = name
        self._holder = holder
        self._seen = Seen(ABSENT, '', 0)
        self._valid_until = 0.0
        self.number = 0

    @property
    def held(self) -> bool:
        """Whether this process may act as the holder now."""
        return time.monotonic() < self._valid_until

    async def maintain(self) -> None:
        """Renew the lease, or acquire it when its term has passed.

        :raises StoreError: when the store doesn't answer.
        """
        begun = time.monotonic()
        found = await self._store.read(LEASES, self._name)
        self._look(found, begun)
        if self._seen.holder == self._holder and self.held:
            await self._write(begun)
            return
        free = not self._seen.holder
        lapsed = begun - self._seen.since > TERM_SECONDS
        if free or lapsed:
            await self._acquire(begun)

    async def release(self) -> None:
        """Let the next holder acquire without waiting for the term."""
        if not self.held:
            return
        self._valid_until = 0
        await self._replace('')

    def _look(self, found: StoredObject | None, now: float) -> None:
        version = found.version if found else ABSENT
        if version == self._seen.version and version != ABSENT:
            return
        holder = found.body['holder'] if found else ''
        self._seen = Seen(version, holder, now)

    async def _acquire(self, begun: float) -> None:
        self.number = 0
        if await self._write(begun):
            self.number = self._seen.version

    async def _write(self, begun: float) -> bool:
        """Write the lease; its term counts from before the write."""
        if not await self._replace(self._holder):
            self._valid_until = 0
            return False
        self._valid_until = begun + TERM_SECONDS - MARGIN_SECONDS
        return True

    async def _replace(self, holder: str) -> bool:
        wanted = StoredObject(
            LEASES,
            self._name,
            self._seen.version,
            {'holder': holder},
        )
        outcome = await write_once(self._store, wanted, WRITE_SECONDS)
        if not isinstance(outcome, Written):
            return False
        self._seen = Seen(outcome.version, holder, time.monotonic())
        return True
