"""``galena-entry``: accepts callers' requests and runs them on targets.

The entry process receives configuration, members and load reports from the
control process of its machine, over one link.
"""

import asyncio
import secrets
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import defopt
from sanic import Sanic

from galenaswitch.callers.handling import PipelineRequestHandler
from galenaswitch.callers.server import CallerApi
from galenaswitch.claims.client import Claims
from galenaswitch.configuration.messages import Items
from galenaswitch.errors import PeerError
from galenaswitch.limits.admission import Admission
from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import Link, LinkService
from galenaswitch.membership.lists import (
    LeavingSign,
    MemberChange,
    apply_change,
)
from galenaswitch.membership.messages import Loads, Snapshot, Subscribe
from galenaswitch.operations.dump import DumpReply, DumpRequest
from galenaswitch.operations.exposition import serve_metrics
from galenaswitch.operations.logs import configure_logs, get_logger
from galenaswitch.operations.metrics import open_metrics
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
from galenaswitch.pipelines.crashes import CrashGuard, News
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.execution import Executor
from galenaswitch.pipelines.notices import FailureSinks
from galenaswitch.programs.entry_state import EntryState
from galenaswitch.programs.http import serve_http
from galenaswitch.programs.uplink import Uplink
from galenaswitch.programs.vocabulary import VOCABULARY
from galenaswitch.quarantine.fingerprints import Fingerprints
from galenaswitch.quarantine.messages import CrashReport, PartAnswered
from galenaswitch.routing.choice import (
    Chooser,
    LeastOutstanding,
    PredictedFinish,
    RoundRobin,
)
from galenaswitch.targets.client import TargetClient
from galenaswitch.targets.listening import is_listening

SUBSCRIBE_INTERVAL_SECONDS = 1
REPORT_INTERVAL_SECONDS = 1
MAX_DISCONNECTED_SECONDS = 3
REPLY_TIMEOUT_SECONDS = 3
STOP_POLL_SECONDS = 0.05


