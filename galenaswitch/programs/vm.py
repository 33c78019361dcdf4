"""The process that serves callers on one VM of the platform.

One process does all the work of its VM: it accepts callers' requests, runs
pipelines on targets, and syncs configuration and members with other VMs.
"""

import asyncio
from functools import partial
from pathlib import Path

from galenaswitch.configuration.relay import Relay
from galenaswitch.connections.crowding import find_max_connections
from galenaswitch.connections.dialing import DirectDialer
from galenaswitch.connections.inbound import Listener
from galenaswitch.connections.memory import (
    BASE_BYTES,
    MemoryAccount,
    find_limit,
)
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.connections.requests import InboundLimits
from galenaswitch.errors import SettingsError
from galenaswitch.evacuation.sync import EvacuationSync
from galenaswitch.following.following import Following
from galenaswitch.gateway.batcher import Batcher
from galenaswitch.gateway.continuation import ContinuationPolicy
from galenaswitch.gateway.handling import Gateway
from galenaswitch.gateway.notices import TargetNotices
from galenaswitch.gateway.origins import StreamOrigins
from galenaswitch.gateway.owners import OwnerRouter
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.questions import BatchedService
from galenaswitch.gateway.readiness import Readiness
from galenaswitch.gateway.routes import (
    EMPTY_TABLE,
    BatchLimits,
    EngineLimits,
    RouteTable,
)
from galenaswitch.gateway.sending import Sender
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.gateway.state_sync import StateSync
from galenaswitch.gateway.streams import StreamRunner
from galenaswitch.gateway.turns import Turns
from galenaswitch.gateway.version_recovery import VersionRecovery
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.links import Link, listen
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.exposition import serve_metrics
from galenaswitch.operations.lag import find_clock
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import open_metrics
from galenaswitch.operations.process import TaskGroup, run_every
from galenaswitch.operations.settings import MetricSettings
from galenaswitch.paths.service import Paths
from galenaswitch.platform.documents import PlatformDocuments
from galenaswitch.platform.evacuations import EvacuationEntries
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.platform.objects import PlatformStore
from galenaswitch.platform.settings import VmSettings, load_vm_settings
from galenaswitch.programs.link_service import make_link_service
from galenaswitch.programs.plain_service import make_plain_runner
from galenaswitch.programs.vm_links import LinkObserver, collect_handlers
from galenaswitch.programs.vm_paths import connect_paths
from galenaswitch.programs.vm_stop import Draining
from galenaswitch.quarantine.containment import Containment
from galenaswitch.quarantine.fingerprints import Fingerprints

# Seconds until the balancer notices that a VM is not ready. It probes once a
# second and acts on two failed probes.
UNREADY_DETECTION_SECONDS = 2.5
MAINTENANCE_INTERVAL_SECONDS = 1.0
# Port of the metrics endpoint; the deploy file names the same port.
METRICS_PORT = 9464


