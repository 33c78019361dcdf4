"""Collection of load reports and prefix cache events from targets.

Each target is polled by one control process of its zone, picked by rendezvous
hashing. The control broadcasts the reports to its zone. In a deployment of at
most :data:`MAX_CROSS_ZONE_TARGETS` targets it also sends them to one VM of each
other zone, which broadcasts them to that zone.

A control sends a message to its zone after each poll even without reports,
because a peer that receives messages needs no heartbeat. The poll interval
grows with the zone, so that a VM sends about as many messages per second in a
zone of any size.
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
    LoadReportEncoder,
    LoadReports,
    round_rate,
)
from galenaswitch.membership.sync import MembershipSync
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.timeouts import Timeout

PUBLISH_INTERVAL_SECONDS = 0.1
POLL_TIMEOUT_SECONDS = 0.5
MAX_CROSS_ZONE_TARGETS = 60
_POLL_ERRORS = (aiohttp.ClientError, OSError, ValueError, KeyError)
_REPORT_ADAPTER = TypeAdapter(LoadReport)
_CHANGES_ADAPTER = TypeAdapter(tuple[CacheChange, ...])


class LoadCollector:
    """Polls the targets assigned to this VM and sends their reports."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        members: Members,
        mesh: Mesh,
        membership_sync: MembershipSync,
        publish: Callable[[Any], None],
    ) -> None:
        """Build a collector that polls over ``session``.

        :param members: source of the targets to poll.
        :param mesh: links on which reports are sent to peers.
        :param membership_sync: receiver of leaving notices.
        :param publish: sends a message to this VM's entry process.
        """
        self._session = session
        self._members = members
        self._mesh = mesh
        self._membership_sync = membership_sync
        self._publish = publish
        self._last_sequences: dict[str, int] = {}
        self._own_targets_key: tuple[tuple[str, ...], MemberList] = (
            (),
            EMPTY_MEMBER_LIST,
        )
        self._own_targets: list[Target] = []
        self._encoder = LoadReportEncoder()
        self._unpublished: list[Loads] = []
        self.reports = LoadReports()

    async def collect(self) -> None:
        """Poll the assigned targets periodically, until cancelled.

        The reports are sent to peers as full reports or load deltas.
        """
        while True:
            loads = await asyncio.gather(
                *(self._poll(target) for target in self._find_own_targets()),
            )
            polled = merge_loads(loads)
            now = asyncio.get_running_loop().time()
            encoded = self._encoder.encode(polled.reports, now)
            self._broadcast(encoded._replace(changes=polled.changes))
            self._report_leaving(polled.reports)
            await asyncio.sleep(find_send_interval(len(self._mesh.reachable())))

    async def publish(self) -> None:
        """Send received reports to this VM's entry process, until cancelled.

        All reports of one interval are merged into one message.
        """
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_SECONDS)
            if self._unpublished:
                merged = merge_loads(self._unpublished)
                self._unpublished = []
                self._publish(merged)

    def on_link_open(self, link: Link) -> None:
        """Send full load reports to the peer of a newly opened link."""
        if link.peer.zone == self._mesh.zone or self._sends_across_zones():
            push(link, self._encoder.full_reports())

    def receive(self, link: Link, loads: Loads) -> None:
        """Apply load reports from a peer.

        Reports from another zone are broadcast to this VM's zone.
        """
        self._apply(loads)
        if link.peer.zone != self._mesh.zone:
            self._mesh.broadcast(loads, self._mesh.zone)

    def _apply(self, loads: Loads) -> None:
        if any(loads):
            self.reports.apply(loads)
            self._unpublished.append(loads)

    def _sends_across_zones(self) -> bool:
        return len(self._members.member_list.targets) <= MAX_CROSS_ZONE_TARGETS

    def _broadcast(self, loads: Loads) -> None:
        self._apply(loads)
        self._mesh.broadcast(loads, self._mesh.zone)
        if any(loads) and self._sends_across_zones():
            for link in self._mesh.cross_zone_links():
                push(link, loads)

    def _report_leaving(self, reports: Iterable[LoadReport]) -> None:
        for report in reports:
            if report.leaving:
                self._membership_sync.report_leaving(
                    LeavingSign(report.target, report.incarnation),
                )

    def _find_own_targets(self) -> list[Target]:
        """Return the targets that this VM has to poll.

        The result is cached until the member list or the set of reachable VMs
        changes.
        """
        cache_key = (self._mesh.reachable(), self._members.member_list)
        if cache_key != self._own_targets_key:
            self._own_targets_key = cache_key
            self._own_targets = self._select_own_targets(*cache_key)
        return self._own_targets

    def _select_own_targets(
        self,
        nodes: tuple[str, ...],
        member_list: MemberList,
    ) -> list[Target]:
        return [
            target
            for target in member_list.targets
            if target.zone == self._mesh.zone
            and self._mesh.node in pick_nodes(f'load/{target.name}', nodes, 1)
        ]

    async def _poll(self, target: Target) -> Loads:
        since = self._last_sequences.get(target.name, 0)
        url = f'{target.url}/load?since={since}'
        try:
            async with (
                Timeout(POLL_TIMEOUT_SECONDS),
                self._session.get(url) as answer,
            ):
                document = await answer.json(loads=orjson.loads)
                return self._parse(target, document)
        except _POLL_ERRORS as error:
            get_logger().info(
                'no_load_report',
                target=target.name,
                failure=type(error).__name__,
            )
            return Loads()

    def _parse(self, target: Target, document: dict[str, Any]) -> Loads:
        loads = parse_loads(target.name, document)
        if loads.changes:
            self._last_sequences[target.name] = loads.changes[-1].sequence
        return loads


def parse_loads(target: str, document: dict[str, Any]) -> Loads:
    """Parse a target's load document; unknown fields are ignored.

    :param target: name of the target.
    :param document: field ``load`` with the load report, and optionally
        ``events`` with changes of the prefix cache.
    :raises ValueError: when a field has a wrong type.
    :raises KeyError: when the field ``load`` is missing.

    >>> parse_loads('a', {'load': {'incarnation': '1', 'mood': 'good'}})
    ... # doctest: +ELLIPSIS
    Loads(reports=(LoadReport(target='a', incarnation='1', ...
    """
    report = _REPORT_ADAPTER.validate_python(
        _select_fields(document['load'], LoadReport, target),
    )
    events = [
        _select_fields(change, CacheChange, target)
        for change in document.get('events', ())
    ]
    return Loads(
        (
            report._replace(
                prompt_tokens_per_second=round_rate(
                    report.prompt_tokens_per_second,
                ),
                tokens_per_second=round_rate(report.tokens_per_second),
            ),
        ),
        changes=tuple(
            map(_sample_change, _CHANGES_ADAPTER.validate_python(events))
        ),
    )


def _sample_change(change: CacheChange) -> CacheChange:
    """Reduce a cache change to the sampled, truncated block hashes."""
    return change._replace(
        added=sample_hashes(change.added),
        removed=sample_hashes(change.removed),
    )


def _select_fields(
    fields: dict[str, Any],
    kind: type[LoadReport] | type[CacheChange],
    target: str,
) -> dict[str, Any]:
    known = {key: fields[key] for key in fields if key in kind._fields}
    return {**known, 'target': target}
