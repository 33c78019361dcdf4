"""Connections that something between a VM and the targets accepts and ends."""

import asyncio

import pytest

from galenaswitch.errors import TargetBrokenError
from galenaswitch.paths.tests.conftest import wait_until
from galenaswitch.paths.tests.test_paths import OK, fetch

# Seconds in which a VM has to notice that nothing answers it.
NOTICE_SECONDS = 1.0
# Seconds in which probes would find a path that is sound.
PROBES_SECONDS = 2.0


@pytest.fixture
async def targets(scripted):
    """Return three targets that answer."""
    return [await scripted([OK], keep=True) for _ in range(3)]


@pytest.fixture
async def vms(start_vms, targets):
    """Return three VMs that reach three targets."""
    return await start_vms('nns', [one.address for one in targets])


@pytest.fixture
async def ended():
    """Return the address of a proxy that ends what it accepts."""

    async def end(reader, writer):
        writer.transport.abort()

    server = await asyncio.start_server(end, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield f'{host}:{port}'
    server.close()


async def fetch_or_fail(vm, address):
    """Send a request that may break off."""
    try:
        return await fetch(vm, address)
    except (TargetBrokenError, OSError):
        return b''


# Guards against a path that counts as sound as connections are accepted, though
# each is ended before a byte of an answer.
async def test_accepted_connections_that_are_ended_prove_no_path(
    vms, targets, ended
):
    vms[0].direct.cut = ended
    for target in targets:
        await fetch_or_fail(vms[0], target.address)
    async with asyncio.timeout(NOTICE_SECONDS):
        await wait_until(lambda: vms[0].is_lost)
    for target in targets:
        assert await fetch(vms[0], target.address) == b'ok'
    await asyncio.sleep(PROBES_SECONDS)
    assert vms[0].is_lost
    vms[0].direct.cut = ''
    await wait_until(lambda: not vms[0].is_lost)
    assert vms[0].metrics.dump()['path_lost'] == 1


# Guards against a lost path, or checks without end, as targets break.
async def test_targets_that_end_connections_are_no_lost_path(
    start_vms, run_target, targets
):
    async def end(reader, writer):
        writer.transport.abort()

    broken = [(await run_target(end)).address for _ in range(2)]
    vms = await start_vms('nns', [*broken, targets[0].address])
    for _ in range(5):
        for address in broken:
            await asyncio.gather(
                *(fetch_or_fail(vms[0], address) for _ in range(20))
            )
    await asyncio.sleep(NOTICE_SECONDS)
    assert not vms[0].is_lost
    assert sum(vm.direct.open_count for vm in vms[1:]) <= 2 * len(broken)


# Guards against connections to peers while nothing fails.
async def test_answers_lead_to_no_checks(vms, targets):
    for target in targets:
        assert await fetch(vms[0], target.address) == b'ok'
    vms[0].pool.close()
    await asyncio.sleep(0.1)
    assert vms[0].direct.open_count == len(targets)
    assert not any(vm.direct.open_count for vm in vms[1:])
