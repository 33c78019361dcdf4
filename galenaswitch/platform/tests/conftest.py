"""Fixtures with documents and settings of the platform, and a gateway.

The gateway runs in one process with scripted targets.
"""

import time
from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.connections.requests import InboundLimits, InboundRequest
from galenaswitch.gateway.checks import check_request
from galenaswitch.gateway.continuation import ContinuationPolicy
from galenaswitch.gateway.notices import TargetNotices
from galenaswitch.gateway.origins import StreamOrigins
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.plain import PlainRunner
from galenaswitch.gateway.routes import (
    EngineLimits,
    Route,
    RouteTable,
    Service,
    Split,
    Workspace,
)
from galenaswitch.gateway.sending import Sender
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.gateway.streams import StreamRunner
from galenaswitch.gateway.tests.fakes import LocalOwnerRouter
from galenaswitch.gateway.turns import Turns
from galenaswitch.gateway.version_records import VersionRecords
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.platform.objects import PlatformStore
from galenaswitch.platform.tests.fakes import AnswerRecorder
from galenaswitch.quarantine.containment import Containment
from galenaswitch.quarantine.fingerprints import Fingerprints
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.slowness import SlowLast

API_KEY = 'k1'
SETTINGS = """
node-name=edge-north-1
role=edge
zone=north
ip=127.0.0.1
listen.front=127.0.0.1:8625
listen.ready=127.0.0.1:8621
listen.control=127.0.0.1:8628
port-range=7740,7755
seeds=127.0.0.1:8628,127.0.0.2:8628
limits.memory-mb=300
limits.cpu-share=0.6
limits.cores=3
heartbeat-ms=1200
bounds.drain-ms=2000
bounds.retry-budget-ratio=0.2
bounds.budget-slack=58
platform.address=127.0.0.1:8624
something.new=ignored
"""


@pytest.fixture
def settings_text():
    """Return the text of a settings file."""
    return SETTINGS


