"""Member list built from the platform's store and from peers."""

from collections.abc import Iterable

from galenaswitch.membership.lists import (
    Machine,
    MemberList,
    Members,
    Target,
)
from galenaswitch.operations.logs import get_logger


class Directory:
    """Merges VMs and targets from several sources into one member list.

    The store's lists take precedence: a peer's list of VMs or targets is
    applied only until the store has returned its own. Each change makes a new
    revision of the member list.
    """

    def __init__(self, members: Members, own: Machine) -> None:
        """Build a directory that updates ``members``.

        :param own: this VM, which is always in the list.
        """
        self._members = members
        self._own = own
        self._machines: dict[str, Machine] = {own.name: own}
        self._targets: dict[str, Target] = {}
        self.has_store_machines = False
        self.has_store_targets = False
        self._publish()

    @property
    def target_count(self) -> int:
        """Number of targets in the member list."""
        return len(self._targets)

    def count_machines(self) -> int:
        """Return the number of VMs in the member list."""
        return len(self._machines)

    def apply_machines(self, machines: Iterable[Machine]) -> None:
        """Replace the VMs by the store's list."""
        self.has_store_machines = True
        found = {machine.name: machine for machine in machines}
        found[self._own.name] = self._own
        if found != self._machines:
            self._machines = found
            self._publish()

    def apply_targets(self, targets: Iterable[Target]) -> None:
        """Replace the targets by the store's list and log each change."""
        self.has_store_targets = True
        found = {target.name: target for target in targets}
        for name in self._targets.keys() - found.keys():
            get_logger().info('target_gone', target=name)
        for name, target in found.items():
            if self._targets.get(name) != target:
                _log_target(target)
        if found != self._targets:
            self._targets = found
            self._publish()

    def apply_peer_list(self, member_list: MemberList) -> None:
        """Apply a peer's member list where the store has returned none yet.

        The peer's VMs are added to the known VMs; its targets replace the known
        targets.
        """
        if not self.has_store_machines:
            for machine in member_list.machines:
                self._machines.setdefault(machine.name, machine)
        if not self.has_store_targets:
            self._targets = {
                target.name: target for target in member_list.targets
            }
        self._publish()

    def _publish(self) -> None:
        member_list = MemberList(
            self._members.member_list.revision + 1,
            tuple(self._machines.values()),
            tuple(self._targets.values()),
        )
        self._members.accept(member_list)


def _log_target(target: Target) -> None:
    get_logger().info(
        'target_listed',
        target=target.name,
        service=target.pool,
        address=target.url,
        zone=target.zone,
        state=target.state,
        incarnation=target.incarnation,
        version=target.version,
    )
