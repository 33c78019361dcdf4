"""Watch of the configuration in the store.

Only relays watch the store permanently. Other machines watch it until their
configuration is synchronized, and then receive items from the relays.
"""

import asyncio
import time

from galenaswitch.configuration.catalog import KINDS, make_item
from galenaswitch.configuration.relay import Relay
from galenaswitch.errors import StoreError
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.client import StoreClient

WATCH_TIMEOUT_SECONDS = 2
RECHECK_INTERVAL_SECONDS = 2
RELIST_INTERVAL_SECONDS = 60
IDLE_SECONDS = 0.3


class StoreWatch:
    """Passes configuration changes in the store to a relay."""

    def __init__(self, relay: Relay, store: StoreClient, mesh: Mesh) -> None:
        """Create the watch of one control process.

        :param relay: receives the items from the store.
        :param store: store to watch.
        :param mesh: decides whether this machine is a relay of its zone.
        """
        self._relay = relay
        self._store = store
        self._mesh = mesh
        self._revision = 0
        self._checked_revision = 0
        self._listed_at = -float(RELIST_INTERVAL_SECONDS)
        self._checked_at = -float(RECHECK_INTERVAL_SECONDS)

    async def watch(self) -> None:
        """Watch the store while this machine is a relay or not yet synced.

        The watch runs until it is cancelled. A store error is logged and
        followed by a new listing.
        """
        while True:
            if not self._mesh.is_relay() and self._relay.ready:
                await asyncio.sleep(IDLE_SECONDS)
                continue
            try:
                await self._refresh_if_due()
                await self._watch_once()
            except StoreError as error:
                get_logger().warning('store_watch_failed', reason=str(error))
                self._listed_at = -float(RELIST_INTERVAL_SECONDS)
                await asyncio.sleep(IDLE_SECONDS)

    async def list_store(self) -> None:
        """Read all configuration from the store.

        :raises StoreError: when the store doesn't answer.
        """
        listing = await self._store.list_kinds(*KINDS)
        self._revision = max(self._revision, listing.revision)
        self._relay.accept(make_item(stored) for stored in listing.objects)
        self._relay.has_read_store = True

    async def _refresh_if_due(self) -> None:
        """List the store or check for missed events if either is due."""
        now = time.monotonic()
        if now - self._listed_at >= RELIST_INTERVAL_SECONDS:
            await self.list_store()
            self._listed_at = now
        if now - self._checked_at >= RECHECK_INTERVAL_SECONDS:
            await self._recheck_events()
            self._checked_at = now

    async def _watch_once(self) -> None:
        """Wait for changes in the store and pass them to the relay."""
        listing = await self._store.watch(
            self._revision,
            WATCH_TIMEOUT_SECONDS,
            *KINDS,
        )
        self._revision = max(self._revision, listing.revision)
        self._relay.accept(make_item(stored) for stored in listing.objects)

    async def _recheck_events(self) -> None:
        """Request the changes since the previous check once more.

        A watch may silently miss an event. This check finds the change
        without reading all configuration again.
        """
        last_revision = self._revision
        listing = await self._store.watch(self._checked_revision, 0, *KINDS)
        self._relay.accept(make_item(stored) for stored in listing.objects)
        self._checked_revision = last_revision
