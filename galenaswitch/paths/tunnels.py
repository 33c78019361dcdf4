"""Opens connections to targets through exits."""

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.errors import PeerError
from galenaswitch.membership.links import Link, LinkService, dial
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.paths.frames import FrameReader
from galenaswitch.paths.marks import Marks
from galenaswitch.paths.messages import (
    UNREACHABLE,
    PauseNote,
    TunnelQuery,
    TunnelReply,
)
from galenaswitch.paths.races import race

# Seconds after which another exit is asked beside one that hasn't answered.
SECOND_EXIT_SECONDS = 0.15
# Seconds for which an exit that has failed or took too long is chosen last.
FAILED_SECONDS = 2.0
# Seconds for which an exit that didn't reach a target isn't asked for it again,
# and number of such exits after which no other one is asked either.
UNREACHED_SECONDS = 1.0
MAX_UNREACHED_EXITS = 4


class TunnelUnreachableError(OSError):
    """All exits that were asked failed to connect to the target."""


class TunnelUnavailableError(OSError):
    """No exit has tried to connect to the target."""


class Tunnels:
    """Opens tunnels, and keeps those that are open by their exits."""

    def __init__(
        self,
        service: LinkService,
        members: Members,
        mesh: Mesh,
        is_available: Callable[[str], bool],
        metrics: Metrics,
    ) -> None:
        """Build tunnels of which none is open.

        :param is_available: tells whether a VM may be chosen as an exit.
        """
        self._service = service
        self._members = members
        self._mesh = mesh
        self._is_available = is_available
        self._metrics = metrics
        self.on_pause: Callable[[PauseNote], Any] = lambda note: None
        self._open: dict[str, set[_Tunnel]] = {}
        self._failed_at: dict[str, float] = {}
        self._unreached: dict[str, Marks] = {}

    @property
    def count(self) -> int:
        """Number of open tunnels."""
        return sum(map(len, self._open.values()))

    @property
    def has_exits(self) -> bool:
        """Whether there is a VM that may be chosen as an exit."""
        return bool(self._find_available())

    async def open(
        self, address: str, make_connection: Callable[[], TargetConnection]
    ) -> TargetConnection:
        """Connect to a target through an exit.

        A second exit, in another zone if there is one, is asked when the first
        fails or takes long.

        :raises TunnelUnreachableError: when the exits that were asked, now or
            shortly before, can't connect either.
        :raises TunnelUnavailableError: when there is no exit.
        """
        openers = [
            partial(self._open_through, machine, address, make_connection)
            for machine in self._choose_exits(address)
        ]
        return await race(openers, SECOND_EXIT_SECONDS)

    def is_unreachable(self, address: str) -> bool:
        """Tell whether all exits to ask have just failed to reach a target."""
        unreached = self._unreached.get(address)
        if not unreached or unreached.is_empty:
            return False
        exits = self._find_available()
        failed = sum(unreached.hold(machine.name) for machine in exits)
        return failed >= min(MAX_UNREACHED_EXITS, max(1, len(exits)))

    def forget(self) -> None:
        """Forget which exits didn't reach which targets."""
        self._unreached.clear()

    def retire(self, node: str = '') -> None:
        """Use no tunnel for another request.

        :param node: name of the exit, empty for all exits.
        """
        for exit_node, tunnels in list(self._open.items()):
            if node in {'', exit_node}:
                for tunnel in list(tunnels):
                    tunnel.retire()

    def find_exits(self, address: str) -> set[str]:
        """Return the exits of the open tunnels to a target."""
        return {
            node
            for node, tunnels in self._open.items()
            if any(tunnel.address == address for tunnel in tunnels)
        }

    def _find_available(self) -> list[Machine]:
        return [
            machine
            for machine in self._members.machines()
            if machine.name != self._mesh.node
            and self._mesh.find_link(machine.name)
            and self._is_available(machine.name)
        ]

    def _choose_exits(self, address: str) -> list[Machine]:
        """Return the exits to ask in their order.

        An exit that hasn't reached the target says nothing about others, since
        its own path may be lost.
        """
        if self.is_unreachable(address):
            raise TunnelUnreachableError(f'{address}: no connection')
        machines = self._find_available()
        unreached = self._unreached.get(address)
        if unreached:
            machines = [
                machine
                for machine in machines
                if not unreached.hold(machine.name)
            ]
        random.shuffle(machines)
        machines.sort(key=self._rank)
        first = machines[:1]
        if not first:
            raise TunnelUnavailableError('no VM can be an exit')
        others = sorted(
            machines[1:], key=lambda other: other.zone == first[0].zone
        )
        return [*first, *others[:1]]

    def _rank(self, machine: Machine) -> tuple[bool, bool, int]:
        failed_at = self._failed_at.get(machine.name, 0)
        return (
            time.monotonic() - failed_at < FAILED_SECONDS,
            machine.zone != self._mesh.zone,
            len(self._open.get(machine.name, ())),
        )

    async def _open_through(
        self,
        machine: Machine,
        address: str,
        make_connection: Callable[[], TargetConnection],
    ) -> TargetConnection:
        try:
            link, reply = await self._ask(machine, address)
        except asyncio.CancelledError:
            self._record_unreached(machine, address)
            raise
        except (PeerError, OSError) as error:
            self._report_failure(machine, address, type(error).__name__)
            raise TunnelUnavailableError(str(error)) from error
        if reply.failure:
            link.close()
            self._report_failure(machine, address, reply.failure)
            if reply.failure == UNREACHABLE:
                raise TunnelUnreachableError(f'{address}: no connection')
            raise TunnelUnavailableError(f'{machine.name}: {reply.failure}')
        self._failed_at.pop(machine.name, None)
        self._unreached.pop(address, None)
        for pause in reply.pauses:
            self.on_pause(pause)
        connection = make_connection()
        tunnel = _Tunnel(
            link, connection, self._open.setdefault(machine.name, set())
        )
        await link.hand_over(tunnel)
        self._metrics.count('tunnel_opened')
        get_logger().info('tunnel_opened', exit=machine.name, address=address)
        return connection

    async def _ask(
        self, machine: Machine, address: str
    ) -> tuple[Link, TunnelReply]:
        try:
            link = await dial(machine.address, machine.port, self._service)
        except asyncio.CancelledError:
            self._failed_at[machine.name] = time.monotonic()
            raise
        try:
            link.send(TunnelQuery(address))
            return link, await link.receive(TunnelReply)
        except (PeerError, OSError, asyncio.CancelledError):
            self._failed_at[machine.name] = time.monotonic()
            link.close()
            raise

    def _record_unreached(self, machine: Machine, address: str) -> None:
        self._unreached = {
            other: unreached
            for other, unreached in self._unreached.items()
            if other == address or not unreached.is_empty
        }
        unreached = self._unreached.setdefault(
            address, Marks(UNREACHED_SECONDS)
        )
        unreached.set(machine.name)

    def _report_failure(
        self, machine: Machine, address: str, reason: str
    ) -> None:
        self._failed_at[machine.name] = time.monotonic()
        self._record_unreached(machine, address)
        self._metrics.count('tunnel_failed')
        get_logger().info(
            'tunnel_failed', exit=machine.name, address=address, reason=reason
        )


