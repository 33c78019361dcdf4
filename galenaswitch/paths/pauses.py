"""Pauses of targets, shared by the VMs at both ends of a tunnel."""

import time
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
        self._known: dict[str, tuple[float, PauseNote]] = {}
        exits.find_pauses = self._find
        tunnels.on_pause = self._record

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {PauseNote: self._receive}

    def share(self, target: Target, seconds: float) -> None:
        """Share a pause that a target has asked this VM for."""
        note = PauseNote(target.url, target.name, target.incarnation, seconds)
        self._remember(note)
        self._send_all(note, '')

    def _receive(self, link: Link, note: PauseNote) -> None:
        if self._record(note):
            self._send_all(note, link.peer.node)

    def _record(self, note: PauseNote) -> bool:
        """Apply a pause on this VM and return whether it is new."""
        self._remember(note)
        return self.apply(note)

    def _remember(self, note: PauseNote) -> None:
        now = time.monotonic()
        self._known = {
            incarnation: (end, known)
            for incarnation, (end, known) in self._known.items()
            if end > now
        }
        end, _ = self._known.get(note.incarnation, (now, note))
        end = max(end, now + note.seconds)
        self._known[note.incarnation] = (end, note)

    def _find(self, address: str) -> tuple[PauseNote, ...]:
        """Return the pauses at an address, with the time that is left."""
        now = time.monotonic()
        return tuple(
            note._replace(seconds=end - now)
            for end, note in self._known.values()
            if note.address == address and end > now
        )

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
