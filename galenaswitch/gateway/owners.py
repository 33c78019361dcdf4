"""Which machine decides for a service, and how it is asked.

Every machine ranks the live ones for a service in the same order, so the
first that can be reached decides for all. Two that decide at one time only
fill targets less well; nothing rests on there being one.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from galenaswitch.errors import PeerError, PeerTimeoutError
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Leaving, Mesh, Ping, Pong
from galenaswitch.membership.ranking import rank_nodes
from galenaswitch.operations.logs import get_logger

# Seconds to open a stream to the deciding machine: above a round trip
# between zones, below what a request can spare.
CONNECT_TIMEOUT_SECONDS = 0.25
# Seconds without a reply after which the machine is asked whether it lives.
PING_INTERVAL_SECONDS = 0.4
PING_TIMEOUT_SECONDS = 0.3
# Seconds for which a silent machine isn't asked again.
SUSPECT_SECONDS = 2.0
# Longest time in seconds for which a machine without an open stream stays
# suspected: lists have dropped it by then, or it was never dialled.
SUSPECT_EXTENSION_SECONDS = 15.0
# Seconds after its start in which a machine decides for nobody: it knows
# nothing yet of what others have sent to targets.
WARM_UP_SECONDS = 3.0
# Age in seconds of the oldest machine from which younger ones are passed
# over. Machines that all started together know equally little, and have to
# agree at once.
MIN_OLDEST_UPTIME_SECONDS = 2 * WARM_UP_SECONDS
# Machines tried before this one decides for itself.
MAX_ATTEMPTS = 2
# Part of the processor time of the largest machine from which others are as
# good: a decider is asked for every request of its service.
LARGE_CORES_SHARE = 0.5

Reply = TypeVar('Reply')


class OwnerRouter:
    """Asks the machine that decides for a service."""

    def __init__(self, members: Members, mesh: Mesh) -> None:
        """Choose among the live ``members`` that ``mesh`` reaches."""
        self._members = members
        self._mesh = mesh
        self._suspects: dict[str, float] = {}
        self._started_at: dict[str, float] = {mesh.node: time.monotonic()}
        self._leaving: dict[str, str] = {}
        self._owners: dict[str, str] = {}
        self._ranked_nodes: dict[str, tuple[str, ...]] = {}
        self._ranked_revision = -1

    def find_owner(self, service: str) -> str:
        """Return the machine that decides for a service, as seen here.

        Machines that leave, were silent or have just started come last, and
        small ones behind large ones.
        """
        now = time.monotonic()
        counts_uptime = (
            now - min(self._started_at.values()) >= MIN_OLDEST_UPTIME_SECONDS
        )
        lowest: tuple[int, str] | None = None
        for node in self._rank_machines(service):
            penalty = self._find_penalty(node, now, counts_uptime=counts_uptime)
            if not penalty:
                return node
            if lowest is None or penalty < lowest[0]:
                lowest = (penalty, node)
        return lowest[1] if lowest else self._mesh.node

    async def on_link_open(self, link: Link) -> None:
        """Learn how long a peer whose stream just opened has run."""
        node = link.peer.node
        if self._leaving.get(node) != link.peer.incarnation:
            self._leaving.pop(node, None)
        try:
            pong = await link.request(Ping(), PING_TIMEOUT_SECONDS)
        except PeerError as error:
            get_logger().info('peer_silent', peer=node, reason=str(error))
            return
        self._started_at[node] = time.monotonic() - pong.uptime
        if pong.leaving:
            self._leaving[node] = link.peer.incarnation
        if self._suspects.pop(node, None):
            get_logger().info('peer_regained', peer=node)

    async def receive_leaving(self, link: Link, message: Leaving) -> None:
        """Ask a machine that is about to stop no more."""
        self._leaving[link.peer.node] = link.peer.incarnation
        get_logger().info('peer_leaving', peer=link.peer.node)

    async def answer_ping(self, link: Link, message: Ping) -> Pong:
        """Tell a peer that this process lives, and for how long."""
        own_node = self._mesh.node
        uptime = time.monotonic() - self._started_at[own_node]
        return Pong(uptime, own_node in self._leaving)

    def leave(self) -> None:
        """Tell all peers that this process is about to stop."""
        self._leaving[self._mesh.node] = ''
        self._mesh.broadcast(Leaving())

    async def query(
        self,
        service: str,
        query: Any,
        seconds: float,
        answer_locally: Callable[[Any], Awaitable[Reply]],
    ) -> tuple[str, Reply]:
        """Ask the deciding machine, or decide here when none is reached.

        :param seconds: longest wait for its reply.
        :param decide: decides on this machine.
        :returns: the machine that decided, and its reply.
        """
        for _ in range(MAX_ATTEMPTS):
            owner = self.find_owner(service)
            self._record_owner(service, owner)
            if owner == self._mesh.node:
                break
            try:
                return owner, await self._query_peer(owner, query, seconds)
            except PeerError as error:
                self._record_suspect(owner, service, error)
        return self._mesh.node, await answer_locally(query)

    def notify(
        self,
        owner: str,
        message: Any,
        apply_locally: Callable[[Any], None],
    ) -> None:
        """Push a message to the machine that decided before.

        When it can't be reached, ``take`` does here what can be done.
        """
        link = self._mesh.find(owner)
        if link is None:
            apply_locally(message)
            return
        try:
            link.send(message)
        except PeerError as error:
            get_logger().info('push_failed', peer=owner, reason=str(error))
            apply_locally(message)

    async def _query_peer(
        self,
        owner: str,
        query: Any,
        seconds: float,
    ) -> Any:
        link = await self._mesh.reach(owner, CONNECT_TIMEOUT_SECONDS)
        reply_task = asyncio.ensure_future(link.request(query, seconds))
        try:
            while not reply_task.done():
                await asyncio.wait({reply_task}, timeout=PING_INTERVAL_SECONDS)
                if not reply_task.done():
                    await _check_alive(link)
            return reply_task.result()
        finally:
            reply_task.cancel()

    def _rank_machines(self, service: str) -> tuple[str, ...]:
        """Return all machines in the order in which they are asked."""
        if self._ranked_revision != self._members.listed.revision:
            self._ranked_revision = self._members.listed.revision
            self._ranked_nodes = {}
        if service not in self._ranked_nodes:
            cores = {
                machine.name: machine.cores
                for machine in self._members.machines()
            }
            cores.setdefault(self._mesh.node, 0)
            large_cores = max(cores.values()) * LARGE_CORES_SHARE
            ranked = rank_nodes(f'holder/{service}', cores)
            self._ranked_nodes[service] = tuple(
                sorted(ranked, key=lambda node: cores[node] < large_cores),
            )
        return self._ranked_nodes[service]

    def _find_penalty(
        self, node: str, now: float, *, counts_uptime: bool
    ) -> int:
        """Return how much speaks against asking a machine.

        :param settling: whether it matters that a machine is young.
        """
        if node in self._leaving:
            return 3
        if self._is_suspect(node, now):
            return 2
        if not counts_uptime:
            return 0
        return int(now - self._started_at.get(node, 0) < WARM_UP_SECONDS)

    def _is_suspect(self, node: str, now: float) -> bool:
        """Tell whether a machine was silent.

        Without an open stream it would be so again: asking it every time
        that a pause is over lets two machines decide in turn during a cut.
        """
        expires_at = self._suspects.get(node)
        if expires_at is None:
            return False
        if self._mesh.find(node) is None and node != self._mesh.node:
            expires_at += SUSPECT_EXTENSION_SECONDS
        return expires_at > now

    def _record_owner(self, service: str, owner: str) -> None:
        previous = self._owners.get(service, '')
        if owner != previous:
            self._owners[service] = owner
            get_logger().info(
                'holder_changed',
                service=service,
                holder=owner,
                before=previous,
                machines=len(self._members.machines()),
            )

    def _record_suspect(
        self, owner: str, service: str, error: PeerError
    ) -> None:
        self._suspects[owner] = time.monotonic() + SUSPECT_SECONDS
        get_logger().warning(
            'holder_lost',
            service=service,
            peer=owner,
            reason=str(error),
        )


async def _check_alive(link: Link) -> None:
    """Make sure that a machine whose reply takes long still lives.

    :raises PeerError: when it doesn't answer.
    """
    reply = await link.request(Ping(), PING_TIMEOUT_SECONDS)
    if reply is None:
        raise PeerTimeoutError(f'{link.peer.node} did not answer')
