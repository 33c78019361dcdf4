"""The limits' part of a control process: permits, usage, durable costs."""

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
    """Limits that all entries share, as one control process serves them."""

    def __init__(
        self,
        mesh: Mesh,
        members: Members,
        store: StoreClient,
        find_contract: Callable[[str], Contract | None],
        tasks: TaskGroup,
        metrics: Metrics,
    ) -> None:
        """Limit by the contracts that ``find_contract`` returns."""
        sources = PermitSources(mesh, members)
        self._metrics = metrics
        self._costs = CostAccounts(store, tasks)
        self._router = LimitRouter(mesh, sources, self._costs, find_contract)
        self._usage = UsageRouter(mesh, sources, self._router.find_ledger)
        self._router.before_home_query.append(self._usage.report_costs_home)

    def start(self, tasks: TaskGroup) -> None:
        """Start the background duties."""
        tasks.start_duty(
            run_every(
                USAGE_INTERVAL_SECONDS, self._usage.report_home, 'usage_failed'
            ),
        )
        tasks.start_duty(
            run_every(STORE_INTERVAL_SECONDS, self._costs.save, 'costs_failed'),
        )

    async def flush_usage(self) -> None:
        """Pass on and store what is known of usage."""
        await self._usage.report_home()
        await self._costs.save()

    async def answer(self, link: Link, request: PermitRequest) -> PermitReply:
        """Answer a question for permits and count the reply."""
        reply = await self._router.answer(link, request)
        self._metrics.count(f'permits.{reply.refused or "granted"}')
        return reply

    def handlers(self) -> dict[type[Any], Any]:
        """Return what answers each message of this slice."""
        return {
            PermitRequest: self.answer,
            UsageReport: self._usage.receive,
        }

    def dump(self) -> dict[str, Any]:
        """Return the workspaces that this machine hands out permits of."""
        return self._router.dump()
