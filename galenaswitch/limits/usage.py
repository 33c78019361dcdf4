"""Routing of usage reports from entries to owners and home zones.

Each second, an entry reports its outstanding permits to the control process of
its VM, in one message for all workspaces. The control process sends each owner
in the zone one message with that owner's workspaces. The owner reports the sum
of its zone to the home zone.
"""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from galenaswitch.limits.cost_reports import CostReports
from galenaswitch.limits.ledger import UsageLedger
from galenaswitch.limits.messages import (
    CostReport,
    OutstandingPermits,
    UsageReport,
)
from galenaswitch.limits.sources import PermitSources
from galenaswitch.membership.links import Link
from galenaswitch.membership.mesh import Mesh, push

USAGE_INTERVAL_SECONDS = 1


class UsageRouter:
    """Forwards usage reports to owners and home zones."""

    def __init__(
        self,
        mesh: Mesh,
        sources: PermitSources,
        find_ledger: Callable[[str], UsageLedger],
    ) -> None:
        """Build a router that records usage in ledgers.

        :param find_ledger: returns the usage ledger of a workspace that this VM
            owns.
        """
        self._mesh = mesh
        self._sources = sources
        self._find_ledger = find_ledger
        self._entry_costs = CostReports()
        self._zone_costs = CostReports()
        self._remote_workspaces: set[str] = set()

    def receive(self, link: Link, report: UsageReport) -> None:
        """Receive a usage report from an entry or control process.

        A control process of the same zone has already routed its report to
        this owner. Reports from an entry or another zone are forwarded.
        """
        if link.peer.role == 'entry':
            self._entry_costs.record(report)
            self._forward_to_owners(report.held, self._entry_costs)
        elif link.peer.zone == self._mesh.zone:
            self._apply_report(report)
        else:
            zone_reports = CostReports()
            zone_reports.record(report)
            self._forward_to_owners(report.held, zone_reports)

    async def report_home(self) -> None:
        """Report outstanding permits and costs of this zone to home zones."""
        held: dict[str, list[OutstandingPermits]] = defaultdict(list)
        now = time.monotonic()
        for workspace in tuple(self._remote_workspaces):
            count = self._find_ledger(workspace).count_outstanding(now)
            home = self._sources.find_source(workspace).home
            held[home].append(
                OutstandingPermits(workspace, self._mesh.zone, count)
            )
            if not count:
                self._remote_workspaces.discard(workspace)
        spent = self._zone_costs.take_unsent(self._find_reachable_home, now)
        for zone in held.keys() | spent.keys():
            report = _make_report(self._zone_costs.day, zone, held, spent)
            for link in self._mesh.links(zone)[:1]:
                push(link, report)

    def report_costs_home(self, link: Link) -> None:
        """Report unsent costs to a home zone before a permit query.

        The home zone's reply then takes these costs into account.
        """
        spent = self._zone_costs.take_unsent(
            lambda workspace: self._match_home_zone(workspace, link.peer.zone),
            time.monotonic(),
        )
        if spent:
            push(
                link,
                _make_report(self._zone_costs.day, link.peer.zone, {}, spent),
            )

    def _match_home_zone(self, workspace: str, zone: str) -> str:
        """Return ``zone`` if it is a workspace's home, else an empty string."""
        home = self._sources.find_source(workspace).home
        return zone if home == zone else ''

    def _find_reachable_home(self, workspace: str) -> str:
        """Return a workspace's home zone, empty while it is unreachable."""
        home = self._sources.find_source(workspace).home
        return home if self._mesh.links(home) else ''

    def _forward_to_owners(
        self,
        held: Iterable[OutstandingPermits],
        cost_reports: CostReports,
    ) -> None:
        """Send each owner in this zone the usage of its workspaces."""
        find_owner = self._sources.make_owner_lookup()
        outstanding: dict[str, list[OutstandingPermits]] = defaultdict(list)
        for permits in held:
            outstanding[find_owner(permits.workspace)].append(permits)
        spent = cost_reports.take_unsent(find_owner, time.monotonic())
        for owner in outstanding.keys() | spent.keys():
            report = _make_report(cost_reports.day, owner, outstanding, spent)
            link = self._mesh.find_link(owner)
            if owner == self._mesh.node:
                self._apply_report(report)
            elif link:
                push(link, report)

    def _apply_report(self, report: UsageReport) -> None:
        """Record a usage report as the owner of its workspaces.

        Usage of workspaces with another home zone is kept for the next report
        to that zone.
        """
        now = time.monotonic()
        for permits in report.held:
            ledger = self._find_ledger(permits.workspace)
            ledger.record_report(permits.origin, permits.held, now)
            if not self._sources.is_home(permits.workspace):
                self._remote_workspaces.add(permits.workspace)
        remote_costs = []
        for cost in report.spent:
            ledger = self._find_ledger(cost.workspace)
            ledger.add_costs(report.day, {cost.origin: cost.units})
            if not self._sources.is_home(cost.workspace):
                remote_costs.append(cost)
        self._zone_costs.record(
            UsageReport(report.day, (), tuple(remote_costs)),
        )


def _make_report(
    day: str,
    receiver: str,
    held: Mapping[str, list[OutstandingPermits]],
    spent: Mapping[str, list[CostReport]],
) -> UsageReport:
    """Build the usage report for one receiver."""
    return UsageReport(
        day,
        tuple(held.get(receiver, ())),
        tuple(spent.get(receiver, ())),
    )
