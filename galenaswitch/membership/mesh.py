"""Streams from one control process to its peers.

Every control dials all machines of its zone and two of each other zone,
relays dial relays. A dialled stream carries this process's own requests and
pushes; the streams that peers dial carry theirs.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from galenaswitch.errors import (
    PeerClosedError,
    PeerError,
    PeerTimeoutError,
)
from galenaswitch.membership.links import Link, Service, dial
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.membership.ranking import pick_nodes
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup

RELAYS_PER_ZONE = 2
CONTACTS_PER_ZONE = 2
REDIAL_SECONDS = 0.3
MIN_PAUSE_SECONDS = 0.5
MESSAGES_PER_SECOND = 30
QUIET_PAUSES = 1.2
MIN_QUIET_SECONDS = 1.2
PONG_SECONDS = 1.3
STEER_SECONDS = 0.5


def relay_key(zone: str) -> str:
    """Return the rendezvous key for a zone's relays."""
    return f'relay/{zone}'


def find_pause(machines: int) -> float:
    """Return the seconds between two messages to each peer of a zone.

    It grows with the zone, so that a machine sends and receives about as
    many messages a second in a zone of any size.

    >>> find_pause(2), find_pause(45)
    (0.5, 1.5)
    """
    return max(MIN_PAUSE_SECONDS, machines / MESSAGES_PER_SECOND)


class Ping(NamedTuple):
    """Ask a peer whether it lives."""


class Pong(NamedTuple):
    """The peer lives.

    :param uptime: seconds since its process started, 0 when not told.
    :param leaving: whether it is about to stop.
    """

    uptime: float = 0
    leaving: bool = False


class Leaving(NamedTuple):
    """The sender's process is about to stop."""


