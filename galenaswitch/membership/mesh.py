"""Connection mesh: the links that one process opens to its peers.

Each process dials every VM of its own zone and
:data:`CONTACTS_PER_ZONE` VMs of each other zone; relays dial relays
there. A process sends its own messages on the links that it dialled, so two VMs
may have one link in each direction. A message handler may send a request back
on the link that delivered the message.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from galenaswitch.errors import (
    PeerClosedError,
    PeerError,
    PeerTimeoutError,
)
from galenaswitch.membership.frames import pack_message
from galenaswitch.membership.links import Link, LinkService, dial
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.membership.ranking import pick_nodes
from galenaswitch.operations.logs import describe_error, get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.operations.timeouts import Timeout

RELAYS_PER_ZONE = 2
CONTACTS_PER_ZONE = 2
REDIAL_SECONDS = 0.3
MIN_SEND_INTERVAL_SECONDS = 0.5
MESSAGES_PER_SECOND = 30
MAX_SILENT_INTERVALS = 1.2
MIN_SILENT_SECONDS = 1.2
PONG_TIMEOUT_SECONDS = 1.3
# Timers of uvloop have a resolution of a millisecond and may fire early; a
# shorter pause would be repeated until the time has passed.
MIN_HEARTBEAT_PAUSE_SECONDS = 0.05
MAINTENANCE_SECONDS = 0.5


def relay_key(zone: str) -> str:
    """Return the rendezvous hashing key that selects a zone's relays."""
    return f'relay/{zone}'


def find_send_interval(machines: int) -> float:
    """Return the seconds between two messages to each peer of a zone.

    The interval grows with the number of VMs in the zone, so that each VM sends
    and receives at most about :data:`MESSAGES_PER_SECOND` messages per second
    in a zone of any size.

    >>> find_send_interval(2), find_send_interval(45)
    (0.5, 1.5)
    """
    return max(MIN_SEND_INTERVAL_SECONDS, machines / MESSAGES_PER_SECOND)


class Ping(NamedTuple):
    """Heartbeat request to a peer."""


class Pong(NamedTuple):
    """Heartbeat reply.

    :param uptime: seconds since the sender's process started, 0 when the
        sender doesn't report it.
    :param leaving: whether the sender's process is about to stop.
    """

    uptime: float = 0
    leaving: bool = False


class Leaving(NamedTuple):
    """Notifies peers that the sender's process is about to stop."""


