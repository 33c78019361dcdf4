"""Borrows the parts of all VMs for the services that this VM owns."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any

from galenaswitch.cold.grants import Grant, Grants, Leases
from galenaswitch.cold.messages import GrantQuery, GrantReply
from galenaswitch.errors import PeerError
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup

# Seconds between two queries to each VM: a lost one costs no part.
RENEW_SECONDS = 0.3
# Seconds after which a VM that doesn't reply has lent nothing.
REPLY_TIMEOUT_SECONDS = 0.25


class GrantOwner:
    """Parts of the rates that this VM may grant."""

    def __init__(
        self, members: Members, mesh: Mesh, owner_router: OwnerRouter
    ) -> None:
        """Build an owner that has borrowed nothing."""
        self._members = members
        self._mesh = mesh
        self._owner_router = owner_router
        self._grants = Grants()
        self._leases = Leases(time.monotonic())
        self._lent: dict[str, int] = {}

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {GrantQuery: self._answer}

    def find(self, service: str, rate: float, now: float) -> Grant:
        """Return what this VM may grant of a service's cold targets."""
        return self._grants.find(service, rate, now)

    async def renew(
        self, tasks: TaskGroup, list_services: Callable[[], Iterable[str]]
    ) -> None:
        """Borrow the parts of all VMs again and again, until cancelled.

        :param list_services: returns the services whose targets may be cold.
        """
        while True:
            for service in list_services():
                if self._is_owner(service, self._mesh.node):
                    tasks.start(self._borrow(service))
            await asyncio.sleep(RENEW_SECONDS)

    async def _borrow(self, service: str) -> None:
        """Ask all VMs for their parts of one service."""
        asked_at = time.monotonic()
        machines = {one.name for one in self._members.machines()}
        machines.add(self._mesh.node)
        self._grants.machines = tuple(machines)
        if self._leases.lend(service, self._mesh.node, asked_at):
            self._grants.record(service, self._mesh.node, asked_at)
        lent = await asyncio.gather(
            *(
                self._borrow_from(node, service, asked_at)
                for node in machines - {self._mesh.node}
            )
        )
        count = sum(lent)
        if self._lent.get(service) != count:
            self._lent[service] = count
            get_logger().info(
                'rates_lent',
                service=service,
                machines=len(machines),
                lent=count,
                age=round(time.monotonic() - asked_at, 3),
            )

    async def _borrow_from(
        self, node: str, service: str, asked_at: float
    ) -> bool:
        """Ask a VM for its part; one of an earlier build doesn't reply."""
        link = self._mesh.find_link(node)
        try:
            if link is None:
                link = await self._mesh.connect(node, REPLY_TIMEOUT_SECONDS)
            reply = await link.request(
                GrantQuery(service), REPLY_TIMEOUT_SECONDS
            )
        except PeerError:
            return False
        is_lent = isinstance(reply, GrantReply) and reply.is_lent
        if is_lent:
            self._grants.record(service, node, asked_at)
        return is_lent

    async def _answer(self, link: Link, query: GrantQuery) -> GrantReply:
        node = link.peer.node
        is_owner = self._is_owner(query.service, node)
        now = time.monotonic()
        return GrantReply(
            is_owner and self._leases.lend(query.service, node, now)
        )

    def _is_owner(self, service: str, node: str) -> bool:
        return self._owner_router.find_owner(service) == node
