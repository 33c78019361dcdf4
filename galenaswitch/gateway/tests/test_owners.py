"""Which machine decides for a service."""

import time

import pytest

from galenaswitch.errors import PeerClosedError
from galenaswitch.gateway.owners import WARM_UP_SECONDS, OwnerRouter
from galenaswitch.membership.lists import Machine, MemberList, Members
from galenaswitch.membership.mesh import Leaving, Pong

NAMES = ('a', 'b', 'c')


class Peer:
    """Stream to a machine that a test has made up."""

    def __init__(self, node, uptime=60.0, incarnation='1', leaving=False):
        """Stand for ``node``."""
        self.leaving = leaving
        self.peer = type(
            'Identity',
            (),
            {'node': node, 'incarnation': incarnation},
        )()
        self.uptime = uptime
        self.sent = []

    async def request(self, message, seconds):
        """Answer every question as a ping."""
        return Pong(self.uptime, self.leaving)

    def send(self, message):
        """Keep a message."""
        self.sent.append(message)


class Mesh:
    """Streams that a test has made up."""

    def __init__(self):
        """Stand on machine ``a`` without streams."""
        self.node = 'a'
        self.links = {}

    def find(self, node):
        """Return the stream to a machine."""
        return self.links.get(node)

    async def reach(self, node, seconds):
        """Return the stream to a machine, or fail."""
        if node not in self.links:
            raise PeerClosedError('no stream')
        return self.links[node]

    def broadcast(self, message):
        """Push a message on all streams."""
        for link in self.links.values():
            link.send(message)


@pytest.fixture
def mesh():
    """Machine ``a`` among three, without streams."""
    return Mesh()


@pytest.fixture
def owner_router(mesh):
    """Owner router of machine ``a``, which has run for a while."""
    members = Members()
    machines = tuple(Machine(name, 'z', '127.0.0.1', 1) for name in NAMES)
    members.accept(MemberList(1, machines, ()))
    made = OwnerRouter(members, mesh)
    made._started_at['a'] = time.monotonic() - 60
    return made


@pytest.fixture
def foreign(owner_router):
    """A service that another machine decides for."""
    return next(
        service
        for service in map(str, range(100))
        if owner_router.find_owner(service) != 'a'
    )


async def decide(question):
    """Decide on this machine."""
    return f'own {question}'


@pytest.fixture
def uneven(mesh):
    """Owner router of machine ``a`` where only ``c`` is large."""
    members = Members()
    cores = {'a': 0.5, 'b': 0.5, 'c': 2.0}
    machines = tuple(
        Machine(name, 'z', '127.0.0.1', 1, cores=cores[name]) for name in NAMES
    )
    members.accept(MemberList(1, machines, ()))
    made = OwnerRouter(members, mesh)
    made._started_at['a'] = time.monotonic() - 60
    return made


def test_services_are_spread_over_machines(owner_router):
    owners = {owner_router.find_owner(str(number)) for number in range(50)}
    assert owners == set(NAMES)


def test_large_machines_decide(uneven):
    owners = {uneven.find_owner(str(number)) for number in range(20)}
    assert owners == {'c'}


async def test_small_machines_decide_when_the_large_leave(uneven):
    await uneven.receive_leaving(Peer('c'), Leaving())
    owners = {uneven.find_owner(str(number)) for number in range(20)}
    assert owners == {'a', 'b'}


async def test_new_list_of_machines_is_ranked_anew(uneven):
    assert uneven.find_owner('s') == 'c'
    machines = (Machine('a', 'z', '127.0.0.1', 1),)
    uneven._members.accept(MemberList(2, machines, ()))
    assert uneven.find_owner('s') == 'a'


async def test_machine_that_cannot_be_reached_is_replaced(
    owner_router, foreign
):
    owner, reply = await owner_router.query(foreign, 'q', 1, decide)
    assert (owner, reply) == ('a', 'own q')


async def test_machine_that_leaves_is_asked_no_more(
    owner_router, mesh, foreign
):
    owner = owner_router.find_owner(foreign)
    await owner_router.receive_leaving(Peer(owner), Leaving())
    assert owner_router.find_owner(foreign) != owner
    await owner_router.on_link_open(Peer(owner, incarnation='2'))
    assert owner_router.find_owner(foreign) == owner


async def test_machine_that_starts_learns_who_is_leaving(owner_router, foreign):
    owner = owner_router.find_owner(foreign)
    await owner_router.on_link_open(Peer(owner, leaving=True))
    assert owner_router.find_owner(foreign) != owner


async def test_machine_that_stops_says_so_when_asked(owner_router):
    assert not (await owner_router.answer_ping(None, None)).leaving
    owner_router.leave()
    assert (await owner_router.answer_ping(None, None)).leaving


async def test_machine_that_has_just_started_is_asked_later(
    owner_router, foreign
):
    owner = owner_router.find_owner(foreign)
    await owner_router.on_link_open(Peer(owner, uptime=WARM_UP_SECONDS / 2))
    assert owner_router.find_owner(foreign) != owner
    await owner_router.on_link_open(Peer(owner, uptime=WARM_UP_SECONDS * 2))
    assert owner_router.find_owner(foreign) == owner


async def test_machine_without_a_stream_stays_suspected(
    owner_router,
    mesh,
    foreign,
    monkeypatch,
):
    monkeypatch.setattr('galenaswitch.gateway.owners.SUSPECT_SECONDS', 0)
    owner = owner_router.find_owner(foreign)
    await owner_router.query(foreign, 'q', 1, decide)
    assert owner_router.find_owner(foreign) != owner
    mesh.links[owner] = Peer(owner)
    assert owner_router.find_owner(foreign) == owner


async def test_machines_that_started_together_agree_at_once(owner_router):
    before = [owner_router.find_owner(str(number)) for number in range(20)]
    owner_router._started_at = {'a': time.monotonic() - 1}
    # Nothing is known of c yet; a and b are equally young.
    await owner_router.on_link_open(Peer('b', uptime=1.2))
    after = [owner_router.find_owner(str(number)) for number in range(20)]
    assert after == before


async def test_machine_whose_stream_opens_again_is_asked_at_once(
    owner_router,
    foreign,
):
    owner = owner_router.find_owner(foreign)
    await owner_router.query(foreign, 'q', 1, decide)
    assert owner_router.find_owner(foreign) != owner
    await owner_router.on_link_open(Peer(owner))
    assert owner_router.find_owner(foreign) == owner


def test_machine_that_stops_tells_all_and_asks_others(owner_router, mesh):
    mesh.links = {'b': Peer('b')}
    owner_router.leave()
    assert mesh.links['b'].sent == [Leaving()]
    assert all(
        owner_router.find_owner(str(number)) != 'a' for number in range(20)
    )


def test_message_for_a_lost_machine_is_taken_here(owner_router):
    taken = []
    owner_router.notify('b', 'note', taken.append)
    assert taken == ['note']