class Mesh:
    """Open streams to peers, one task for each."""

    def __init__(
        self,
        service: Service,
        members: Members,
        tasks: TaskGroup,
    ) -> None:
        """Dial as ``service.identity`` the machines that ``members`` lists."""
        self._service = service
        self._members = members
        self._tasks = tasks
        self._dialers: dict[Machine, asyncio.Task[Any]] = {}
        self._links: dict[str, Link] = {}
        self._failed: set[str] = set()
        self._extra: set[str] = set()
        self._waiters: dict[str, asyncio.Event] = {}
        self.on_open: list[Callable[[Link], Any]] = []

    @property
    def node(self) -> str:
        """Name of this machine."""
        return self._service.identity.node

    @property
    def zone(self) -> str:
        """Zone of this machine."""
        return self._service.identity.zone

    def links(self, zone: str = '') -> tuple[Link, ...]:
        """Return the open streams, of one zone or of all."""
        return tuple(
            link
            for link in self._links.values()
            if zone in {'', link.peer.zone}
        )

    def foreign_links(self) -> tuple[Link, ...]:
        """Return one open stream into each other zone."""
        first: dict[str, Link] = {}
        for link in self._links.values():
            if link.peer.zone != self.zone:
                first.setdefault(link.peer.zone, link)
        return tuple(first.values())

    def find_link(self, node: str) -> Link | None:
        """Return the open stream to a machine."""
        return self._links.get(node)

    async def connect(self, node: str, seconds: float) -> Link:
        """Return a stream to any listed machine, dialling it if needed.

        :param seconds: longest wait for the stream.
        :raises PeerError: when there is none in time.
        """
        link = self._links.get(node)
        if link:
            return link
        machine = self._members.find_machine(node)
        if machine is None:
            raise PeerClosedError(f'{node} is not listed')
        self._extra.add(node)
        if machine not in self._dialers:
            self._dialers[machine] = self._tasks.start(self._keep(machine))
        opened = self._waiters.setdefault(node, asyncio.Event())
        try:
            async with asyncio.timeout(seconds):
                await opened.wait()
        except TimeoutError as error:
            raise PeerTimeoutError(f'{node} is not reachable') from error
        return self._links[node]

    def reachable(self) -> tuple[str, ...]:
        """Return this machine and the reachable machines of its zone."""
        peers = (link.peer.node for link in self.links(self.zone))
        return (self.node, *peers)

    def relays(self) -> tuple[str, ...]:
        """Return the machines that relay for this zone, in this view."""
        return pick_nodes(
            relay_key(self.zone),
            self.reachable(),
            RELAYS_PER_ZONE,
        )

    def is_relay(self) -> bool:
        """Tell whether this machine relays for its zone."""
        return self.node in self.relays()

    def broadcast(
        self,
        message: Any,
        zone: str = '',
        source: Link | None = None,
    ) -> None:
        """Push a message on all open streams but the sender's."""
        skipped = source.peer.node if source else ''
        for link in self.links(zone):
            if link.peer.node == skipped:
                continue
            push(link, message)

    async def maintain_links(self) -> None:
        """Keep a dialling task for each wanted peer, until cancelled."""
        while True:
            wanted = set(self._wanted())
            for machine in wanted - set(self._dialers):
                self._dialers[machine] = self._tasks.start(
                    self._keep(machine),
                )
            for machine in set(self._dialers) - wanted:
                self._dialers.pop(machine).cancel()
            await asyncio.sleep(STEER_SECONDS)

    def has_tried_zone(self) -> bool:
        """Tell whether each wanted machine of the zone was tried."""
        wanted = {
            machine.name
            for machine in self._members.machines(self.zone)
            if machine.name != self.node
        }
        return wanted <= set(self._links) | self._failed

    async def _ping(self, link: Link) -> None:
        """Close a stream whose peer is silent, frozen or cut off.

        A peer that was heard of on any stream lately is not asked.
        """
        loop = asyncio.get_running_loop()
        while not link.closed:
            quiet = self._service.silent_seconds(link.peer, loop.time())
            pause = find_pause(len(self.reachable()))
            longest = max(MIN_QUIET_SECONDS, pause * QUIET_PAUSES)
            if quiet < longest:
                await asyncio.sleep(longest - quiet)
                continue
            try:
                await link.request(Ping(), PONG_SECONDS)
            except PeerError as error:
                get_logger().info('peer_silent', reason=str(error))
                link.close()

    def _wanted(self) -> list[Machine]:
        wanted: list[Machine] = []
        zones = {machine.zone for machine in self._members.machines()}
        for zone in zones:
            machines = {
                machine.name: machine
                for machine in self._members.machines(zone)
            }
            names = set(machines)
            if zone != self.zone:
                names = set(self._foreign_contacts(zone, tuple(names)))
            names |= self._extra & set(machines)
            wanted.extend(machines[name] for name in names)
        return [peer for peer in wanted if peer.name != self.node]

    def _foreign_contacts(
        self,
        zone: str,
        names: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return the machines of another zone to keep streams to.

        Relays reach relays; all others spread over the zone, so that no
        machine has to answer all of another zone.
        """
        usable = [name for name in names if name not in self._failed]
        key = f'contact/{self.node}/{zone}'
        if self.is_relay():
            key = relay_key(zone)
        return pick_nodes(key, usable or names, CONTACTS_PER_ZONE)

    async def _keep(self, machine: Machine) -> None:
        while True:
            try:
                await self._use(machine)
            except (PeerError, OSError) as error:
                self._failed.add(machine.name)
                get_logger().info(
                    'peer_unreachable',
                    peer=machine.name,
                    reason=str(error),
                )
            await asyncio.sleep(REDIAL_SECONDS)

    async def _use(self, machine: Machine) -> None:
        link = await dial(machine.address, machine.port, self._service)
        self._failed.discard(machine.name)
        self._links[machine.name] = link
        self._waiters.setdefault(machine.name, asyncio.Event()).set()
        pinging = self._tasks.start(self._ping(link))
        try:
            for callback in self.on_open:
                callback(link)
            await link.serve()
        finally:
            pinging.cancel()
            link.close()
            if self._links.get(machine.name) is link:
                self._links.pop(machine.name)
                self._waiters.pop(machine.name, None)


async def answer_ping(link: Link, message: Ping) -> Pong:
    """Answer a peer that checks whether this process lives."""
    return Pong()


def push(link: Link, message: Any) -> None:
    """Send a message; a closed stream is left to its own task."""
    try:
        link.send(message)
    except PeerError as error:
        get_logger().info('push_failed', reason=str(error))
