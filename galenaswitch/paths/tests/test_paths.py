"""Connections to targets through peers, while the direct path is cut."""

import asyncio
import random
import time

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.errors import TargetBrokenError, TargetUnreachableError
from galenaswitch.membership.links import dial
from galenaswitch.membership.mesh import Leaving
from galenaswitch.paths.messages import (
    UNAVAILABLE,
    TunnelQuery,
    TunnelReply,
)
from galenaswitch.paths.tests.conftest import wait_until

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
)
UNTIL_CLOSE = b'HTTP/1.1 200 OK\r\n\r\n'
GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
# Body of a large request and of a large answer.
LARGE_BYTES = 4 * 1024 * 1024
# Most bytes that the exit may hold of an answer that nobody reads.
MAX_HELD_BYTES = 1024 * 1024
CUTS = ('refused', 'hanging')
# Seconds in which a VM has to notice that its path is lost.
LOST_SECONDS = 0.5
# Seconds within which VMs must find out that they are cut off.
CONTACT_SECONDS = 3
# An address at which nothing listens.
DOWN = '127.0.0.1:9'


async def fetch(vm, address, head=GET, body=b''):
    """Send one request from a VM to a target and return the answer's body."""
    connection = await vm.pool.acquire(address, 3)
    try:
        exchange = connection.send(head, body)
        await exchange.read_head()
        return await connection.read_all(exchange, 2 * LARGE_BYTES)
    finally:
        vm.pool.release(connection)


@pytest.fixture
async def targets(scripted):
    """Return two targets that answer."""
    return [await scripted([OK], keep=True) for _ in range(2)]


@pytest.fixture
async def vms(start_vms, targets):
    """Return two VMs in one zone and one in another, that reach two targets."""
    return await start_vms('nns', [one.address for one in targets])


async def lose_path(vm, targets, cut='refused'):
    """Cut the path of a VM, and let the VM notice."""
    vm.direct.cut = cut
    for target in targets:
        assert await fetch(vm, target.address) == b'ok'
    async with asyncio.timeout(LOST_SECONDS):
        await wait_until(lambda: vm.is_lost)


# Guards against requests that fail at a VM that is cut off from all targets.
@pytest.mark.parametrize('cut', CUTS)
async def test_cut_off_vm_reaches_targets_through_a_peer(vms, targets, cut):
    await lose_path(vms[0], targets, cut)
    direct_count = vms[0].direct.open_count
    vms[0].pool.close()
    assert await fetch(vms[0], targets[0].address) == b'ok'
    assert vms[0].direct.open_count == direct_count
    assert vms[0].metrics.dump()['path_lost'] == 1


async def test_whole_zone_that_is_cut_off_uses_another_zone(vms, targets):
    vms[1].direct.cut = 'hanging'
    await lose_path(vms[0], targets, 'hanging')
    assert await fetch(vms[1], targets[0].address) == b'ok'
    assert vms[2].paths.exits.count


async def test_open_connections_live_on_while_new_ones_are_refused(
    vms, targets
):
    kept = await vms[0].pool.acquire(targets[0].address, 3)
    await lose_path(vms[0], targets)
    assert (await kept.send(GET, b'').read_head()).status == 200
    kept.close()


# Guards against VMs that ask each other again and again for a dead target.
async def test_dead_target_is_no_lost_path_and_no_storm(start_vms, targets):
    vms = await start_vms('nns', [DOWN, targets[0].address])

    async def try_target():
        with pytest.raises(TargetUnreachableError):
            await vms[0].pool.acquire(DOWN, 3)

    for _ in range(5):
        await asyncio.gather(*(try_target() for _ in range(20)))
    assert sum(vm.direct.open_count for vm in vms[1:]) <= 2
    assert not vms[0].is_lost
    assert await fetch(vms[0], targets[0].address) == b'ok'
    assert not vms[0].paths.tunnels.count


