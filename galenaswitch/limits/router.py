"""Routing of permit requests to the owner of a workspace and its home zone.

The owner in the home zone grants permits for the whole contract. Owners in
other zones query the home zone for the permits that their entries use.

A zone that can't reach a workspace's home zone grants its guaranteed minimum:
the contract divided by the number of zones. The home zone withholds this
minimum while that zone is unreachable. So the sum of all zones stays within
the contract, and this division needs no store.
"""

import time
from collections.abc import Callable
from typing import Any

from galenaswitch.contracts.documents import Contract
from galenaswitch.errors import PeerClosedError, PeerError, PeerTimeoutError
from galenaswitch.limits.allocator import PermitAllocator
from galenaswitch.limits.cache import PermitCache, Permits
from galenaswitch.limits.costs import CostAccounts
from galenaswitch.limits.ledger import UsageLedger
from galenaswitch.limits.messages import PermitReply, PermitRequest
from galenaswitch.limits.sources import PermitSource, PermitSources
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh
from galenaswitch.refusals import Reason

QUERY_TIMEOUT_SECONDS = 0.4
MINIMUM_AFTER_SECONDS = 1
UNREACHABLE_REPLY = PermitReply(refused=Reason.limits_unreachable.value)


class LimitRouter:
    """Grants permits in one control process or queries their owner."""

    def __init__(
        self,
        mesh: Mesh,
        sources: PermitSources,
        costs: CostAccounts,
        find_contract: Callable[[str], Contract | None],
    ) -> None:
        """Build a router for the contracts that ``find_contract`` returns.

        Each callback in ``before_home_query`` is called with the link to the
        home zone before a permit request is sent on it.
        """
        self._mesh = mesh
        self._sources = sources
        self._costs = costs
        self._find_contract = find_contract
        self._allocators: dict[str, PermitAllocator] = {}
        self._minimum_allocators: dict[str, PermitAllocator] = {}
        self._ledgers: dict[str, UsageLedger] = {}
        self._unreachable_since: dict[str, float] = {}
        self._cache = PermitCache(
            mesh.zone,
            self._query_home,
            self._count_outstanding,
        )
        self.before_home_query: list[Callable[[Link], Any]] = []

    async def answer(self, link: Link, request: PermitRequest) -> PermitReply:
        """Reply to a permit request from an entry or control process.

        A control process of the same zone has already routed its request to
        this owner. Requests from an entry or another zone go to the owner.
        """
        if link.peer.role != 'entry' and link.peer.zone == self._mesh.zone:
            return await self.grant(request)
        try:
            return await self._query_owner(request)
        except PeerError:
            return UNREACHABLE_REPLY

    async def grant(self, request: PermitRequest) -> PermitReply:
        """Grant permits as the workspace's owner in this zone."""
        contract = self._find_contract(request.workspace)
        if contract is None:
            return UNREACHABLE_REPLY
        source = self._sources.find_source(request.workspace)
        if source.home == self._mesh.zone:
            allocator = self._open_allocator(request.workspace)
            await self._costs.wait_first_read(request.workspace)
            share = self._sources.home_share()
            return allocator.grant(request, contract, share, time.monotonic())
        return await self._grant_outside_home(request, contract, source)

    def find_ledger(self, workspace: str) -> UsageLedger:
        """Return the usage ledger of a workspace on this VM."""
        if self._sources.is_home(workspace):
            return self._open_allocator(workspace).ledger
        return self._ledgers.setdefault(workspace, UsageLedger())

    def dump(self) -> dict[str, Any]:
        """Return outstanding permits, costs and unused permits by workspace.

        Outstanding permits and costs are those of the workspaces whose home
        zone is this zone.
        """
        now = time.monotonic()
        return {
            'masters': {
                workspace: allocator.ledger.count_outstanding(now)
                for workspace, allocator in self._allocators.items()
            },
            'spent': {
                workspace: allocator.ledger.total_cost()
                for workspace, allocator in self._allocators.items()
            },
            'in_hand': self._cache.dump(),
        }

    async def _query_owner(self, request: PermitRequest) -> PermitReply:
        """Query the owner in this zone, which may be this VM."""
        owner = self._sources.find_owner(request.workspace)
        if owner == self._mesh.node:
            return await self.grant(request)
        link = self._mesh.find_link(owner)
        if link is None:
            raise PeerClosedError(f'no link to {owner}')
        reply = await link.request(request, QUERY_TIMEOUT_SECONDS)
        return _check_reply(reply)

    async def _grant_outside_home(
        self,
        request: PermitRequest,
        contract: Contract,
        source: PermitSource,
    ) -> PermitReply:
        """Grant permits in a zone that isn't the workspace's home.

        The permits come from the home zone. While it is unreachable, they come
        from this zone's guaranteed minimum.
        """
        ledger = self.find_ledger(request.workspace)
        ledger.record_report(request.origin, request.held, time.monotonic())
        if not self._mesh.links(source.home):
            return self._grant_minimum(request, contract, source)
        need = Permits(request.need, request.need_tokens)
        self._cache.observe_demand(request.workspace, need)
        result = await self._cache.acquire(
            request.workspace,
            need,
            Permits(request.want, request.want_tokens),
        )
        ledger.add_granted(request.origin, result.permits.requests)
        return PermitReply(*result.permits, result.refused)

    def _grant_minimum(
        self,
        request: PermitRequest,
        contract: Contract,
        source: PermitSource,
    ) -> PermitReply:
        """Grant permits from this zone's guaranteed minimum.

        Requests are refused until the home zone has been unreachable for
        ``MINIMUM_AFTER_SECONDS``.
        """
        now = time.monotonic()
        unreachable_since = self._unreachable_since.setdefault(source.home, now)
        if now - unreachable_since < MINIMUM_AFTER_SECONDS:
            return UNREACHABLE_REPLY
        allocator = self._minimum_allocators.setdefault(
            request.workspace,
            PermitAllocator(now, self.find_ledger(request.workspace)),
        )
        return allocator.grant(request, contract, 1 / source.zones, now)

    async def _query_home(self, request: PermitRequest) -> PermitReply:
        """Query VMs of the home zone until one replies."""
        source = self._sources.find_source(request.workspace)
        for link in self._mesh.links(source.home):
            for callback in self.before_home_query:
                callback(link)
            try:
                reply = await link.request(request, QUERY_TIMEOUT_SECONDS)
            except PeerTimeoutError:
                continue
            self._unreachable_since.pop(source.home, None)
            return _check_reply(reply)
        raise PeerClosedError(f'zone {source.home} does not answer')

    def _count_outstanding(self, workspace: str) -> int:
        """Return the outstanding permits of this zone's entries."""
        return self.find_ledger(workspace).count_outstanding(time.monotonic())

    def _open_allocator(self, workspace: str) -> PermitAllocator:
        allocator = self._allocators.get(workspace)
        if allocator is None:
            allocator = PermitAllocator(time.monotonic(), UsageLedger())
            self._allocators[workspace] = allocator
            self._costs.open_account(workspace, allocator.ledger)
        return allocator


def _check_reply(reply: Any) -> PermitReply:
    if not isinstance(reply, PermitReply):
        raise PeerClosedError('the reply is not a PermitReply')
    return reply
