"""Reports of what is in progress and spent, from entries to home zones.

An entry tells its control each second what it holds, in one message for all
workspaces; the control passes each part to the zone's holder, in one message
for each, and the holder passes its zone's sum on to the home zone.
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

USAGE_SECONDS = 1


class UsageRouter:
    """Passes reports on from this machine's entry and holder."""

    def __init__(
        self,
        mesh: Mesh,
        places: PermitSources,
        find_ledger: Callable[[str], UsageLedger],
    ) -> None:
        """Keep what concerns this machine in ``find_ledger(workspace)``."""
        self._mesh = mesh
        self._places = places
        self._find_ledger = find_ledger
        self._own = CostReports()
        self._zone = CostReports()
        self._away: set[str] = set()

    def receive(self, link: Link, report: UsageReport) -> None:
        """Take a report of this machine's entry, a peer or another zone."""
        if link.peer.role == 'entry':
            self._own.accept(report)
            self._spread(report.held, self._own)
        elif link.peer.zone == self._mesh.zone:
            self._keep(report)
        else:
            foreign = CostReports()
            foreign.accept(report)
            self._spread(report.held, foreign)

    async def report_home(self) -> None:
        """Tell the home zones what the entries of this zone hold."""
        held: dict[str, list[OutstandingPermits]] = defaultdict(list)
        now = time.monotonic()
        for workspace in tuple(self._away):
            amount = self._find_ledger(workspace).held(now)
            home = self._places.find(workspace).home
            held[home].append(
                OutstandingPermits(workspace, self._mesh.zone, amount)
            )
            if not amount:
                self._away.discard(workspace)
        spent = self._zone.take_news(self._find_home, now)
        for zone in held.keys() | spent.keys():
            report = _join(self._zone.day, zone, held, spent)
            for link in self._mesh.links(zone)[:1]:
                push(link, report)

    def tell_home(self, link: Link) -> None:
        """Tell a home zone of all costs before it is asked for permits."""
        spent = self._zone.take_news(
            lambda workspace: self._find_if_home(workspace, link.peer.zone),
            time.monotonic(),
        )
        if spent:
            push(link, _join(self._zone.day, link.peer.zone, {}, spent))

    def _find_if_home(self, workspace: str, zone: str) -> str:
        """Return a zone that is a workspace's home, else nothing."""
        home = self._places.find(workspace).home
        return zone if home == zone else ''

    def _find_home(self, workspace: str) -> str:
        """Return a workspace's home zone, empty while it is cut off."""
        home = self._places.find(workspace).home
        return home if self._mesh.links(home) else ''

    def _spread(
        self, held: Iterable[OutstandingPermits], book: CostReports
    ) -> None:
        """Give each part of a report to its holder in this zone."""
        find_holder = self._places.find_holders()
        parts: dict[str, list[OutstandingPermits]] = defaultdict(list)
        for entry in held:
            parts[find_holder(entry.workspace)].append(entry)
        spent = book.take_news(find_holder, time.monotonic())
        for holder in parts.keys() | spent.keys():
            report = _join(book.day, holder, parts, spent)
            link = self._mesh.find(holder)
            if holder == self._mesh.node:
                self._keep(report)
            elif link:
                push(link, report)

    def _keep(self, report: UsageReport) -> None:
        """Keep as the holder what a machine or a zone reports."""
        now = time.monotonic()
        for entry in report.held:
            ledger = self._find_ledger(entry.workspace)
            ledger.accept(entry.origin, entry.held, now)
            if not self._places.is_home(entry.workspace):
                self._away.add(entry.workspace)
        away = []
        for line in report.spent:
            ledger = self._find_ledger(line.workspace)
            ledger.spend(report.day, {line.origin: line.units})
            if not self._places.is_home(line.workspace):
                away.append(line)
        self._zone.accept(UsageReport(report.day, (), tuple(away)))


def _join(
    day: str,
    receiver: str,
    held: Mapping[str, list[OutstandingPermits]],
    spent: Mapping[str, list[CostReport]],
) -> UsageReport:
    """Return one message with all that a receiver is told."""
    return UsageReport(
        day,
        tuple(held.get(receiver, ())),
        tuple(spent.get(receiver, ())),
    )