async def test_all_vms_cut_off_fail_as_without_peers(vms, targets):
    for vm in vms:
        vm.direct.cut = 'hanging'
    with pytest.raises(TargetUnreachableError):
        await fetch(vms[0], targets[0].address)
    assert not any(vm.is_lost for vm in vms)


async def test_path_heals_once_and_tunnels_are_retired(vms, targets):
    await lose_path(vms[0], targets)
    await wait_until(lambda: vms[2].paths.notes.is_lost('vm0'))
    used = await vms[0].pool.acquire(targets[0].address, 3)
    exchange = used.send(GET, b'')
    vms[0].direct.cut = ''
    await wait_until(lambda: not vms[0].is_lost)
    await used.read_all(exchange, 100)
    assert not used.reusable
    await wait_until(lambda: not vms[2].paths.notes.is_lost('vm0'))
    assert await fetch(vms[0], targets[0].address) == b'ok'
    used.close()
    await wait_until(lambda: not vms[0].paths.tunnels.count)
    assert vms[0].metrics.dump()['path_lost'] == 1


@pytest.mark.parametrize('answer', [OK, CHUNKED, UNTIL_CLOSE + b'done'])
async def test_answer_is_complete_through_a_tunnel(start_vms, scripted, answer):
    target = await scripted([answer])
    vms = await start_vms('ns', [target.address])
    vms[0].direct.cut = 'refused'
    assert await fetch(vms[0], target.address) in {b'ok', b'done'}


# Guards against an answer without a length that looks complete as its exit,
# or its target, broke off.
@pytest.mark.parametrize('breaker', ['exit', 'target'])
async def test_answer_that_is_broken_off_is_never_complete(
    start_vms, run_target, breaker
):
    begun = asyncio.Event()

    async def begin(reader, writer):
        await target.read_request(reader)
        writer.write(UNTIL_CLOSE + b'begun')
        begun.set()
        await breaking.wait()
        writer.transport.abort()

    breaking = asyncio.Event()
    target = await run_target(begin)
    vms = await start_vms('ns', [target.address])
    vms[0].direct.cut = 'refused'
    fetching = asyncio.create_task(fetch(vms[0], target.address))
    await begun.wait()
    await asyncio.sleep(0.05)
    if breaker == 'exit':
        for tunnel in list(vms[1].paths.exits._tunnels):
            tunnel._transport.abort()
    else:
        reset_peers(vms[1])
    with pytest.raises(TargetBrokenError):
        await fetching
    breaking.set()


def reset_peers(vm):
    """Let the connections of an exit to its targets be lost."""
    for tunnel in list(vm.paths.exits._tunnels):
        tunnel._target._transport.abort()


async def test_caller_that_leaves_closes_the_connection_at_the_target(
    start_vms, run_target
):
    closed = asyncio.Event()

    async def wait_for_close(reader, writer):
        await target.read_request(reader)
        try:
            await reader.read()
        finally:
            closed.set()

    target = await run_target(wait_for_close)
    vms = await start_vms('ns', [target.address])
    vms[0].direct.cut = 'refused'
    connection = await vms[0].pool.acquire(target.address, 3)
    connection.send(GET, b'')
    await wait_until(lambda: target.requests)
    connection.close()
    await asyncio.wait_for(closed.wait(), 2)


async def test_large_bodies_pass_a_tunnel(start_vms, scripted):
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n'
    target = await scripted([head.encode() + bytes(LARGE_BYTES)])
    vms = await start_vms('ns', [target.address])
    vms[0].direct.cut = 'refused'
    post = RequestHead(b'POST', b'/', ((b'Host', b'h'),))
    answer = await fetch(vms[0], target.address, post, bytes(LARGE_BYTES))
    assert len(answer) == LARGE_BYTES
    assert len(target.bodies[0]) == LARGE_BYTES


