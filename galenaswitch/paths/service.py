"""The paths of one VM: its dialer, its tunnels, and those that it serves."""

from collections.abc import Callable
from typing import Any

from galenaswitch.connections.dialing import DirectDialer
from galenaswitch.membership.links import Link, LinkService
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.paths.dialer import PathDialer
from galenaswitch.paths.exits import Exits
from galenaswitch.paths.notes import PathNotes
from galenaswitch.paths.pauses import SharedPauses
from galenaswitch.paths.tunnels import Tunnels


class Paths:
    """Connects the components that open connections to targets.

    :ivar members: the targets, and the VMs that may be exits.
    """

    def __init__(
        self,
        service: LinkService,
        members: Members,
        mesh: Mesh,
        tasks: TaskGroup,
        metrics: Metrics,
        direct: DirectDialer,
    ) -> None:
        """Build the paths of the VM that ``service`` identifies."""
        self.members = members
        self.is_available: Callable[[str], bool] = lambda node: True
        self.notes = PathNotes(service.identity, mesh)
        self.tunnels = Tunnels(
            service, members, mesh, self._may_be_exit, metrics
        )
        self.dialer = PathDialer(
            direct, self.tunnels, members, self.notes, tasks, metrics
        )
        self.notes.on_lost = self.tunnels.retire
        mesh.on_link_close.append(self._retire_peer)
        self.exits = Exits(direct, self._may_connect, metrics)
        self.pauses = SharedPauses(mesh, self.tunnels, self.exits, tasks)

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {
            **self.exits.handlers(),
            **self.notes.handlers(),
            **self.pauses.handlers(),
        }

    def _retire_peer(self, link: Link) -> None:
        self.tunnels.retire(link.peer.node)

    def _may_be_exit(self, node: str) -> bool:
        return self.is_available(node)

    def _may_connect(self, address: str) -> bool:
        """Tell whether this VM may connect to an address for another VM."""
        if self.dialer.monitor.is_lost:
            return False
        return any(
            not self.members.is_evacuated(target)
            for target in self.members.find_targets_by_url(address)
        )
