"""Selects the VM that owns a service, and routes queries to it.

Every VM ranks the live VMs for a service in the same order. The first reachable
VM of this ranking owns the service. Two owners at the same time only use
targets less efficiently; correctness does not depend on a single owner.
"""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from galenaswitch.errors import PeerError, PeerTimeoutError
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Leaving, Mesh, Ping, Pong
from galenaswitch.membership.ranking import rank_nodes
from galenaswitch.operations.logs import get_logger

# Seconds to open a link to an owner: more than a round trip between zones,
# less than the slack of a request.
CONNECT_TIMEOUT_SECONDS = 0.25
# Seconds between pings of an owner whose reply is outstanding.
PING_INTERVAL_SECONDS = 0.4
PING_TIMEOUT_SECONDS = 0.3
# Part of the time left after which a silent owner is pinged at the latest, so
# that a query with little time is repeated at the next owner within it.
PING_SHARE = 0.25
# Fields of queries that hold a time left in seconds.
_TIME_FIELDS = ('start_in', 'left', 'complete_in', 'max_wait')
# Seconds for which a VM is suspect after a failed query.
SUSPECT_SECONDS = 2.0
# Further seconds for which a suspect without an open link stays suspect. After
# them, a dead VM is no longer in the member list. A VM that is still listed may
# be alive, but this VM has never connected to it.
SUSPECT_EXTENSION_SECONDS = 15.0
# Seconds after the start of a VM in which it owns no service, because it does
# not know yet what other VMs have sent to targets.
WARM_UP_SECONDS = 3.0
# Uptime in seconds that the oldest VM must have for warm-up to count. VMs that
# all started together know equally little and must agree on owners at once.
MIN_OLDEST_UPTIME_SECONDS = 2 * WARM_UP_SECONDS
# Number of owners that a VM queries before it answers the query itself.
MAX_ATTEMPTS = 2
# Share of the largest VM's cores from which a VM ranks as large. Large VMs rank
# first, because an owner is queried for every request of its service.
LARGE_CORES_SHARE = 0.5

Reply = TypeVar('Reply')


