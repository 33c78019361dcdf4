"""Seats at brittle targets: notes, the owner's replies and collections."""

import asyncio
import time
from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.errors import PeerClosedError
from galenaswitch.gateway.seat_messages import (
    BrittleNote,
    BrittleQuery,
    BrittleReply,
    SeatEnd,
    SeatQuery,
    SeatsQuery,
    SeatsReply,
)
from galenaswitch.gateway.seats import Seats
from galenaswitch.gateway.tests.fakes import LocalOwnerRouter
from galenaswitch.limits.seats import HeldSeat
from galenaswitch.membership.lists import (
    Machine,
    MemberList,
    Members,
    Target,
)
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.operations.process import TaskGroup

ONE = Target('one', 'one/1', 'z', 'desk', 'a:1', capacity=2)
TWO = Target('two', 'two/1', 'z', 'desk', 'a:2', capacity=2)
PEER = Machine('b', 'z', '127.0.0.1', 1)


@pytest.fixture
def peer():
    """Return the link to the VM ``b``, which has one request in flight."""
    link = Mock(peer=Mock(node='b', zone='z'))
    reply = SeatsReply((HeldSeat('one/1', 'far'),))
    link.request = AsyncMock(return_value=reply)
    return link


@pytest.fixture
def mesh(peer):
    """Return a mesh with a link to the VM ``b``."""
    return Mock(node='me', zone='z', connect=AsyncMock(return_value=peer))


@pytest.fixture
async def seats(mesh):
    """Return the seats of the VM that owns all services."""
    members = Members()
    members.accept(MemberList(1, (PEER,), (ONE, TWO)))
    tasks = TaskGroup()
    yield Seats(members, mesh, LocalOwnerRouter(), LocalMetrics(), tasks)
    await tasks.stop()


async def find(seats, targets=(ONE, TWO), max_wait=0.2):
    """Return the name of the target with a seat, ``None`` for none."""
    found = await seats.find_seat(targets, max_wait, 5)
    return found and found[0].name


# Guards against an owner that forgets what other VMs have in flight.
async def test_new_owner_counts_what_other_vms_have_in_flight(seats):
    seats.brittleness.observe(ONE, 3, refused=False)
    found = [await find(seats) for _ in range(4)]
    assert sorted(filter(None, found)) == ['one', 'two', 'two']


async def test_seat_of_a_request_that_ended_is_given_again(seats):
    seats.brittleness.observe(ONE, 3, refused=False)
    target, ident = await seats.find_seat((ONE,), 0.2, 5)
    waiting = asyncio.create_task(find(seats, (ONE,), 2))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    with seats.hold(target, ident):
        await asyncio.sleep(0)
    assert await waiting == 'one'


async def test_seat_that_another_vm_frees_is_given_again(seats):
    seats.brittleness.observe(ONE, 3, refused=False)
    await find(seats, (ONE,))
    waiting = asyncio.create_task(find(seats, (ONE,), 2))
    await asyncio.sleep(0.05)
    await seats.handlers()[SeatEnd](Mock(), SeatEnd('desk', 'far'))
    assert await waiting == 'one'


# Guards against seats of requests whose callers left while they waited.
async def test_cancelled_query_holds_no_seat(seats):
    seats.brittleness.observe(ONE, 3, refused=False)
    target, ident = await seats.find_seat((ONE,), 0.2, 5)
    waiting = asyncio.create_task(find(seats, (ONE,), 2))
    await asyncio.sleep(0.05)
    waiting.cancel()
    seats.release('desk', ident)
    assert await find(seats, (ONE,)) == 'one'


async def test_target_that_refused_gets_nothing_for_a_second(seats, mesh):
    seats.brittleness.observe(ONE, 3, refused=True)
    assert await find(seats, (ONE,)) is None
    note = mesh.spread.call_args.args[0]
    assert note == BrittleNote('desk', 3, 'one/1')


async def test_refusal_that_another_vm_saw_counts_here(seats):
    note = BrittleNote('desk', 3, 'one/1')
    await seats.handlers()[BrittleNote](Mock(peer=Mock(zone='z')), note)
    assert await find(seats, (ONE,)) is None


async def test_end_of_the_notice_is_told_to_all(seats, mesh):
    seats.brittleness.observe(ONE, 3, refused=False)
    link = Mock(peer=Mock(zone='z'))
    await seats.handlers()[BrittleNote](link, BrittleNote('desk', -1))
    assert not seats.is_brittle('desk')
    assert mesh.spread.call_args.args[0] == BrittleNote('desk', -1)


# Guards against VMs that are cut off from each other and each fill all seats.
async def test_vm_that_reaches_half_of_the_vms_gives_half_of_the_seats(
    seats, mesh
):
    mesh.connect = AsyncMock(side_effect=PeerClosedError('b'))
    seats.brittleness.observe(ONE, 3, refused=False)
    found = [await find(seats) for _ in range(4)]
    assert sorted(filter(None, found)) == ['one', 'two']


async def test_vm_that_starts_late_learns_the_brittle_services(seats, peer):
    peer.request.return_value = BrittleReply((BrittleNote('desk', 3),))
    await seats.brittleness.on_link_open(peer)
    assert seats.is_brittle('desk')
    reply = await seats.handlers()[BrittleQuery](peer, BrittleQuery())
    assert reply.notes == (BrittleNote('desk', 3),)


async def test_vm_tells_the_owner_what_it_has_in_flight(seats):
    with seats.hold(ONE, 'mine'):
        reply = await seats.handlers()[SeatsQuery](Mock(), SeatsQuery('desk'))
        assert reply.held == (HeldSeat('one/1', 'mine'),)


# Guards against callers that wait for an answer that can't come in time.
async def test_query_is_refused_at_once_when_many_wait(seats):
    seats.brittleness.observe(ONE, 3, refused=False)
    assert [await find(seats) for _ in range(4)][3] is None
    answer = seats.handlers()[SeatQuery]
    queries = [
        SeatQuery('desk', f'q{n}', 'c', 'one/1', ('two/1',), 2, 5, ())
        for n in range(5)
    ]
    waiting = [
        asyncio.create_task(answer(Mock(), query)) for query in queries[:4]
    ]
    await asyncio.sleep(0.05)
    asked_at = time.monotonic()
    assert (await answer(Mock(), queries[4])).incarnation == ''
    assert time.monotonic() - asked_at < 0.05
    for task in waiting:
        task.cancel()
