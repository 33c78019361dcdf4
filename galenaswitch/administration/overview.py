"""Status of the running system and state dumps, for operators.

The status is read from the store, and a state dump from the process itself.
"""

import time
from typing import Any

from galenaswitch.administration.objects import UnknownObjectError
from galenaswitch.configuration.catalog import KINDS, Catalog, make_item
from galenaswitch.configuration.status import STATUS, find_outdated
from galenaswitch.errors import StoreUnavailableError
from galenaswitch.membership.links import LinkService, dial
from galenaswitch.membership.lists import (
    EMPTY_MEMBER_LIST,
    MemberList,
    parse_members,
)
from galenaswitch.operations.dump import DumpReply, DumpRequest
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.client import StoreClient

DUMP_TIMEOUT_SECONDS = 3
MAX_STATUS_AGE_SECONDS = 15


class StoreOverview:
    """Reads the zones' status from the store and dumps from processes."""

    def __init__(
        self,
        store: StoreClient,
        service: LinkService,
        tasks: TaskGroup,
        metrics: Metrics,
    ) -> None:
        """Build an overview from ``store`` and the control processes.

        :param service: identity with which control processes are dialled.
        :param tasks: runs the links to control processes.
        """
        self._metrics = metrics
        self._store = store
        self._service = service
        self._tasks = tasks
        self._member_list = EMPTY_MEMBER_LIST

    async def show_status(self) -> dict[str, Any]:
        """Return the configuration in force in each zone.

        ``behind`` lists the machines with another configuration than the
        store. ``silent`` lists the zones with an outdated status object: such
        a zone can't reach the platform or has no running machine.
        """
        catalog = Catalog()
        listing = await self._store.list_kinds(*KINDS)
        catalog.accept(make_item(stored) for stored in listing.objects)
        statuses = await self._store.list_kinds(STATUS)
        zones = {stored.name: stored.body for stored in statuses.objects}
        oldest_valid = time.time() - MAX_STATUS_AGE_SECONDS
        return {
            'digest': catalog.digest(),
            'zones': zones,
            'behind': find_outdated(zones, catalog.digest()),
            'silent': [
                name
                for name, zone_status in zones.items()
                if zone_status['at'] < oldest_valid
            ],
        }

    async def dump(self, node: str, program: str) -> dict[str, Any]:
        """Return the state dump of one process.

        For the program ``admin``, this process dumps its own state and ignores
        the name of the machine.

        :raises UnknownObjectError: when no machine has that name.
        :raises PeerError: when the machine is unreachable or doesn't reply.
        """
        if program == 'admin':
            return self._dump_own_state()
        members = await self._read_members()
        matches = [
            machine for machine in members.machines if machine.name == node
        ]
        if not matches:
            raise UnknownObjectError(f'no machine named {node}')
        link = await dial(matches[0].address, matches[0].port, self._service)
        link_task = self._tasks.start(link.serve())
        try:
            reply = await link.request(
                DumpRequest(program), DUMP_TIMEOUT_SECONDS
            )
        finally:
            link_task.cancel()
            link.close()
        return reply.state if isinstance(reply, DumpReply) else {}

    async def _read_members(self) -> MemberList:
        """Return the platform's member list.

        While the store is unavailable, the last list that was read is used.

        :raises StoreUnavailableError: when no list has been read yet.
        """
        try:
            document = await self._store.read_list(
                'members',
                self._member_list.revision,
            )
        except StoreUnavailableError:
            if self._member_list is EMPTY_MEMBER_LIST:
                raise
            return self._member_list
        if document is not None:
            self._member_list = parse_members(document)
        return self._member_list

    def _dump_own_state(self) -> dict[str, Any]:
        return {
            'identity': self._service.identity._asdict(),
            'store_calls': dict(self._store.calls),
            'counters': self._metrics.dump(),
        }
