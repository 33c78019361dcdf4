"""What is in force where: each zone's own account in the store.

Every control tells the relays of its zone what its entry has in force; the
first relay writes one status object for the zone.
"""

import time
from typing import Any, NamedTuple

from galenaswitch.configuration.messages import NodeStatus
from galenaswitch.errors import StoreConflictError
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh
from galenaswitch.store.client import ABSENT, StoreClient

STATUS = 'status'
REPORT_SECONDS = 1
REPEAT_SECONDS = 2.5
KEEP_SECONDS = 5
REWRITE_SECONDS = 10


class Heard(NamedTuple):
    """A status and when it was heard, in monotonic seconds."""

    status: NodeStatus
    at: float


class ZoneStatus:
    """The zone's account of its machines."""

    def __init__(self, mesh: Mesh, store: StoreClient) -> None:
        """Write through ``store`` while this machine relays."""
        self._mesh = mesh
        self._store = store
        self._heard: dict[str, Heard] = {}
        self._version = ABSENT
        self._written: dict[str, Any] = {}
        self._written_at = 0.0
        self._told: tuple[NodeStatus, tuple[str, ...]] | None = None
        self._told_at = 0.0

    async def receive(self, link: Link, status: NodeStatus) -> None:
        """Take the status of a machine of the zone."""
        self._heard[status.node] = Heard(status, time.monotonic())

    async def report(self, status: NodeStatus) -> None:
        """Tell the relays, and write the account if that is our duty.

        Relays are told what is new at once, the same again less often.

        :raises StoreError: when the store doesn't answer.
        """
        now = time.monotonic()
        self._heard[status.node] = Heard(status, now)
        relays = self._mesh.relays()
        news = (status, relays)
        if news != self._told or now - self._told_at >= REPEAT_SECONDS:
            self._tell(status, relays)
            self._told = news
            self._told_at = now
        if relays[0] == self._mesh.node:
            await self._write()

    def account(self) -> dict[str, Any]:
        """Return what each machine heard of lately has in force."""
        oldest = time.monotonic() - KEEP_SECONDS
        return {
            name: {
                'digest': heard.status.digest,
                'ready': heard.status.ready,
            }
            for name, heard in sorted(self._heard.items())
            if heard.at > oldest
        }

    def _tell(self, status: NodeStatus, relays: tuple[str, ...]) -> None:
        for node in relays:
            link = self._mesh.find_link(node)
            if link and not link.closed:
                link.send(status)

    async def _write(self) -> None:
        account = self.account()
        now = time.monotonic()
        fresh = now - self._written_at < REWRITE_SECONDS
        if account == self._written and fresh:
            return
        body = {'nodes': account, 'at': time.time()}
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
        self._written = account
        self._written_at = now


def find_outdated(
    zones: dict[str, dict[str, Any]],
    digest: str,
) -> list[str]:
    """Return the machines that don't have a digest in force.

    >>> nodes = {'a': {'digest': 'd'}, 'b': {'digest': 'e'}}
    >>> find_outdated({'z1': {'nodes': nodes}}, 'd')
    ['b']
    """
    return [
        name
        for account in zones.values()
        for name, state in account['nodes'].items()
        if state['digest'] != digest
    ]
