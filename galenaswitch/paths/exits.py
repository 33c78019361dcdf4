"""Exit side of tunnels: connects to targets for VMs that can't."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

from galenaswitch.connections.dialing import DirectDialer
from galenaswitch.connections.memory import MemoryAccount
from galenaswitch.connections.sockets import (
    enable_dead_peer_detection,
    has_unread_bytes,
    has_unsent_bytes,
    is_ended_by_peer,
    reset,
)
from galenaswitch.errors import PeerClosedError
from galenaswitch.membership.links import Link
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.timeouts import Timeout
from galenaswitch.paths.buffers import CountedBuffer
from galenaswitch.paths.frames import CLOSED_FRAME, encode_chunk
from galenaswitch.paths.messages import (
    UNAVAILABLE,
    UNREACHABLE,
    PauseNote,
    TunnelQuery,
    TunnelReply,
)

# Longest time in seconds for connecting to a target. The VM that asks has used
# a part of its own connect timeout by then.
EXIT_CONNECT_SECONDS = 0.3
# Most tunnels that an exit serves. Each may hold the buffers of two sockets.
MAX_TUNNELS = 512
# Seconds between two looks whether a VM has ended a tunnel from which nothing
# is read, since its target doesn't read. The loop tells it only to readers.
CHECK_SECONDS = 0.1


class Exits:
    """Tunnels that this VM serves as an exit.

    :ivar memory: accounts for the bytes that wait in the tunnels.
    """

    def __init__(
        self,
        dialer: DirectDialer,
        is_target: Callable[[str], bool],
        metrics: Metrics,
    ) -> None:
        """Build an exit without tunnels.

        :param dialer: connects to targets directly, so that tunnels never form
            chains.
        :param is_target: tells whether an address is that of a target.
        """
        self._dialer = dialer
        self._is_target = is_target
        self._metrics = metrics
        self.memory = MemoryAccount()
        self._tunnels: set[_TunnelEnd] = set()
        self.find_pauses: Callable[[str], tuple[PauseNote, ...]] = (
            lambda address: ()
        )
        self.stopping = False

    @property
    def count(self) -> int:
        """Number of open tunnels."""
        return len(self._tunnels)

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {TunnelQuery: self._answer}

    def find_users(self, address: str) -> set[str]:
        """Return the VMs with a tunnel through this VM to a target."""
        return {
            tunnel.user for tunnel in self._tunnels if tunnel.address == address
        }

    async def _answer(
        self, link: Link, query: TunnelQuery
    ) -> TunnelReply | None:
        """Connect a link to a target.

        :returns: the reply if the link stays a link, else ``None``.
        """
        is_full = len(self._tunnels) >= MAX_TUNNELS
        if self.stopping or is_full or not self._is_target(query.address):
            return TunnelReply(UNAVAILABLE)
        try:
            async with Timeout(EXIT_CONNECT_SECONDS):
                target = await self._dialer.open(
                    query.address, partial(_TargetEnd, self.memory)
                )
        except (OSError, TimeoutError, ValueError):
            return TunnelReply(UNREACHABLE)
        await self._join(link, target, query.address)
        return None

    async def _join(
        self, link: Link, target: '_TargetEnd', address: str
    ) -> None:
        tunnel = _TunnelEnd(link, address, target, self._tunnels, self.memory)
        try:
            link.send(TunnelReply(pauses=self.find_pauses(address)))
        except PeerClosedError:
            target.abort()
            return
        self._metrics.count('tunnel_served')
        get_logger().info('tunnel_served', peer=link.peer.node, address=address)
        self._tunnels.add(tunnel)
        await link.hand_over(tunnel)


class _TargetEnd(asyncio.Protocol):
    """Connection of an exit to a target."""

    def __init__(self, memory: MemoryAccount) -> None:
        self._unsent = CountedBuffer(memory)
        self._transport: Any = None
        self._tunnel: Any = None

    def connection_made(self, transport: Any) -> None:
        """Wait with reading until the tunnel is joined."""
        self._transport = transport
        self._unsent.attach(transport)
        enable_dead_peer_detection(transport)
        transport.pause_reading()

    def join(self, tunnel: Any) -> None:
        """Begin to pass on what the target sends."""
        self._tunnel = tunnel
        if self._transport.is_closing():
            tunnel.close()
        else:
            self._transport.resume_reading()

    def data_received(self, chunk: bytes) -> None:
        """Pass bytes on to the VM."""
        self._tunnel.write(encode_chunk(chunk))

    def eof_received(self) -> bool:
        """Pass an orderly close on; the VM then closes the tunnel.

        A target that closes while a part of the request waits here has not
        closed in order: the tunnel breaks off behind the bytes that came.
        """
        if has_unsent_bytes(self._transport) or self._tunnel.is_behind:
            reset(self._transport)
            return False
        self._tunnel.write(CLOSED_FRAME)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Break off the tunnel behind the bytes that have arrived."""
        self._unsent.close()
        if self._tunnel:
            self._tunnel.close()

    def pause_writing(self) -> None:
        """Stop reading from the VM, as the target doesn't read."""
        self._unsent.open()
        if self._tunnel:
            self._tunnel.pause_reading()

    def resume_writing(self) -> None:
        """Read from the VM again."""
        self._unsent.close()
        if self._tunnel:
            self._tunnel.resume_reading()

    def write(self, chunk: bytes) -> None:
        """Send bytes to the target."""
        self._transport.write(chunk)
        self._unsent.count()

    def pause_reading(self) -> None:
        """Stop reading from the target."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the target again."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection, and reset it while bytes are unsent."""
        if has_unsent_bytes(self._transport):
            self.reset()
        else:
            self._transport.abort()

    def reset(self) -> None:
        """Reset the connection; the target drops a request in progress."""
        reset(self._transport)


