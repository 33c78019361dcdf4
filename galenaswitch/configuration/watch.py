"""Following the store as a relay of a zone."""

import asyncio
import time

from galenaswitch.configuration.catalog import KINDS, make_item
from galenaswitch.configuration.relay import Relay
from galenaswitch.errors import StoreError
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.client import StoreClient

WATCH_SECONDS = 2
RECHECK_SECONDS = 2
RELIST_SECONDS = 60
IDLE_SECONDS = 0.3


class StoreWatch:
    """Brings what the store tells to a relay."""

    def __init__(self, relay: Relay, store: StoreClient, mesh: Mesh) -> None:
        """Watch ``store`` while ``mesh`` makes this machine a relay."""
        self._relay = relay
        self._store = store
        self._mesh = mesh
        self._revision = 0
        self._checkpoint = 0
        self._listed_at = -float(RELIST_SECONDS)
        self._checked_at = -float(RECHECK_SECONDS)

    async def watch(self) -> None:
        """Follow the store while this machine is a relay, until cancelled."""
        while True:
            if not self._mesh.is_relay() and self._relay.ready:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            try:
                await self._catch_up()
                await self._follow()
            except StoreError as error:
                get_logger().warning('store_watch_failed', reason=str(error))
                self._listed_at = -float(RELIST_SECONDS)
                await asyncio.sleep(IDLE_SECONDS)

    async def list_store(self) -> None:
        """Read all configuration from the store.

        :raises StoreError: when the store doesn't answer.
        """
        listing = await self._store.list_kinds(*KINDS)
        self._revision = max(self._revision, listing.revision)
        self._relay.accept(make_item(stored) for stored in listing.objects)
        self._relay.has_read_store = True

    async def _catch_up(self) -> None:
        """List or ask again when it is time to."""
        now = time.monotonic()
        if now - self._listed_at >= RELIST_SECONDS:
            await self.list_store()
            self._listed_at = now
        if now - self._checked_at >= RECHECK_SECONDS:
            await self._recheck()
            self._checked_at = now

    async def _follow(self) -> None:
        listing = await self._store.watch(
            self._revision,
            WATCH_SECONDS,
            *KINDS,
        )
        self._revision = max(self._revision, listing.revision)
        self._relay.accept(make_item(stored) for stored in listing.objects)

    async def _recheck(self) -> None:
        """Ask again for what was written since the check before.

        A watch may silently miss an event; this finds it without reading
        all configuration again.
        """
        known = self._revision
        listing = await self._store.watch(self._checkpoint, 0, *KINDS)
        self._relay.accept(make_item(stored) for stored in listing.objects)
        self._checkpoint = known
