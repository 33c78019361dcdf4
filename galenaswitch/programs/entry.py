"""``galena-entry``: callers' requests, run against targets."""

import asyncio
import secrets
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import defopt
from sanic import Sanic

from galenaswitch.callers.access import Directory
from galenaswitch.callers.handling import PipelineRequestHandler
from galenaswitch.callers.server import CallerApi
from galenaswitch.claims.client import Claims
from galenaswitch.configuration.catalog import Catalog, Item
from galenaswitch.configuration.messages import Items
from galenaswitch.errors import PeerError
from galenaswitch.limits.admission import Admission
from galenaswitch.membership.links import Identity, Link, Service
from galenaswitch.membership.lists import (
    LeavingSign,
    MemberChange,
    MemberList,
    Members,
    apply_change,
)
from galenaswitch.membership.messages import Loads, Snapshot, Subscribe
from galenaswitch.membership.reports import LoadReports
from galenaswitch.operations.dump import DumpReply, DumpRequest
from galenaswitch.operations.exposition import serve_metrics
from galenaswitch.operations.logs import configure_logs, get_logger
from galenaswitch.operations.metrics import PrometheusMetrics, open_metrics
from galenaswitch.operations.process import (
    TaskGroup,
    run_every,
    run_program,
    wait_for_stop,
)
from galenaswitch.operations.settings import (
    MetricSettings,
    NodeSettings,
    PeerSettings,
    Port,
)
from galenaswitch.pipelines.attempts import AttemptRunner
from galenaswitch.pipelines.budgets import HEDGE_SHARE, RETRY_SHARE, Budgets
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.execution import Executor
from galenaswitch.programs.http import serve_http
from galenaswitch.programs.uplink import Uplink
from galenaswitch.programs.vocabulary import VOCABULARY
from galenaswitch.routing.choice import (
    Chooser,
    LeastOutstanding,
    PredictedFinish,
    RoundRobin,
)
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.prefix import PrefixIndex
from galenaswitch.targets.client import TargetClient

SUBSCRIBE_SECONDS = 1
REPORT_SECONDS = 1
SILENT_SECONDS = 3
REPLY_SECONDS = 3
STOP_POLL_SECONDS = 0.05


class CallerSettings(NamedTuple):
    """Section ``[callers]``: the HTTP port for callers.

    :param port: TCP port behind the balancer.
    :param drain_seconds: time that the balancer takes to notice a stop.
    :param stop_seconds: longest wait for requests in progress at a stop.
    """

    port: Port
    drain_seconds: float = 3
    stop_seconds: float = 600


class RoutingSettings(NamedTuple):
    """Section ``[routing]``: how targets are chosen.

    :param chooser: ``predicted``, ``least`` or ``robin``.
    :param hedge_share: hedges allowed as a share of first attempts.
    :param shedding: whether requests wait for capacity and are refused when
        their deadline can't be met.
    """

    chooser: str = 'predicted'
    hedge_share: float = HEDGE_SHARE
    shedding: bool = True


class EntrySettings(NamedTuple):
    """Settings file of ``galena-entry``."""

    node: NodeSettings
    peers: PeerSettings
    callers: CallerSettings
    routing: RoutingSettings = RoutingSettings()
    metrics: MetricSettings = MetricSettings()


class State:
    """What the entry has learned from its control."""

    def __init__(self, metrics: PrometheusMetrics) -> None:
        """Start knowing nothing."""
        self.catalog = Catalog()
        self.directory = Directory(self.catalog)
        self.members = Members()
        self.loads = LoadView()
        self.reports = LoadReports()
        self.prefixes = PrefixIndex()
        self.ejector = Ejector()
        self.metrics = metrics
        self.ready = False

    def is_ready(self) -> bool:
        """Tell whether configuration and a usable target are known."""
        return self.ready and any(
            self.members.usable(pool) for pool in self.directory.pools()
        )

    def take_items(self, items: tuple[Item, ...]) -> None:
        """Take newer configuration into force."""
        self.directory.refresh(self.catalog.accept(items))

    def take_members(self, listed: MemberList) -> None:
        """Take a newer member list."""
        if self.members.accept(listed):
            self.loads.keep_only(listed.targets)
            self.reports.keep_only(target.name for target in listed.targets)

    def take_loads(self, loads: Loads) -> None:
        """Take load reports and cache changes."""
        now = asyncio.get_running_loop().time()
        for report in self.reports.apply(loads):
            self.loads.get_load(report.target).accept(report, now)
            if report.models is not None:
                self.members.record_models(report.target, report.models)
        for change in loads.changes:
            self.prefixes.apply_change(change)