class Mesh:
    """Opens links to peers and redials them, with one task for each peer."""

    def __init__(
        self,
        service: LinkService,
        members: Members,
        tasks: TaskGroup,
    ) -> None:
        """Build the mesh for ``service.identity``; no peer is dialled yet.

        :param members: source of the VMs to dial.
        :param tasks: task group that runs the dialers.
        """
        self._service = service
        self._members = members
        self._tasks = tasks
        self._dialers: dict[Machine, asyncio.Task[Any]] = {}
        self._links: dict[str, Link] = {}
        self._unreachable: set[str] = set()
        self._requested_nodes: set[str] = set()
        self._link_opened: dict[str, asyncio.Event] = {}
        self.on_link_open: list[Callable[[Link], Any]] = []
        self.on_link_close: list[Callable[[Link], Any]] = []

    @property
    def node(self) -> str:
        """Name of the VM that this process runs on."""
        return self._service.identity.node

    @property
    def zone(self) -> str:
        """Availability zone of the VM that this process runs on."""
        return self._service.identity.zone

    def links(self, zone: str = '') -> tuple[Link, ...]:
        """Return the open links to peers in one zone, or in all zones."""
        return tuple(
            link
            for link in self._links.values()
            if zone in {'', link.peer.zone}
        )

    def cross_zone_links(self) -> tuple[Link, ...]:
        """Return one open link into each other zone."""
        link_by_zone: dict[str, Link] = {}
        for link in self._links.values():
            if link.peer.zone != self.zone:
                link_by_zone.setdefault(link.peer.zone, link)
        return tuple(link_by_zone.values())

    def find_link(self, node: str) -> Link | None:
        """Return the open link to a VM, ``None`` if there is none."""
        return self._links.get(node)

    async def connect(self, node: str, seconds: float) -> Link:
        """Return a link to any listed VM, dialling it if needed.

        :param seconds: longest wait for the link to open.
        :raises PeerClosedError: when the VM is not in the member list.
        :raises PeerTimeoutError: when the link doesn't open in time.
        """
        link = self._links.get(node)
        if link:
            return link
        machine = self._members.find_machine(node)
        if machine is None:
            raise PeerClosedError(f'{node} is not in the member list')
        self._requested_nodes.add(node)
        if machine not in self._dialers:
            self._dialers[machine] = self._tasks.start(
                self._keep_dialing(machine),
            )
        opened = self._link_opened.setdefault(node, asyncio.Event())
        try:
            async with Timeout(seconds):
                await opened.wait()
        except TimeoutError as error:
            raise PeerTimeoutError(f'{node} is not reachable') from error
        link = self._links.get(node)
        if link is None:
            raise PeerClosedError(f'the link to {node} closed at once')
        return link

    def reachable(self) -> tuple[str, ...]:
        """Return the names of this VM and its zone's linked VMs."""
        peers = (link.peer.node for link in self.links(self.zone))
        return (self.node, *peers)

    def relays(self) -> tuple[str, ...]:
        """Return the relays of this zone, chosen among reachable VMs.

        VMs that reach different peers may choose different relays.
        """
        return pick_nodes(
            relay_key(self.zone),
            self.reachable(),
            RELAYS_PER_ZONE,
        )

    def is_relay(self) -> bool:
        """Tell whether this VM is a relay of its zone."""
        return self.node in self.relays()

    def broadcast(
        self,
        message: Any,
        zone: str = '',
        source: Link | None = None,
    ) -> None:
        """Send a message on all open links, or on those into one zone.

        :param zone: zone of the receiving peers, empty for all zones.
        :param source: link that delivered the message; its peer is skipped.
        """
        skipped_node = source.peer.node if source else ''
        packed = pack_message(message)
        for link in self.links(zone):
            if link.peer.node == skipped_node:
                continue
            push(link, packed)

    def spread(self, message: Any, source: Link | None) -> None:
        """Send news to all VMs that its source doesn't reach itself.

        Each VM has links to all VMs of its own zone and to some of each other
        zone, which pass the news on in theirs.

        :param source: link that the news came from, ``None`` for own news.
        """
        if source is None:
            self.broadcast(message)
        elif source.peer.zone != self.zone:
            self.broadcast(message, self.zone, source)

    async def maintain_links(self) -> None:
        """Run one dialer for each wanted peer, until cancelled.

        The member list is checked every :data:`MAINTENANCE_SECONDS`: a dialer
        starts for each new peer and is cancelled for each removed peer.
        """
        while True:
            wanted = set(self._find_wanted_peers())
            for machine in wanted - set(self._dialers):
                self._dialers[machine] = self._tasks.start(
                    self._keep_dialing(machine),
                )
            for machine in set(self._dialers) - wanted:
                self._dialers.pop(machine).cancel()
            await asyncio.sleep(MAINTENANCE_SECONDS)

    def has_tried_peers(self, zone: str = '') -> bool:
        """Tell whether each VM to dial is linked or unreachable.

        A VM is unreachable when its last dial attempt or link failed.

        :param zone: zone of these VMs, empty for all zones.
        """
        wanted = {
            peer.name
            for peer in self._find_wanted_peers()
            if zone in {'', peer.zone}
        }
        return wanted <= set(self._links) | self._unreachable

    async def _run_heartbeat(self, link: Link) -> None:
        """Check a link's peer with heartbeats and close the link on failure.

        The failure means that the peer is stopped, frozen or partitioned. A
        peer gets no heartbeat while it sends data on any link.
        """
        loop = asyncio.get_running_loop()
        while not link.closed:
            silent = self._service.silent_seconds(link.peer, loop.time())
            interval = find_send_interval(len(self.reachable()))
            max_silent = max(
                MIN_SILENT_SECONDS,
                interval * MAX_SILENT_INTERVALS,
            )
            if silent < max_silent:
                await asyncio.sleep(
                    max(max_silent - silent, MIN_HEARTBEAT_PAUSE_SECONDS)
                )
                continue
            try:
                await link.request(Ping(), PONG_TIMEOUT_SECONDS)
            except PeerError as error:
                get_logger().info('peer_silent', reason=str(error))
                link.close()

    def _find_wanted_peers(self) -> list[Machine]:
        wanted: list[Machine] = []
        zones = {machine.zone for machine in self._members.machines()}
        for zone in zones:
            machines = {
                machine.name: machine
                for machine in self._members.machines(zone)
            }
            names = set(machines)
            if zone != self.zone:
                names = set(self._pick_cross_zone_peers(zone, tuple(names)))
            names |= self._requested_nodes & set(machines)
            wanted.extend(machines[name] for name in names)
        return [peer for peer in wanted if peer.name != self.node]

    def _pick_cross_zone_peers(
        self,
        zone: str,
        names: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return the VMs of another zone to which this VM keeps links.

        Relays link to the relays of the other zone. All other VMs spread their
        links over the zone, so that no VM there has to serve links from every
        VM of this zone.
        """
        available = [name for name in names if name not in self._unreachable]
        key = f'contact/{self.node}/{zone}'
        if self.is_relay():
            key = relay_key(zone)
        return pick_nodes(key, available or names, CONTACTS_PER_ZONE)

    async def _keep_dialing(self, machine: Machine) -> None:
        while True:
            try:
                await self._run_link(machine)
            except (PeerError, OSError) as error:
                self._unreachable.add(machine.name)
                get_logger().info(
                    'peer_unreachable',
                    peer=machine.name,
                    reason=str(error),
                )
            except Exception as error:
                get_logger().error(
                    'link_failed', peer=machine.name, **describe_error(error)
                )
            await asyncio.sleep(REDIAL_SECONDS)

    async def _run_link(self, machine: Machine) -> None:
        link = await dial(machine.address, machine.port, self._service)
        self._unreachable.discard(machine.name)
        self._links[machine.name] = link
        self._link_opened.setdefault(machine.name, asyncio.Event()).set()
        heartbeat = self._tasks.start(self._run_heartbeat(link))
        try:
            for callback in self.on_link_open:
                callback(link)
            await link.serve()
        finally:
            heartbeat.cancel()
            link.close()
            if self._links.get(machine.name) is link:
                self._links.pop(machine.name)
                self._link_opened.pop(machine.name, None)
            for callback in self.on_link_close:
                callback(link)


async def answer_ping(link: Link, message: Ping) -> Pong:
    """Answer a heartbeat with a reply that reports no uptime."""
    return Pong()


def push(link: Link, message: Any) -> None:
    """Send a one-way message and log a failure instead of raising it.

    The task that serves the link handles the closed link.
    """
    try:
        link.send(message)
    except PeerError as error:
        get_logger().info('push_failed', reason=str(error))
