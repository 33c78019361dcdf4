"""Which machine decides for a service."""

import time

import pytest

from galenaswitch.errors import PeerClosedError
from galenaswitch.gateway.duties import SETTLE_SECONDS, Duties
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

    def find_link(self, node):
        """Return the stream to a machine."""
        return self.links.get(node)

    async def connect(self, node, seconds):
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
def duties(mesh):
    """Duties of machine ``a``, which has run for a while."""
    members = Members()
    machines = tuple(Machine(name, 'z', '127.0.0.1', 1) for name in NAMES)
    members.accept(MemberList(1, machines, ()))
    made = Duties(members, mesh)
    made._started['a'] = time.monotonic() - 60
    return made


@pytest.fixture
def foreign(duties):
    """A service that another machine decides for."""
    return next(
        service
        for service in map(str, range(100))
        if duties.find_holder(service) != 'a'
    )


async def decide(question):
    """Decide on this machine."""
    return f'own {question}'


@pytest.fixture
def uneven(mesh):
    """Duties of machine ``a`` where only ``c`` is large."""
    members = Members()
    cores = {'a': 0.5, 'b': 0.5, 'c': 2.0}
    machines = tuple(
        Machine(name, 'z', '127.0.0.1', 1, cores=cores[name]) for name in NAMES
    )
    members.accept(MemberList(1, machines, ()))
    made = Duties(members, mesh)
    made._started['a'] = time.monotonic() - 60
    return made


def test_services_are_spread_over_machines(duties):
    holders = {duties.find_holder(str(number)) for number in range(50)}
    assert holders == set(NAMES)


def test_large_machines_decide(uneven):
    holders = {uneven.find_holder(str(number)) for number in range(20)}
    assert holders == {'c'}


async def test_small_machines_decide_when_the_large_leave(uneven):
    await uneven.take_leaving(Peer('c'), Leaving())
    holders = {uneven.find_holder(str(number)) for number in range(20)}
    assert holders == {'a', 'b'}


async def test_new_list_of_machines_is_ranked_anew(uneven):
    assert uneven.find_holder('s') == 'c'
    machines = (Machine('a', 'z', '127.0.0.1', 1),)
    uneven._members.accept(MemberList(2, machines, ()))
    assert uneven.find_holder('s') == 'a'


async def test_machine_that_cannot_be_reached_is_replaced(duties, foreign):
    holder, reply = await duties.ask(foreign, 'q', 1, decide)
    assert (holder, reply) == ('a', 'own q')


async def test_machine_that_leaves_is_asked_no_more(duties, mesh, foreign):
    holder = duties.find_holder(foreign)
    await duties.take_leaving(Peer(holder), Leaving())
    assert duties.find_holder(foreign) != holder
    await duties.greet(Peer(holder, incarnation='2'))
    assert duties.find_holder(foreign) == holder


async def test_machine_that_starts_learns_who_is_leaving(duties, foreign):
    holder = duties.find_holder(foreign)
    await duties.greet(Peer(holder, leaving=True))
    assert duties.find_holder(foreign) != holder


async def test_machine_that_stops_says_so_when_asked(duties):
    assert not (await duties.answer_ping(None, None)).leaving
    duties.leave()
    assert (await duties.answer_ping(None, None)).leaving


async def test_machine_that_has_just_started_is_asked_later(duties, foreign):
    holder = duties.find_holder(foreign)
    await duties.greet(Peer(holder, uptime=SETTLE_SECONDS / 2))
    assert duties.find_holder(foreign) != holder
    await duties.greet(Peer(holder, uptime=SETTLE_SECONDS * 2))
    assert duties.find_holder(foreign) == holder


async def test_machine_without_a_stream_stays_suspected(
    duties,
    mesh,
    foreign,
    monkeypatch,
):
    monkeypatch.setattr('galenaswitch.gateway.duties.SUSPECT_SECONDS', 0)
    holder = duties.find_holder(foreign)
    await duties.ask(foreign, 'q', 1, decide)
    assert duties.find_holder(foreign) != holder
    mesh.links[holder] = Peer(holder)
    assert duties.find_holder(foreign) == holder


async def test_machines_that_started_together_agree_at_once(duties):
    before = [duties.find_holder(str(number)) for number in range(20)]
    duties._started = {'a': time.monotonic() - 1}
    # Nothing is known of c yet; a and b are equally young.
    await duties.greet(Peer('b', uptime=1.2))
    after = [duties.find_holder(str(number)) for number in range(20)]
    assert after == before


async def test_machine_whose_stream_opens_again_is_asked_at_once(
    duties,
    foreign,
):
    holder = duties.find_holder(foreign)
    await duties.ask(foreign, 'q', 1, decide)
    assert duties.find_holder(foreign) != holder
    await duties.greet(Peer(holder))
    assert duties.find_holder(foreign) == holder


def test_machine_that_stops_tells_all_and_asks_others(duties, mesh):
    mesh.links = {'b': Peer('b')}
    duties.leave()
    assert mesh.links['b'].sent == [Leaving()]
    assert all(duties.find_holder(str(number)) != 'a' for number in range(20))


def test_message_for_a_lost_machine_is_taken_here(duties):
    taken = []
    duties.tell('b', 'note', taken.append)
    assert taken == ['note']
