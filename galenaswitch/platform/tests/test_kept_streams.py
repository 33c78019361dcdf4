"""Streams of silent engines beside a change, and what is recorded of them."""

import asyncio
import copy
import time

import pytest
from structlog.testing import capture_logs

from galenaswitch.configuration.catalog import Item
from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.requests import InboundRequest
from galenaswitch.gateway.handling import Gateway
from galenaswitch.gateway.messages import (
    PlaceEnd,
    PlaceFirst,
    PlaceQuestion,
    PlaceReply,
)
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.routes import CallKind, EngineLimits
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.gateway.state_sync import (
    CONFIGURATION_ITEM_KIND,
    ActiveRouteTable,
)
from galenaswitch.gateway.streams import StreamRunner
from galenaswitch.gateway.tests.fakes import LocalOwnerRouter
from galenaswitch.limits.pacing import Pacer
from galenaswitch.membership.frames import Frame, Vocabulary
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.metrics import open_metrics
from galenaswitch.platform.documents import PlatformDocuments
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.platform.tests.engines import (
    BEGUN,
    FOREVER,
    REST,
    WHOLE,
    pause,
    serve_by_name,
)
from galenaswitch.platform.tests.fakes import AnswerRecorder

SILENCES = (0.8, 1.1, 1.5, 2.5)
POSITIONS = ('head', 'middle', 'event', 'end')
# Seconds after which a change comes into force while engines are silent.
CHANGE_SECONDS = 0.4


def drop_route(document):
    """Leave the route out."""
    document['routes'].pop(0)


def drop_service(document):
    """Leave the route and its service out."""
    drop_route(document)
    document['services'].pop(0)


def change_route(**fields):
    """Return a function that changes fields of the route."""

    def change(document):
        document['routes'][0].update(fields)

    return change


@pytest.fixture
def streaming(configuration):
    """Return a configuration whose first route has no stages."""
    configuration['routes'][0].update({'stages': [], 'timeout-ms': 9000})
    configuration['routes'].pop(1)
    return configuration


@pytest.fixture
async def open_gateway(sender, budgets, containment, continuations, scripted):
    """Return a function that makes a gateway with two engines."""

    async def start(route_table):
        listed = Members()
        targets = [await scripted([b'']) for _ in range(2)]
        for target in targets:
            target._script = lambda reader, writer, one=target: serve_by_name(
                one, reader, writer
            )
        listed.accept(
            MemberList(
                1,
                (),
                tuple(
                    Target(f't{n}', f't{n}/1', 'z', 'llm', one.address)
                    for n, one in enumerate(targets)
                ),
            )
        )
        scheduler = PlacementScheduler(
            'llm',
            lambda name: route_table.with_former_services.find_engine_limits(
                name
            ),
            listed,
            sender.turns.pacer,
        )
        wire = PlatformWire()
        router = LocalOwnerRouter()
        streams = StreamRunner(
            sender,
            wire,
            budgets,
            router,
            StageRunner('z', listed, wire, router, None),
            lambda _: scheduler,
            containment,
            continuations(listed),
        )
        return Gateway(
            lambda: route_table.current,
            wire,
            None,
            streams,
            open_metrics(),
            sender.draining,
        )

    return start


def make_request(ident):
    """Return a caller's request for a stream."""
    sent = {
        'Host': 'a.example',
        'X-Attempt-Id': ident,
        'Authorization': 'Bearer k1',
        'X-Deadline-Ms': '8000',
    }
    head = RequestHead(
        b'POST',
        b'/x/y',
        tuple((key.encode(), one.encode()) for key, one in sent.items()),
    )
    return InboundRequest(head, b'', time.monotonic(), True)


