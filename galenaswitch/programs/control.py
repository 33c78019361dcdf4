"""``galena-control``: configuration, membership and shared state of a VM.

The control process reads the platform's store, syncs with the control
processes of other VMs and pushes changes to the entry process of its VM.
"""

import asyncio
import secrets
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import defopt

from galenaswitch.callers.access import ContractDirectory
from galenaswitch.claims.messages import ClaimReply, ClaimRequest, SettleRequest
from galenaswitch.claims.router import ClaimRouter
from galenaswitch.configuration.catalog import Catalog
from galenaswitch.configuration.messages import (
    Digest,
    Items,
    NodeStatus,
    Versions,
)
from galenaswitch.configuration.relay import Relay
from galenaswitch.configuration.status import REPORT_SECONDS, ZoneStatus
from galenaswitch.configuration.watch import StoreWatch
from galenaswitch.errors import DutyError
from galenaswitch.limits.shared import SharedLimits
from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import Link, LinkService, listen
from galenaswitch.membership.lists import LeavingSign, MemberChange, Members
from galenaswitch.membership.loads import LoadCollector
from galenaswitch.membership.mesh import Mesh, Ping, answer_ping
from galenaswitch.membership.messages import (
    ListNotice,
    ListQuestion,
    Loads,
    Snapshot,
    Subscribe,
)
from galenaswitch.membership.sync import POLL_SECONDS, MembershipSync
from galenaswitch.operations.dump import DumpReply, DumpRequest
from galenaswitch.operations.encoding import dump_json
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
)
from galenaswitch.orders.lease import Lease
from galenaswitch.orders.reconciler import CYCLE_SECONDS, ModelReconciler
from galenaswitch.programs.subscribers import Subscribers
from galenaswitch.programs.vocabulary import VOCABULARY
from galenaswitch.quarantine.keeper import EvidenceKeeper
from galenaswitch.store.client import StoreClient

DUMP_TIMEOUT_SECONDS = 2
ENTRY_STOP_TIMEOUT_SECONDS = 660
STOP_POLL_SECONDS = 0.05


class StoreSettings(NamedTuple):
    """Section ``[store]``: how to reach the platform's object store.

    :param url: base URL with an IP address.
    :param seconds: timeout of one call.
    """

    url: str
    seconds: float = 2


class ControlSettings(NamedTuple):
    """Sections of the settings file of ``galena-control``."""

    node: NodeSettings
    peers: PeerSettings
    store: StoreSettings
    metrics: MetricSettings = MetricSettings()