class Entry:
    """The slices of one entry process, put together."""

    def __init__(self, settings: EntrySettings, tasks: TaskGroup) -> None:
        """Build all slices; nothing runs yet."""
        node = settings.node
        self._settings = settings
        self._tasks = tasks
        self.state = State(
            open_metrics(),
        )
        identity = Identity(
            node.name,
            node.zone,
            'entry',
            secrets.token_hex(4),
        )
        self._service = Service(
            identity,
            settings.peers.secret,
            VOCABULARY,
            {
                Items: self.receive_items,
                MemberChange: self.receive_members,
                LeavingSign: self.receive_sign,
                Loads: self.receive_loads,
                DumpRequest: self.answer_dump,
            },
            traffic=Counter(),
        )
        self.uplink = Uplink(
            node.address,
            settings.peers.port,
            self._service,
        )
        self.claims = Claims(self.uplink, tasks)
        self.admission = Admission(
            node.name,
            identity.incarnation,
            self.uplink,
        )
        self.client = TargetClient()
        self.dispatcher = Dispatcher(
            self.state.members,
            self.state.loads,
            self.state.ejector,
            _make_chooser(settings.routing.chooser, self.state),
            node.zone,
            shedding=settings.routing.shedding,
        )
        self.handling = PipelineRequestHandler(
            self._make_executor(),
            self.claims,
            self.admission,
        )
        self.api = CallerApi(
            self.state.directory,
            self.handling,
            self,
            self.state.metrics,
        )

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here.

        Without its control an entry serves on a shrinking share, so others
        must take its callers.
        """
        heard = self.uplink.silent_seconds() < SILENT_SECONDS
        return heard and self.state.is_ready()

    def can_serve(self) -> bool:
        """Tell whether a request that has come can be tried."""
        return self.state.is_ready()

    def report_leaving(self, sign: LeavingSign) -> None:
        """Act on a sign that an attempt saw and tell the control."""
        if not self.state.members.record_leaving(sign):
            return
        try:
            self.uplink.send(sign)
        except PeerError as error:
            get_logger().info('sign_not_sent', reason=str(error))

    async def receive_items(self, link: Link, message: Items) -> None:
        """Take configuration that the control pushed."""
        self.state.take_items(message.items)

    async def receive_members(self, link: Link, message: MemberChange) -> None:
        """Take a change of the list that the control pushed.

        Without the list that it changes, the next snapshot brings the whole.
        """
        held = self.state.members.member_list
        if message.base == held.revision:
            self.state.take_members(apply_change(held, message))

    async def receive_sign(self, link: Link, message: LeavingSign) -> None:
        """Take a sign that another process saw."""
        self.state.members.record_leaving(message)

    async def receive_loads(self, link: Link, message: Loads) -> None:
        """Take load reports."""
        self.state.take_loads(message)
        self.dispatcher.wake()

    async def answer_dump(
        self,
        link: Link,
        message: DumpRequest,
    ) -> DumpReply:
        """Return the state of this process for operators."""
        state = self.state
        return DumpReply(
            {
                'node': self._settings.node._asdict(),
                'ready': state.is_ready(),
                'draining': self.api.draining,
                'in_progress': self.api.in_progress,
                'configuration': state.catalog.versions(),
                'outstanding': state.loads.dump(),
                'ejected': state.ejector.dump(),
                'limits': self.admission.dump(),
                'queues': self.dispatcher.dump(),
                'leaving': [
                    sign.target for sign in state.members.leaving_notices()
                ],
                'cache_gaps': state.prefixes.event_gaps,
                'traffic': dict(self._service.traffic),
                'unknown_ticks': state.reports.unknown_ticks,
                'counters': state.metrics.dump(),
            },
        )

    async def subscribe(self) -> None:
        """Keep the control's pushes coming, until cancelled."""
        while True:
            await self.uplink.opened.wait()
            try:
                await self._take_snapshot()
            except PeerError as error:
                get_logger().info('subscribe_failed', reason=str(error))
            await asyncio.sleep(SUBSCRIBE_SECONDS)

    async def report_usage(self) -> None:
        """Tell the control what is in progress and was spent."""
        self.admission.report()

    async def stop(self) -> None:
        """Leave gracefully: no request in progress is cut off."""
        self.api.draining = True
        await asyncio.sleep(self._settings.callers.drain_seconds)
        loop = asyncio.get_running_loop()
        end = loop.time() + self._settings.callers.stop_seconds
        while self._is_busy() and loop.time() < end:
            await asyncio.sleep(STOP_POLL_SECONDS)
        self.admission.report()

    def _is_busy(self) -> bool:
        return bool(
            self.api.in_progress
            or self.handling.attempts
            or self.claims.unsettled,
        )

    async def _take_snapshot(self) -> None:
        question = Subscribe(
            self.state.catalog.digest(),
            self.state.members.member_list.revision,
        )
        snapshot = await self.uplink.request(question, REPLY_SECONDS)
        if not isinstance(snapshot, Snapshot):
            return
        self.state.take_items(snapshot.items)
        if snapshot.members:
            self.state.take_members(snapshot.members)
        for sign in snapshot.signs:
            self.state.members.record_leaving(sign)
        self.state.ready = self.state.ready or snapshot.ready

    def _make_executor(self) -> Executor:
        attempts = AttemptRunner(
            self.client,
            self.dispatcher,
            self.state.loads,
            self.state.ejector,
            Budgets(RETRY_SHARE, self._settings.routing.hedge_share),
            self.state.prefixes,
            self,
            self.state.metrics,
        )
        return Executor(
            attempts,
            self.dispatcher,
            self.state.loads,
            self._settings.node.zone,
        )