class CallerSettings(NamedTuple):
    """Section ``[callers]``: the HTTP port for callers.

    :param port: TCP port behind the balancer.
    :param drain_seconds: time until the balancer notices a shutdown.
    :param stop_seconds: longest wait for requests in progress at a shutdown.
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
    """Sections of the settings file of ``galena-entry``."""

    node: NodeSettings
    peers: PeerSettings
    callers: CallerSettings
    routing: RoutingSettings = RoutingSettings()
    metrics: MetricSettings = MetricSettings()


class Entry:
    """Connects the components of one entry process."""

    def __init__(self, settings: EntrySettings, tasks: TaskGroup) -> None:
        """Build all components without starting a task."""
        node = settings.node
        self._settings = settings
        self._tasks = tasks
        self.state = EntryState(open_metrics())
        identity = Identity(node.name, node.zone, 'entry', secrets.token_hex(4))
        self._service = LinkService(
            identity,
            settings.peers.secret,
            VOCABULARY,
            {
                Items: self.receive_items,
                MemberChange: self.receive_members,
                LeavingSign: self.receive_leaving_notice,
                Loads: self.receive_loads,
                CrashReport: self.receive_crash,
                PartAnswered: self.receive_answer,
                DumpRequest: self.answer_dump,
            },
            traffic=Counter(),
        )
        self.uplink = Uplink(node.address, settings.peers.port, self._service)
        self.claims = Claims(self.uplink, tasks)
        self.admission = Admission(node.name, identity.incarnation, self.uplink)
        self.client = TargetClient()
        self.dispatcher = Dispatcher(
            self.state.members,
            self.state.loads,
            self.state.ejector,
            _make_chooser(settings.routing.chooser, self.state),
            node.zone,
            shedding=settings.routing.shedding,
        )
        self.guard = CrashGuard(
            node.name,
            self.state.members,
            Fingerprints(settings.peers.secret),
            tasks,
            self.state.metrics,
            is_listening,
            self.send_news,
        )
        self.handling = PipelineRequestHandler(
            self._make_executor(), self.claims, self.admission
        )
        self.api = CallerApi(
            self.state.directory, self.handling, self, self.state.metrics
        )

    def is_ready(self) -> bool:
        """Tell whether the balancer should route callers to this process.

        Without its control process an entry process loses its share of the
        permits, so other entry processes must serve its callers.
        """
        connected = (
            self.uplink.disconnected_seconds() < MAX_DISCONNECTED_SECONDS
        )
        return connected and self.state.is_ready()

    def can_serve(self) -> bool:
        """Tell whether the process can run a request that it has received."""
        return self.state.is_ready()

    def report_leaving(self, notice: LeavingSign) -> None:
        """Apply a leaving notice and send it to the control process."""
        if not self.state.members.record_leaving(notice):
            return
        try:
            self.uplink.send(notice)
        except PeerError as error:
            get_logger().info('sign_not_sent', reason=str(error))

    def send_news(self, news: News) -> None:
        """Send news about crashes to the control process."""
        try:
            self.uplink.send(news)
        except PeerError as error:
            get_logger().info('evidence_not_sent', reason=str(error))

    async def receive_crash(self, link: Link, message: CrashReport) -> None:
        """Merge a crash that another VM saw."""
        self.guard.add_crash(message)

    async def receive_answer(self, link: Link, message: PartAnswered) -> None:
        """Merge an answer that another VM saw."""
        self.guard.add_answer(message)

    async def receive_items(self, link: Link, message: Items) -> None:
        """Apply configuration that the control process pushed."""
        self.state.apply_items(message.items)

    async def receive_members(self, link: Link, message: MemberChange) -> None:
        """Apply a member list delta that the control process pushed.

        A delta against another revision is ignored; the next snapshot then
        contains the full member list.
        """
        current = self.state.members.member_list
        if message.base == current.revision:
            self.state.apply_members(apply_change(current, message))

    async def receive_leaving_notice(
        self, link: Link, message: LeavingSign
    ) -> None:
        """Apply a leaving notice that another process sent."""
        self.state.members.record_leaving(message)

    async def receive_loads(self, link: Link, message: Loads) -> None:
        """Apply load reports and wake the dispatcher."""
        self.state.apply_loads(message)
        self.dispatcher.wake()

    async def answer_dump(
        self,
        link: Link,
        message: DumpRequest,
    ) -> DumpReply:
        """Reply to an operator with the state dump of this process."""
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
                'quarantines': self.guard.dump(),
                'leaving': [
                    notice.target for notice in state.members.leaving_notices()
                ],
                'cache_gaps': state.prefixes.event_gaps,
                'traffic': dict(self._service.traffic),
                'unknown_ticks': state.reports.unknown_ticks,
                'counters': state.metrics.dump(),
            },
        )

    async def subscribe(self) -> None:
        """Renew the subscription to the control process until cancelled."""
        while True:
            await self.uplink.opened.wait()
            try:
                await self._request_snapshot()
            except PeerError as error:
                get_logger().info('subscribe_failed', reason=str(error))
            await asyncio.sleep(SUBSCRIBE_INTERVAL_SECONDS)

    async def report_usage(self) -> None:
        """Report requests in progress and used cost to the control process."""
        self.admission.report()

    async def stop(self) -> None:
        """Shut down gracefully: drain the requests in progress.

        Requests that run longer than ``stop_seconds`` are cut off.
        """
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

    async def _request_snapshot(self) -> None:
        subscription = Subscribe(
            self.state.catalog.digest(),
            self.state.members.member_list.revision,
        )
        snapshot = await self.uplink.request(
            subscription, REPLY_TIMEOUT_SECONDS
        )
        if not isinstance(snapshot, Snapshot):
            return
        self.state.apply_items(snapshot.items)
        if snapshot.members:
            self.state.apply_members(snapshot.members)
        for notice in snapshot.signs:
            self.state.members.record_leaving(notice)
        self.state.ready = self.state.ready or snapshot.ready

    def _make_executor(self) -> Executor:
        attempts = AttemptRunner(
            self.client,
            self.dispatcher,
            self.state.loads,
            self.state.ejector,
            Budgets(RETRY_SHARE, self._settings.routing.hedge_share),
            self.state.prefixes,
            FailureSinks(self, self.guard),
            self.state.metrics,
        )
        return Executor(
            attempts,
            self.dispatcher,
            self.state.loads,
            self._settings.node.zone,
        )


def _make_chooser(name: str, state: EntryState) -> Chooser:
    choosers: dict[str, Chooser] = {
        'predicted': PredictedFinish(state.loads, state.prefixes),
        'least': LeastOutstanding(state.loads),
        'robin': RoundRobin(),
    }
    return choosers[name]


async def run_entry(settings: EntrySettings) -> None:
    """Run the entry process until SIGTERM, then drain and stop it."""
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
        run_every(REPORT_INTERVAL_SECONDS, entry.report_usage, 'report_failed'),
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
    """Run the command-line entry point of ``galena-entry``."""
    defopt.run(serve)


if __name__ == '__main__':
    main()