async def test_exit_holds_little_of_an_answer_that_nobody_reads(
    start_vms, run_target
):
    sent = 0

    async def send_without_end(reader, writer):
        nonlocal sent
        await target.read_request(reader)
        writer.write(UNTIL_CLOSE)
        while True:
            writer.write(bytes(65536))
            await writer.drain()
            sent += 65536

    target = await run_target(send_without_end)
    vms = await start_vms('ns', [target.address])
    vms[0].direct.cut = 'refused'
    connection = await vms[0].pool.acquire(target.address, 3)
    await connection.send(GET, b'').read_head()
    before = -1
    while before != sent:
        before = sent
        await asyncio.sleep(0.3)
    (tunnel,) = vms[1].paths.exits._tunnels
    assert tunnel._transport.get_write_buffer_size() < MAX_HELD_BYTES
    connection.close()


async def test_leaving_exit_opens_no_tunnel_and_idle_ones_are_retired(
    vms, targets
):
    await lose_path(vms[0], targets)
    (leaving,) = [vm for vm in vms[1:] if vm.paths.exits.count]
    leaving.paths.exits.stopping = True
    link = type('Link', (), {'peer': leaving.service.identity})()
    await vms[0].owners.receive_leaving(link, Leaving())
    await wait_until(lambda: not leaving.paths.exits.count)
    assert await fetch(vms[0], targets[0].address) == b'ok'
    assert not leaving.paths.exits.count


@pytest.mark.parametrize('reason', ['unknown', 'chain'])
async def test_exit_connects_to_known_targets_and_directly_only(
    vms, targets, reason
):
    address = targets[0].address
    if reason == 'unknown':
        address = DOWN
    else:
        await lose_path(vms[1], targets)
    port = vms[1].server.sockets[0].getsockname()[1]
    link = await dial('127.0.0.1', port, vms[0].service)
    link.send(TunnelQuery(address))
    assert await link.receive(TunnelReply) == TunnelReply(UNAVAILABLE)
    link.close()


# Guards against an exit that goes on sending to a target that has refused, with
# a pause, a request of the VM behind it.
async def test_pause_that_was_read_through_a_tunnel_holds_at_the_exit(
    vms, targets
):
    await lose_path(vms[0], targets)
    address = targets[0].address
    (exit_vm,) = [vm for vm in vms if vm.paths.exits.find_users(address)]
    (target,) = vms[0].members.find_targets_by_url(address)
    vms[0].paths.pauses.share(target, 2.0)
    await wait_until(lambda: exit_vm.pauses)
    assert exit_vm.pauses == [(target.incarnation, 2.0)]
    assert not any(vm.pauses for vm in vms if vm is not exit_vm)


async def test_pause_of_an_exit_holds_at_the_vm_behind_it(vms, targets):
    await lose_path(vms[0], targets)
    address = targets[0].address
    (exit_vm,) = [vm for vm in vms if vm.paths.exits.find_users(address)]
    (target,) = vms[0].members.find_targets_by_url(address)
    exit_vm.paths.pauses.share(target, 2.0)
    await wait_until(lambda: vms[0].pauses)
    assert not any(vm.pauses for vm in vms[1:])


# Guards against VMs that take lost paths of their exits for targets that are
# down.
@pytest.mark.parametrize('cut', CUTS)
async def test_nearly_all_vms_find_the_one_that_reaches_targets(
    start_vms, scripted, cut
):
    targets = [await scripted([OK], keep=True) for _ in range(4)]
    vms = await start_vms('nnssw', [one.address for one in targets])
    for vm in vms[:-1]:
        vm.direct.cut = cut
    late_failures = []
    began = time.monotonic()

    async def keep_fetching(vm):
        while time.monotonic() < began + CONTACT_SECONDS + 2:
            started = time.monotonic()
            address = random.choice(targets).address
            try:
                await fetch(vm, address)
            except TargetUnreachableError:
                if started > began + CONTACT_SECONDS:
                    late_failures.append((vm.name, started - began))
            await asyncio.sleep(0.1)

    await asyncio.gather(*(keep_fetching(vm) for vm in vms for _ in range(3)))
    assert not late_failures
    assert [vm.is_lost for vm in vms] == [True] * 4 + [False]
