"""Who hands out a workspace's permits.

Each workspace has a home zone, and in each zone a holder, both picked by
rendezvous hashing.
"""

from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.membership.lists import MemberList, Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.membership.ranking import rank_nodes


class PermitSource(NamedTuple):
    """Where a workspace's permits come from.

    :param zones: number of zones that have machines.
    :param home: the workspace's home zone.
    """

    zones: int
    home: str


class PermitSources:
    """Places of all workspaces, as one control process sees them.

    What was worked out is kept until the list or the reachable machines
    change, since each report asks for all workspaces in use.
    """

    def __init__(self, mesh: Mesh, members: Members) -> None:
        """Pick among the zones of ``members`` and the peers of ``mesh``."""
        self._mesh = mesh
        self._members = members
        self._member_list: MemberList | None = None
        self._zones: frozenset[str] = frozenset()
        self._homes: dict[str, str] = {}
        self._reachable_nodes: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}

    def find_source(self, workspace: str) -> PermitSource:
        """Return the place of a workspace."""
        self._refresh_zones()
        home = self._homes.get(workspace)
        if home is None:
            home = rank_nodes(f'home/{workspace}', self._zones)[0]
            self._homes[workspace] = home
        return PermitSource(len(self._zones), home)

    def is_home(self, workspace: str) -> bool:
        """Tell whether this zone is a workspace's home."""
        return self.find_source(workspace).home == self._mesh.zone

    def find_owner(self, workspace: str) -> str:
        """Return the machine of this zone that holds a workspace."""
        return self.make_owner_lookup()(workspace)

    def make_owner_lookup(self) -> Callable[[str], str]:
        """Return what tells the holder of a workspace, as of now."""
        reachable_nodes = self._mesh.reachable()
        if reachable_nodes != self._reachable_nodes:
            self._reachable_nodes = reachable_nodes
            self._owners = {}
        return self._pick_owner

    def home_share(self) -> float:
        """Return the share that a home hands out.

        It is all but the floors of zones that are out of reach.
        """
        self._refresh_zones()
        unreachable = [
            zone
            for zone in self._zones - {self._mesh.zone}
            if not self._mesh.links(zone)
        ]
        return 1 - len(unreachable) / len(self._zones)

    def _pick_owner(self, workspace: str) -> str:
        owner = self._owners.get(workspace)
        if owner is None:
            owner = rank_nodes(f'limits/{workspace}', self._reachable_nodes)[0]
            self._owners[workspace] = owner
        return owner

    def _refresh_zones(self) -> None:
        if self._members.listed is self._member_list:
            return
        self._member_list = self._members.listed
        zones = {machine.zone for machine in self._members.machines()}
        self._zones = frozenset(zones | {self._mesh.zone})
        self._homes = {}
