"""Connects to targets directly, or through a peer VM."""

import asyncio
import random
import time
from collections.abc import Callable, Collection
from functools import partial
from typing import Any
from weakref import WeakValueDictionary

from galenaswitch.connections.dialing import DirectDialer
from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.connections.outcomes import Outcome
from galenaswitch.membership.lists import Members
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.paths.marks import Marks
from galenaswitch.paths.monitor import PathMonitor
from galenaswitch.paths.notes import NOTE_INTERVAL_SECONDS, PathNotes
from galenaswitch.paths.probes import stays_open
from galenaswitch.paths.races import race
from galenaswitch.paths.silence_watch import SilenceWatch
from galenaswitch.paths.tunnels import (
    Tunnels,
    TunnelUnavailableError,
    TunnelUnreachableError,
)

MakeConnection = Callable[[], TargetConnection]
# Seconds after which a tunnel is tried beside a direct attempt that is still
# under way.
HEAD_START_SECONDS = 0.15
# Seconds between two direct attempts while the path is lost.
PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.3
# Seconds between two checks of a target that has ended a direct connection
# without an answer, and longest time for the tunnel of such a check.
CHECK_INTERVAL_SECONDS = 1.0
CHECK_TIMEOUT_SECONDS = 0.5
# Number of other targets that are tried before the path counts as lost, and
# longest time for connecting to one. A target that is full doesn't answer.
CONFIRMING_TARGETS = 2
CONFIRM_TIMEOUT_SECONDS = 0.08


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
        self.on_hang: Callable[[Collection[str]], Any] = lambda addresses: None
        self._direct = direct
        self._tunnels = tunnels
        self._members = members
        self._notes = notes
        self._tasks = tasks
        self._metrics = metrics
        self._checked = Marks(CHECK_INTERVAL_SECONDS)
        self._is_confirming = False
        self._is_silent = False
        self.silences = SilenceWatch(
            direct,
            tunnels,
            members,
            tasks,
            metrics,
            self.monitor,
            self._lose_silent,
        )
        self._last_answered = ''
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
        if self._tunnels.is_unreachable(address):
            openers.pop()
        return await race(openers, HEAD_START_SECONDS)

    async def _open_lost(
        self, address: str, make_connection: MakeConnection
    ) -> TargetConnection:
        if self._tunnels.is_unreachable(address):
            raise TunnelUnreachableError(f'{address}: no connection')
        try:
            return await self._tunnels.open(address, make_connection)
        except TunnelUnavailableError:
            return await self._direct.open(address, make_connection)

    async def _open_direct(
        self, address: str, make_connection: MakeConnection, attempt: _Attempt
    ) -> TargetConnection:
        judge = partial(self._judge, address, time.monotonic())
        outcome = partial(Outcome, judge, address, self.silences)
        make_judged = partial(_make_judged, make_connection, outcome)
        try:
            return await self._direct.open(address, make_judged)
        finally:
            attempt.is_pending = False

    async def _open_tunnel(
        self, address: str, make_connection: MakeConnection, attempt: _Attempt
    ) -> TargetConnection:
        lock = self._locks.setdefault(address, asyncio.Lock())
        async with lock:
            if self._tunnels.is_unreachable(address):
                raise TunnelUnreachableError(f'{address}: no connection')
            connection = await self._tunnels.open(address, make_connection)
        self._record_detour(address, is_hanging=attempt.is_pending)
        return connection

    def _judge(self, address: str, opened_at: float, is_answer: bool) -> None:
        """Judge the path by what became of a direct connection.

        Something between may accept connections and end them, so that only
        the byte of an answer proves a path.
        """
        if is_answer:
            self._last_answered = address
            self._record_direct(address, opened_at)
        elif not (self.monitor.is_lost or self._checked.hold(address)):
            self._checked.set(address)
            self._tasks.start(self._check(address))

    async def _check(self, address: str) -> None:
        """Check whether only an exit reaches a target."""
        is_direct, is_reached = await asyncio.gather(
            stays_open(self._direct, address, PROBE_TIMEOUT_SECONDS),
            stays_open(self._tunnels, address, CHECK_TIMEOUT_SECONDS),
        )
        if is_reached and not is_direct:
            self._record_detour(address, is_hanging=False)

    def _record_detour(self, address: str, *, is_hanging: bool) -> None:
        addresses = len(self._find_addresses())
        now = time.monotonic()
        is_suspect = self.monitor.record_detour(address, addresses, now)
        if is_suspect and not self._is_confirming:
            self._is_confirming = True
            self._tasks.start(self._confirm(is_hanging=is_hanging))

    async def _confirm(self, *, is_hanging: bool) -> None:
        """Take the path for lost unless another target is reached directly.

        Targets that are full, or refuse just this VM, look like a lost path.
        """
        opened_at = time.monotonic()
        others = self._choose_others()
        try:
            are_open = await asyncio.gather(
                *(
                    stays_open(self._direct, other, CONFIRM_TIMEOUT_SECONDS)
                    for other in others
                )
            )
        finally:
            self._is_confirming = False
        addresses = self._find_addresses()
        for other, is_open in zip(others, are_open, strict=True):
            if is_open:
                self._record_direct(other, opened_at)
                return
        if self.monitor.is_suspect(len(addresses)):
            self._record_lost(addresses, is_hanging=is_hanging)

    def _choose_others(self) -> list[str]:
        """Return the targets to try before the path counts as lost.

        The one that answered last comes first, then those of other services.
        """
        suspects = self.monitor.suspects
        targets = list(self._members.member_list.targets)
        pools = {target.pool for target in targets if target.url in suspects}
        random.shuffle(targets)
        targets.sort(
            key=lambda one: (one.url != self._last_answered, one.pool in pools)
        )
        others = dict.fromkeys(
            target.url for target in targets if target.url not in suspects
        )
        return list(others)[:CONFIRMING_TARGETS]

    def _lose_silent(self) -> None:
        """Take the path for lost on which only peers get answers."""
        if not self.monitor.is_lost:
            addresses = self._find_addresses()
            self._record_lost(addresses, is_hanging=True, is_silent=True)

    def _record_lost(
        self,
        addresses: set[str],
        *,
        is_hanging: bool,
        is_silent: bool = False,
    ) -> None:
        self.monitor.record_lost(time.monotonic())
        self._is_silent = is_silent
        get_logger().warning(
            'path_lost', is_hanging=is_hanging, is_silent=is_silent
        )
        self._metrics.count('path_lost')
        if is_hanging:
            self.on_hang(addresses)
        self._tunnels.forget()
        self._tasks.start(self._probe())

    def _record_direct(self, address: str, opened_at: float) -> None:
        addresses = len(self._find_addresses())
        if not self.monitor.record_direct(address, addresses, opened_at):
            return
        get_logger().info('path_regained', address=address)
        self._metrics.count('path_regained')
        self._tunnels.forget()
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
        if not addresses:
            return
        opened_at = time.monotonic()
        if self._is_silent:
            # Connections that are accepted prove nothing here.
            found = await self.silences.find_answering(self.monitor.regained)
        else:
            address = random.choice(
                sorted(addresses - self.monitor.regained or addresses)
            )
            found = (
                address,
                await stays_open(self._direct, address, PROBE_TIMEOUT_SECONDS),
            )
        if found and found[1]:
            self._record_direct(found[0], opened_at)
        elif found:
            self.monitor.record_failure()

    def _find_addresses(self) -> set[str]:
        return {target.url for target in self._members.member_list.targets}


def _make_judged(
    make_connection: MakeConnection, make_outcome: Callable[[], Outcome]
) -> TargetConnection:
    """Return a new connection whose outcome is judged."""
    connection = make_connection()
    connection.outcome = make_outcome()
    return connection