def _make_chooser(name: str, state: State) -> Chooser:
    choosers: dict[str, Chooser] = {
        'predicted': PredictedFinish(state.loads, state.prefixes),
        'least': LeastOutstanding(state.loads),
        'robin': RoundRobin(),
    }
    return choosers[name]


async def run_entry(settings: EntrySettings) -> None:
    """Run the entry process until SIGTERM and its last request."""
    configure_logs('galena-entry', settings.node.name)
    tasks = TaskGroup()
    entry = Entry(settings, tasks)
    app: Sanic[Any, Any] = Sanic('galena-entry', configure_logging=False)
    entry.api.mount(app)
    await serve_metrics(entry.state.metrics, settings.metrics)
    server = await serve_http(
        app,
        settings.node.address,
        settings.callers.port,
    )
    tasks.start(entry.uplink.keep_open())
    tasks.start(entry.subscribe())
    tasks.start(
        run_every(REPORT_SECONDS, entry.report_usage, 'report_failed'),
    )
    get_logger().info('started', port=settings.callers.port)
    await wait_for_stop()
    get_logger().info('stopping')
    await entry.stop()
    await server.stop()
    await tasks.stop()
    await entry.client.close()
    get_logger().info('stopped')


def serve(*, settings: Path) -> None:
    """Run the entry process of an entry VM.

    :param settings: path of the INI file
    """
    run_program(settings, EntrySettings, run_entry)


def main() -> None:
    """Entry point of the binary."""
    defopt.run(serve)


if __name__ == '__main__':
    main()
