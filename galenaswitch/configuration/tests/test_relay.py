import pytest

from galenaswitch.configuration.catalog import Catalog, Item
from galenaswitch.configuration.messages import Items, Versions
from galenaswitch.configuration.relay import Relay
from galenaswitch.membership.handshake import Identity

ITEM = Item('contracts', 'lab', 3, {})


class StubLink:
    """Link to a machine that has some configuration items."""

    def __init__(self, node, zone, ready, items=()):
        self.peer = Identity(node, zone, 'control', '1')
        self.replies = {
            'Digest': Versions({'contracts/lab': 3} if items else {}, ready),
            'Versions': Items(items),
        }

    async def request(self, message, seconds):
        return self.replies[type(message).__name__]


class StubMesh:
    """Mesh of a machine that has just started."""

    node = 'north-1'
    zone = 'north'

    def __init__(self, *peers):
        self.peers = peers

    def links(self, zone=''):
        return [one for one in self.peers if zone in {'', one.peer.zone}]

    def reachable(self):
        return (self.node, *(one.peer.node for one in self.links(self.zone)))

    def has_tried_peers(self, zone):
        return True

    def is_relay(self):
        return False


@pytest.fixture
def start_relay():
    """Return a function that starts a relay during a store outage.

    The function syncs the relay with its peers, or with those in ``asked``,
    and returns the relay and its catalog.
    """

    async def start(*peers, asked=None):
        catalog = Catalog()
        relay = Relay(catalog, StubMesh(*peers), lambda items: None)
        for peer in peers if asked is None else asked:
            await relay.on_link_open(peer)
        return relay, catalog

    return start


async def test_new_machines_are_not_ready_by_each_other(start_relay):
    relay, _ = await start_relay(StubLink('north-2', 'north', ready=False))
    assert not relay.ready


async def test_zone_of_new_machines_syncs_from_another_zone(start_relay):
    relay, catalog = await start_relay(
        StubLink('north-2', 'north', ready=False),
        StubLink('south-1', 'south', ready=True, items=(ITEM,)),
    )
    assert relay.ready
    assert catalog.versions() == {'contracts/lab': 3}


async def test_sole_machine_of_a_zone_syncs_from_another_zone(start_relay):
    relay, _ = await start_relay(
        StubLink('south-1', 'south', ready=True, items=(ITEM,))
    )
    assert relay.ready


async def test_all_reachable_machines_are_queried_before_ready(start_relay):
    asked = StubLink('north-2', 'north', ready=True, items=(ITEM,))
    other = StubLink('north-3', 'north', ready=True, items=(ITEM,))
    relay, _ = await start_relay(asked, other, asked=(asked,))
    assert not relay.ready


async def test_machine_without_any_peer_is_not_ready(start_relay):
    relay, _ = await start_relay()
    assert not relay.ready
