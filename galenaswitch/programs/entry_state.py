"""State that an entry process receives from its control process."""

import asyncio

from galenaswitch.callers.access import ContractDirectory
from galenaswitch.configuration.catalog import Catalog, Item
from galenaswitch.membership.lists import MemberList, Members
from galenaswitch.membership.messages import Loads
from galenaswitch.membership.reports import LoadReports
from galenaswitch.operations.metrics import PrometheusMetrics
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex


class EntryState:
    """State that the entry process receives from its control process."""

    def __init__(self, metrics: PrometheusMetrics) -> None:
        """Build an empty state that is not ready.

        :param metrics: counters and histograms of the process.
        """
        self.catalog = Catalog()
        self.directory = ContractDirectory(self.catalog)
        self.members = Members()
        self.loads = LoadView()
        self.reports = LoadReports()
        self.prefixes = PrefixIndex()
        self.ejector = Ejector()
        self.metrics = metrics
        self.ready = False

    def is_ready(self) -> bool:
        """Tell whether a configuration and a usable target are known."""
        return self.ready and any(
            self.members.usable(pool) for pool in self.directory.pools()
        )

    def apply_items(self, items: tuple[Item, ...]) -> None:
        """Bring newer configuration items into force."""
        self.directory.refresh(self.catalog.accept(items))

    def apply_members(self, member_list: MemberList) -> None:
        """Apply a member list if it is newer than the current one."""
        if self.members.accept(member_list):
            self.loads.keep_only(member_list.targets)
            self.reports.keep_only(
                target.name for target in member_list.targets
            )

    def apply_loads(self, loads: Loads) -> None:
        """Apply load reports and changes of the targets' prefix caches."""
        now = asyncio.get_running_loop().time()
        for report in self.reports.apply(loads):
            self.loads.get_load(report.target).accept(report, now)
            if report.models is not None:
                self.members.record_models(report.target, report.models)
        for change in loads.changes:
            self.prefixes.apply_change(change)
