"""Router that forwards claims from any control process to the shard owner.

The owner is the first machine in the rendezvous ranking of the shard. When
the owner can't be reached, the router asks the next machine to take the shard
over. Sending a claim again is safe, because a claim belongs to one attempt.
"""

import asyncio
import time
from collections.abc import Mapping
from typing import Any

from galenaswitch.claims.journal import SHARDS, find_shard
from galenaswitch.claims.messages import (
    ClaimReply,
    ClaimRequest,
    ClaimState,
    SettleRequest,
)
from galenaswitch.claims.owner import UNAVAILABLE, ShardOwner
from galenaswitch.errors import PeerError
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.membership.ranking import rank_nodes
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.client import StoreClient

QUERY_TIMEOUT_SECONDS = 1.5
MAX_QUERIES = 5
AVOID_UNREACHABLE_SECONDS = 5
ClaimQuery = ClaimRequest | SettleRequest


class ClaimRouter:
    """Answers claims and settlements or forwards them to the shard owner."""

    def __init__(
        self,
        mesh: Mesh,
        members: Members,
        store: StoreClient,
        owner: str,
    ) -> None:
        """Create the router of one control process.

        :param mesh: links to the control processes of other machines.
        :param members: machines that may own a shard.
        :param store: store that contains the journals.
        :param owner: name and incarnation of this control process.
        """
        self._mesh = mesh
        self._members = members
        self._avoided_until: dict[str, float] = {}
        self._shards = {
            number: ShardOwner(
                f'slice-{number:02}',
                owner,
                store,
                self._is_live,
            )
            for number in range(SHARDS)
        }

    async def answer(self, link: Link, query: ClaimQuery) -> ClaimReply:
        """Answer a query of an entry or of another control process.

        A query of an entry is routed to the shard owner. A query of another
        control process is answered by this machine as the shard owner.
        """
        if link.peer.role == 'entry':
            return await self.answer_entry(query)
        return await self._answer_locally(query)

    async def answer_entry(self, query: ClaimQuery) -> ClaimReply:
        """Query machines in ranking order until one answers as owner.

        A machine may name another owner. If this owner is unreachable, the
        machine is queried again and has to take the shard over.
        """
        number = find_shard(query.workspace, query.key)
        owner_hint = ''
        force = False
        unreachable: set[str] = set()
        for _ in range(MAX_QUERIES):
            node = owner_hint or self._find_candidate(number, unreachable)
            if not node:
                return UNAVAILABLE
            reply = await self._query_node(node, query, force=force)
            if reply and reply.state is not ClaimState.not_owner:
                return reply
            owner_hint = reply.owner if reply else ''
            if reply is None:
                unreachable.add(node)
            elif reply.owner in unreachable:
                force = True
                owner_hint = node
        return UNAVAILABLE

    async def release_all(self) -> None:
        """Release all shards, so that other machines can own them at once."""
        await asyncio.gather(
            *(owner.release() for owner in self._shards.values()),
        )

    def dump(self) -> Mapping[str, Any]:
        """Return the sizes of the owned shards for operators."""
        return {
            str(number): owner.dump()
            for number, owner in self._shards.items()
            if owner.dump()['owned']
        }

    async def _query_node(
        self,
        node: str,
        query: ClaimQuery,
        *,
        force: bool,
    ) -> ClaimReply | None:
        """Query one machine as the shard owner.

        :returns: its reply, or ``None`` if the machine doesn't answer.
        """
        query = query._replace(force=force)
        if node == self._mesh.node:
            return await self._answer_locally(query)
        try:
            link = await self._mesh.connect(node, QUERY_TIMEOUT_SECONDS)
            reply = await link.request(query, QUERY_TIMEOUT_SECONDS)
        except PeerError as error:
            get_logger().info(
                'owner_unreachable',
                peer=node,
                reason=str(error),
            )
            self._avoided_until[node] = (
                time.monotonic() + AVOID_UNREACHABLE_SECONDS
            )
            return None
        return reply if isinstance(reply, ClaimReply) else None

    async def _answer_locally(self, query: ClaimQuery) -> ClaimReply:
        """Answer a query with the shard owner of this process."""
        number = find_shard(query.workspace, query.key)
        owner = self._shards[number]
        if isinstance(query, ClaimRequest):
            return await owner.claim(query)
        return await owner.settle(query)

    def _find_candidate(self, number: int, unreachable: set[str]) -> str:
        """Return the first usable machine in the ranking of a shard.

        :param number: number of the shard.
        :param unreachable: machines that did not answer this query.
        :returns: name of the machine, empty if there is none.
        """
        now = time.monotonic()
        names = [machine.name for machine in self._members.machines()]
        ranked = rank_nodes(f'slice/{number}', {*names, self._mesh.node})
        for name in ranked:
            avoided = self._avoided_until.get(name, 0) > now
            if name not in unreachable and not avoided:
                return name
        return ''

    def _is_live(self, node: str) -> bool:
        """Return whether a machine is listed and not avoided."""
        listed = {machine.name for machine in self._members.machines()}
        return node in listed and (
            self._avoided_until.get(node, 0) <= time.monotonic()
        )