class _TunnelEnd(asyncio.Protocol):
    """Connection of an exit to the VM that has asked for a tunnel."""

    def __init__(
        self,
        link: Link,
        address: str,
        target: _TargetEnd,
        tunnels: 'set[_TunnelEnd]',
        memory: MemoryAccount,
    ) -> None:
        # A link that nobody refers to closes its connection.
        self._link = link
        self.address = address
        self._target = target
        self._tunnels = tunnels
        self._unsent = CountedBuffer(memory)
        self._transport: Any = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def user(self) -> str:
        """Name of the VM that has asked for the tunnel."""
        return self._link.peer.node

    @property
    def is_behind(self) -> bool:
        """Whether bytes of the VM have arrived that were not read yet."""
        is_open = not self._transport.is_closing()
        return is_open and has_unread_bytes(self._transport)

    def connection_made(self, transport: Any) -> None:
        """Begin to pass on what the target sends."""
        self._transport = transport
        self._unsent.attach(transport)
        enable_dead_peer_detection(transport)
        self._target.join(self)

    def data_received(self, chunk: bytes) -> None:
        """Pass bytes on to the target."""
        self._target.write(chunk)

    def eof_received(self) -> bool:
        """Close the connection to the target, as the VM has closed."""
        self._tunnels.discard(self)
        self._target.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the connection to the target as the VM has ended the tunnel.

        A VM that gives a request up resets the tunnel; one that can't be
        reached may have given it up.
        """
        self._stop_checks()
        self._unsent.close()
        self._tunnels.discard(self)
        if error:
            self._target.reset()
        else:
            self._target.abort()

    def pause_writing(self) -> None:
        """Stop reading from the target, as the VM doesn't read."""
        self._unsent.open()
        self._target.pause_reading()

    def resume_writing(self) -> None:
        """Read from the target again."""
        self._unsent.close()
        self._target.resume_reading()

    def write(self, frame: bytes) -> None:
        """Send a frame to the VM."""
        self._transport.write(frame)
        self._unsent.count()

    def pause_reading(self) -> None:
        """Stop reading from the VM, but notice that it ends the tunnel."""
        if not self._transport.is_closing():
            self._transport.pause_reading()
            self._check()

    def resume_reading(self) -> None:
        """Read from the VM again."""
        self._stop_checks()
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the tunnel behind the bytes that are still unsent."""
        self._stop_checks()
        self._transport.close()

    def _check(self) -> None:
        """End the tunnel if the VM has, which leaves its request unsent."""
        if is_ended_by_peer(self._transport):
            self._target.reset()
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_SECONDS, self._check)

    def _stop_checks(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