class _Tunnel(asyncio.Protocol):
    """End of a tunnel at the VM that has asked for it."""

    def __init__(
        self, link: Link, connection: TargetConnection, tunnels: 'set[_Tunnel]'
    ) -> None:
        # A link that nobody refers to closes its connection.
        self._link = link
        self._connection = connection
        self._tunnels = tunnels
        self._frames = FrameReader()
        self._transport: Any = None

    @property
    def address(self) -> str:
        """IP address and port of the target."""
        return self._connection.address

    def connection_made(self, transport: Any) -> None:
        """Open the connection to the target."""
        self._transport = transport
        self._tunnels.add(self)
        self._connection.connection_made(transport)

    def data_received(self, received: bytes) -> None:
        """Pass on bytes of the target, and its orderly close."""
        for chunk in self._frames.read(received):
            if self._transport.is_closing():
                return
            self._connection.data_received(chunk)
        if self._frames.is_closed:
            self._connection.eof_received()
            self._transport.close()

    def eof_received(self) -> bool:
        """Fail the connection, which the target hasn't closed in order."""
        self._tunnels.discard(self)
        self._connection.connection_lost(ConnectionResetError())
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the connection."""
        self._tunnels.discard(self)
        self._connection.connection_lost(error)

    def retire(self) -> None:
        """Use the connection for no other request."""
        if self._connection.reusable:
            self._connection.close()
        self._connection.is_retired = True
