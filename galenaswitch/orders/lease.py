"""Lease in the store with a fencing token.

The fencing token is the object version that the acquiring write made, so it
grows with each holder. A process acquires the lease of another holder only
after it has read the same version for ``LEASE_SECONDS`` on its own monotonic
clock. The conditional write and the fencing token make the takeover safe,
also when clocks differ.

Reference: C. Gray, D. Cheriton, "Leases: An Efficient Fault-Tolerant
Mechanism for Distributed File Cache Consistency", SOSP 1989.
"""

import time
from typing import NamedTuple

from galenaswitch.store.client import StoreClient
from galenaswitch.store.objects import ABSENT, StoredObject
from galenaswitch.store.writes import Written, write_once

LEASES = 'leases'
LEASE_SECONDS = 6
RENEW_SECONDS = 2
# A holder stops using the lease this long before it expires.
SAFETY_MARGIN_SECONDS = 1
WRITE_SECONDS = 2


class ObservedLease(NamedTuple):
    """The lease object as it was last read from the store.

    :param version: version of the lease object.
    :param holder: name of the lease holder, empty after a release.
    :param since: monotonic time at which this version was first read.
    """

    version: int
    holder: str
    since: float


class Lease:
    """Lease in the store as one process holds it or waits for it.

    :ivar fencing_token: version of the write that acquired the lease, 0
        when this process has not acquired it.
    """

    def __init__(self, store: StoreClient, name: str, holder: str) -> None:
        """Build a lease that this process has not acquired.

        :param store: client of the store that has the lease object.
        :param name: name of the lease object.
        :param holder: name of this process as lease holder.
        """
        self._store = store
        self._name = name
        self._holder = holder
        self._observed = ObservedLease(ABSENT, '', 0)
        self._valid_until = 0.0
        self.fencing_token = 0

    @property
    def held(self) -> bool:
        """Whether this process holds the lease now."""
        return time.monotonic() < self._valid_until

    async def maintain(self) -> None:
        """Renew the lease, or acquire it when it is free or has expired.

        :raises StoreError: when the store doesn't answer.
        """
        started_at = time.monotonic()
        stored = await self._store.read(LEASES, self._name)
        self._observe_version(stored, started_at)
        if self._observed.holder == self._holder and self.held:
            await self._write_holder(started_at)
            return
        free = not self._observed.holder
        expired = started_at - self._observed.since > LEASE_SECONDS
        if free or expired:
            await self._acquire(started_at)

    async def release(self) -> None:
        """Release the lease, so that others needn't wait until it expires."""
        if not self.held:
            return
        self._valid_until = 0
        await self._replace('')

    def _observe_version(self, stored: StoredObject | None, now: float) -> None:
        """Record the stored lease when its version has changed."""
        version = stored.version if stored else ABSENT
        if version == self._observed.version and version != ABSENT:
            return
        holder = stored.body['holder'] if stored else ''
        self._observed = ObservedLease(version, holder, now)

    async def _acquire(self, started_at: float) -> None:
        self.fencing_token = 0
        if await self._write_holder(started_at):
            self.fencing_token = self._observed.version

    async def _write_holder(self, started_at: float) -> bool:
        """Write this process as holder; the lease starts before the write."""
        if not await self._replace(self._holder):
            self._valid_until = 0
            return False
        self._valid_until = started_at + LEASE_SECONDS - SAFETY_MARGIN_SECONDS
        return True

    async def _replace(self, holder: str) -> bool:
        """Write ``holder`` on condition that the version is unchanged."""
        replacement = StoredObject(
            LEASES,
            self._name,
            self._observed.version,
            {'holder': holder},
        )
        outcome = await write_once(self._store, replacement, WRITE_SECONDS)
        if not isinstance(outcome, Written):
            return False
        self._observed = ObservedLease(
            outcome.version, holder, time.monotonic()
        )
        return True
