"""Admission of requests at an entry, under all limits of the contract."""

import asyncio
import time
from collections import Counter
from datetime import UTC, datetime
from typing import Any

from galenaswitch.contracts.documents import Shortage
from galenaswitch.errors import PeerClosedError, PeerError
from galenaswitch.limits.cache import (
    REFUSED_SECONDS,
    PermitCache,
    Permits,
)
from galenaswitch.limits.cost_reports import CostReports
from galenaswitch.limits.messages import (
    CostReport,
    OutstandingPermits,
    PermitReply,
    PermitRequest,
    UsageReport,
)
from galenaswitch.membership.asker import Asker
from galenaswitch.pipelines.requests import PipelineRequest, Progress
from galenaswitch.refusals import Reason, RefusedError

ASK_SECONDS = 1
MAX_WAITING = 1000
WAITABLE = frozenset(
    (
        Reason.rate_limit.value,
        Reason.token_limit.value,
        Reason.progress_limit.value,
        Reason.limits_unreachable.value,
    ),
)


class Admission:
    """What this entry has admitted."""

    def __init__(self, node: str, incarnation: str, asker: Asker) -> None:
        """Ask for permits as machine ``node``.

        :param incarnation: life of the process, which costs are counted by.
        """
        self._node = node
        self._life = f'{node}/{incarnation}'
        self._asker = asker
        self._reported: set[str] = set()
        self._book = CostReports()
        self._changed: set[str] = set()
        self._held: Counter[str] = Counter()
        self._spent: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._day = ''
        self._cache = PermitCache(node, self._ask, self._count_held)

    async def admit(self, request: PipelineRequest) -> None:
        """Wait for a permit as long as the contract allows.

        :raises RefusedError: naming the limit that is reached; the request
            was not run.
        """
        contract = request.contract
        workspace = contract.workspace
        need = Permits(1, request.prompt_tokens + request.max_tokens)
        end = time.monotonic()
        if contract.shortage is Shortage.queue:
            end += contract.queue_ms / 1000
        if self._waiting[workspace] >= MAX_WAITING:
            raise RefusedError(Reason.rate_limit)
        self._cache.note_demand(workspace, need)
        self._waiting[workspace] += 1
        try:
            await self._wait_permit(workspace, need, end)
        finally:
            self._waiting[workspace] -= 1
        self._held[workspace] += 1

    def finish(self, request: PipelineRequest, progress: Progress) -> None:
        """Note that an admitted request has ended."""
        workspace = request.contract.workspace
        self._held[workspace] -= 1
        self._turn_day()
        cost = progress.useful_cost + progress.wasted_cost
        self._spent[workspace] += cost  # type: ignore[assignment]
        self._changed.add(workspace)

    def report(self) -> None:
        """Tell the control what is in progress and what is new of costs.

        What is in progress no more is told of once.
        """
        running = {workspace for workspace, held in self._held.items() if held}
        workspaces = sorted(running | self._reported)
        self._reported = running
        held = tuple(
            OutstandingPermits(
                workspace, self._node, self._cache.held(workspace)
            )
            for workspace in workspaces
        )
        news = self._take_news()
        if held or news:
            self._tell(UsageReport(self._day, held, news))

    def dump(self) -> dict[str, Any]:
        """Return what is in progress, by workspace."""
        return {
            'held': dict(self._held),
            'spent': dict(self._spent),
            'in_hand': self._cache.dump(),
        }

    async def _wait_permit(
        self,
        workspace: str,
        need: Permits,
        end: float,
    ) -> None:
        while True:
            taken = await self._cache.take(workspace, need, need)
            refused = taken.refused
            if not refused:
                return
            if refused not in WAITABLE or time.monotonic() >= end:
                raise RefusedError(Reason(refused))
            await asyncio.sleep(REFUSED_SECONDS)

    def _take_news(self) -> tuple[CostReport, ...]:
        """Return the costs that the control has not been told of."""
        self._turn_day()
        spent = tuple(
            CostReport(workspace, self._life, self._spent[workspace])
            for workspace in self._changed
        )
        self._changed = set()
        self._book.accept(UsageReport(self._day, (), spent))
        news = self._book.take_news(lambda _: self._node, time.monotonic())
        return tuple(news.get(self._node, ()))

    def _tell(self, report: UsageReport) -> None:
        """Push a report; without a stream all costs are told again later."""
        try:
            self._asker.send(report)
        except PeerError:
            self._book = CostReports()
            self._changed = set(self._spent)

    async def _ask(self, question: PermitRequest) -> PermitReply:
        """Ask the control, which must know of all costs before it answers."""
        news = self._take_news()
        if news:
            self._tell(UsageReport(self._day, (), news))
        reply = await self._asker.request(question, ASK_SECONDS)
        if not isinstance(reply, PermitReply):
            raise PeerClosedError('permits expected')
        if reply.refused == Reason.limits_unreachable.value:
            raise PeerClosedError('no holder can be reached')
        return reply

    def _count_held(self, workspace: str) -> int:
        return self._held[workspace]

    def _turn_day(self) -> None:
        """Start the costs of a new UTC day."""
        today = datetime.now(UTC).date().isoformat()
        if today != self._day:
            self._day = today
            self._spent.clear()
            self._changed.clear()
