"""Streams while targets of several software versions serve."""

import pytest

from galenaswitch.gateway.messages import PlaceReply
from galenaswitch.gateway.origin_messages import StreamOrigin
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.routes import CallKind, EngineLimits
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.gateway.streams import StreamRunner
from galenaswitch.gateway.tests.fakes import LocalOwnerRouter
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.platform.headers import PlatformWire
from galenaswitch.platform.tests.fakes import AnswerRecorder
from galenaswitch.platform.tests.test_streams import event, stream
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

BROKEN = stream([event(1)], end=b'')
REST = stream([event(2), event(3)])


class StaleOwnerRouter(LocalOwnerRouter):
    """Owner router whose owner places all requests on the first target.

    :ivar on_query: called before the owner replies.
    """

    def __init__(self):
        """Build a router whose owner knows no versions."""
        self.on_query = lambda: None

    async def query(self, service, message, seconds, decide, *others):
        """Answer a placement query with the first target."""
        self.on_query()
        return 'owner', PlaceReply('t0')

    def notify(self, owner, message, deliver):
        """Drop a message to the owner."""


@pytest.fixture
def make_stream_runner(sender, budgets, containment, continuations):
    """Return a function that makes the stream runner of a VM.

    It takes pairs of a target and the version of its software, prefers the
    first, and lists others with ``list_targets``.
    """

    def make(*targets, router=None):
        listed = Members()

        def list_targets(*found):
            numbers = range(len(found))
            listed.accept(
                MemberList(
                    listed.member_list.revision + 1,
                    (),
                    tuple(
                        Target(
                            f't{number}',
                            f't{number}/1',
                            'z',
                            'desk',
                            found[number][0].address,
                            version=found[number][1],
                        )
                        for number in numbers
                    ),
                ),
            )

        list_targets(*targets)
        scheduler = PlacementScheduler(
            'desk', lambda _: EngineLimits(4, 9999), listed, sender.turns.pacer
        )
        policy = continuations(listed)
        wire = PlatformWire()
        router = router or LocalOwnerRouter()
        runner = StreamRunner(
            sender,
            wire,
            budgets,
            router,
            StageRunner('z', listed, wire, router, None),
            lambda _: scheduler,
            containment,
            policy,
        )
        runner.list_targets = list_targets
        runner.record_origin = policy._origins.record
        return runner

    return make


@pytest.fixture
def send(make_stream_runner, make_caller_request, make_route, make_table):
    """Return a function that sends a caller's attempt to a VM.

    :returns: the recorded answer, and the refusal if there was one.
    """

    async def run(vm, ident='a1', **headers):
        route = make_route(CallKind.stream, resumable=True)
        writer = AnswerRecorder()
        request = make_caller_request(route, ident, **headers)
        try:
            await vm.run(request, make_table(route), writer)
        except RefusedError as error:
            return writer, error
        return writer, None

    return run


# Guards against an answer that is joined from two versions.
async def test_answer_does_not_go_on_at_another_version(
    send, make_stream_runner, scripted
):
    first, second = await scripted([BROKEN]), await scripted([REST])
    vm = make_stream_runner((first, 'v1'), (second, 'v2'))
    writer, refusal = await send(vm)
    assert refusal
    assert writer.body == event(1)
    assert not writer.finished
    assert not second.requests


# Guards against a stream that is given up although its version serves.
async def test_answer_goes_on_at_another_target_of_its_version(
    send, make_stream_runner, scripted
):
    first, other = await scripted([BROKEN]), await scripted([REST])
    same = await scripted([REST])
    vm = make_stream_runner((first, 'v1'), (other, 'v2'), (same, 'v1'))
    writer, refusal = await send(vm)
    assert refusal is None
    assert writer.body == event(1) + event(2) + event(3)
    assert not other.requests


# Guards against a take-up that joins the rest of another version.
async def test_take_up_does_not_go_on_at_another_version(
    send, make_stream_runner, scripted
):
    first = await scripted([BROKEN])
    vm = make_stream_runner((first, 'v1'))
    await send(vm)
    second = await scripted([REST.replace(b'a1', b'a2')])
    vm.list_targets((second, 'v2'))
    writer, refusal = await send(
        vm, 'a2', **{'Last-Event-Id': '1', 'Resumes': 'a1'}
    )
    assert refusal.run is ExecutionState.not_run
    assert refusal.response.status == 503
    assert not writer.started
    assert not second.requests


# Guards against a take-up that is guessed to go on at the version that serves.
@pytest.mark.parametrize(
    'headers',
    [
        {'Last-Event-Id': '1'},
        {'Last-Event-Id': '1', 'Resumes': ''},
        {'Last-Event-Id': '1', 'Resumes': 'a2'},
        {'Last-Event-Id': '1', 'Resumes': 'unknown'},
    ],
)
async def test_take_up_of_an_unknown_stream_is_refused(
    send, make_stream_runner, scripted, headers
):
    target = await scripted([REST.replace(b'a1', b'a2')])
    vm = make_stream_runner((target, 'v1'))
    _, refusal = await send(vm, 'a2', **headers)
    assert refusal.run is ExecutionState.not_run
    assert refusal.response.status == 503
    assert not target.requests


