"""Watches for silence of all targets, and checks the path with probes."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, NamedTuple

from galenaswitch.connections.dialing import DirectDialer
from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.outbound import TargetConnection
from galenaswitch.connections.outcomes import Outcome
from galenaswitch.membership.lists import Members, Target
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.paths.monitor import PathMonitor
from galenaswitch.paths.probes import is_answered
from galenaswitch.paths.silences import SilenceMonitor
from galenaswitch.paths.tunnels import Tunnels

# Seconds between two looks at the silence.
LOOK_SECONDS = 0.1
# Longest time for the answer to a probe through a peer, and for the answer to
# the same probe on a direct connection. A target that goes on after a pause
# answers both at nearly the same time.
PEER_PROBE_SECONDS = 0.5
DIRECT_PROBE_SECONDS = 0.7
# Most targets that one check probes.
PROBED_TARGETS = 3


class Probes(NamedTuple):
    """Requests that a target answers without running anything.

    :param make_head: encodes a probe of a target.
    :param select: returns the targets that may be sent a probe now.
    """

    make_head: Callable[[Target], RequestHead]
    select: Callable[[Sequence[Target]], Sequence[Target]]


class _Probed(NamedTuple):
    """Result of the probes of one target."""

    address: str
    is_direct: bool
    is_through_peer: bool


class SilenceWatch:
    """Observes all direct connections, and checks the path when they hang.

    :ivar probes: probes of targets; without them, nothing is watched.
    """

    def __init__(
        self,
        direct: DirectDialer,
        tunnels: Tunnels,
        members: Members,
        tasks: TaskGroup,
        metrics: Metrics,
        path: PathMonitor,
        on_lost: Callable[[], Any],
    ) -> None:
        """Build a watch of a path on which nothing was sent.

        :param path: state of the path, which is watched while it is sound.
        :param on_lost: called when a check has proved that the path is lost.
        """
        self.probes: Probes | None = None
        self._direct = direct
        self._tunnels = tunnels
        self._members = members
        self._tasks = tasks
        self._metrics = metrics
        self._path = path
        self._on_lost = on_lost
        self._silences = SilenceMonitor()
        self._is_watching = False

    def begin(self, address: str) -> None:
        """Record a request that no byte has answered yet."""
        self._silences.begin(address)
        if self.probes and not (self._is_watching or self._path.is_lost):
            self._is_watching = True
            self._tasks.start(self._watch(self.probes))

    def hear(self) -> None:
        """Record bytes of any target."""
        self._silences.hear()

    def end(self, address: str) -> None:
        """Record that a request is answered, or its connection is closed."""
        self._silences.end(address)

    async def find_answering(
        self, passed_over: set[str]
    ) -> tuple[str, bool] | None:
        """Probe a target on a direct connection.

        :param passed_over: addresses that are probed only if there is no other.
        :returns: its address and whether it has answered, ``None`` if no
            target may be probed now.
        """
        if self.probes is None:
            return None
        targets = self._choose(self.probes)
        targets.sort(key=lambda one: one.url in passed_over)
        if not targets:
            return None
        address = targets[0].url
        return address, await is_answered(
            self._direct,
            partial(TargetConnection, address),
            self.probes.make_head(targets[0]),
            DIRECT_PROBE_SECONDS,
        )

    async def _watch(self, probes: Probes) -> None:
        """Look at the silence as long as requests are unanswered."""
        try:
            while self._silences.waiting and not self._path.is_lost:
                await asyncio.sleep(LOOK_SECONDS)
                count = len({one.url for one in self._list()})
                is_due = self._silences.is_check_due(count, time.monotonic())
                if is_due and self._tunnels.has_exits:
                    await self._check(probes)
        finally:
            self._is_watching = False

    async def _check(self, probes: Probes) -> None:
        """Probe some targets directly and through a peer at the same time."""
        heard = self._silences.heard
        silent = self._silences.silent_seconds
        waiting = len(self._silences.waiting)
        probed = await asyncio.gather(
            *(
                self._probe(target, probes)
                for target in self._choose(probes)[:PROBED_TARGETS]
            )
        )
        reached = [one.address for one in probed if one.is_through_peer]
        is_lost = self._silences.is_lost(heard, reached, len(probed))
        self._metrics.count('path_checked')
        get_logger().info(
            'path_checked',
            silent=round(silent, 3),
            waiting=waiting,
            probed=len(probed),
            direct=sum(one.is_direct for one in probed),
            reached=len(reached),
            is_lost=is_lost,
        )
        if is_lost:
            self._on_lost()

    async def _probe(self, target: Target, probes: Probes) -> _Probed:
        head = probes.make_head(target)
        is_direct, is_through_peer = await asyncio.gather(
            is_answered(
                self._direct,
                partial(self._make_direct, target.url),
                head,
                DIRECT_PROBE_SECONDS,
            ),
            is_answered(
                self._tunnels,
                partial(TargetConnection, target.url),
                head,
                PEER_PROBE_SECONDS,
            ),
        )
        return _Probed(target.url, is_direct, is_through_peer)

    def _make_direct(self, address: str) -> TargetConnection:
        connection = TargetConnection(address)
        connection.outcome = Outcome(None, address, self)
        return connection

    def _choose(self, probes: Probes) -> list[Target]:
        """Return the targets to probe, one of each address and service first.

        The targets of one service may be silent together as it is overloaded.
        """
        targets = list(probes.select(self._list()))
        random.shuffle(targets)
        targets = list({one.url: one for one in targets}.values())
        counts: dict[str, int] = {}
        ranks: dict[str, int] = {}
        for target in targets:
            counts[target.pool] = counts.get(target.pool, 0) + 1
            ranks[target.url] = counts[target.pool]
        return sorted(targets, key=lambda one: ranks[one.url])

    def _list(self) -> tuple[Target, ...]:
        return self._members.member_list.targets