class Edge:
    """Connects the components of the edge process of one VM."""

    def __init__(
        self,
        settings: VmSettings,
        path: Path,
        tasks: TaskGroup,
    ) -> None:
        """Build all components without starting a task.

        :param path: settings file, which :meth:`reload` reads again.
        """
        self._settings = settings
        self._path = path
        self._tasks = tasks
        self._caller_port: asyncio.Server | None = None
        self.metrics = open_metrics()
        self.stopping = False
        own = Machine(
            settings.node, settings.zone, *settings.peers, cores=settings.cores
        )
        self.members = Members()
        self.directory = Directory(self.members, own)
        self.service = make_link_service(settings)
        self.mesh = Mesh(self.service, self.members, tasks)
        self.paths = Paths(
            self.service,
            self.members,
            self.mesh,
            tasks,
            self.metrics,
            DirectDialer(settings.address),
        )
        limit_bytes = find_limit(settings.memory_bytes)
        memory = MemoryAccount(limit_bytes, self.metrics.count)
        self.paths.exits.memory = memory
        self.pool = ConnectionPool(self.paths.dialer, memory)
        store = PlatformStore(self.pool, settings.store, self.metrics)
        self.state_sync = StateSync(
            store,
            PlatformDocuments(),
            self.directory,
            own,
            tasks,
            settings.heartbeat,
            first_start=settings.first_start,
            contact_seconds=settings.bounds.contact,
        )
        self.relay = Relay(
            self.state_sync.catalog,
            self.mesh,
            self.state_sync.apply_items,
            self.mesh.spread,
        )
        self.state_sync.use_relay(self.relay)
        self.following = Following(
            store,
            self.mesh,
            self.members,
            tasks,
            self.service.identity.incarnation,
        )
        self.state_sync.use_following(self.following)
        self.evacuations = EvacuationSync(
            self.members, self.metrics, EvacuationEntries()
        )
        self.evacuations.enable(store, self.following, settings.bounds.evacuate)
        self.budgets = RetryBudgets(*settings.bounds.retry_limits)
        self._owner_router = OwnerRouter(
            self.members, self.mesh, self.paths.notes.is_lost
        )
        self._owner_router.on_leaving = self.paths.tunnels.retire
        self.paths.is_available = self._owner_router.is_available
        self.paths.dialer.on_hang = self.pool.close
        self.turns = Turns(
            self.members, self.mesh, self._owner_router, self.metrics, tasks
        )
        self.turns.cold.find_table = self._find_known_services
        self.evacuations.on_ended = self.turns.cold.suspect_zone
        self.state_sync.on_entry = self.turns.cold.observe_entry
        self.containment = Containment(
            store,
            self.mesh,
            tasks,
            self.metrics,
            self.pool.is_listening,
            Fingerprints(self.service.secret),
        )
        self.following.add(self.containment.follower)
        self.origins = StreamOrigins(
            self.mesh, lambda: self.directory.has_store_machines
        )
        self.recovery = VersionRecovery(
            self.state_sync.versions, self.mesh, self.members, tasks
        )
        self._batchers: dict[str, Batcher] = {}
        self._schedulers: dict[str, PlacementScheduler] = {}
        self._wire = PlatformWire()
        self.notices = TargetNotices(
            self._wire, self.members, self.mesh, self.metrics
        )
        connect_paths(self.paths, self.notices, self.turns, self._wire)
        self._sender = Sender(self.pool, self.turns, self.notices, self._wire)
        self.stages = StageRunner(
            settings.zone,
            self.members,
            self._wire,
            self._owner_router,
            self.find_batcher,
        )
        self.streams = StreamRunner(
            self._sender,
            self._wire,
            self.budgets,
            self._owner_router,
            self.stages,
            self.find_scheduler,
            self.containment,
            ContinuationPolicy(
                self.members,
                self.origins,
                self.state_sync.versions,
                self.metrics,
            ),
        )
        self.gateway = self._make_gateway()
        self.callers = Listener(
            self.gateway,
            self.find_inbound_limits,
            self.metrics,
            memory,
            find_max_connections(
                settings.max_descriptors,
                settings.memory_bytes - BASE_BYTES - memory.limit_bytes,
            ),
        )
        self._add_handlers()
        self.mesh.on_link_open.append(self._on_link_open)

    def find_inbound_limits(self) -> InboundLimits:
        """Return the size and time limits of callers' requests."""
        return self._find_route_table().limits

    def find_batcher(self, service: str) -> Batcher:
        """Return the batcher of a service on this VM; create it if needed."""
        if service not in self._batchers:
            self._batchers[service] = Batcher(
                BatchedService(service, self.find_batch_limits, self.metrics),
                self.members,
                self._sender,
                self._wire,
                self.budgets,
                self._tasks,
                self.stages.release,
                self.containment,
            )
        return self._batchers[service]

    def find_scheduler(self, service: str) -> PlacementScheduler:
        """Return the placement scheduler of a service; create it if needed."""
        if service not in self._schedulers:
            self._schedulers[service] = PlacementScheduler(
                service,
                self.find_engine_limits,
                self.members,
                self.turns.pacer,
                self.turns.seats,
                self.metrics,
            )
        return self._schedulers[service]

    def find_batch_limits(self, service: str) -> BatchLimits | None:
        """Return a service's batch limits, None if it has none."""
        return self._find_known_services().find_batch_limits(service)

    def find_engine_limits(self, service: str) -> EngineLimits | None:
        """Return a service's engine limits, None if it has none."""
        return self._find_known_services().find_engine_limits(service)

    def is_ready(self) -> bool:
        """Tell whether the balancer should route callers to this VM."""
        is_ready = self.state_sync.ready and self.evacuations.is_known
        return is_ready and not self.stopping

    async def listen(self) -> None:
        """Listen on the ports for readiness, callers, peers and metrics.

        :raises OSError: when a port can't be opened.
        """
        settings = self._settings
        find_clock().metrics = self.metrics
        loop = asyncio.get_running_loop()
        readiness = Listener(
            Readiness(self.is_ready), InboundLimits, self.metrics
        )
        await loop.create_server(readiness.open_connection, *settings.readiness)
        self._caller_port = await loop.create_server(
            self.callers.open_connection, *settings.callers
        )
        await listen(*settings.peers, self.service, self._tasks)
        await serve_metrics(
            self.metrics, MetricSettings(settings.address, METRICS_PORT)
        )

    def start(self) -> None:
        """Start the background tasks that sync state with store and peers."""
        self.state_sync.start()
        self.containment.start()
        self.turns.cold.start()
        self._tasks.start_lasting(self.mesh.maintain_links)
        self._tasks.start_lasting(self.relay.repair)
        self._tasks.start_lasting(
            partial(
                self.state_sync.sync_from_seeds,
                self._settings.seeds,
                self.service,
            ),
        )
        self._tasks.start_lasting(
            partial(
                run_every,
                MAINTENANCE_INTERVAL_SECONDS,
                self.run_maintenance,
                'look_failed',
            ),
        )

    async def run_maintenance(self) -> None:
        """Reload settings, close stale connections, update retry budgets."""
        self.reload()
        self.pool.close_expired()
        self.budgets.update_machine_count(len(self.members.machines()))
        self.turns.forget_ended()
        self.notices.forget_ended()

    def reload(self) -> None:
        """Reload the settings file; invalid settings are logged and ignored."""
        try:
            settings = load_vm_settings(self._path)
        except SettingsError as error:
            get_logger().error('settings_rejected', reason=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self.budgets.change(*settings.bounds.retry_limits)
        get_logger().info('settings_reloaded', bounds=str(settings.bounds))

    async def stop(self) -> None:
        """Shut down gracefully within the platform's grace period.

        The VM reports itself as not ready until the balancer has noticed, then
        drains: it closes each connection as soon as that is idle.
        """
        self.stopping = True
        self._owner_router.leave()
        self.following.leave()
        self.paths.exits.stopping = True
        draining = Draining(
            self.callers, self.paths.exits, self._settings.bounds.grace
        )
        self.gateway.drain_until(draining.end, UNREADY_DETECTION_SECONDS)
        await asyncio.sleep(UNREADY_DETECTION_SECONDS)
        await draining.run(self._caller_port)

    def _on_link_open(self, link: Link) -> None:
        self.notices.on_link_open(link)
        observers: tuple[LinkObserver, ...] = (
            self._owner_router,
            self.relay,
            self.following,
            self.containment.exchange,
            self.turns,
            self.turns.seats.brittleness,
            self.origins,
        )
        for observer in observers:
            self._tasks.start(observer.on_link_open(link))

    def _find_known_services(self) -> RouteTable:
        return self.state_sync.route_table.with_former_services

    def _find_route_table(self) -> RouteTable:
        if not self.evacuations.is_known:
            return EMPTY_TABLE
        return self.state_sync.route_table.current

    def _add_handlers(self) -> None:
        sources = (
            self.relay,
            self._owner_router,
            self.streams,
            self.containment.exchange,
            self.turns,
            self.notices,
            self.origins,
            self.following,
            self.recovery,
            self.paths,
        )
        handlers = collect_handlers(self.members, self.stages, sources)
        self.service.handlers.update(handlers)  # type: ignore[attr-defined]

    def _make_gateway(self) -> Gateway:
        plain = make_plain_runner(
            self._settings,
            self.members,
            self._sender,
            self._wire,
            self.budgets,
            self.containment,
            self.metrics,
        )
        return Gateway(
            self._find_route_table,
            self._wire,
            plain,
            self.streams,
            self.metrics,
            self._sender.draining,
        )
