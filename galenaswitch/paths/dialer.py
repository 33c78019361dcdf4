"""Connects to targets directly, or through a peer VM."""

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any
from weakref import WeakValueDictionary

from galenaswitch.connections.dialing import DirectDialer
from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.operations.timeouts import Timeout
from galenaswitch.paths.monitor import PathMonitor
from galenaswitch.paths.notes import NOTE_INTERVAL_SECONDS, PathNotes
from galenaswitch.paths.races import race
from galenaswitch.paths.tunnels import (
    Tunnels,
    TunnelUnavailableError,
    TunnelUnreachableError,
)

MakeConnection = Callable[[], TargetConnection]
# Seconds after which a tunnel is tried beside a direct attempt that is still
# under way.
HEAD_START_SECONDS = 0.15
# Seconds for which no tunnel is tried to a target that exits didn't reach.
UNREACHABLE_SECONDS = 1.0
# Seconds between two direct attempts while the path is lost.
PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.3


class _Attempt:
    """One direct attempt, beside which a tunnel is tried.

    :ivar is_pending: whether it has neither succeeded nor failed yet.
    """

    def __init__(self) -> None:
        self.is_pending = True


class PathDialer:
    """Opens connections to targets on a path that works."""

    def __init__(
        self,
        direct: DirectDialer,
        tunnels: Tunnels,
        members: Members,
        notes: PathNotes,
        tasks: TaskGroup,
        metrics: Metrics,
    ) -> None:
        """Build a dialer whose direct path is sound.

        :param direct: connects to targets directly, and to all addresses that
            aren't those of targets.
        """
        self.monitor = PathMonitor()
        self.on_hang: Callable[[], Any] = lambda: None
        self._direct = direct
        self._tunnels = tunnels
        self._members = members
        self._notes = notes
        self._tasks = tasks
        self._metrics = metrics
        self._unreachable_until: dict[str, float] = {}
        self._locks: WeakValueDictionary[str, asyncio.Lock] = (
            WeakValueDictionary()
        )

    async def open(
        self, address: str, make_connection: MakeConnection
    ) -> TargetConnection:
        """Connect to a target.

        While the path is sound, a tunnel is tried when the direct attempt
        fails or takes long; while it is lost, at once.

        :raises OSError: when the target can't be reached.
        :raises ValueError: when the address is invalid.
        """
        if not self._members.find_targets_by_url(address):
            return await self._direct.open(address, make_connection)
        if self.monitor.is_lost:
            return await self._open_lost(address, make_connection)
        attempt = _Attempt()
        openers = [
            partial(self._open_direct, address, make_connection, attempt),
            partial(self._open_tunnel, address, make_connection, attempt),
        ]
        if self._is_unreachable(address):
            openers.pop()
        return await race(openers, HEAD_START_SECONDS)

    async def _open_lost(
        self, address: str, make_connection: MakeConnection
    ) -> TargetConnection:
        if self._is_unreachable(address):
            raise TunnelUnreachableError(f'{address}: no connection')
        try:
            return await self._tunnels.open(address, make_connection)
        except TunnelUnavailableError:
            return await self._direct.open(address, make_connection)
        except TunnelUnreachableError:
            self._record_unreachable(address)
            raise

    async def _open_direct(
        self, address: str, make_connection: MakeConnection, attempt: _Attempt
    ) -> TargetConnection:
        try:
            connection = await self._direct.open(address, make_connection)
        finally:
            attempt.is_pending = False
        self._record_direct(address)
        return connection

    async def _open_tunnel(
        self, address: str, make_connection: MakeConnection, attempt: _Attempt
    ) -> TargetConnection:
        lock = self._locks.setdefault(address, asyncio.Lock())
        async with lock:
            if self._is_unreachable(address):
                raise TunnelUnreachableError(f'{address}: no connection')
            try:
                connection = await self._tunnels.open(address, make_connection)
            except (OSError, asyncio.CancelledError):
                self._record_unreachable(address)
                raise
        self._record_detour(address, is_hanging=attempt.is_pending)
        return connection

    def _is_unreachable(self, address: str) -> bool:
        return self._unreachable_until.get(address, 0) > time.monotonic()

    def _record_unreachable(self, address: str) -> None:
        now = time.monotonic()
        self._unreachable_until = {
            other: end
            for other, end in self._unreachable_until.items()
            if end > now
        }
        self._unreachable_until[address] = now + UNREACHABLE_SECONDS

    def _record_detour(self, address: str, *, is_hanging: bool) -> None:
        addresses = len(self._find_addresses())
        if not self.monitor.record_detour(address, addresses, time.monotonic()):
            return
        get_logger().warning(
            'path_lost', address=address, is_hanging=is_hanging
        )
        self._metrics.count('path_lost')
        if is_hanging:
            self.on_hang()
        self._unreachable_until.clear()
        self._tasks.start(self._probe())

    def _record_direct(self, address: str) -> None:
        if not self.monitor.record_direct(address, len(self._find_addresses())):
            return
        get_logger().info('path_regained', address=address)
        self._metrics.count('path_regained')
        self._unreachable_until.clear()
        self._notes.send(is_lost=False)
        self._tunnels.retire()

    async def _probe(self) -> None:
        """Try to connect directly until the path is sound again."""
        noted_at = 0.0
        while self.monitor.is_lost:
            now = time.monotonic()
            if now - noted_at >= NOTE_INTERVAL_SECONDS:
                noted_at = now
                self._notes.send(is_lost=True)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            await self._probe_target()

    async def _probe_target(self) -> None:
        addresses = self._find_addresses()
        address = random.choice(
            sorted(addresses - self.monitor.regained or addresses)
        )
        try:
            async with Timeout(PROBE_TIMEOUT_SECONDS):
                await self._direct.open(address, _Probe)
        except (OSError, TimeoutError, ValueError):
            self.monitor.record_failure()
        else:
            self._record_direct(address)

    def _find_addresses(self) -> set[str]:
        return {target.url for target in self._members.member_list.targets}


class _Probe(asyncio.Protocol):
    """Connection that only shows that a target can be reached."""

    def connection_made(self, transport: Any) -> None:
        """Close the connection."""
        transport.close()