class Control:
    """Connects the components of one control process."""

    def __init__(
        self,
        settings: ControlSettings,
        session: aiohttp.ClientSession,
        tasks: TaskGroup,
    ) -> None:
        """Build all components without starting a task."""
        node = settings.node
        identity = Identity(
            node.name, node.zone, 'control', secrets.token_hex(4)
        )
        self.metrics = open_metrics()
        handlers: dict[type[Any], Any] = {}
        self.service = LinkService(
            identity,
            settings.peers.secret,
            VOCABULARY,
            handlers,
            node.address,
            Counter(),
            {},
        )
        self.store = StoreClient(
            session, settings.store.url, settings.store.seconds
        )
        self.catalog = Catalog()
        self.members = Members()
        self.subscribers = Subscribers()
        publish = self._publish
        self.mesh = Mesh(self.service, self.members, tasks)
        self.relay = Relay(self.catalog, self.mesh, publish)
        self.evidence = EvidenceKeeper(self.mesh, publish)
        self.membership_sync = MembershipSync(
            self.members, self.store, self.mesh, publish
        )
        self.status = ZoneStatus(self.mesh, self.store)
        self.loads = LoadCollector(
            session, self.members, self.mesh, self.membership_sync, publish
        )
        self.claims = ClaimRouter(
            self.mesh,
            self.members,
            self.store,
            f'{identity.node}/{identity.incarnation}',
        )
        self.directory = ContractDirectory(self.catalog)
        self.lease = Lease(
            self.store,
            f'orders-{identity.zone}',
            f'{identity.node}/{identity.incarnation}',
        )
        self.reconciler = ModelReconciler(
            session,
            self.mesh,
            self.members,
            self.lease,
            self.directory.wanted_models,
        )
        self.limits = SharedLimits(
            self.mesh,
            self.members,
            self.store,
            self.directory.find_contract,
            tasks,
            self.metrics,
        )
        handlers.update(self._handlers())
        self.mesh.on_link_open.append(
            lambda link: tasks.start(self._on_link_open(link)),
        )

    def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks of the control process."""
        tasks.start_critical(self.mesh.maintain_links())
        tasks.start_critical(
            StoreWatch(self.relay, self.store, self.mesh).watch()
        )
        tasks.start_critical(self.relay.repair())
        tasks.start_critical(
            run_every(POLL_SECONDS, self.membership_sync.poll, 'list_failed'),
        )
        tasks.start_critical(self.loads.collect())
        tasks.start_critical(self.loads.publish())
        tasks.start_critical(
            run_every(
                CYCLE_SECONDS, self.reconciler.run_cycle, 'orders_failed'
            ),
        )
        tasks.start_critical(
            run_every(REPORT_SECONDS, self.report_status, 'status_failed'),
        )
        self.limits.start(tasks)

    async def stop(self) -> None:
        """Shut down gracefully after the entry process has ended.

        The entry process needs its control process while it drains. After
        that, the control process writes costs to the store and releases its
        claim shards and its lease, so that others take them over at once.
        """
        end = time.monotonic() + ENTRY_STOP_TIMEOUT_SECONDS
        while self.subscribers.connected and time.monotonic() < end:
            await asyncio.sleep(STOP_POLL_SECONDS)
        await self.limits.flush_usage()
        await self.claims.release_all()
        await self.lease.release()

    async def report_status(self) -> None:
        """Report this machine's configuration digest to the zone's relays."""
        await self.status.report(
            NodeStatus(
                self.service.identity.node,
                self.subscribers.digest,
                self.relay.ready,
            ),
        )

    async def answer_claim(
        self,
        link: Link,
        request: ClaimRequest | SettleRequest,
    ) -> ClaimReply:
        """Reply to a claim or a report of its result; count it by state."""
        reply = await self.claims.answer(link, request)
        self.metrics.count(f'claims.{reply.state.value}')
        return reply

    async def answer_dump(self, link: Link, message: DumpRequest) -> DumpReply:
        """Reply with the state dump of this process or the entry process."""
        if message.program == 'entry':
            entry = self.subscribers.first()
            reply = await entry.request(message, DUMP_TIMEOUT_SECONDS)
            return DumpReply(reply.state)
        return DumpReply(self.dump())

    async def answer_subscribe(
        self,
        link: Link,
        message: Subscribe,
    ) -> Snapshot:
        """Subscribe an entry process and send it a snapshot of the state.

        The snapshot leaves out the configuration and the member list if the
        entry process has their current version.
        """
        self.subscribers.add(
            link,
            lambda: (
                self.loads.reports.full_reports(),
                *self.evidence.list_news(),
            ),
        )
        self.subscribers.digest = message.digest
        up_to_date = message.digest == self.catalog.digest()
        members = self.members.member_list
        return Snapshot(
            () if up_to_date else tuple(self.catalog),
            None if message.revision == members.revision else members,
            self.members.leaving_notices(),
            self.relay.ready,
        )

    def dump(self) -> dict[str, Any]:
        """Return the state dump of the process, without secrets."""
        return {
            'identity': self.service.identity._asdict(),
            'ready': self.relay.ready,
            'configuration': self.catalog.versions(),
            'digest': self.catalog.digest(),
            'peers': [link.peer.node for link in self.mesh.links()],
            'relays': list(self.mesh.relays()),
            'list_revision': self.members.member_list.revision,
            'counters': self.metrics.dump(),
            'traffic': dict(self.service.traffic),
            'unknown_ticks': self.loads.reports.unknown_ticks,
            'orders': self.reconciler.dump(),
            'limits': self.limits.dump(),
            'claims': dict(self.claims.dump()),
            'store_calls': dict(self.store.calls),
        }

    def _publish(self, message: Any) -> None:
        """Push a change to the entry process and apply it in this process.

        New contracts come into force here, and load reports of targets that
        left the member list are dropped.
        """
        if isinstance(message, Items):
            self.directory.refresh(message.items)
            self.metrics.count('configuration_items', len(message.items))
        if isinstance(message, MemberChange):
            self.loads.reports.keep_only(
                target.name for target in self.members.member_list.targets
            )
        self.subscribers.publish(message)

    async def _on_link_open(self, link: Link) -> None:
        self.membership_sync.on_link_open(link)
        self.loads.on_link_open(link)
        await self.evidence.exchange.on_link_open(link)
        await self.relay.on_link_open(link)

    def _handlers(self) -> dict[type[Any], Any]:
        return {
            Subscribe: self.answer_subscribe,
            Items: self.relay.receive_items,
            Digest: self.relay.answer_digest,
            Versions: self.relay.answer_versions,
            MemberChange: self.membership_sync.receive_change,
            ListNotice: self.membership_sync.receive_list_notice,
            ListQuestion: self.membership_sync.answer_list_query,
            LeavingSign: self.membership_sync.receive_leaving_notice,
            Loads: self.loads.receive,
            NodeStatus: self.status.receive,
            DumpRequest: self.answer_dump,
            Ping: answer_ping,
            ClaimRequest: self.answer_claim,
            SettleRequest: self.answer_claim,
            **self.limits.handlers(),
            **self.evidence.exchange.handlers(),
        }


async def run_control(settings: ControlSettings) -> None:
    """Run the control process until SIGTERM, then stop it gracefully.

    :raises DutyError: when a critical background task failed, which also
        stops the process.
    """
    configure_logs('galena-control', settings.node.name)
    tasks = TaskGroup()
    connector = aiohttp.TCPConnector(
        limit=0, local_addr=(settings.node.address, 0)
    )
    async with aiohttp.ClientSession(
        connector=connector,
        json_serialize=dump_json,
    ) as session:
        control = Control(settings, session, tasks)
        server = await listen(
            settings.node.address,
            settings.peers.port,
            control.service,
            tasks,
        )
        await serve_metrics(control.metrics, settings.metrics)
        control.start(tasks)
        get_logger().info('started', port=settings.peers.port)
        await asyncio.wait(
            (
                tasks.start(wait_for_stop()),
                tasks.start(tasks.wait_for_failure()),
            ),
            return_when=asyncio.FIRST_COMPLETED,
        )
        await control.stop()
        server.close()
        await tasks.stop()
    get_logger().info('stopped')
    if tasks.failed.is_set():
        raise DutyError('a critical background task failed; see the log')


def serve(*, settings: Path) -> None:
    """Run the control process of an entry VM.

    :param settings: path of the INI file
    """
    run_program(settings, ControlSettings, run_control)


def main() -> None:
    """Run the command-line entry point of ``galena-control``."""
    defopt.run(serve)


if __name__ == '__main__':
    main()
