"""Status of each zone in the store: which configuration is in force where.

Every control process reports the status of its machine to the relays of its
zone. The first relay writes one status object for the zone.
"""

import time
from typing import Any, NamedTuple

from galenaswitch.configuration.messages import NodeStatus
from galenaswitch.errors import StoreConflictError
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh
from galenaswitch.store.client import StoreClient
from galenaswitch.store.objects import ABSENT

STATUS = 'status'
REPORT_SECONDS = 1
RESEND_SECONDS = 2.5
STATUS_EXPIRY_SECONDS = 5
REWRITE_INTERVAL_SECONDS = 10


class ReceivedStatus(NamedTuple):
    """Status of a machine with the time of its arrival.

    :param status: latest status of the machine.
    :param at: monotonic time in seconds.
    """

    status: NodeStatus
    at: float


class ZoneStatus:
    """Collects the status of the machines of a zone and stores it."""

    def __init__(self, mesh: Mesh, store: StoreClient) -> None:
        """Create the collector of one control process.

        :param mesh: links to the other machines, with the zone's relays.
        :param store: store that gets the status of the zone.
        """
        self._mesh = mesh
        self._store = store
        self._received: dict[str, ReceivedStatus] = {}
        self._version = ABSENT
        self._written: dict[str, Any] = {}
        self._written_at = 0.0
        self._sent: tuple[NodeStatus, tuple[str, ...]] | None = None
        self._sent_at = 0.0

    async def receive(self, link: Link, status: NodeStatus) -> None:
        """Record the status of a machine of the zone."""
        self._received[status.node] = ReceivedStatus(status, time.monotonic())

    async def report(self, status: NodeStatus) -> None:
        """Send a status to the relays, and write it as the first relay.

        A changed status or a change of relays is sent at once. An unchanged
        status is sent less often.

        :param status: status of this machine.
        :raises StoreError: when the store doesn't answer.
        """
        now = time.monotonic()
        self._received[status.node] = ReceivedStatus(status, now)
        relays = self._mesh.relays()
        current = (status, relays)
        if current != self._sent or now - self._sent_at >= RESEND_SECONDS:
            self._send_status(status, relays)
            self._sent = current
            self._sent_at = now
        if relays[0] == self._mesh.node:
            await self._write()

    def summarize_nodes(self) -> dict[str, Any]:
        """Return the digest and readiness of each machine by name.

        Machines without a recent status are left out.
        """
        oldest = time.monotonic() - STATUS_EXPIRY_SECONDS
        return {
            name: {
                'digest': received.status.digest,
                'ready': received.status.ready,
            }
            for name, received in sorted(self._received.items())
            if received.at > oldest
        }

    def _send_status(self, status: NodeStatus, relays: tuple[str, ...]) -> None:
        """Send a status to each relay with an open link."""
        for node in relays:
            link = self._mesh.find_link(node)
            if link and not link.closed:
                link.send(status)

    async def _write(self) -> None:
        """Write the zone's status if it changed or its last write is old."""
        nodes = self.summarize_nodes()
        now = time.monotonic()
        is_recent = now - self._written_at < REWRITE_INTERVAL_SECONDS
        if nodes == self._written and is_recent:
            return
        body = {'nodes': nodes, 'at': time.time()}
        try:
            self._version = await self._store.write(
                STATUS,
                self._mesh.zone,
                body,
                self._version,
            )
        except StoreConflictError as error:
            self._version = error.current
            return
        self._written = nodes
        self._written_at = now


def find_outdated(
    zones: dict[str, dict[str, Any]],
    digest: str,
) -> list[str]:
    """Return the machines whose configuration has another digest.

    :param zones: status object of each zone.
    :param digest: digest of the current configuration.

    >>> nodes = {'a': {'digest': 'd'}, 'b': {'digest': 'e'}}
    >>> find_outdated({'z1': {'nodes': nodes}}, 'd')
    ['b']
    """
    return [
        name
        for zone in zones.values()
        for name, state in zone['nodes'].items()
        if state['digest'] != digest
    ]
