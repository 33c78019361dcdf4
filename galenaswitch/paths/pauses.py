"""Pauses of targets, shared by the VMs at both ends of a tunnel."""

from collections.abc import Callable
from typing import Any

from galenaswitch.errors import PeerError
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Target
from galenaswitch.membership.mesh import Mesh, push
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.paths.exits import Exits
from galenaswitch.paths.messages import PauseNote
from galenaswitch.paths.tunnels import Tunnels

# Longest time in seconds for a link to a VM that uses a tunnel.
LINK_SECONDS = 0.3


class SharedPauses:
    """Tells the VMs at the other ends of tunnels about pauses of targets.

    :ivar apply: applies a pause on this VM, and tells whether it is new.
    """

    def __init__(
        self, mesh: Mesh, tunnels: Tunnels, exits: Exits, tasks: TaskGroup
    ) -> None:
        """Share the pauses of targets to which there are tunnels."""
        self.apply: Callable[[PauseNote], bool] = lambda note: False
        self._mesh = mesh
        self._tunnels = tunnels
        self._exits = exits
        self._tasks = tasks

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {PauseNote: self._receive}

    def share(self, target: Target, seconds: float) -> None:
        """Share a pause that a target has asked this VM for."""
        note = PauseNote(target.url, target.name, target.incarnation, seconds)
        self._send_all(note, '')

    def _receive(self, link: Link, note: PauseNote) -> None:
        if self.apply(note):
            self._send_all(note, link.peer.node)

    def _send_all(self, note: PauseNote, source: str) -> None:
        nodes = self._tunnels.find_exits(note.address)
        nodes |= self._exits.find_users(note.address)
        for node in nodes - {source}:
            self._tasks.start(self._send(node, note))

    async def _send(self, node: str, note: PauseNote) -> None:
        try:
            link = await self._mesh.connect(node, LINK_SECONDS)
        except PeerError as error:
            get_logger().info('push_failed', peer=node, reason=str(error))
        else:
            push(link, note)
