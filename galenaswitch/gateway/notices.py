"""Notices of targets that leave, which any of their answers may bring.

Each VM records the notices that it gets and tells the others. They are checked
right before a request is sent, whichever VM chose the target.
"""

from typing import Any

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.errors import TargetUnreachableError
from galenaswitch.gateway.calls import Wire
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import LeavingSign, Members, Target
from galenaswitch.membership.mesh import Mesh, push
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics


class TargetClosedError(TargetUnreachableError):
    """The target takes no requests of this VM now, so none was sent."""


class TargetNotices:
    """Leaving notices of targets, read from their answers."""

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

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {LeavingSign: self._receive}

    def on_link_open(self, link: Link) -> None:
        """Tell a peer whose link has just opened which targets leave."""
        for notice in self._members.leaving_notices():
            push(link, notice)

    def observe(self, target: Target, head: AnswerHead) -> None:
        """Apply what an answer says about the target that gave it.

        :param target: target that the request was meant for.
        """
        if not self._wire.is_leaving(head):
            return
        if not self._wire.is_misdirected(head):
            self._record(target)
            return
        # The answer is that of the target which has the address now.
        for other in self._members.find_targets_by_url(target.url):
            if other.incarnation != target.incarnation:
                self._record(other)

    def check(self, target: Target) -> None:
        """Check that a target may get a request.

        :raises TargetClosedError: when the target is leaving.
        """
        if self._members.is_leaving(target):
            raise TargetClosedError('the target is leaving')

    def find_closed(self, service: str) -> tuple[str, ...]:
        """Return the incarnations of a service that get no request now."""
        return tuple(
            target.incarnation
            for target in self._members.targets(service)
            if self._members.is_leaving(target)
        )

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