# Guards against answers that end early beside a change of the configuration.
@pytest.mark.parametrize(
    'route',
    [
        {'stream-resume': False},
        {'max-attempts': 1},
        {'max-attempts': 2},
    ],
)
@pytest.mark.parametrize(
    'change',
    [
        drop_route,
        drop_service,
        change_route(**{'timeout-ms': 500}),
        change_route(**{'max-attempts': 1, 'stream-resume': False}),
        change_route(service='scan'),
    ],
)
async def test_change_of_the_configuration_ends_no_silent_stream(
    open_gateway, streaming, route, change
):
    route_table = ActiveRouteTable(PlatformDocuments())
    streaming['routes'][0].update(route)
    changed = copy.deepcopy(streaming)
    changed['version'] += 1
    change(changed)

    def bring_into_force(document):
        route_table.apply(
            Item(CONFIGURATION_ITEM_KIND, 'main', document['version'], document)
        )
        assert route_table.current.version == document['version']

    bring_into_force(streaming)
    gateway = await open_gateway(route_table)
    idents = [f'{one}-{other}' for one in SILENCES for other in POSITIONS]
    writers = {ident: AnswerRecorder() for ident in idents}
    asyncio.get_running_loop().call_later(
        CHANGE_SECONDS, bring_into_force, changed
    )
    await asyncio.gather(
        *(
            gateway.handle(make_request(ident), writer)
            for ident, writer in writers.items()
        )
    )
    ended = {ident for ident, writer in writers.items() if not writer.finished}
    assert not ended
    assert {writer.body for writer in writers.values()} == {WHOLE}


@pytest.fixture
def generate(run_stream, make_route):
    """Return a function that runs a resumable stream and returns its log."""

    async def run(engines):
        route = make_route(CallKind.stream, resumable=True, timeout=9.0)
        with capture_logs() as logs:
            await run_stream(
                route, *engines.targets, **{'X-Deadline-Ms': '6000'}
            )
        return logs

    return run


@pytest.fixture
def ends(monkeypatch):
    """Return the list of the ends that owners of services are told of."""
    told = []
    record_end = PlacementScheduler.record_end

    def record(scheduler, message):
        told.append(message)
        record_end(scheduler, message)

    monkeypatch.setattr(PlacementScheduler, 'record_end', record)
    return told


def find_events(logs, name):
    """Return the events of a name in a log."""
    return [one for one in logs if one['event'] == name]


# Guards against a sound engine that is left out for its pause.
async def test_engine_that_went_on_counts_as_sound(
    start_engines, generate, ends
):
    engines = await start_engines(pause(1.35), [FOREVER])
    logs = await generate(engines)
    successor, first = ends
    assert (successor.ident, successor.target) == ('a1#2', '')
    assert (first.ident, first.failed) == ('a1', False)
    assert first.target
    (silent,) = find_events(logs, 'attempt_silent')
    assert (silent['target'], silent['last_event']) == (first.target, '1')
    assert silent['seconds'] == pytest.approx(1.2, abs=0.1)
    (outcome,) = find_events(logs, 'silence_ended')
    assert outcome['outcome'] == 'went-on'
    assert outcome['seconds'] == pytest.approx(1.35, abs=0.1)


# Guards against a dead engine that gets requests again and again.
async def test_silence_that_ends_in_a_hand_over_counts_as_a_failure(
    start_engines, generate, ends
):
    engines = await start_engines([BEGUN, FOREVER], [REST])
    logs = await generate(engines)
    first, successor = ends
    assert first == PlaceEnd('desk', 'a1', first.target, True, True)
    assert (successor.ident, successor.failed) == ('a1#2', False)
    assert successor.target not in {'', first.target}
    (outcome,) = find_events(logs, 'silence_ended')
    assert outcome['outcome'] == 'handed-over'
    assert outcome['successor'] == successor.target
    placed = find_events(logs, 'place_given')
    assert [one['request'] for one in placed] == ['a1', 'a1']
    assert [one['placement'] for one in placed] == ['a1', 'a1#2']


# Guards against a log that doesn't say why a stream wasn't handed over.
async def test_reason_for_which_an_attempt_is_kept_is_logged_once(
    start_engines, generate
):
    engines = await start_engines(pause(2.5), count=1)
    logs = await generate(engines)
    (kept,) = find_events(logs, 'attempt_kept')
    assert kept['reason'] == 'no other engine'


@pytest.fixture
def scheduler():
    """Return the scheduler of two engines with one slot each."""
    members = Members()
    engines = tuple(
        Target(name, f'{name}/1', 'z', 'desk', '127.0.0.1:1')
        for name in ('e1', 'e2')
    )
    members.accept(MemberList(1, (), engines))
    limits = EngineLimits(slots=1, kv_cache_tokens=100_000)
    return PlacementScheduler('desk', lambda _: limits, members, Pacer())


