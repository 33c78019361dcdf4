"""Network between zones whose pairs can be cut apart."""

import asyncio

import pytest

from standins.cut import Network

PAIR = ['north', 'south']


@pytest.fixture
async def target():
    """Return the address of a server that sends a byte to each caller."""

    async def send(reader, writer):
        writer.write(b'x')
        await writer.drain()

    server = await asyncio.start_server(send, '127.0.0.1', 0)
    yield server.sockets[0].getsockname()
    server.close()


@pytest.fixture
async def open_proxy(target):
    """Return a function that starts a proxy of a network to the target."""
    servers = []

    async def start(network):
        route = {'zones': {'0': 'north'}, 'zone': 'south', 'to': target}

        async def forward(reader, writer):
            await network.forward_connection(route, reader, writer)
            writer.close()

        servers.append(await asyncio.start_server(forward, '127.0.0.1', 0))
        return servers[-1].sockets[0].getsockname()

    yield start
    for server in servers:
        server.close()


async def read_byte(address):
    """Connect and return what comes, nothing if the connection ends."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        return await reader.read(1)
    except ConnectionError:
        return b''
    finally:
        writer.close()


async def test_connection_is_forwarded_without_a_cut(open_proxy):
    assert await read_byte(await open_proxy(Network())) == b'x'


# Guards against zones that stay connected through a cut, as it came while a
# connection between them was being opened.
async def test_cut_ends_a_connection_in_its_opening(open_proxy, monkeypatch):
    network = Network()
    address = await open_proxy(network)
    connect = asyncio.open_connection

    async def connect_slowly(*target):
        opened = await connect(*target)
        network.set_cuts([PAIR])
        return opened

    reading = asyncio.create_task(read_byte(address))
    await asyncio.sleep(0)
    monkeypatch.setattr(asyncio, 'open_connection', connect_slowly)
    assert await reading == b''
