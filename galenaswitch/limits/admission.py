"""Admission control of an entry: admits requests within the contract.

An entry admits a request only with a permit. It gets permits from the control
process of its VM, and reports outstanding permits and costs to it.
"""

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
from galenaswitch.membership.control_client import ControlClient
from galenaswitch.pipelines.requests import PipelineRequest, Progress
from galenaswitch.refusals import Reason, RefusedError

QUERY_TIMEOUT_SECONDS = 1
# Most waiting requests of one workspace; further requests are refused.
MAX_WAITING_REQUESTS = 1000
# Refusals after which a request waits and then queries for permits again.
WAITABLE_REASONS = frozenset(
    (
        Reason.rate_limit.value,
        Reason.token_limit.value,
        Reason.progress_limit.value,
        Reason.limits_unreachable.value,
    ),
)


class Admission:
    """Admits requests at one entry and counts them by workspace."""

    def __init__(
        self, node: str, incarnation: str, control: ControlClient
    ) -> None:
        """Build the admission control of VM ``node``.

        :param incarnation: identifies one run of the process. Costs are counted
            by VM and incarnation.
        :param control: client that queries the control process.
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
            node,
            self._query_permits,
            self._count_in_progress,
        )

    async def admit(self, request: PipelineRequest) -> None:
        """Wait for a permit, for at most the contract's queue time.

        :raises RefusedError: when a limit is reached; its reason names the
            limit. The request has not been run.
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
        """Record the end and the cost of an admitted request."""
        workspace = request.contract.workspace
        self._in_progress[workspace] -= 1
        self._reset_on_new_day()
        cost = progress.useful_cost + progress.wasted_cost
        self._costs[workspace] += cost  # type: ignore[assignment]
        self._changed_workspaces.add(workspace)

    def report(self) -> None:
        """Report outstanding permits and changed costs to the control process.

        A workspace whose last request has ended is reported one more time,
        so that the control process learns that none is in progress.
        """
        running = {
            workspace for workspace, count in self._in_progress.items() if count
        }
        workspaces = sorted(running | self._reported_workspaces)
        self._reported_workspaces = running
        outstanding = tuple(
            OutstandingPermits(
                workspace,
                self._node,
                self._cache.count_outstanding(workspace),
            )
            for workspace in workspaces
        )
        unsent = self._take_unsent_costs()
        if outstanding or unsent:
            self._send_report(UsageReport(self._day, outstanding, unsent))

    def dump(self) -> dict[str, Any]:
        """Return requests, costs and unused permits by workspace."""
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
        """Return the costs that haven't been sent to the control process."""
        self._reset_on_new_day()
        spent = tuple(
            CostReport(workspace, self._cost_origin, self._costs[workspace])
            for workspace in self._changed_workspaces
        )
        self._changed_workspaces = set()
        self._cost_reports.record(UsageReport(self._day, (), spent))
        unsent = self._cost_reports.take_unsent(
            lambda _: self._node,
            time.monotonic(),
        )
        return tuple(unsent.get(self._node, ()))

    def _send_report(self, report: UsageReport) -> None:
        """Send a report to the control process.

        If the link is down, all costs are marked as unsent, so that they are
        reported again later.
        """
        try:
            self._control.send(report)
        except PeerError:
            self._cost_reports = CostReports()
            self._changed_workspaces = set(self._costs)

    async def _query_permits(self, request: PermitRequest) -> PermitReply:
        """Query the control process for permits.

        Unsent costs are sent first, because the reply depends on all costs.
        """
        unsent = self._take_unsent_costs()
        if unsent:
            self._send_report(UsageReport(self._day, (), unsent))
        reply = await self._control.request(request, QUERY_TIMEOUT_SECONDS)
        if not isinstance(reply, PermitReply):
            raise PeerClosedError('the reply is not a PermitReply')
        if reply.refused == Reason.limits_unreachable.value:
            raise PeerClosedError('no permit owner is reachable')
        return reply

    def _count_in_progress(self, workspace: str) -> int:
        return self._in_progress[workspace]

    def _reset_on_new_day(self) -> None:
        """Clear all costs when a new UTC day has begun."""
        today = datetime.now(UTC).date().isoformat()
        if today != self._day:
            self._day = today
            self._costs.clear()
            self._changed_workspaces.clear()
