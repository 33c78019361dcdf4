"""Admission of requests at an entry, under all limits of the contract."""

import asyncio
import time
from collections import Counter
from datetime import UTC, datetime
from typing import Any

from galenaswitch.contracts.documents import Shortage
from galenaswitch.errors import PeerClosedError, PeerError
from galenaswitch.limits.cache import (
    REFUSAL_PAUSE_SECONDS,
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

QUERY_TIMEOUT_SECONDS = 1
MAX_WAITING_REQUESTS = 1000
WAITABLE_REASONS = frozenset(
    (
        Reason.rate_limit.value,
        Reason.token_limit.value,
        Reason.progress_limit.value,
        Reason.limits_unreachable.value,
    ),
)


class Admission:
    """What this entry has admitted."""

    def __init__(self, node: str, incarnation: str, control: Asker) -> None:
        """Ask for permits as machine ``node``.

        :param incarnation: life of the process, which costs are counted by.
        """
        self._node = node
        self._cost_origin = f'{node}/{incarnation}'
        self._control = control
        self._reported_workspaces: set[str] = set()
        self._cost_reports = CostReports()
        self._changed_workspaces: set[str] = set()
        self._in_progress: Counter[str] = Counter()
        self._costs: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._day = ''
        self._cache = PermitCache(
            node, self._query_permits, self._count_in_progress
        )

    async def admit(self, request: PipelineRequest) -> None:
        """Wait for a permit as long as the contract allows.

        :raises RefusedError: naming the limit that is reached; the request
            was not run.
        """
        contract = request.contract
        workspace = contract.workspace
        need = Permits(1, request.prompt_tokens + request.max_tokens)
        deadline = time.monotonic()
        if contract.shortage is Shortage.queue:
            deadline += contract.queue_ms / 1000
        if self._waiting[workspace] >= MAX_WAITING_REQUESTS:
            raise RefusedError(Reason.rate_limit)
        self._cache.observe_demand(workspace, need)
        self._waiting[workspace] += 1
        try:
            await self._wait_permit(workspace, need, deadline)
        finally:
            self._waiting[workspace] -= 1
        self._in_progress[workspace] += 1

    def finish(self, request: PipelineRequest, progress: Progress) -> None:
        """Note that an admitted request has ended."""
        workspace = request.contract.workspace
        self._in_progress[workspace] -= 1
        self._reset_on_new_day()
        cost = progress.useful_cost + progress.wasted_cost
        self._costs[workspace] += cost  # type: ignore[assignment]
        self._changed_workspaces.add(workspace)

    def report(self) -> None:
        """Tell the control what is in progress and what is new of costs.

        What is in progress no more is told of once.
        """
        running = {
            workspace for workspace, held in self._in_progress.items() if held
        }
        workspaces = sorted(running | self._reported_workspaces)
        self._reported_workspaces = running
        held = tuple(
            OutstandingPermits(
                workspace, self._node, self._cache.count_outstanding(workspace)
            )
            for workspace in workspaces
        )
        unsent = self._take_unsent_costs()
        if held or unsent:
            self._send_report(UsageReport(self._day, held, unsent))

    def dump(self) -> dict[str, Any]:
        """Return what is in progress, by workspace."""
        return {
            'held': dict(self._in_progress),
            'spent': dict(self._costs),
            'in_hand': self._cache.dump(),
        }

    async def _wait_permit(
        self,
        workspace: str,
        need: Permits,
        deadline: float,
    ) -> None:
        while True:
            result = await self._cache.acquire(workspace, need, need)
            refused = result.refused
            if not refused:
                return
            if refused not in WAITABLE_REASONS or time.monotonic() >= deadline:
                raise RefusedError(Reason(refused))
            await asyncio.sleep(REFUSAL_PAUSE_SECONDS)

    def _take_unsent_costs(self) -> tuple[CostReport, ...]:
        """Return the costs that the control has not been told of."""
        self._reset_on_new_day()
        spent = tuple(
            CostReport(workspace, self._cost_origin, self._costs[workspace])
            for workspace in self._changed_workspaces
        )
        self._changed_workspaces = set()
        self._cost_reports.record(UsageReport(self._day, (), spent))
        unsent = self._cost_reports.take_unsent(
            lambda _: self._node, time.monotonic()
        )
        return tuple(unsent.get(self._node, ()))

    def _send_report(self, report: UsageReport) -> None:
        """Push a report; without a stream all costs are told again later."""
        try:
            self._control.send(report)
        except PeerError:
            self._cost_reports = CostReports()
            self._changed_workspaces = set(self._costs)

    async def _query_permits(self, request: PermitRequest) -> PermitReply:
        """Ask the control, which must know of all costs before it answers."""
        unsent = self._take_unsent_costs()
        if unsent:
            self._send_report(UsageReport(self._day, (), unsent))
        reply = await self._control.request(request, QUERY_TIMEOUT_SECONDS)
        if not isinstance(reply, PermitReply):
            raise PeerClosedError('permits expected')
        if reply.refused == Reason.limits_unreachable.value:
            raise PeerClosedError('no holder can be reached')
        return reply

    def _count_in_progress(self, workspace: str) -> int:
        return self._in_progress[workspace]

    def _reset_on_new_day(self) -> None:
        """Start the costs of a new UTC day."""
        today = datetime.now(UTC).date().isoformat()
        if today != self._day:
            self._day = today
            self._costs.clear()
            self._changed_workspaces.clear()
