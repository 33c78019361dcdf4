"""Contract limits in a control process: permits, usage and stored costs.

This module connects the routers of permit requests and usage reports with the
accounts in the store, and runs their periodic tasks.
"""

from collections.abc import Callable
from typing import Any

from galenaswitch.contracts.documents import Contract
from galenaswitch.limits.costs import STORE_INTERVAL_SECONDS, CostAccounts
from galenaswitch.limits.messages import (
    PermitReply,
    PermitRequest,
    UsageReport,
)
from galenaswitch.limits.router import LimitRouter
from galenaswitch.limits.sources import PermitSources
from galenaswitch.limits.usage import USAGE_INTERVAL_SECONDS, UsageRouter
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup, run_every
from galenaswitch.store.client import StoreClient


class SharedLimits:
    """Serves the contract limits that all entries share."""

    def __init__(
        self,
        mesh: Mesh,
        members: Members,
        store: StoreClient,
        find_contract: Callable[[str], Contract | None],
        tasks: TaskGroup,
        metrics: Metrics,
    ) -> None:
        """Build the limits for the contracts that ``find_contract`` returns."""
        sources = PermitSources(mesh, members)
        self._metrics = metrics
        self._costs = CostAccounts(store, tasks)
        self._router = LimitRouter(mesh, sources, self._costs, find_contract)
        self._usage = UsageRouter(mesh, sources, self._router.find_ledger)
        self._router.before_home_query.append(self._usage.report_costs_home)

    def start(self, tasks: TaskGroup) -> None:
        """Start the periodic usage reports and writes of costs."""
        tasks.start_critical(
            run_every(
                USAGE_INTERVAL_SECONDS,
                self._usage.report_home,
                'usage_failed',
            ),
        )
        tasks.start_critical(
            run_every(STORE_INTERVAL_SECONDS, self._costs.save, 'costs_failed'),
        )

    async def flush_usage(self) -> None:
        """Report usage to the home zones and write costs to the store."""
        await self._usage.report_home()
        await self._costs.save()

    async def answer(self, link: Link, request: PermitRequest) -> PermitReply:
        """Reply to a permit request and count the reply by its result."""
        reply = await self._router.answer(link, request)
        self._metrics.count(f'permits.{reply.refused or "granted"}')
        return reply

    def handlers(self) -> dict[type[Any], Any]:
        """Return the handler of each message type of the limits."""
        return {
            PermitRequest: self.answer,
            UsageReport: self._usage.receive,
        }

    def dump(self) -> dict[str, Any]:
        """Return outstanding permits, costs and unused permits by workspace."""
        return self._router.dump()
