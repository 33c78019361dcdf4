"""What targets say about themselves in any answer: that they leave, or pause.

A target that leaves says so to all VMs: each VM records the notice and tells
the others. A pause holds only for the VM that the target refused, and for those
with a tunnel through it. Both are checked right before a request is sent,
whichever VM chose the target, and so is whether its zone is evacuated.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.errors import TargetUnreachableError
from galenaswitch.gateway.calls import Wire
from galenaswitch.limits.pauses import Pauses
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import LeavingSign, Members, Target
from galenaswitch.membership.mesh import Mesh, push
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.paths.messages import PauseNote

# Longest time in seconds between two looks at a pause that requests wait for.
# The answer to a probe ends a pause earlier.
RECHECK_SECONDS = 0.05


class TargetClosedError(TargetUnreachableError):
    """The target takes no requests of this VM now, so none was sent."""


class TargetNotices:
    """Leaving notices and pauses of targets, read from their answers."""

    def __init__(
        self,
        wire: Wire,
        members: Members,
        mesh: Mesh,
        metrics: Metrics,
    ) -> None:
        """Build notices that are recorded in ``members``."""
        self._wire = wire
        self._members = members
        self._mesh = mesh
        self._metrics = metrics
        self._pauses = Pauses()
        self.on_pause: Callable[[Target, float], Any] = lambda *_: None

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {LeavingSign: self._receive}

    def on_link_open(self, link: Link) -> None:
        """Tell a peer whose link has just opened which targets leave."""
        for notice in self._members.leaving_notices():
            push(link, notice)

    def observe(
        self, target: Target, head: AnswerHead, *, is_probe: bool = False
    ) -> None:
        """Apply what an answer says about the target that gave it.

        :param target: target that the request was meant for.
        :param is_probe: whether the request was the probe after a pause.
        """
        self._observe_leaving(target, head)
        seconds = self._wire.read_pause(head)
        if seconds:
            self._pause(target.name, target.incarnation, seconds)
            self.on_pause(target, seconds)
        elif is_probe:
            self._pauses.end_probe(target.incarnation, time.monotonic())

    def apply_pause(self, note: PauseNote) -> bool:
        """Pause a target that has asked for it at the end of a tunnel.

        :returns: whether the target was not paused yet.
        """
        return self._pause(note.target, note.incarnation, note.seconds)

    def start(self, target: Target) -> bool:
        """Record that a request is about to be sent to a target.

        :returns: whether the request is the probe after a pause.
        :raises TargetClosedError: when the target gets no request now.
        """
        self.check(target)
        return self._pauses.start(target.incarnation, time.monotonic())

    def check(self, target: Target, *, is_probe: bool = False) -> None:
        """Check that a target may get a request.

        :raises TargetClosedError: when the target is leaving or paused, or its
            zone is evacuated.
        """
        if self._members.is_leaving(target):
            raise TargetClosedError('the target is leaving')
        now = time.monotonic()
        if self._members.is_evacuated(target):
            self._record_evacuated(target, now)
            raise TargetClosedError('the zone is evacuated')
        incarnation = target.incarnation
        if self._pauses.find_wait(incarnation, now, is_probe=is_probe):
            raise TargetClosedError('the target is paused')

    def find_wait(self, targets: Sequence[Target]) -> float:
        """Return the seconds until one of several targets isn't paused."""
        now = time.monotonic()
        waits = [
            self._pauses.find_wait(target.incarnation, now)
            for target in targets
        ]
        return min(waits, default=0)

    def find_pause(self, service: str) -> float:
        """Return the seconds until one target of a service isn't paused."""
        return self.find_wait(self._members.usable(service))

    def select(self, targets: Sequence[Target]) -> tuple[Target, ...]:
        """Return the targets that aren't paused."""
        return tuple(one for one in targets if not self.find_wait((one,)))

    def find_closed(self, service: str) -> tuple[str, ...]:
        """Return the incarnations of a service that get no request now."""
        return tuple(
            target.incarnation
            for target in self._members.targets(service)
            if self._members.is_leaving(target)
            or self._members.is_evacuated(target)
            or self.find_wait((target,))
        )

    async def wait_for_open(
        self, targets: Sequence[Target], max_wait: float
    ) -> float:
        """Wait until one of several targets isn't paused, if that is useful.

        :param max_wait: longest useful wait in seconds.
        :returns: 0 if a target isn't paused now, else the seconds until one is,
            which are too long to wait.
        """
        deadline = time.monotonic() + max_wait
        while True:
            wait = self.find_wait(targets)
            if not wait or time.monotonic() + wait > deadline:
                return wait
            await asyncio.sleep(min(wait, RECHECK_SECONDS))

    def forget_ended(self) -> None:
        """Forget pauses that ended a while ago."""
        self._pauses.forget_ended(time.monotonic())

    def _observe_leaving(self, target: Target, head: AnswerHead) -> None:
        if not self._wire.is_leaving(head):
            return
        if not self._wire.is_misdirected(head):
            self._record(target)
            return
        # The answer is that of the target which has the address now.
        for other in self._members.find_targets_by_url(target.url):
            if other.incarnation != target.incarnation:
                self._record(other)

    def _record_evacuated(self, target: Target, now: float) -> None:
        """Log a request that was not sent, as its target was chosen before."""
        age = self._members.zone_rule.find_age(target.zone, now)
        get_logger().info(
            'target_evacuated',
            target=target.name,
            zone=target.zone,
            seconds=round(age, 3),
        )
        self._metrics.count('target_evacuated')

    def _record(self, target: Target) -> None:
        self._apply(LeavingSign(target.name, target.incarnation), None)

    async def _receive(self, link: Link, notice: LeavingSign) -> None:
        self._apply(notice, link)

    def _apply(self, notice: LeavingSign, source: Link | None) -> None:
        if not self._members.record_leaving(notice):
            return
        get_logger().info(
            'target_leaving',
            target=notice.target,
            incarnation=notice.incarnation,
            peer=source.peer.node if source else '',
        )
        self._metrics.count('target_leaving')
        self._mesh.spread(notice, source)

    def _pause(self, target: str, incarnation: str, seconds: float) -> bool:
        if not self._pauses.pause(incarnation, seconds, time.monotonic()):
            return False
        get_logger().info(
            'target_paused',
            target=target,
            incarnation=incarnation,
            seconds=round(seconds, 3),
        )
        self._metrics.count('target_paused')
        return True
