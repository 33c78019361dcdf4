"""Pool of connections to targets, which keeps idle connections open."""

import asyncio
from collections import deque
from collections.abc import Collection

from galenaswitch.connections.dialing import (
    LISTENING_CHECK_SECONDS,
    Dialer,
    DirectDialer,
)
from galenaswitch.connections.memory import MemoryAccount
from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.connections.sockets import MAX_ADDRESS_LENGTH
from galenaswitch.errors import TargetUnreachableError
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.timeouts import Timeout

# Longest time in seconds for opening a connection to a target. Targets are in
# the platform's own network.
CONNECT_TIMEOUT_SECONDS = 0.6
# Most idle connections that are kept open to one target.
MAX_IDLE_PER_TARGET = 64


class ConnectionPool:
    """Pool of connections to all targets; idle connections stay open."""

    def __init__(
        self, dialer: Dialer | None = None, memory: MemoryAccount | None = None
    ) -> None:
        """Build an empty pool.

        :param dialer: opens the connections; by default they are direct, from
            any local address.
        :param memory: accounts for the bytes of responses.
        """
        self.memory = memory or MemoryAccount()
        self._dialer = dialer or DirectDialer()
        self._idle: dict[str, deque[TargetConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self,
        address: str,
        max_idle_seconds: float,
        ident: str = '',
    ) -> TargetConnection:
        """Return an idle connection to a target, or open a new one.

        :param address: IP address and port of the target.
        :param max_idle_seconds: longest time that the returned connection may
            have been idle.
        :param ident: id that responses to the request name, empty if none.
        :raises TargetUnreachableError: when no connection can be opened in
            time.
        """
        connection = self._acquire_idle(address, max_idle_seconds, ident)
        return connection or await self._open(address)

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        while len(idle) > MAX_IDLE_PER_TARGET:
            idle.popleft().close()

    async def is_listening(self, address: str) -> bool:
        """Tell whether a target accepts a connection and keeps it open."""
        try:
            connection = await self._open(address)
        except TargetUnreachableError:
            return False
        await asyncio.sleep(LISTENING_CHECK_SECONDS)
        is_open = connection.reusable
        self.release(connection)
        return is_open

    def close_expired(self) -> None:
        """Close all connections that exceed their idle timeout."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            while (
                idle and now - idle[0].idle_since > idle[0].idle_timeout_seconds
            ):
                idle.popleft().close()
            if not idle:
                self._idle.pop(address)

    def close(self, addresses: Collection[str] | None = None) -> None:
        """Close the idle connections to some addresses, by default to all."""
        if addresses is None:
            addresses = list(self._idle)
        for address in addresses:
            for connection in self._idle.pop(address, ()):
                connection.close()

    def _acquire_idle(
        self, address: str, max_idle_seconds: float, ident: str
    ) -> TargetConnection | None:
        """Return the connection that has been idle for the shortest time.

        A copy of an error that the request got on a connection couldn't be
        told from its answer there, so it goes on another one.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address, deque())
        found = None
        passed_over: deque[TargetConnection] = deque()
        while idle and not found:
            connection = idle.pop()
            limit_seconds = min(
                max_idle_seconds, connection.idle_timeout_seconds
            )
            if (
                not connection.reusable
                or now - connection.idle_since >= limit_seconds
            ):
                connection.close()
            elif connection.history.has_error(ident):
                passed_over.appendleft(connection)
            else:
                found = connection
        idle.extend(passed_over)
        if passed_over:
            get_logger().info(
                'request_returned', request=ident, address=address
            )
        return found

    async def _open(self, address: str) -> TargetConnection:
        self.opened_count += 1
        try:
            async with Timeout(CONNECT_TIMEOUT_SECONDS):
                return await self._dialer.open(
                    address, lambda: TargetConnection(address, self.memory)
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise TargetUnreachableError(
                f'cannot connect to {address[:MAX_ADDRESS_LENGTH]}: '
                f'{type(error).__name__}',
            ) from error
