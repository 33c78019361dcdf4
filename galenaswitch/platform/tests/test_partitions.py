"""Tests of partitions that a soak injects, and of the check of their effect."""

import asyncio

import pytest

from galenaswitch.platform.soak.faults import draw_faults
from galenaswitch.platform.soak.promises import CHECKS
from galenaswitch.platform.soak.proxy import PARTITION_MODES, Proxy
from galenaswitch.platform.soak.reachability import check_partitions
from galenaswitch.platform.soak.records import (
    InjectedFault,
    SentRequest,
    open_records,
)

NETWORK = 139
TIMEOUT_SECONDS = 0.3
PARTITION = InjectedFault('partition hang', 0, 10.0, 20.0)


async def echo(reader, writer):
    """Send each byte back."""
    while chunk := await reader.read(1):
        writer.write(chunk)
    writer.close()


async def is_answered(connection):
    """Tell whether the server answers on a connection."""
    reader, writer = connection
    writer.write(b'x')
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await reader.read(1) == b'x'
    except OSError:
        return False


@pytest.fixture
def network(take_network):
    """Return the network of the addresses of servers and clients."""
    return take_network(NETWORK)


@pytest.fixture
def clients(network):
    """Return the addresses of a client that is cut off and of another one."""
    return network.make_address(1, 1), network.make_address(1, 2)


@pytest.fixture
async def proxy(network):
    """Return a proxy of a server that sends back what it receives."""
    host = network.make_address(9, 1)
    server = await asyncio.start_server(echo, host, 0)
    address = server.sockets[0].getsockname()
    proxy = Proxy(lambda: address)
    await proxy.start(host)
    yield proxy
    await proxy.stop()
    server.close()


@pytest.fixture
async def connect(proxy):
    """Return a function that connects from an address through the proxy."""
    writers = []

    async def open_connection(address):
        host, _, port = proxy.address.rpartition(':')
        async with asyncio.timeout(TIMEOUT_SECONDS):
            connection = await asyncio.open_connection(
                host, int(port), local_addr=(address, 0)
            )
        writers.append(connection[1])
        return connection

    yield open_connection
    for writer in writers:
        writer.close()


# Guards against partitions that spare a client or hit the others.
@pytest.mark.parametrize(
    ('mode', 'old_answered', 'new_error'),
    [
        ('hang', False, True),
        ('live_on', True, True),
        ('reset', False, True),
        ('refuse', False, False),
    ],
)
async def test_partition_hits_connections_of_one_client(
    proxy, connect, clients, mode, old_answered, new_error
):
    cut_off, other_client = clients
    old = await connect(cut_off)
    other = await connect(other_client)
    assert await is_answered(old)
    assert await is_answered(other)
    proxy.cut_off(cut_off, mode)
    assert await is_answered(old) == old_answered
    if new_error:
        with pytest.raises(TimeoutError):
            await connect(cut_off)
    else:
        assert not await is_answered(await connect(cut_off))
    assert await is_answered(other)
    assert await is_answered(await connect(other_client))
    proxy.reconnect(cut_off)
    assert await is_answered(await connect(cut_off))


# Guards against a target that a partitioned client reaches after its restart.
async def test_partition_lasts_while_a_proxy_starts_again(
    proxy, connect, clients
):
    cut_off, other_client = clients
    proxy.cut_off(cut_off, 'hang')
    await proxy.go_down(0.05)
    with pytest.raises(TimeoutError):
        await connect(cut_off)
    assert await is_answered(await connect(other_client))


@pytest.mark.parametrize('mode', PARTITION_MODES)
def test_partitions_of_each_mode_are_drawn(mode):
    drawn = {
        fault.variant
        for seed in range(30)
        for fault in draw_faults(seed, 9, 4, 8)
        if fault.kind == 'partition'
    }
    assert mode in drawn


def make_tries(machine, count, status, sent_at=15.0, **changes):
    """Return first tries at a machine."""
    request = SentRequest(
        'a', 'once', machine, sent_at, sent_at, status, True, '', True, True
    )
    return [request._replace(**changes)] * count


@pytest.mark.parametrize(
    ('tries', 'found'),
    [
        # Too few served, and 12 of 40 failed.
        (make_tries(0, 12, 503) + make_tries(0, 8, 200), 1),
        (make_tries(0, 12, 0, complete=False) + make_tries(0, 8, 200), 1),
        # No more than 10 and one in 50 failed.
        (make_tries(0, 10, 503) + make_tries(0, 8, 200), 0),
        # Served two thirds as often.
        (make_tries(0, 12, 503) + make_tries(0, 24, 200), 0),
        # Before the machine has to serve, and after the partition.
        (make_tries(0, 30, 503, sent_at=12.9), 0),
        (make_tries(0, 30, 503, sent_at=20.1), 0),
        # No first tries.
        (make_tries(0, 30, 503, after=3), 0),
    ],
)
def test_machines_that_serve_much_less_are_a_violation(tries, found):
    records = open_records()
    records.faults.append(PARTITION)
    records.sent.extend([*tries, *make_tries(1, 20, 200)])
    assert len(list(check_partitions(records))) == found
    assert check_partitions in CHECKS


def test_machine_that_was_killed_as_well_is_no_violation():
    records = open_records()
    records.faults.append(PARTITION)
    records.faults.append(InjectedFault('kill', 0, 14.0, 14.0))
    records.sent.extend([*make_tries(0, 30, 503), *make_tries(1, 20, 200)])
    assert not list(check_partitions(records))
