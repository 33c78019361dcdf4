"""What the origins of a workspace's requests hold and have spent.

Origins report absolute figures, so a lost or doubled report does no harm
and a new holder learns all from the next reports.
"""

from collections.abc import Mapping
from typing import NamedTuple

REPORT_LIFETIME_SECONDS = 2.5


class OriginReport(NamedTuple):
    """Last report of one origin.

    :param held: requests in progress, unused permits included.
    :param at: monotonic time of the report.
    """

    held: int
    at: float


class UsageLedger:
    """Reports of all origins of one workspace."""

    def __init__(self) -> None:
        """Start without origins."""
        self._reports: dict[str, OriginReport] = {}
        self.spent: dict[str, float] = {}
        self.day = ''

    def record_report(self, origin: str, held: int, now: float) -> None:
        """Keep an origin's report."""
        self._reports[origin] = OriginReport(held, now)

    def add_granted(self, origin: str, granted: int) -> None:
        """Count permits granted since the origin's report."""
        report = self._reports[origin]
        self._reports[origin] = report._replace(held=report.held + granted)

    def count_outstanding(self, now: float) -> int:
        """Return what all origins heard of lately hold together."""
        oldest = now - REPORT_LIFETIME_SECONDS
        return sum(
            report.held
            for report in self._reports.values()
            if report.at > oldest
        )

    def add_costs(self, day: str, spent: Mapping[str, float]) -> None:
        """Keep what origins have spent on a day; older days are ignored.

        What one life of an entry has spent on a day only grows, so figures
        from anywhere are merged by taking the larger.

        >>> ledger = UsageLedger()
        >>> ledger.add_costs('2026-01-02', {'a': 3, 'b': 1})
        >>> ledger.add_costs('2026-01-01', {'a': 9})
        >>> ledger.add_costs('2026-01-02', {'a': 2})
        >>> ledger.total_cost()
        4
        """
        if day < self.day:
            return
        if day > self.day:
            self.day = day
            self.spent = {}
        for origin, units in spent.items():
            self.spent[origin] = max(units, self.spent.get(origin, 0))

    def total_cost(self) -> float:
        """Return what all origins have spent on the ledger's day."""
        return sum(self.spent.values())
