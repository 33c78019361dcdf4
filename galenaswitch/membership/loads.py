"""Collecting load reports and cache events from the targets of a zone.

Each target is polled by one control of its zone, picked by rendezvous
hashing, which passes the reports on to the zone, and in a small deployment
to one machine of each other zone, which passes them on to its own. Machines
send to their zone also when they have nothing to report: whoever is heard of
needs no ping. The larger the zone, the longer the pause between reports, so
that a machine sends about as many messages in a zone of any size.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp
import orjson
from pydantic import TypeAdapter

from galenaswitch.membership.blocks import sample_hashes
from galenaswitch.membership.links import Link
from galenaswitch.membership.lists import (
    EMPTY_MEMBER_LIST,
    LeavingSign,
    MemberList,
    Members,
    Target,
)
from galenaswitch.membership.mesh import Mesh, find_send_interval, push
from galenaswitch.membership.messages import (
    CacheChange,
    LoadReport,
    Loads,
    merge_loads,
)
from galenaswitch.membership.ranking import pick_nodes
from galenaswitch.membership.reports import (
    LoadReports,
    ReportSender,
    round_speed,
)
from galenaswitch.membership.sync import MembershipSync
from galenaswitch.operations.logs import get_logger

PUBLISH_SECONDS = 0.1
CALL_SECONDS = 0.5
CROSS_ZONE_TARGETS = 60
_FAILURES = (aiohttp.ClientError, OSError, ValueError, KeyError)
_REPORT = TypeAdapter(LoadReport)
_CHANGES = TypeAdapter(tuple[CacheChange, ...])


class LoadCollector:
    """Polls this machine's part of the zone's targets."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        members: Members,
        mesh: Mesh,
        membership_sync: MembershipSync,
        publish: Callable[[Any], None],
    ) -> None:
        """Poll over ``session`` and push what was learned."""
        self._session = session
        self._members = members
        self._mesh = mesh
        self._membership_sync = membership_sync
        self._publish = publish
        self._seen: dict[str, int] = {}
        self._view: tuple[tuple[str, ...], MemberList] = ((), EMPTY_MEMBER_LIST)
        self._polled: list[Target] = []
        self._sender = ReportSender()
        self._arrived: list[Loads] = []
        self.reports = LoadReports()

    async def collect(self) -> None:
        """Poll own targets and spread their reports, until cancelled."""
        while True:
            loads = await asyncio.gather(
                *(self._poll(target) for target in self._own()),
            )
            polled = merge_loads(loads)
            now = asyncio.get_running_loop().time()
            short = self._sender.shorten(polled.reports, now)
            self._spread(short._replace(changes=polled.changes))
            self._note_leaving(polled.reports)
            await asyncio.sleep(find_send_interval(len(self._mesh.reachable())))

    async def publish(self) -> None:
        """Push what has come to this machine's entry, until cancelled."""
        while True:
            await asyncio.sleep(PUBLISH_SECONDS)
            if self._arrived:
                merged = merge_loads(self._arrived)
                self._arrived = []
                self._publish(merged)

    def on_link_open(self, link: Link) -> None:
        """Send whole reports to a machine whose stream just opened."""
        if link.peer.zone == self._mesh.zone or self._crosses_zones():
            push(link, self._sender.full_reports())

    def receive(self, link: Link, loads: Loads) -> None:
        """Take reports that a peer collected; pass on another zone's."""
        self._take(loads)
        if link.peer.zone != self._mesh.zone:
            self._mesh.broadcast(loads, self._mesh.zone)

    def _take(self, loads: Loads) -> None:
        if any(loads):
            self.reports.apply(loads)
            self._arrived.append(loads)

    def _crosses_zones(self) -> bool:
        return len(self._members.member_list.targets) <= CROSS_ZONE_TARGETS

    def _spread(self, loads: Loads) -> None:
        self._take(loads)
        self._mesh.broadcast(loads, self._mesh.zone)
        if any(loads) and self._crosses_zones():
            for link in self._mesh.cross_zone_links():
                push(link, loads)

    def _note_leaving(self, reports: Iterable[LoadReport]) -> None:
        for report in reports:
            if report.leaving:
                self._membership_sync.report_leaving(
                    LeavingSign(report.target, report.incarnation),
                )

    def _own(self) -> list[Target]:
        """Return the targets that this machine polls.

        They change only with the list or the reachable machines.
        """
        view = (self._mesh.reachable(), self._members.member_list)
        if view != self._view:
            self._view = view
            self._polled = self._pick_own(*view)
        return self._polled

    def _pick_own(
        self,
        nodes: tuple[str, ...],
        listed: MemberList,
    ) -> list[Target]:
        return [
            target
            for target in listed.targets
            if target.zone == self._mesh.zone
            and self._mesh.node in pick_nodes(f'load/{target.name}', nodes, 1)
        ]

    async def _poll(self, target: Target) -> Loads:
        since = self._seen.get(target.name, 0)
        url = f'{target.url}/load?since={since}'
        try:
            async with asyncio.timeout(CALL_SECONDS):
                async with self._session.get(url) as answer:
                    document = await answer.json(loads=orjson.loads)
                    return self._read(target, document)
        except _FAILURES as error:
            get_logger().info(
                'no_load_report',
                target=target.name,
                failure=type(error).__name__,
            )
            return Loads()

    def _read(self, target: Target, document: dict[str, Any]) -> Loads:
        loads = read_loads(target.name, document)
        if loads.changes:
            self._seen[target.name] = loads.changes[-1].sequence
        return loads


def read_loads(target: str, document: dict[str, Any]) -> Loads:
    """Check what a target said of its load; unknown fields are ignored.

    :raises ValueError: when a field has a wrong type.
    :raises KeyError: without the field ``load``.

    >>> read_loads('a', {'load': {'incarnation': '1', 'mood': 'good'}})
    ... # doctest: +ELLIPSIS
    Loads(reports=(LoadReport(target='a', incarnation='1', ...
    """
    report = _REPORT.validate_python(
        _pick(document['load'], LoadReport, target),
    )
    events = [
        _pick(change, CacheChange, target)
        for change in document.get('events', ())
    ]
    return Loads(
        (
            report._replace(
                prompt_tokens_per_second=round_speed(
                    report.prompt_tokens_per_second,
                ),
                tokens_per_second=round_speed(report.tokens_per_second),
            ),
        ),
        changes=tuple(map(_shorten, _CHANGES.validate_python(events))),
    )


def _shorten(change: CacheChange) -> CacheChange:
    """Keep short hashes of a sample of the blocks."""
    return change._replace(
        added=sample_hashes(change.added),
        removed=sample_hashes(change.removed),
    )


def _pick(
    fields: dict[str, Any],
    kind: type[LoadReport] | type[CacheChange],
    target: str,
) -> dict[str, Any]:
    known = {key: fields[key] for key in fields if key in kind._fields}
    return {**known, 'target': target}
