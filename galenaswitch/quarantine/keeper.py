"""Evidence that a control process keeps and passes on.

The entry processes judge it. Their control process sends the news of its own
entry process to other VMs, and the news of other VMs to its entry process.
"""

import time
from collections.abc import Callable
from typing import Any

from galenaswitch.membership.mesh import Mesh
from galenaswitch.quarantine.evidence import Evidence
from galenaswitch.quarantine.exchange import (
    EvidenceExchange,
    EvidenceSinks,
    Source,
)
from galenaswitch.quarantine.messages import (
    CrashReport,
    EvidenceReply,
    PartAnswered,
)

ENTRY_ROLE = 'entry'


class EvidenceKeeper:
    """Evidence of one VM, for entry processes that start and for peers."""

    def __init__(self, mesh: Mesh, publish: Callable[[Any], None]) -> None:
        """Build a keeper without evidence.

        :param publish: pushes news to the entry processes of this VM.
        """
        self._evidence = Evidence()
        self._publish = publish
        self.exchange = EvidenceExchange(
            mesh,
            EvidenceSinks(self._add_crash, self._add_answer, self._export),
        )

    def list_news(self) -> tuple[CrashReport | PartAnswered, ...]:
        """Return all evidence as the news that entry processes receive."""
        evidence = self._export()
        return (*evidence.crashes, *evidence.answers)

    def _add_crash(self, report: CrashReport, source: Source) -> None:
        if self._evidence.add_crash(report, time.monotonic()):
            self._pass_on(report, source)

    def _add_answer(self, answer: PartAnswered, source: Source) -> None:
        at = time.monotonic() - answer.age
        if self._evidence.add_answer(answer.part, at):
            self._pass_on(answer, source)

    def _pass_on(
        self, news: CrashReport | PartAnswered, source: Source
    ) -> None:
        is_own = source is None or source.peer.role == ENTRY_ROLE
        self.exchange.spread(news, None if is_own else source)
        self._publish(news)

    def _export(self) -> EvidenceReply:
        return self._evidence.export(time.monotonic())
