"""Makes the records of versions complete again after a restore of the store.

A restored store may lack a version that was recorded after the copy was made.
Each process that used the version still knows it. So one VM queries all others;
once each of them has answered, all versions at which streams may have begun
are known, and the records of the new era name them.

A VM that doesn't answer, or whose process started too late to know what earlier
ones used, leaves the records incomplete. Then they become complete only when
all callers have given up their earlier streams.
"""

import asyncio
from typing import Any

from galenaswitch.errors import PeerClosedError, PeerError, StoreError
from galenaswitch.gateway.version_messages import (
    KnownVersionsQuery,
    KnownVersionsReply,
)
from galenaswitch.gateway.version_records import VersionRecords
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup

REPLY_TIMEOUT_SECONDS = 1.0
# Pauses between two rounds of queries: the first and the longest.
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 5.0


class VersionRecovery:
    """Queries all VMs for the versions that they know."""

    def __init__(
        self,
        records: VersionRecords,
        mesh: Mesh,
        members: Members,
        tasks: TaskGroup,
    ) -> None:
        """Build a recovery that begins when ``records`` meet a new era."""
        self._records = records
        self._mesh = mesh
        self._members = members
        self._tasks = tasks
        records.stored.on_restore = self.begin

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {KnownVersionsQuery: self._answer}

    def begin(self, era: int) -> None:
        """Begin the recovery in a new era of the store."""
        self._tasks.start(self._run(era))

    async def _run(self, era: int) -> None:
        """Recover the records, unless another VM does it or the era is over."""
        names: set[str] = set()
        pause = FIRST_PAUSE_SECONDS
        while self._records.stored.era == era and (
            self._records.find_incomplete()
        ):
            # A restored store may lack the entries of VMs for a moment.
            names |= {one.name for one in self._members.machines()}
            if self._records.is_writer:
                await self._try_recovery(names, era)
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_PAUSE_SECONDS)

    async def _try_recovery(self, names: set[str], era: int) -> None:
        try:
            await self._recover(names, era)
        except (PeerError, StoreError) as error:
            get_logger().info('versions_incomplete', reason=str(error))

    async def _recover(self, names: set[str], era: int) -> None:
        """Query all VMs and write the records that name all versions.

        The records are read first and written only if they are the same since.
        So they name what a VM has begun to use after its answer.

        :raises PeerError: when a VM doesn't answer.
        :raises StoreError: when the store doesn't answer, or a record has
            changed.
        """
        stored = self._records.stored
        await stored.read()
        before = dict(stored.records)
        others = names - {self._mesh.node}
        replies = await asyncio.gather(
            *(self._query(node, era) for node in others)
        )
        replies.append(stored.knowledge.export())
        versions = {one for reply in replies for one in reply.versions}
        for service in sorted({service for service, _ in versions}):
            if all(reply.covers(service) for reply in replies):
                known = {name for one, name in versions if one == service}
                await self._records.complete(service, known, before, era)

    async def _query(self, node: str, era: int) -> KnownVersionsReply:
        """Return the answer of a VM.

        :raises PeerError: when there is none.
        """
        link = await self._mesh.connect(node, REPLY_TIMEOUT_SECONDS)
        reply = await link.request(
            KnownVersionsQuery(era), REPLY_TIMEOUT_SECONDS
        )
        if not isinstance(reply, KnownVersionsReply):
            raise PeerClosedError(f'{node} gives another answer')
        return reply

    async def _answer(
        self, link: Link, query: KnownVersionsQuery
    ) -> KnownVersionsReply:
        stored = self._records.stored
        stored.observe_era(query.era)
        return stored.knowledge.export()
