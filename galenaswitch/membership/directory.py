"""Machines and targets as the platform's store or peers tell of them."""

from collections.abc import Iterable

from galenaswitch.membership.lists import (
    Machine,
    MemberList,
    Members,
    Target,
)
from galenaswitch.operations.logs import get_logger


class Directory:
    """Puts what is told of machines and targets into one member list.

    A list of a peer counts only until the store has told of the same.
    """

    def __init__(self, members: Members, own: Machine) -> None:
        """Keep ``members``; ``own`` is always one of the machines."""
        self._members = members
        self._own = own
        self._machines: dict[str, Machine] = {own.name: own}
        self._targets: dict[str, Target] = {}
        self.has_store_machines = False
        self.has_store_targets = False
        self._publish()

    @property
    def target_count(self) -> int:
        """Number of targets that are known."""
        return len(self._targets)

    def apply_machines(self, machines: Iterable[Machine]) -> None:
        """Take the store's list of machines."""
        self.has_store_machines = True
        found = {machine.name: machine for machine in machines}
        found[self._own.name] = self._own
        if found != self._machines:
            self._machines = found
            self._publish()

    def apply_targets(self, targets: Iterable[Target]) -> None:
        """Take the store's list of targets, logging what changed."""
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

    def apply_peer_list(self, listed: MemberList) -> None:
        """Take a peer's list where the store has told nothing yet."""
        if not self.has_store_machines:
            for machine in listed.machines:
                self._machines.setdefault(machine.name, machine)
        if not self.has_store_targets:
            self._targets = {target.name: target for target in listed.targets}
        self._publish()

    def _publish(self) -> None:
        listed = MemberList(
            self._members.member_list.revision + 1,
            tuple(self._machines.values()),
            tuple(self._targets.values()),
        )
        self._members.accept(listed)


def _log_target(target: Target) -> None:
    get_logger().info(
        'target_listed',
        target=target.name,
        service=target.pool,
        address=target.url,
        zone=target.zone,
        state=target.state,
        incarnation=target.incarnation,
    )
