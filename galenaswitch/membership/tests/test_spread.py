"""News that reaches each VM once, also those without a link to its source."""

from unittest.mock import Mock

import msgpack
import pytest

from galenaswitch.membership import frames
from galenaswitch.membership.lists import Members
from galenaswitch.membership.mesh import Mesh, Ping, Pong


class FakeLink:
    """Link to a VM that records what is sent."""

    def __init__(self, node, zone):
        """Build a link to ``node``."""
        self.peer = Mock(node=node, zone=zone)
        self.sent = []

    def send(self, message):
        """Record a message."""
        self.sent.append(message)


@pytest.fixture
def links():
    """Return the links of VM ``a`` of zone ``north``."""
    zones = {'b': 'north', 'c': 'north', 'd': 'south', 'e': 'south'}
    return {node: FakeLink(node, zone) for node, zone in zones.items()}


@pytest.fixture
def mesh(links):
    """Return the mesh of VM ``a``."""
    service = Mock(identity=Mock(node='a', zone='north'))
    opened = Mesh(service, Members(), Mock())
    opened._links.update(links)
    return opened


@pytest.mark.parametrize(
    ('source', 'receivers'),
    [(None, 'bcde'), ('d', 'bc'), ('b', '')],
)
def test_news_goes_to_the_vms_that_its_source_does_not_reach(
    mesh, links, source, receivers
):
    mesh.spread(Ping(), links.get(source))
    assert {node for node, link in links.items() if link.sent} == set(receivers)


# Guards against a large message that holds up the loop once for each peer.
def test_news_is_encoded_once_for_all_peers(mesh, links, monkeypatch):
    encoder = Mock(wraps=msgpack)
    monkeypatch.setattr(frames, 'msgpack', encoder)
    mesh.spread(Pong(3, True), None)
    encoded = [
        frames.encode_frame(number, 0, *link.sent)
        for number, link in enumerate(links.values())
    ]
    assert encoder.packb.call_count == 1
    sent = [frames.unpack_frame(msgpack.unpackb(one)) for one in encoded]
    assert sent == [
        frames.Frame(number, 0, 'Pong', [3, True])
        for number, _ in enumerate(links)
    ]
