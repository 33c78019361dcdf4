"""Callers that read their responses slowly, or not at all."""

import asyncio
from unittest.mock import Mock

import pytest

from galenaswitch.connections import unsent
from galenaswitch.connections.errors import CallerGoneError
from galenaswitch.connections.memory import MemoryAccount
from galenaswitch.connections.unsent import UnsentProtocol


@pytest.fixture
def make_full(monkeypatch):
    """Return a function that builds a protocol with bytes to be taken."""
    monkeypatch.setattr(unsent, 'STALLED_READER_TIMEOUT_SECONDS', 0.1)

    def make(sizes):
        protocol = UnsentProtocol(MemoryAccount(), Mock())
        protocol.connection_made(
            Mock(**{'get_write_buffer_size.side_effect': sizes})
        )
        protocol.pause_writing()
        return protocol

    return make


# Guards against a caller that is disconnected although it reads all the time,
# as its connection takes long for the whole response.
async def test_slow_but_steady_reader_is_waited_for(make_full):
    protocol = make_full(iter(range(4_000_000, 0, -10_000)))
    draining = asyncio.create_task(protocol.drain())
    await asyncio.sleep(0.5)
    assert not draining.done()
    assert 0 < protocol._memory.total < 4_000_000
    protocol.resume_writing()
    await draining
    assert protocol._memory.total == 0


# Guards against bytes that are held for a caller that has stopped reading.
async def test_reader_that_stops_is_given_up(make_full):
    protocol = make_full(iter([4_000_000] * 4 + [3_000_000] * 99))
    async with asyncio.timeout(2):
        with pytest.raises(CallerGoneError, match='stopped reading'):
            await protocol.drain()