@pytest.fixture
def configuration():
    """Return a configuration document with a stage."""
    return {
        'version': 7,
        'routes': [
            {
                'name': 'r-1',
                'host': 'A.example',
                'path-prefix': '/x/',
                'kind': 'streaming',
                'timeout-ms': 6000,
                'target-latency-ms': 1900,
                'priority': 0,
                'service': 'llm',
                'max-attempts': 2,
                'stages': [
                    {'service': 'scan', 'after': [], 'bytes': 8000},
                    {'service': 'scan', 'after': [0], 'bytes': 10},
                ],
                'stream-resume': True,
                'target-itl-ms': 300,
            },
            {
                'name': 'r-2',
                'host': 'b.example',
                'path-prefix': '/y/',
                'kind': 'non_idempotent',
                'timeout-ms': 2000,
                'target-latency-ms': 300,
                'priority': 2,
                'max-attempts': 1,
                'traffic-split': [
                    {'service': 'llm', 'weight': 90},
                    {'service': 'scan', 'weight': 10},
                ],
                'allow-anonymous': True,
            },
        ],
        'services': [
            {
                'name': 'llm',
                'max-connections': 370,
                'engine': {'slots': 64, 'kv-capacity-tokens': 375109},
            },
            {
                'name': 'scan',
                'max-connections': 100,
                'pieces': {
                    'slots': 1,
                    'queue': 2,
                    'batch': 4,
                    'call-overhead-ms': 200.0,
                    'item-time-ms': 42.0,
                    'headroom-mb': 9.0,
                    'handle-s': 4.0,
                },
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [
            {'name': 'lab', 'api-keys': ['k1', 'k2'], 'priority': 1},
        ],
    }


@pytest.fixture
def entry():
    """Return the document of a target."""
    return {
        'service': 'llm',
        'address': '127.0.0.1:8080',
        'zone': 'north',
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'cold-left-ms': 0,
        'sequence': 4,
        'born': 1791653281198,
    }


@pytest.fixture
def writer():
    """Return the recorder of one request's answer."""
    return AnswerRecorder()


@pytest.fixture
def make_route():
    """Return a function that makes a route to the service ``desk``."""

    def make(kind, **changes):
        fields = {
            'name': 'r',
            'host': 'h.example',
            'prefix': '/a/',
            'kind': kind,
            'timeout': 2.0,
            'objective_seconds': 0.5,
            'priority': 1,
            'splits': (Split('desk', 1),),
            'attempts': 2,
            'stages': (),
            'anonymous': False,
            'resumable': False,
            'max_event_gap_seconds': 0.3,
            **changes,
        }
        return Route(**fields)

    return make


@pytest.fixture
def make_table():
    """Return a function that makes a route table with given routes."""

    def make(*routes):
        return RouteTable(
            1,
            {'h.example': routes},
            {'desk': Service('desk', 10, EngineLimits(4, 100_000))},
            {API_KEY: Workspace('lab', None)},
            True,
            InboundLimits(),
        )

    return make


@pytest.fixture
def make_caller_request(make_table):
    """Return a function that makes a checked request to a route."""

    def make(route, ident='a1', **headers):
        sent = {
            'Host': 'h.example',
            'X-Attempt-Id': ident,
            'Authorization': f'Bearer {API_KEY}',
            'X-Deadline-Ms': '1500',
            **headers,
        }
        head = RequestHead(
            b'POST',
            b'/a/x?y=%20',
            tuple((k.encode(), v.encode()) for k, v in sent.items()),
        )
        request = InboundRequest(head, b'body', time.monotonic(), True)
        return check_request(request, make_table(route), PlatformWire())

    return make


@pytest.fixture
def listed():
    """Return the members that the parts of a VM share."""
    return Members()


@pytest.fixture
def members(listed):
    """Return a function that lists targets at given addresses as members."""

    def make(*targets):
        listed.accept(
            MemberList(
                listed.member_list.revision + 1,
                (),
                tuple(
                    Target(f't{n}', f't{n}/1', 'z', 'desk', one.address)
                    for n, one in enumerate(targets)
                ),
            ),
        )
        return listed

    return make


@pytest.fixture
async def sender(turns, notices):
    """Return a sender; its connections are closed after the test."""
    pool = ConnectionPool()
    yield Sender(pool, turns, notices, PlatformWire())
    pool.close()


@pytest.fixture
def budgets():
    """Return retry budgets that allow some retries."""
    return RetryBudgets(0.2, 10, 10)


@pytest.fixture
def make_plain_runner(members, sender, budgets, containment):
    """Return a function that makes a plain runner for given targets."""

    def make(*targets):
        loads = LoadView()
        return PlainRunner(
            'z',
            members(*targets),
            sender,
            PlatformWire(),
            budgets,
            SlowLast(loads, LocalMetrics()),
            loads,
            containment,
        )

    return make


@pytest.fixture
def notices(listed):
    """Return the notices of a VM, whose mesh records what is spread."""
    mesh = Mock(spec=Mesh, node='a', zone='z')
    return TargetNotices(PlatformWire(), listed, mesh, LocalMetrics())


@pytest.fixture
def turns():
    """Return the turns of a VM that owns all services."""
    mesh = Mock(spec=Mesh, node='a', zone='z')
    owner_router = LocalOwnerRouter()
    return Turns(Members(), mesh, owner_router, LocalMetrics(), TaskGroup())


@pytest.fixture
async def containment(sender):
    """Return the containment of a VM without peers and without a store."""
    tasks = TaskGroup()
    mesh = Mock(spec=Mesh, node='a', zone='z')
    store = AsyncMock(spec=PlatformStore)
    yield Containment(
        store,
        mesh,
        tasks,
        LocalMetrics(),
        sender._pool.is_listening,
        Fingerprints('secret'),
    )
    await tasks.stop()


@pytest.fixture
def versions():
    """Return records of versions of which none is known."""
    return AsyncMock(
        spec=VersionRecords, **{'find_only_version.return_value': None}
    )


@pytest.fixture
def continuations(versions):
    """Return a function that makes the continuation policy of a single VM."""
    no_links = {'links.return_value': (), 'cross_zone_links.return_value': ()}

    def make(listed):
        mesh = Mock(spec=Mesh, node='a', zone='z', **no_links)
        origins = StreamOrigins(mesh, lambda: True)
        return ContinuationPolicy(listed, origins, versions, LocalMetrics())

    return make


@pytest.fixture
def run_stream(
    continuations,
    members,
    sender,
    budgets,
    make_caller_request,
    make_table,
    writer,
    containment,
):
    """Return a function that runs a stream on given targets.

    After a run, no request may wait for or hold a placement.
    """

    async def run(route, *targets, **headers):
        listed = members(*targets)
        scheduler = PlacementScheduler(
            'desk', lambda _: EngineLimits(4, 9999), listed, sender.turns.pacer
        )
        wire = PlatformWire()
        stages = StageRunner('z', listed, wire, LocalOwnerRouter(), None)
        runner = StreamRunner(
            sender,
            wire,
            budgets,
            LocalOwnerRouter(),
            stages,
            lambda _: scheduler,
            containment,
            continuations(listed),
        )
        try:
            await runner.run(
                make_caller_request(route, **headers),
                make_table(route),
                writer,
            )
        finally:
            assert not scheduler.dump()['waiting']
            engines = scheduler.dump()['engines'].values()
            assert not any(engine['running'] for engine in engines)

    return run