def make_query(ident, avoided=()):
    """Return the query for a placement of the request ``a1``."""
    return PlaceQuestion(
        'desk', ident, (), 9, 9, 'z', {}, avoided, 1, 1.0, 3.0, request='a1'
    )


# Guards against a placement that takes the place of another one.
async def test_request_holds_two_placements_at_one_time(scheduler):
    first = await scheduler.place(make_query('a1'))
    second = await scheduler.place(make_query('a1#2', (first.target,)))
    assert {first.target, second.target} == {'e1', 'e2'}
    scheduler.record_end(PlaceEnd('desk', 'a1#2', '', False))
    engines = scheduler.dump()['engines']
    running = {name: one['running'] for name, one in engines.items()}
    assert running == {f'{first.target}/1': 1, f'{second.target}/1': 0}


# Guards against a slot that is held for a successor nobody needs.
async def test_wait_for_a_placement_ends_with_its_end(scheduler):
    for ident in ('x', 'y'):
        await scheduler.place(make_query(ident))
    waiting = asyncio.create_task(scheduler.place(make_query('a1#2')))
    await asyncio.sleep(0.01)
    scheduler.record_end(PlaceEnd('desk', 'a1#2', '', False))
    assert (await asyncio.wait_for(waiting, 0.1)).target == ''
    assert scheduler.dump()['waiting'] == 0


# Guards against a long pause of an engine whose streams were silent at once.
def test_silences_at_one_time_eject_an_engine_once(scheduler):
    for _ in range(50):
        scheduler.record_end(PlaceEnd('desk', 'a1', 'e1', True, True))
    assert scheduler.dump()['ejected'] == {'e1': 1}
    scheduler.record_end(PlaceEnd('desk', 'a2', '', False))
    assert scheduler.dump()['ejected'] == {'e1': 1}
    scheduler.record_end(PlaceEnd('desk', 'a3', 'e1', False))
    assert not scheduler.dump()['ejected']


class SlowOwnerRouter(LocalOwnerRouter):
    """Owner router of another VM that places all but the first late.

    :ivar told: messages to that VM.
    """

    def __init__(self):
        """Build a router without messages."""
        self.told = []
        self._queries = 0

    async def query(self, service, message, seconds, decide, on_unanswered):
        """Answer the first placement query, and no other."""
        self._queries += 1
        if self._queries > 1:
            try:
                await asyncio.sleep(FOREVER)
            finally:
                on_unanswered('owner')
        return 'owner', PlaceReply('t0')

    def notify(self, owner, message, deliver):
        """Record a message to the owner."""
        self.told.append(message)


# Guards against an owner that holds a placement nobody asks for any more.
async def test_query_that_is_given_up_is_withdrawn(
    start_engines, generate, monkeypatch
):
    router = SlowOwnerRouter()
    monkeypatch.setattr(
        'galenaswitch.platform.tests.conftest.LocalOwnerRouter', lambda: router
    )
    engines = await start_engines(pause(1.5))
    await generate(engines)
    assert router.told == [
        PlaceFirst('desk', 'a1'),
        PlaceEnd('desk', 'a1#2', '', False),
        PlaceEnd('desk', 'a1', 't0', False),
    ]


# Guards against messages that VMs of another release can't read.
@pytest.mark.parametrize(
    ('message', 'former_count'),
    [
        (make_query('a1#2'), 14),
        (PlaceEnd('desk', 'a1', 'e1', True, True), 4),
        (PlaceFirst('desk', 'a1'), 2),
    ],
)
def test_placements_are_read_by_both_releases(message, former_count):
    kind = type(message)
    former = [list(one) if one == () else one for one in message][:former_count]
    frame = Frame(1, 0, kind.__name__, former)
    read = Vocabulary(kind).decode(frame)
    assert read[:former_count] == message[:former_count]
    assert len(kind._fields) >= former_count
    assert all(
        name in kind._field_defaults for name in kind._fields[former_count:]
    )
