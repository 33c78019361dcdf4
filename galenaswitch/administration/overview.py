"""What operators see of the running system."""

import time
from typing import Any

from galenaswitch.administration.objects import UnknownObjectError
from galenaswitch.configuration.catalog import KINDS, Catalog, make_item
from galenaswitch.configuration.status import STATUS, find_outdated
from galenaswitch.errors import StoreUnavailableError
from galenaswitch.membership.links import Service, dial
from galenaswitch.membership.lists import (
    EMPTY_MEMBER_LIST,
    MemberList,
    parse_members,
)
from galenaswitch.operations.dump import DumpReply, DumpRequest
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.client import StoreClient

DUMP_SECONDS = 3
STALE_SECONDS = 15


class StoreOverview:
    """Status from the store, dumps from the processes."""

    def __init__(
        self,
        store: StoreClient,
        service: Service,
        tasks: TaskGroup,
        metrics: Metrics,
    ) -> None:
        """Read ``store``; dial controls as ``service``."""
        self._metrics = metrics
        self._store = store
        self._service = service
        self._tasks = tasks
        self._listed = EMPTY_MEMBER_LIST

    async def show_status(self) -> dict[str, Any]:
        """Return what is in force where, and which machines are behind.

        A zone whose account is old is cut off from the platform or has no
        machine left; it is listed under ``silent``.
        """
        catalog = Catalog()
        listing = await self._store.list_kinds(*KINDS)
        catalog.accept(make_item(stored) for stored in listing.objects)
        accounts = await self._store.list_kinds(STATUS)
        zones = {stored.name: stored.body for stored in accounts.objects}
        oldest = time.time() - STALE_SECONDS
        return {
            'digest': catalog.digest(),
            'zones': zones,
            'behind': find_outdated(zones, catalog.digest()),
            'silent': [
                name
                for name, account in zones.items()
                if account['at'] < oldest
            ],
        }

    async def dump(self, node: str, program: str) -> dict[str, Any]:
        """Return the state of one process.

        For the program ``admin`` it is the state of the process that
        answers, whatever the machine.

        :raises UnknownObjectError: when no machine has that name.
        :raises PeerError: when the machine can't be asked.
        """
        if program == 'admin':
            return self._dump_own()
        listed = await self._read_members()
        found = [one for one in listed.machines if one.name == node]
        if not found:
            raise UnknownObjectError(f'no machine named {node}')
        link = await dial(found[0].address, found[0].port, self._service)
        serving = self._tasks.start(link.serve())
        try:
            reply = await link.request(DumpRequest(program), DUMP_SECONDS)
        finally:
            serving.cancel()
            link.close()
        return reply.state if isinstance(reply, DumpReply) else {}

    async def _read_members(self) -> MemberList:
        """Return the platform's list, the last one read while it is down.

        :raises StoreUnavailableError: when no list was ever read.
        """
        try:
            document = await self._store.read_list(
                'members',
                self._listed.revision,
            )
        except StoreUnavailableError:
            if self._listed is EMPTY_MEMBER_LIST:
                raise
            return self._listed
        if document is not None:
            self._listed = parse_members(document)
        return self._listed

    def _dump_own(self) -> dict[str, Any]:
        return {
            'identity': self._service.identity._asdict(),
            'store_calls': dict(self._store.calls),
            'counters': self._metrics.dump(),
        }
