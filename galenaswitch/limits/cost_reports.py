"""Selection of the costs that have to be reported to each receiver.

A cost is reported when it has changed or its receiver has changed. It is also
resent every ``RESEND_SECONDS``, because a message can be lost.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from galenaswitch.limits.messages import CostReport, UsageReport

RESEND_SECONDS = 30
SWEEP_SECONDS = 1


class SentCost(NamedTuple):
    """Last report of a cost.

    :param receiver: VM or zone that was sent the cost.
    :param units: reported cost units.
    :param at: monotonic time in seconds.
    """

    receiver: str
    units: float
    at: float


class CostReports:
    """Costs by workspace and origin, and their last reports.

    ``take_unsent`` returns changed costs at once. Every ``SWEEP_SECONDS`` it
    also checks all costs for a changed receiver.

    :ivar day: UTC day of the costs, as ``YYYY-MM-DD``.
    """

    def __init__(self) -> None:
        """Build cost reports without costs."""
        self.day = ''
        self._units: dict[tuple[str, str], float] = {}
        self._sent: dict[tuple[str, str], SentCost] = {}
        self._changed_keys: set[tuple[str, str]] = set()
        self._swept_at = -float(SWEEP_SECONDS)

    def record(self, report: UsageReport) -> None:
        """Record the costs of a report unless a later day has begun."""
        if report.day < self.day:
            return
        if report.day > self.day:
            self.day = report.day
            self._units = {}
            self._sent = {}
            self._changed_keys = set()
        for cost in report.spent:
            key = (cost.workspace, cost.origin)
            if self._units.get(key) != cost.units:
                self._units[key] = cost.units
                self._changed_keys.add(key)

    def take_unsent(
        self,
        find_receiver: Callable[[str], str],
        now: float,
    ) -> dict[str, list[CostReport]]:
        """Return unsent costs by receiver, and mark them as sent.

        :param find_receiver: returns the receiver of a workspace, or an
            empty string while it has none. Its costs then stay unsent.
        :param now: monotonic time in seconds.

        >>> reports = CostReports()
        >>> reports.record(UsageReport('d', spent=(CostReport('lab', 'a', 2),)))
        >>> reports.take_unsent(lambda _: 'x', 0)
        {'x': [CostReport(workspace='lab', origin='a', units=2)]}
        >>> (
        ...     reports.take_unsent(lambda _: 'x', 1),
        ...     len(reports.take_unsent(str, 2)),
        ... )
        ({}, 1)
        """
        unsent: dict[str, list[CostReport]] = defaultdict(list)
        for key in self._take_candidates(now):
            units = self._units[key]
            receiver = find_receiver(key[0])
            if not receiver or self._is_sent(key, receiver, units, now):
                continue
            self._sent[key] = SentCost(receiver, units, now)
            unsent[receiver].append(CostReport(*key, units))
        return dict(unsent)

    def _take_candidates(self, now: float) -> Iterable[tuple[str, str]]:
        """Return the keys of costs that may have to be sent.

        These are the costs that changed, and all costs once in
        ``SWEEP_SECONDS``, because their receivers may have changed.
        """
        changed_keys = self._changed_keys
        self._changed_keys = set()
        if now - self._swept_at < SWEEP_SECONDS:
            return changed_keys
        self._swept_at = now
        return self._units

    def _is_sent(
        self,
        key: tuple[str, str],
        receiver: str,
        units: float,
        now: float,
    ) -> bool:
        sent = self._sent.get(key)
        if sent is None or now - sent.at >= RESEND_SECONDS:
            return False
        return sent[:2] == (receiver, units)
