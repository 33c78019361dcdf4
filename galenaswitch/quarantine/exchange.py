"""Exchange of evidence between VMs.

News spreads on the links between VMs at once. A VM that was away gets the
evidence of each peer whose link opens.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from galenaswitch.errors import PeerError
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.quarantine.messages import (
    CrashReport,
    EvidenceQuery,
    EvidenceReply,
    PartAnswered,
)

REPLY_TIMEOUT_SECONDS = 1.0
# Link that news came from, ``None`` for news of this VM.
Source = Link | None


class EvidenceSinks(NamedTuple):
    """Functions of the VM's own evidence.

    :param add_crash: merges a crash report.
    :param add_answer: merges the time of an answer.
    :param export: returns all evidence.
    """

    add_crash: Callable[[CrashReport, Source], None]
    add_answer: Callable[[PartAnswered, Source], None]
    export: Callable[[], EvidenceReply]


class EvidenceExchange:
    """Sends news to other VMs and receives theirs."""

    def __init__(self, mesh: Mesh, sinks: EvidenceSinks) -> None:
        """Build an exchange over the links of ``mesh``."""
        self._mesh = mesh
        self._sinks = sinks

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handlers of the messages from other VMs."""
        return {
            CrashReport: self._receive_crash,
            PartAnswered: self._receive_answer,
            EvidenceQuery: self._answer_query,
        }

    def spread(self, message: Any, source: Source) -> None:
        """Send news to all VMs that its source doesn't reach itself."""
        self._mesh.spread(message, source)

    async def on_link_open(self, link: Link) -> None:
        """Merge the evidence of a peer whose link has just opened."""
        try:
            reply = await link.request(EvidenceQuery(), REPLY_TIMEOUT_SECONDS)
        except PeerError as error:
            get_logger().info(
                'evidence_unknown', peer=link.peer.node, reason=str(error)
            )
            return
        for crash in reply.crashes:
            self._sinks.add_crash(crash, link)
        for answer in reply.answers:
            self._sinks.add_answer(answer, link)

    async def _receive_crash(self, link: Link, message: CrashReport) -> None:
        self._sinks.add_crash(message, link)

    async def _receive_answer(self, link: Link, message: PartAnswered) -> None:
        self._sinks.add_answer(message, link)

    async def _answer_query(
        self, link: Link, query: EvidenceQuery
    ) -> EvidenceReply:
        return self._sinks.export()
