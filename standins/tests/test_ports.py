import asyncio
import random
import socket

import pytest

from standins.ports import PortPool

REPEATED_DRAWS = 3


def find_free_port():
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(('0.0.0.0', 0))
        return probe.getsockname()[1]


class RepeatedPortRandom:
    """Random source that returns one port several times, then free ports."""

    port = 0

    def __init__(self):
        self.draws = 0

    def randint(self, first, last):
        self.draws += 1
        return self.port if self.draws <= REPEATED_DRAWS else find_free_port()


@pytest.fixture
def pools(monkeypatch):
    monkeypatch.setattr(RepeatedPortRandom, 'port', find_free_port())
    monkeypatch.setattr(random, 'SystemRandom', RepeatedPortRandom)
    made = [PortPool(), PortPool()]
    yield made
    for pool in made:
        pool.release()


def test_a_pool_never_reserves_a_port_twice(pools):
    pool = pools[0]
    assert pool.reserve() != pool.reserve()


def test_two_pools_never_reserve_the_same_port(pools):
    assert pools[0].reserve() != pools[1].reserve()


async def test_a_reserved_port_can_be_listened_on_once(pools):
    port = pools[0].reserve()
    server = await asyncio.start_server(print, '127.0.0.1', port)
    with pytest.raises(OSError, match='in use'):
        await asyncio.start_server(print, '127.0.0.1', port)
    server.close()
