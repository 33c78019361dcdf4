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

ASK_SECONDS = 0.4
FLOOR_AFTER_SECONDS = 1
UNREACHABLE = PermitReply(refused=Reason.limits_unreachable.value)


class LimitRouter:
    """Permits of all workspaces, as one control process sees them."""

    def __init__(
        self,
        mesh: Mesh,
        places: PermitSources,
        costs: CostAccounts,
        find_contract: Callable[[str], Contract | None],
    ) -> None:
        """Limit by the contracts that ``find_contract`` returns."""
        self._mesh = mesh
        self._places = places
        self._costs = costs
        self._find_contract = find_contract
        self._masters: dict[str, PermitAllocator] = {}
        self._floors: dict[str, PermitAllocator] = {}
        self._ledgers: dict[str, UsageLedger] = {}
        self._cut_since: dict[str, float] = {}
        self._cache = PermitCache(mesh.zone, self._ask_home, self._count_held)
        self.before_asking: list[Callable[[Link], Any]] = []

    async def answer(self, link: Link, request: PermitRequest) -> PermitReply:
        """Answer an entry of this machine, a peer, or another zone."""
        if link.peer.role != 'entry' and link.peer.zone == self._mesh.zone:
            return await self.grant(request)
        try:
            return await self._ask_holder(request)
        except PeerError:
            return UNREACHABLE

    async def grant(self, request: PermitRequest) -> PermitReply:
        """Grant permits as the holder of this zone."""
        contract = self._find_contract(request.workspace)
        if contract is None:
            return UNREACHABLE
        place = self._places.find(request.workspace)
        if place.home == self._mesh.zone:
            master = self._open_master(request.workspace)
            await self._costs.wait_read(request.workspace)
            share = self._places.home_share()
            return master.grant(request, contract, share, time.monotonic())
        return await self._grant_away(request, contract, place)

    def find_ledger(self, workspace: str) -> UsageLedger:
        """Return what is known here of a workspace's usage."""
        if self._places.is_home(workspace):
            return self._open_master(workspace).ledger
        return self._ledgers.setdefault(workspace, UsageLedger())

    def dump(self) -> dict[str, Any]:
        """Return the workspaces that this machine hands out permits of."""
        now = time.monotonic()
        return {
            'masters': {
                workspace: master.ledger.held(now)
                for workspace, master in self._masters.items()
            },
            'spent': {
                workspace: master.ledger.total()
                for workspace, master in self._masters.items()
            },
            'in_hand': self._cache.dump(),
        }

    async def _ask_holder(self, request: PermitRequest) -> PermitReply:
        """Ask the holder of this zone, which may be this machine."""
        holder = self._places.holder(request.workspace)
        if holder == self._mesh.node:
            return await self.grant(request)
        link = self._mesh.find(holder)
        if link is None:
            raise PeerClosedError(f'no stream to {holder}')
        reply = await link.request(request, ASK_SECONDS)
        return _check_reply(reply)

    async def _grant_away(
        self,
        request: PermitRequest,
        contract: Contract,
        place: PermitSource,
    ) -> PermitReply:
        """Grant from the permits that the home zone gave."""
        ledger = self.find_ledger(request.workspace)
        ledger.accept(request.origin, request.held, time.monotonic())
        if not self._mesh.links(place.home):
            return self._grant_floor(request, contract, place)
        need = Permits(request.need, request.need_tokens)
        self._cache.note_demand(request.workspace, need)
        taken = await self._cache.take(
            request.workspace,
            need,
            Permits(request.want, request.want_tokens),
        )
        ledger.add(request.origin, taken.permits.requests)
        return PermitReply(*taken.permits, taken.refused)

    def _grant_floor(
        self,
        request: PermitRequest,
        contract: Contract,
        place: PermitSource,
    ) -> PermitReply:
        """Grant from this zone's floor, some time after the cut."""
        now = time.monotonic()
        cut = self._cut_since.setdefault(place.home, now)
        if now - cut < FLOOR_AFTER_SECONDS:
            return UNREACHABLE
        floor = self._floors.setdefault(
            request.workspace,
            PermitAllocator(now, self.find_ledger(request.workspace)),
        )
        return floor.grant(request, contract, 1 / place.zones, now)

    async def _ask_home(self, request: PermitRequest) -> PermitReply:
        place = self._places.find(request.workspace)
        for link in self._mesh.links(place.home):
            for callback in self.before_asking:
                callback(link)
            try:
                reply = await link.request(request, ASK_SECONDS)
            except PeerTimeoutError:
                continue
            self._cut_since.pop(place.home, None)
            return _check_reply(reply)
        raise PeerClosedError(f'zone {place.home} does not answer')

    def _count_held(self, workspace: str) -> int:
        """Return what the entries of this zone hold."""
        return self.find_ledger(workspace).held(time.monotonic())

    def _open_master(self, workspace: str) -> PermitAllocator:
        master = self._masters.get(workspace)
        if master is None:
            master = PermitAllocator(time.monotonic(), UsageLedger())
            self._masters[workspace] = master
            self._costs.open(workspace, master.ledger)
        return master


def _check_reply(reply: Any) -> PermitReply:
    if not isinstance(reply, PermitReply):
        raise PeerClosedError('permits expected')
    return reply
