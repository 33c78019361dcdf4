"""Selection of the home zone and the owner VM of each workspace.

Each workspace has one home zone, and one owner in each zone. Both are picked by
rendezvous hashing. The home zone is the source of the workspace's permits.
"""

from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.membership.lists import MemberList, Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.membership.ranking import rank_nodes


class PermitSource(NamedTuple):
    """Home zone that grants a workspace's permits, and number of zones.

    :param zones: number of zones that have VMs.
    :param home: the workspace's home zone.
    """

    zones: int
    home: str


class PermitSources:
    """Permit sources of all workspaces, as seen by one control process.

    Home zones are cached until the member list changes, owners until the
    reachable VMs change. The cache saves hashing, because each usage report
    looks up all workspaces in use.
    """

    def __init__(self, mesh: Mesh, members: Members) -> None:
        """Build sources from the VMs of ``members`` and ``mesh``.

        :param mesh: links to the VMs from which an owner is picked.
        :param members: VMs from whose zones a home zone is picked.
        """
        self._mesh = mesh
        self._members = members
        self._member_list: MemberList | None = None
        self._zones: frozenset[str] = frozenset()
        self._homes: dict[str, str] = {}
        self._reachable_nodes: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}

    def find_source(self, workspace: str) -> PermitSource:
        """Return the permit source of a workspace."""
        self._refresh_zones()
        home = self._homes.get(workspace)
        if home is None:
            home = rank_nodes(f'home/{workspace}', self._zones)[0]
            self._homes[workspace] = home
        return PermitSource(len(self._zones), home)

    def is_home(self, workspace: str) -> bool:
        """Tell whether this zone is the home zone of a workspace."""
        return self.find_source(workspace).home == self._mesh.zone

    def find_owner(self, workspace: str) -> str:
        """Return the VM in this zone that owns a workspace."""
        return self.make_owner_lookup()(workspace)

    def make_owner_lookup(self) -> Callable[[str], str]:
        """Return a function that gives the owner of a workspace.

        The function picks among the VMs that are reachable now.
        """
        reachable_nodes = self._mesh.reachable()
        if reachable_nodes != self._reachable_nodes:
            self._reachable_nodes = reachable_nodes
            self._owners = {}
        return self._pick_owner

    def home_share(self) -> float:
        """Return the share of a contract that its home zone may grant.

        The home zone withholds the guaranteed minimum of each unreachable
        zone.
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
        if self._members.member_list is self._member_list:
            return
        self._member_list = self._members.member_list
        zones = {machine.zone for machine in self._members.machines()}
        self._zones = frozenset(zones | {self._mesh.zone})
        self._homes = {}