class OwnerRouter:
    """Finds the VM that owns a service and sends queries to it."""

    def __init__(
        self,
        members: Members,
        mesh: Mesh,
        is_path_lost: Callable[[str], bool] | None = None,
    ) -> None:
        """Build a router from the live ``members`` and links of ``mesh``.

        :param is_path_lost: tells whether a VM, by its name, can't reach the
            targets; by default all can.
        """
        self._members = members
        self._mesh = mesh
        self._is_path_lost = is_path_lost or (lambda node: False)
        self.on_leaving: Callable[[str], None] = lambda node: None
        self._suspects: dict[str, float] = {}
        self._started_at: dict[str, float] = {mesh.node: time.monotonic()}
        self._leaving_incarnations: dict[str, str] = {}
        self._owners: dict[str, str] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._ranked_nodes: dict[str, tuple[str, ...]] = {}
        self._ranked_revision = -1

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {Leaving: self.receive_leaving, Ping: self.answer_ping}

    def find_owner(self, service: str) -> str:
        """Return the VM that owns a service, as seen by this VM.

        VMs that are leaving, cut off from the targets, suspect or in their
        warm-up rank last, and small VMs rank after large ones.
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

    def is_available(self, node: str) -> bool:
        """Tell whether a VM reaches the targets and isn't leaving."""
        is_leaving = node in self._leaving_incarnations
        return not (is_leaving or self._is_path_lost(node))

    async def on_link_open(self, link: Link) -> None:
        """Ping a peer whose link has just opened.

        The reply tells the uptime of the peer and whether it is leaving.
        """
        node = link.peer.node
        if self._leaving_incarnations.get(node) != link.peer.incarnation:
            self._leaving_incarnations.pop(node, None)
        try:
            pong = await link.request(Ping(), PING_TIMEOUT_SECONDS)
        except PeerError as error:
            get_logger().info('peer_silent', peer=node, reason=str(error))
            return
        self._started_at[node] = time.monotonic() - pong.uptime
        if pong.leaving:
            self._leaving_incarnations[node] = link.peer.incarnation
        if self._suspects.pop(node, None):
            get_logger().info('peer_regained', peer=node)

    async def receive_leaving(self, link: Link, message: Leaving) -> None:
        """Record that a peer is about to stop."""
        self._leaving_incarnations[link.peer.node] = link.peer.incarnation
        self.on_leaving(link.peer.node)
        get_logger().info('peer_leaving', peer=link.peer.node)

    async def answer_ping(self, link: Link, message: Ping) -> Pong:
        """Return this process's uptime and whether it is leaving."""
        own_node = self._mesh.node
        uptime = time.monotonic() - self._started_at[own_node]
        return Pong(uptime, own_node in self._leaving_incarnations)

    def leave(self) -> None:
        """Notify all peers that this process is about to stop."""
        self._leaving_incarnations[self._mesh.node] = ''
        self._mesh.broadcast(Leaving())

    async def query(
        self,
        service: str,
        query: Any,
        seconds: float,
        answer_locally: Callable[[Any], Awaitable[Reply]],
        on_unanswered: Callable[[str], None] | None = None,
    ) -> tuple[str, Reply]:
        """Query the owner of a service, or answer the query on this VM.

        This VM answers when it is the owner, or when the queried owners fail.
        A query that is repeated tells the time that is left by then.

        :param seconds: longest wait for a reply, over all owners.
        :param answer_locally: answers the query on this VM.
        :param on_unanswered: receives each VM that didn't answer, but may have
            got the query and act on it.
        :returns: the VM that answered, and its reply.
        """
        asked_at = time.monotonic()
        waited = 0.0
        for _ in range(MAX_ATTEMPTS):
            owner = self.find_owner(service)
            self._record_owner(service, owner)
            if owner == self._mesh.node:
                break
            with contextlib.ExitStack() as unanswered:
                if on_unanswered:
                    unanswered.callback(on_unanswered, owner)
                try:
                    reply = await self._query_peer(
                        owner, _age(query, waited), seconds - waited
                    )
                except PeerError as error:
                    self._record_suspect(owner, service, error)
                else:
                    unanswered.pop_all()
                    return owner, reply
            waited = time.monotonic() - asked_at
        return self._mesh.node, await answer_locally(_age(query, waited))

    def notify(
        self,
        owner: str,
        message: Any,
        apply_locally: Callable[[Any], None],
    ) -> None:
        """Send a one-way message to the VM that answered an earlier query.

        :param apply_locally: applies the message on this VM when the owner
            can't be reached.
        """
        link = self._mesh.find_link(owner)
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
        link = await self._mesh.connect(owner, CONNECT_TIMEOUT_SECONDS)
        reply_task = asyncio.ensure_future(link.request(query, seconds))
        interval = min(PING_INTERVAL_SECONDS, max(0, seconds) * PING_SHARE)
        try:
            while not reply_task.done():
                await asyncio.wait({reply_task}, timeout=interval)
                if not reply_task.done():
                    await self._check_alive(owner, link)
                interval = PING_INTERVAL_SECONDS
            return reply_task.result()
        finally:
            reply_task.cancel()

    async def _check_alive(self, owner: str, link: Link) -> None:
        """Ping a VM whose reply is outstanding, once for all queries.

        :raises PeerError: when the VM does not answer the ping.
        """
        check = self._checks.get(owner)
        if check is None or check.done():
            check = asyncio.create_task(_ping(link))
            check.add_done_callback(_retrieve)
            self._checks[owner] = check
        await asyncio.shield(check)

    def _rank_machines(self, service: str) -> tuple[str, ...]:
        """Return all VMs by rank for a service, large VMs first."""
        if self._ranked_revision != self._members.member_list.revision:
            self._ranked_revision = self._members.member_list.revision
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
        """Return the ranking penalty of a VM, 0 for none.

        :param counts_uptime: whether a VM in its warm-up gets a penalty.
        """
        if not self.is_available(node):
            return 3
        if self._is_suspect(node, now):
            return 2
        if not counts_uptime:
            return 0
        return int(now - self._started_at.get(node, 0) < WARM_UP_SECONDS)

    def _is_suspect(self, node: str, now: float) -> bool:
        """Tell whether a VM is believed dead.

        A suspect without an open link stays suspect for longer. If it were
        queried again after each pause, a service would alternate between two
        owners during a network cut.
        """
        expires_at = self._suspects.get(node)
        if expires_at is None:
            return False
        if self._mesh.find_link(node) is None and node != self._mesh.node:
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


def _age(query: Any, seconds: float) -> Any:
    """Return a query with less time left; a time of 0 stays unknown."""
    if not seconds:
        return query
    times = {
        name: getattr(query, name)
        for name in _TIME_FIELDS
        if name in getattr(query, '_fields', ())
    }
    later = {name: left and left - seconds for name, left in times.items()}
    return query._replace(**later) if later else query


def _retrieve(check: asyncio.Task[None]) -> None:
    """Retrieve the failure of a ping that nobody may wait for any more."""
    if not check.cancelled():
        check.exception()


async def _ping(link: Link) -> None:
    """Ping a VM whose reply is outstanding.

    :raises PeerError: when the VM does not answer the ping.
    """
    reply = await link.request(Ping(), PING_TIMEOUT_SECONDS)
    if reply is None:
        raise PeerTimeoutError(f'{link.peer.node} did not answer a ping')
