"""Finding a slice's owner, from any control process.

The owner is the first machine in the rendezvous ranking of the slice. When
it can't be reached the next one is asked to take the slice over; asking
again is safe, since a claim is tied to its attempt.
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

ASK_SECONDS = 1.5
MAX_HOPS = 5
AVOID_SECONDS = 5
Question = ClaimRequest | SettleRequest


class ClaimRouter:
    """Answers claims itself or passes them to the slice's owner."""

    def __init__(
        self,
        mesh: Mesh,
        members: Members,
        store: StoreClient,
        owner: str,
    ) -> None:
        """Own slices as ``owner``, name and incarnation of this control."""
        self._mesh = mesh
        self._members = members
        self._avoided: dict[str, float] = {}
        self._slices = {
            number: ShardOwner(
                f'slice-{number:02}',
                owner,
                store,
                self._is_live,
            )
            for number in range(SHARDS)
        }

    async def answer(self, link: Link, question: Question) -> ClaimReply:
        """Answer an entry, by asking the owner, or a peer, as the owner."""
        if link.peer.role == 'entry':
            return await self.ask(question)
        return await self._answer_here(question)

    async def ask(self, question: Question) -> ClaimReply:
        """Ask owners in turn until one decides."""
        number = find_shard(question.workspace, question.key)
        hint = ''
        force = False
        failed: set[str] = set()
        for _ in range(MAX_HOPS):
            node = hint or self._first(number, failed)
            if not node:
                return UNAVAILABLE
            reply = await self._ask_node(node, question, force=force)
            if reply and reply.state is not ClaimState.not_owner:
                return reply
            hint = reply.owner if reply else ''
            if reply is None:
                failed.add(node)
            elif reply.owner in failed:
                force = True
                hint = node
        return UNAVAILABLE

    async def release_all(self) -> None:
        """Give up all slices, so that the next owners need not wait."""
        await asyncio.gather(
            *(owner.release() for owner in self._slices.values()),
        )

    def dump(self) -> Mapping[str, Any]:
        """Return the owned slices for operators."""
        return {
            str(number): owner.dump()
            for number, owner in self._slices.items()
            if owner.dump()['owned']
        }

    async def _ask_node(
        self,
        node: str,
        question: Question,
        *,
        force: bool,
    ) -> ClaimReply | None:
        """Ask one machine; ``None`` when it doesn't answer."""
        question = question._replace(force=force)
        if node == self._mesh.node:
            return await self._answer_here(question)
        try:
            link = await self._mesh.connect(node, ASK_SECONDS)
            reply = await link.request(question, ASK_SECONDS)
        except PeerError as error:
            get_logger().info(
                'owner_unreachable',
                peer=node,
                reason=str(error),
            )
            self._avoided[node] = time.monotonic() + AVOID_SECONDS
            return None
        return reply if isinstance(reply, ClaimReply) else None

    async def _answer_here(self, question: Question) -> ClaimReply:
        number = find_shard(question.workspace, question.key)
        owner = self._slices[number]
        if isinstance(question, ClaimRequest):
            return await owner.claim(question)
        return await owner.settle(question)

    def _first(self, number: int, failed: set[str]) -> str:
        now = time.monotonic()
        names = [machine.name for machine in self._members.machines()]
        ranked = rank_nodes(f'slice/{number}', {*names, self._mesh.node})
        for name in ranked:
            avoided = self._avoided.get(name, 0) > now
            if name not in failed and not avoided:
                return name
        return ''

    def _is_live(self, node: str) -> bool:
        """Tell whether an owner is listed and not avoided."""
        listed = {machine.name for machine in self._members.machines()}
        return node in listed and (
            self._avoided.get(node, 0) <= time.monotonic()
        )
