"""Ledger of the permits and costs of a workspace, by origin.

An origin is an entry process or a zone that uses permits. Origins report
totals instead of changes, so a lost or duplicate report does no harm. A new
owner has complete usage after the next reports.
"""

from collections.abc import Mapping
from typing import NamedTuple

REPORT_LIFETIME_SECONDS = 2.5


class OriginReport(NamedTuple):
    """Last report of one origin.

    :param held: number of requests in progress and unused permits.
    :param at: monotonic time of the report in seconds.
    """

    held: int
    at: float


class UsageLedger:
    """Outstanding permits and costs of one workspace.

    :ivar spent: cost units by origin.
    :ivar day: UTC day of the costs, as ``YYYY-MM-DD``.
    """

    def __init__(self) -> None:
        """Build a ledger without reports."""
        self._reports: dict[str, OriginReport] = {}
        self.spent: dict[str, float] = {}
        self.day = ''

    def record_report(self, origin: str, held: int, now: float) -> None:
        """Record the outstanding permits of an entry process or zone.

        :param held: number of requests in progress and unused permits.
        """
        self._reports[origin] = OriginReport(held, now)

    def add_granted(self, origin: str, granted: int) -> None:
        """Add permits that were granted since the origin's last report."""
        report = self._reports[origin]
        self._reports[origin] = report._replace(held=report.held + granted)

    def count_outstanding(self, now: float) -> int:
        """Return the outstanding permits of all origins.

        Origins without a report in the last ``REPORT_LIFETIME_SECONDS`` are
        left out.
        """
        oldest = now - REPORT_LIFETIME_SECONDS
        return sum(
            report.held
            for report in self._reports.values()
            if report.at > oldest
        )

    def add_costs(self, day: str, spent: Mapping[str, float]) -> None:
        """Merge the costs of origins on a day; earlier days are ignored.

        The cost of one run of an entry's process never falls within a day, so
        costs from different sources are merged by taking the larger.

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
        """Return the sum of all origins' costs on the ledger's day."""
        return sum(self.spent.values())
