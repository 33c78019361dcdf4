"""Messages between VMs about the software versions that they have used."""

from typing import NamedTuple


class KnownVersionsQuery(NamedTuple):
    """Query for the versions at which streams may have begun.

    Who answers uses no record of an earlier era of the store from then on.

    :param era: era of the store.
    """

    era: int


class KnownVersionsReply(NamedTuple):
    """Reply with all versions that a process knows.

    :param versions: pairs of a service and a version.
    :param covers_all: whether no process ran on the VM before this one.
    :param covered: services for which the process knows all versions at which
        streams began on its VM before it started.
    """

    versions: tuple[tuple[str, str], ...]
    covers_all: bool
    covered: tuple[str, ...]

    def covers(self, service: str) -> bool:
        """Tell whether the reply stands for all processes of its VM so far."""
        return self.covers_all or service in self.covered
