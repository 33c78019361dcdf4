"""Opens connections to targets."""

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.connections.sockets import split_address

Connection = TypeVar('Connection', bound=asyncio.Protocol)
# Time for which a target must keep a new connection open to count as alive. A
# proxy in front of a dead target accepts connections and closes them at once.
LISTENING_CHECK_SECONDS = 0.05


class Dialer(Protocol):
    """Interface through which connections to targets are opened."""

    async def open(
        self, address: str, make_connection: Callable[[], TargetConnection]
    ) -> TargetConnection:
        """Open a connection to a target; the caller limits the time.

        :param address: IP address and port of the target.
        :param make_connection: returns the protocol of a new connection. It
            may be called for several attempts, of which one succeeds.
        :raises OSError: when the target can't be reached.
        :raises ValueError: when the address is invalid.
        """


class DirectDialer:
    """Connects to targets directly."""

    def __init__(self, source_ip: str = '') -> None:
        """Build a dialer.

        :param source_ip: local IP address of new connections, any address
            when empty.
        """
        self._local_address = (source_ip, 0) if source_ip else None

    async def open(
        self, address: str, make_connection: Callable[[], Connection]
    ) -> Connection:
        """Connect to a target."""
        host, port = split_address(address)
        _, connection = await asyncio.get_running_loop().create_connection(
            make_connection, host, port, local_addr=self._local_address
        )
        return connection
