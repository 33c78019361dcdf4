"""Ownership of services, and queries to their owners."""

import asyncio
import time

import pytest

from galenaswitch.errors import PeerClosedError, PeerTimeoutError
from galenaswitch.gateway.messages import PlaceQuestion
from galenaswitch.gateway.owners import WARM_UP_SECONDS, OwnerRouter
from galenaswitch.membership.lists import Machine, MemberList, Members
from galenaswitch.membership.mesh import Leaving, Ping, Pong

NAMES = ('a', 'b', 'c')


class FakeLink:
    """Stand-in for a link to another VM."""

    def __init__(self, node, uptime=60.0, incarnation='1', leaving=False):
        """Build a link to ``node``."""
        self.leaving = leaving
        self.peer = type(
            'Identity',
            (),
            {'node': node, 'incarnation': incarnation},
        )()
        self.uptime = uptime
        self.sent = []

    async def request(self, message, seconds):
        """Answer every query as a ping."""
        return Pong(self.uptime, self.leaving)

    def send(self, message):
        """Record a sent message."""
        self.sent.append(message)


class FakeMesh:
    """Stand-in for the connection mesh of VM ``a``."""

    def __init__(self):
        """Build a mesh of VM ``a`` without links."""
        self.node = 'a'
        self.links = {}

    def find_link(self, node):
        """Return the open link to a VM, if any."""
        return self.links.get(node)

    async def connect(self, node, seconds):
        """Return the open link to a VM, or fail."""
        if node not in self.links:
            raise PeerClosedError('no link')
        return self.links[node]

    def broadcast(self, message):
        """Send a message on all links."""
        for link in self.links.values():
            link.send(message)


@pytest.fixture
def mesh():
    """Mesh of VM ``a``, which has no links."""
    return FakeMesh()


@pytest.fixture
def owner_router(mesh):
    """Owner router of VM ``a``, which is past its warm-up."""
    members = Members()
    machines = tuple(Machine(name, 'z', '127.0.0.1', 1) for name in NAMES)
    members.accept(MemberList(1, machines, ()))
    router = OwnerRouter(members, mesh)
    router._started_at['a'] = time.monotonic() - 60
    return router


@pytest.fixture
def foreign_service(owner_router):
    """A service that another VM owns."""
    return next(
        service
        for service in map(str, range(100))
        if owner_router.find_owner(service) != 'a'
    )


async def answer_locally(query):
    """Answer a query on this VM."""
    return f'own {query}'


@pytest.fixture
def uneven_router(mesh):
    """Owner router of VM ``a`` where only VM ``c`` is large."""
    members = Members()
    cores = {'a': 0.5, 'b': 0.5, 'c': 2.0}
    machines = tuple(
        Machine(name, 'z', '127.0.0.1', 1, cores=cores[name]) for name in NAMES
    )
    members.accept(MemberList(1, machines, ()))
    router = OwnerRouter(members, mesh)
    router._started_at['a'] = time.monotonic() - 60
    return router


def test_services_are_spread_over_vms(owner_router):
    owners = {owner_router.find_owner(str(number)) for number in range(50)}
    assert owners == set(NAMES)


def test_large_vms_own_services(uneven_router):
    owners = {uneven_router.find_owner(str(number)) for number in range(20)}
    assert owners == {'c'}


async def test_small_vms_own_services_when_large_vms_leave(uneven_router):
    await uneven_router.receive_leaving(FakeLink('c'), Leaving())
    owners = {uneven_router.find_owner(str(number)) for number in range(20)}
    assert owners == {'a', 'b'}


async def test_new_member_list_is_ranked_again(uneven_router):
    assert uneven_router.find_owner('s') == 'c'
    machines = (Machine('a', 'z', '127.0.0.1', 1),)
    uneven_router._members.accept(MemberList(2, machines, ()))
    assert uneven_router.find_owner('s') == 'a'


async def test_unreachable_owner_is_replaced(owner_router, foreign_service):
    owner, reply = await owner_router.query(
        foreign_service, 'q', 1, answer_locally
    )
    assert (owner, reply) == ('a', 'own q')


async def test_leaving_vm_is_no_longer_owner(
    owner_router, mesh, foreign_service
):
    owner = owner_router.find_owner(foreign_service)
    await owner_router.receive_leaving(FakeLink(owner), Leaving())
    assert owner_router.find_owner(foreign_service) != owner
    await owner_router.on_link_open(FakeLink(owner, incarnation='2'))
    assert owner_router.find_owner(foreign_service) == owner


# Guards against a VM that is cut off from all targets and stays the owner.
async def test_vm_without_a_path_to_targets_is_no_owner(
    owner_router, foreign_service
):
    lost = set()
    owner_router._is_path_lost = lost.__contains__
    owner = owner_router.find_owner(foreign_service)
    lost.add(owner)
    assert owner_router.find_owner(foreign_service) != owner
    lost.update(NAMES)
    assert owner_router.find_owner(foreign_service) == owner


async def test_ping_on_link_open_finds_a_leaving_peer(
    owner_router, foreign_service
):
    owner = owner_router.find_owner(foreign_service)
    await owner_router.on_link_open(FakeLink(owner, leaving=True))
    assert owner_router.find_owner(foreign_service) != owner


