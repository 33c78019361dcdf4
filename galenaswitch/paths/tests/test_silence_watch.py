"""Connections that are accepted, and on which nothing is ever answered."""

import asyncio
from functools import partial

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.errors import TargetError
from galenaswitch.paths.silence_watch import Probes
from galenaswitch.paths.tests.conftest import wait_until
from galenaswitch.paths.tests.test_paths import OK, fetch

# Seconds in which a VM has to notice that nothing answers it.
NOTICE_SECONDS = 2.5
# Seconds in which probes would find a path that is sound.
PROBES_SECONDS = 2.0
PROBE = RequestHead(b'GET', b'/probe', ((b'Host', b'h'),))


@pytest.fixture
async def targets(scripted):
    """Return three targets that answer."""
    return [await scripted([OK], keep=True) for _ in range(3)]


@pytest.fixture
async def open_silent(run_target):
    """Return a function that starts targets that never answer."""

    async def hold(reader, writer):
        await reader.read()

    return partial(run_target, hold)


@pytest.fixture
async def start_watching(start_vms):
    """Return a function that starts VMs that probe silent targets."""

    async def start(zones, addresses):
        vms = await start_vms(zones, addresses)
        for vm in vms:
            vm.paths.dialer.silences.probes = Probes(lambda _: PROBE, list)
        return vms

    return start


async def fetch_in_vain(vm, addresses):
    """Send requests that nobody answers for a time."""
    async with asyncio.TaskGroup() as group:
        for address in addresses:
            group.create_task(try_fetch(vm, address))


async def try_fetch(vm, address):
    """Send a request and wait for its answer for a time."""
    try:
        async with asyncio.timeout(NOTICE_SECONDS):
            await fetch(vm, address)
    except (TargetError, TimeoutError):
        return


# Guards against a path that counts as sound as connections are accepted, though
# nothing is ever answered, and against one that is taken for regained so.
async def test_path_without_answers_is_lost_until_a_target_answers(
    start_watching, targets, open_silent
):
    vms = await start_watching('nns', [one.address for one in targets])
    vms[0].direct.cut = (await open_silent()).address
    await fetch_in_vain(vms[0], [one.address for one in targets])
    assert vms[0].is_lost
    for target in targets:
        assert await fetch(vms[0], target.address) == b'ok'
    await asyncio.sleep(PROBES_SECONDS)
    assert vms[0].is_lost
    vms[0].direct.cut = ''
    await wait_until(lambda: not vms[0].is_lost)
    assert vms[0].metrics.dump()['path_lost'] == 1


# Guards against a path that counts as lost as targets work for long or are
# frozen, all of them or those of one service.
@pytest.mark.parametrize('sound', [0, 1])
async def test_targets_that_are_silent_to_all_are_no_lost_path(
    start_watching, targets, open_silent, sound
):
    silent = [(await open_silent()).address for _ in range(2)]
    addresses = [*silent, *[one.address for one in targets[:sound]]]
    vms = await start_watching('nns', addresses)
    await fetch_in_vain(vms[0], silent)
    assert not vms[0].is_lost
    assert vms[0].metrics.dump()['path_checked'] <= NOTICE_SECONDS


# Guards against probes by a VM that has no peer to ask.
async def test_vm_without_peers_sends_no_probes(start_watching, open_silent):
    silent = [await open_silent() for _ in range(2)]
    vms = await start_watching('n', [one.address for one in silent])
    await fetch_in_vain(vms[0], [one.address for one in silent])
    assert [one.connections for one in silent] == [1, 1]
