"""What one process knows of the versions at which streams may have begun.

It outlives a restore of the store, which may lose a record. A process knows
each version that it has admitted, and each that a record has named to it. For
the earlier processes of its VM it stands only if none ran there, or if it has
read a complete record since they ended.
"""

import time
from collections.abc import Iterable

from galenaswitch.gateway.version_documents import VersionRecord
from galenaswitch.gateway.version_messages import KnownVersionsReply

# Time in seconds after which no caller takes up a stream that began at a
# version which neither a record nor a target names any more.
RETENTION_SECONDS = 600.0
# A service, and the version of its software.
ServiceVersion = tuple[str, str]


class VersionKnowledge:
    """Versions that one process knows.

    >>> knowledge = VersionKnowledge(covers_all=False)
    >>> knowledge.note([('llm', 'v1')])
    >>> knowledge.covers('llm')
    False
    >>> knowledge.note_read('llm', VersionRecord(('v1', 'v2'), 3, True), era=3)
    >>> knowledge.covers('llm')
    True
    >>> knowledge.export().versions
    (('llm', 'v1'), ('llm', 'v2'))
    """

    def __init__(self, *, covers_all: bool) -> None:
        """Build the knowledge of a process that has just started.

        :param covers_all: whether no process ran on the VM before.
        """
        self._covers_all = covers_all
        self._covered: set[str] = set()
        self._known_at: dict[ServiceVersion, float] = {}

    def note(self, versions: Iterable[ServiceVersion]) -> None:
        """Note versions that are admitted, or named by a record, now."""
        now = time.monotonic()
        self._known_at = {
            one: at
            for one, at in self._known_at.items()
            if at > now - RETENTION_SECONDS
        } | dict.fromkeys(versions, now)

    def note_record(self, service: str, record: VersionRecord) -> None:
        """Note the versions that a record names."""
        self.note((service, version) for version in record.versions)

    def note_read(self, service: str, record: VersionRecord, era: int) -> None:
        """Note a record that the store itself has shown.

        :param era: era of the store.
        """
        self.note_record(service, record)
        if record.complete and record.era == era:
            self._covered.add(service)

    def covers(self, service: str) -> bool:
        """Tell whether all versions used on this VM so far are known."""
        return self._covers_all or service in self._covered

    def find_services(self) -> set[str]:
        """Return the services of which versions are known."""
        return {service for service, _ in self._known_at}

    def export(self) -> KnownVersionsReply:
        """Return the knowledge in the form in which other VMs get it."""
        return KnownVersionsReply(
            tuple(sorted(self._known_at)),
            self._covers_all,
            tuple(sorted(self._covered)),
        )