async def test_leaving_vm_says_so_in_its_ping_reply(owner_router):
    assert not (await owner_router.answer_ping(None, None)).leaving
    owner_router.leave()
    assert (await owner_router.answer_ping(None, None)).leaving


async def test_vm_owns_services_only_after_its_warm_up(
    owner_router, foreign_service
):
    owner = owner_router.find_owner(foreign_service)
    await owner_router.on_link_open(FakeLink(owner, uptime=WARM_UP_SECONDS / 2))
    assert owner_router.find_owner(foreign_service) != owner
    await owner_router.on_link_open(FakeLink(owner, uptime=WARM_UP_SECONDS * 2))
    assert owner_router.find_owner(foreign_service) == owner


async def test_suspect_without_a_link_stays_suspect(
    owner_router,
    mesh,
    foreign_service,
    monkeypatch,
):
    monkeypatch.setattr('galenaswitch.gateway.owners.SUSPECT_SECONDS', 0)
    owner = owner_router.find_owner(foreign_service)
    await owner_router.query(foreign_service, 'q', 1, answer_locally)
    assert owner_router.find_owner(foreign_service) != owner
    mesh.links[owner] = FakeLink(owner)
    assert owner_router.find_owner(foreign_service) == owner


async def test_vms_that_started_together_agree_on_owners(owner_router):
    before = [owner_router.find_owner(str(number)) for number in range(20)]
    owner_router._started_at = {'a': time.monotonic() - 1}
    # VM a has had no ping reply from c; a and b are equally young.
    await owner_router.on_link_open(FakeLink('b', uptime=1.2))
    after = [owner_router.find_owner(str(number)) for number in range(20)]
    assert after == before


async def test_suspect_owns_services_again_when_its_link_opens(
    owner_router,
    foreign_service,
):
    owner = owner_router.find_owner(foreign_service)
    await owner_router.query(foreign_service, 'q', 1, answer_locally)
    assert owner_router.find_owner(foreign_service) != owner
    await owner_router.on_link_open(FakeLink(owner))
    assert owner_router.find_owner(foreign_service) == owner


def test_leaving_vm_notifies_peers_and_owns_nothing(owner_router, mesh):
    mesh.links = {'b': FakeLink('b')}
    owner_router.leave()
    assert mesh.links['b'].sent == [Leaving()]
    assert all(
        owner_router.find_owner(str(number)) != 'a' for number in range(20)
    )


def test_message_for_an_unreachable_owner_is_applied_here(owner_router):
    applied = []
    owner_router.notify('b', 'note', applied.append)
    assert applied == ['note']


class SilentLink(FakeLink):
    """Link to a VM that is frozen: it answers nothing."""

    async def request(self, message, seconds):
        """Record a query, and wait for a reply that never comes."""
        if not isinstance(message, Ping):
            self.sent.append(message)
        await asyncio.sleep(seconds)
        raise PeerTimeoutError('silent')


def make_query(left):
    """Return a query for a placement."""
    return PlaceQuestion(
        'llm', 'q', (), 1, 1, 'z', {}, (), 1, 0.5, left, complete_in=left
    )


@pytest.fixture
def ask(owner_router, mesh):
    """Return a function that asks the owner, which is a frozen VM."""
    others = {name: SilentLink(name) for name in NAMES if name != 'a'}
    mesh.links.update(others)
    service = next(
        str(number)
        for number in range(99)
        if owner_router._rank_machines(str(number))[-1] == 'a'
    )

    async def run(left, unanswered):
        async def decide(query):
            return query

        return await owner_router.query(
            service, make_query(left), left, decide, unanswered.append
        )

    return run


# Guards against requests that get neither a placement nor a rejection until
# their deadline, since their owner is lost.
async def test_query_is_repeated_at_the_next_owner_within_the_time_left(
    ask, mesh
):
    unanswered = []
    began_at = time.monotonic()
    owner, query = await ask(3.0, unanswered)
    waited = time.monotonic() - began_at
    assert owner == 'a'
    assert waited < 2.0
    assert query.left == pytest.approx(3.0 - waited, abs=0.05)
    assert query.complete_in == pytest.approx(3.0 - waited, abs=0.05)
    assert sorted(unanswered) == ['b', 'c']
    second = mesh.links[unanswered[1]].sent[0]
    assert second.left < 3.0 - 0.5


# Guards against a frozen owner that goes on and places what was given up.
async def test_query_that_is_cancelled_is_withdrawn_at_its_owner(ask):
    unanswered = []
    asking = asyncio.create_task(ask(3.0, unanswered))
    await asyncio.sleep(0.1)
    asking.cancel()
    await asyncio.wait({asking})
    assert len(unanswered) == 1


# Guards against pings that grow with the number of queries that wait.
async def test_queries_to_one_owner_share_their_pings(ask, mesh):
    pings = []
    for link in mesh.links.values():
        request = link.request

        async def count(message, seconds, link=link, request=request):
            if isinstance(message, Ping):
                pings.append(link)
            return await request(message, seconds)

        link.request = count
    await asyncio.gather(*(ask(3.0, []) for _ in range(50)))
    assert len(pings) <= 4
