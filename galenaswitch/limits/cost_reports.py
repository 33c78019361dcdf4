"""What was spent, passed on when there is news.

A figure is passed on when it has changed, when its receiver has, and now and
then all the same, since a message can be lost.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from galenaswitch.limits.messages import CostReport, UsageReport

RESEND_SECONDS = 30
SWEEP_SECONDS = 1


class SentCost(NamedTuple):
    """When and to whom a figure was last sent.

    :param receiver: a machine or a zone.
    :param at: monotonic time in seconds.
    """

    receiver: str
    units: float
    at: float


class CostReports:
    """Newest figures of what was spent, and who was told of them.

    New figures are passed on at once; all are looked through each second,
    for those whose receiver has changed.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.day = ''
        self._units: dict[tuple[str, str], float] = {}
        self._sent: dict[tuple[str, str], SentCost] = {}
        self._new: set[tuple[str, str]] = set()
        self._swept_at = -float(SWEEP_SECONDS)

    def record(self, report: UsageReport) -> None:
        """Keep figures of the newest day."""
        if report.day < self.day:
            return
        if report.day > self.day:
            self.day = report.day
            self._units = {}
            self._sent = {}
            self._new = set()
        for line in report.spent:
            key = (line.workspace, line.origin)
            if self._units.get(key) != line.units:
                self._units[key] = line.units
                self._new.add(key)

    def take_unsent(
        self,
        find_receiver: Callable[[str], str],
        now: float,
    ) -> dict[str, list[CostReport]]:
        """Return by receiver what it has to be told, and note it as told.

        :param find_receiver: gives the receiver of a workspace, empty while
            there is none; it is told later.
        :param now: monotonic time in seconds.

        >>> book = CostReports()
        >>> book.record(UsageReport('d', spent=(CostReport('lab', 'a', 2),)))
        >>> book.take_unsent(lambda _: 'x', 0)
        {'x': [CostReport(workspace='lab', origin='a', units=2)]}
        >>> book.take_unsent(lambda _: 'x', 1), len(book.take_unsent(str, 2))
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
        """Return the keys of new figures, or of all each second."""
        new = self._new
        self._new = set()
        if now - self._swept_at < SWEEP_SECONDS:
            return new
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
