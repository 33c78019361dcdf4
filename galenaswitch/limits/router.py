"""Permits between control processes: zone holders and the home zone.

The home zone's holder hands out the whole contract;
holders of other zones ask it for what their entries use. A zone cut off
from a workspace's home hands out its floor, one part in the number of
zones, which the home withholds while that zone is out of its reach: the sum
stays within the contract, and no store is asked.
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
UNREACHABLE = PermitReply(refused=Reason.limits_unreachable.value)


class LimitRouter:
    """Permits of all workspaces, as one control process sees them."""

    def __init__(
        self,
        mesh: Mesh,
        sources: PermitSources,
        costs: CostAccounts,
        find_contract: Callable[[str], Contract | None],
    ) -> None:
        """Limit by the contracts that ``find_contract`` returns."""
        self._mesh = mesh
        self._sources = sources
        self._costs = costs
        self._find_contract = find_contract
        self._allocators: dict[str, PermitAllocator] = {}
        self._minimum_allocators: dict[str, PermitAllocator] = {}
        self._ledgers: dict[str, UsageLedger] = {}
        self._unreachable_since: dict[str, float] = {}
        self._cache = PermitCache(
            mesh.zone, self._query_home, self._count_outstanding
        )
        self.before_home_query: list[Callable[[Link], Any]] = []

    async def answer(self, link: Link, request: PermitRequest) -> PermitReply:
        """Answer an entry of this machine, a peer, or another zone."""
        if link.peer.role != 'entry' and link.peer.zone == self._mesh.zone:
            return await self.grant(request)
        try:
            return await self._query_owner(request)
        except PeerError:
            return UNREACHABLE

    async def grant(self, request: PermitRequest) -> PermitReply:
        """Grant permits as the holder of this zone."""
        contract = self._find_contract(request.workspace)
        if contract is None:
            return UNREACHABLE
        source = self._sources.find_source(request.workspace)
        if source.home == self._mesh.zone:
            allocator = self._open_allocator(request.workspace)
            await self._costs.wait_first_read(request.workspace)
            share = self._sources.home_share()
            return allocator.grant(request, contract, share, time.monotonic())
        return await self._grant_from_home(request, contract, source)

    def find_ledger(self, workspace: str) -> UsageLedger:
        """Return what is known here of a workspace's usage."""
        if self._sources.is_home(workspace):
            return self._open_allocator(workspace).ledger
        return self._ledgers.setdefault(workspace, UsageLedger())

    def dump(self) -> dict[str, Any]:
        """Return the workspaces that this machine hands out permits of."""
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
        """Ask the holder of this zone, which may be this machine."""
        owner = self._sources.find_owner(request.workspace)
        if owner == self._mesh.node:
            return await self.grant(request)
        link = self._mesh.find(owner)
        if link is None:
            raise PeerClosedError(f'no stream to {owner}')
        reply = await link.request(request, QUERY_TIMEOUT_SECONDS)
        return _check_reply(reply)

    async def _grant_from_home(
        self,
        request: PermitRequest,
        contract: Contract,
        source: PermitSource,
    ) -> PermitReply:
        """Grant from the permits that the home zone gave."""
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
        """Grant from this zone's floor, some time after the cut."""
        now = time.monotonic()
        unreachable_since = self._unreachable_since.setdefault(source.home, now)
        if now - unreachable_since < MINIMUM_AFTER_SECONDS:
            return UNREACHABLE
        allocator = self._minimum_allocators.setdefault(
            request.workspace,
            PermitAllocator(now, self.find_ledger(request.workspace)),
        )
        return allocator.grant(request, contract, 1 / source.zones, now)

    async def _query_home(self, request: PermitRequest) -> PermitReply:
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
        """Return what the entries of this zone hold."""
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
        raise PeerClosedError('permits expected')
    return reply