# Guards against a caller that reaches the stream of another workspace, or one
# of a service to which its route doesn't lead.
@pytest.mark.parametrize(
    ('workspace', 'service'), [('other', 'desk'), ('lab', 'elsewhere')]
)
async def test_take_up_of_a_stream_that_is_not_the_callers_is_refused(
    send, make_stream_runner, scripted, workspace, service
):
    target = await scripted([REST.replace(b'a1', b'a2')])
    vm = make_stream_runner((target, 'v1'))
    vm.record_origin(StreamOrigin('a1', workspace, service, 'v1'))
    _, refusal = await send(vm, 'a2', **{'Last-Event-Id': '1', 'Resumes': 'a1'})
    assert refusal.reason is Reason.origin_unknown
    assert not target.requests


# Guards against a take-up that is refused although its version is certain.
@pytest.mark.parametrize('headers', [{}, {'Resumes': 'unknown'}])
async def test_unknown_stream_goes_on_at_the_only_version(
    send, make_stream_runner, scripted, versions, headers
):
    versions.find_only_version.return_value = 'v1'
    other = await scripted([REST.replace(b'a1', b'a2')])
    same = await scripted([REST.replace(b'a1', b'a2')])
    vm = make_stream_runner((other, 'v2'), (same, 'v1'))
    writer, refusal = await send(vm, 'a2', **{'Last-Event-Id': '1', **headers})
    assert refusal is None
    assert writer.body == event(2) + event(3)
    assert not other.requests
    versions.find_only_version.assert_awaited_once_with('desk')


# Guards against an unknown stream that goes on at the version that came since.
async def test_unknown_stream_is_refused_when_its_only_version_has_left(
    send, make_stream_runner, scripted, versions
):
    versions.find_only_version.return_value = 'v1'
    target = await scripted([REST.replace(b'a1', b'a2')])
    vm = make_stream_runner((target, 'v2'))
    _, refusal = await send(
        vm, 'a2', **{'Last-Event-Id': '1', 'Resumes': 'unknown'}
    )
    assert refusal.run is ExecutionState.not_run
    assert refusal.response.status == 503
    assert not target.requests


# Guards against an origin without an id that answers for all others.
async def test_take_up_without_an_id_leaves_no_origin(
    send, make_stream_runner, scripted, versions
):
    versions.find_only_version.return_value = 'v1'
    target = await scripted([REST.replace(b'a1', b'a2')])
    vm = make_stream_runner((target, 'v1'))
    await send(vm, 'a2', **{'Last-Event-Id': '1'})
    versions.find_only_version.return_value = None
    _, refusal = await send(vm, 'a3', **{'Last-Event-Id': '1'})
    assert refusal.run is ExecutionState.not_run


# Guards against a take-up that an owner with an old list of the targets places
# on one of another version.
async def test_take_up_is_not_sent_to_a_target_of_a_version_the_owner_missed(
    send, make_stream_runner, scripted
):
    target = await scripted([REST.replace(b'a1', b'a2')])
    same = await scripted([])
    vm = make_stream_runner(
        (target, 'v2'), (same, 'v1'), router=StaleOwnerRouter()
    )
    vm.record_origin(StreamOrigin('a1', 'lab', 'desk', 'v1'))
    _, refusal = await send(vm, 'a2', **{'Last-Event-Id': '1', 'Resumes': 'a1'})
    assert refusal.run is ExecutionState.not_run
    assert not target.requests


# Guards against a target that is taken for the one that it was when its owner
# was asked, though it has started again under its id as another version.
async def test_take_up_is_not_sent_to_a_target_that_changes_its_version(
    send, make_stream_runner, scripted
):
    target = await scripted([REST.replace(b'a1', b'a2')])
    same = await scripted([])
    router = StaleOwnerRouter()
    vm = make_stream_runner((target, 'v1'), (same, 'v1'), router=router)
    vm.record_origin(StreamOrigin('a1', 'lab', 'desk', 'v1'))
    router.on_query = lambda: vm.list_targets((target, 'v2'), (same, 'v1'))
    _, refusal = await send(vm, 'a2', **{'Last-Event-Id': '1', 'Resumes': 'a1'})
    assert refusal.run is ExecutionState.not_run
    assert not target.requests


# Guards against a stream that is noted as begun at the version that its target
# had when its owner was asked.
async def test_stream_is_noted_at_the_version_of_its_send(
    send, make_stream_runner, scripted
):
    target = await scripted([BROKEN, REST.replace(b'a1', b'a2')])
    router = StaleOwnerRouter()
    vm = make_stream_runner((target, 'v1'), router=router)
    router.on_query = lambda: vm.list_targets((target, 'v2'))
    await send(vm)
    writer, refusal = await send(
        vm, 'a2', **{'Last-Event-Id': '1', 'Resumes': 'a1'}
    )
    assert refusal is None
    assert writer.body == event(2) + event(3)


# Guards against a stream that no VM remembers and that is joined, or lost, when
# it is taken up again after a version has joined.
async def test_second_take_up_goes_on_where_the_first_one_did(
    send, make_stream_runner, scripted, versions
):
    versions.find_only_version.return_value = 'v1'
    first = await scripted([stream([event(2)], end=b'').replace(b'a1', b'a2')])
    vm = make_stream_runner((first, 'v1'))
    await send(vm, 'a2', **{'Last-Event-Id': '1', 'Resumes': 'a1'})
    versions.find_only_version.return_value = None
    other = await scripted([stream([event(3)]).replace(b'a1', b'a3')])
    same = await scripted([stream([event(3)]).replace(b'a1', b'a3')])
    vm.list_targets((other, 'v2'), (same, 'v1'))
    writer, refusal = await send(
        vm, 'a3', **{'Last-Event-Id': '2', 'Resumes': 'a1'}
    )
    assert refusal is None
    assert writer.body == event(3)
    assert not other.requests
