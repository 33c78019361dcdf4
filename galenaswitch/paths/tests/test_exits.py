"""Paths that are taken for lost, exits that fail, pauses behind exits."""

import asyncio
import contextlib
import time

import pytest

from galenaswitch.connections.heads import RequestHead
from galenaswitch.errors import TargetUnreachableError
from galenaswitch.evacuation.zones import UnknownZones
from galenaswitch.gateway.notices import TargetClosedError, TargetNotices
from galenaswitch.gateway.sending import Sender
from galenaswitch.gateway.turns import Turns
from galenaswitch.paths.frames import CLOSED_FRAME
from galenaswitch.paths.messages import TunnelQuery, TunnelReply
from galenaswitch.paths.tests.conftest import wait_until
from galenaswitch.paths.tests.test_paths import DOWN, OK, fetch, lose_path
from galenaswitch.platform.headers import PlatformWire

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
PAUSE = (
    b'HTTP/1.1 503 Busy\r\nRetry-After: 5\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
# Seconds within which news of a pause or of a lost path have to take effect.
NOTICE_SECONDS = 0.5
# Most requests that may reach a target from one address during a pause.
MAX_PAUSED_REQUESTS = 2
# Most exits that a VM asks for a target within a second.
MAX_ASKED_EXITS = 4


@pytest.fixture
async def targets(scripted):
    """Return three targets that answer."""
    return [await scripted([OK], keep=True) for _ in range(3)]


@pytest.fixture
async def vms(start_vms, targets):
    """Return four VMs that reach three targets."""
    return await start_vms('nnnn', [one.address for one in targets])


@pytest.fixture
def hang_at(monkeypatch):
    """Return a function that lets direct connections of a VM hang."""

    def hang(vm, addresses):
        open_direct = vm.direct.open

        async def open_unless_full(address, make_connection):
            if address in addresses:
                await asyncio.Event().wait()
            return await open_direct(address, make_connection)

        monkeypatch.setattr(vm.direct, 'open', open_unless_full)

    return hang


@pytest.fixture
def make_sender():
    """Return a function that makes a sender of a VM that shares pauses."""

    def make(vm):
        wire = PlatformWire()
        notices = TargetNotices(wire, vm.members, vm.mesh, vm.metrics)
        notices.on_pause = vm.paths.pauses.share
        vm.paths.pauses.apply = notices.apply_pause
        turns = Turns(vm.members, vm.mesh, vm.owners, vm.metrics, vm.tasks)
        return Sender(vm.pool, turns, notices, wire)

    return make


async def send(sender, target):
    """Send a request unless its target is paused."""
    with contextlib.suppress(TargetClosedError):
        async with sender.send(target, GET, b'', 3) as attempt:
            await attempt.read_head(1)


# Guards against an orderly close that is lost as it came with the reply of the
# exit, so that a target that is gone looks like one that listens.
async def test_close_right_behind_the_reply_closes_the_connection(vms, targets):
    async def answer(link, query):
        link.send(TunnelReply())
        link._writer.write(CLOSED_FRAME)

    for vm in vms[1:]:
        vm.service.handlers[TunnelQuery] = answer
    vms[0].direct.cut = 'refused'
    assert not await vms[0].pool.is_listening(targets[0].address)


# Guards against a VM that hears of no evacuation and sends through one that
# knows it.
async def test_exit_opens_no_tunnel_to_an_evacuated_zone(vms, targets):
    vms[0].direct.cut = 'refused'
    await vms[0].pool.acquire(targets[1].address, 3)
    served = sum(vm.paths.exits.count for vm in vms)
    for vm in vms[1:]:
        vm.members.apply_zone_rule(UnknownZones())
    with pytest.raises(TargetUnreachableError):
        await vms[0].pool.acquire(targets[0].address, 3)
    assert sum(vm.paths.exits.count for vm in vms) == served > 0


# Guards against requests that hang in a tunnel whose exit is cut off as well.
async def test_idle_tunnels_through_an_exit_that_is_cut_off_are_retired(
    vms, targets
):
    await lose_path(vms[0], targets)
    middle = next(vm for vm in vms[1:] if vm.paths.exits.count)
    await lose_path(middle, targets, 'hanging')
    await wait_until(lambda: vms[0].paths.notes.is_lost(middle.name))
    await asyncio.sleep(NOTICE_SECONDS)
    assert not middle.paths.exits.count


# Guards against requests in a tunnel whose exit is frozen or gone.
async def test_idle_tunnels_through_an_exit_without_a_link_are_retired(
    vms, targets
):
    await lose_path(vms[0], targets)
    middle = next(vm for vm in vms[1:] if vm.paths.exits.count)
    vms[0].mesh.find_link(middle.name).close()
    await asyncio.sleep(NOTICE_SECONDS)
    assert not middle.paths.exits.count


# Guards against a VM that counts as cut off as two targets accept no more
# connections from it, though it reaches the others.
async def test_full_targets_are_no_lost_path_while_others_are_reached(
    vms, targets, hang_at
):
    hang_at(vms[0], {targets[0].address, targets[1].address})
    kept = await vms[0].pool.acquire(targets[2].address, 3)
    for target in targets[:2]:
        await fetch(vms[0], target.address)
    assert (await kept.send(GET, b'').read_head()).status == 200
    kept.close()
    assert not vms[0].is_lost


# Guards against a target that counts as unreachable as the exits that were
# asked are cut off, too, and don't know it yet.
async def test_cut_off_exits_say_nothing_about_a_target(vms, targets):
    for vm in vms[:3]:
        vm.direct.cut = 'hanging'
    vms[0].paths.tunnels._failed_at[vms[3].name] = time.monotonic()
    with pytest.raises(TargetUnreachableError):
        await fetch(vms[0], targets[0].address)
    assert await fetch(vms[0], targets[0].address) == b'ok'


# Guards against a site in which all VMs are asked for a target that is down.
async def test_few_exits_are_asked_for_a_dead_target(start_vms, targets):
    vms = await start_vms('nnnnnnnn', [DOWN, targets[0].address])

    async def try_target():
        with pytest.raises(TargetUnreachableError):
            await vms[0].pool.acquire(DOWN, 3)

    await asyncio.gather(*(try_target() for _ in range(50)))
    assert sum(vm.direct.open_count for vm in vms[1:]) <= MAX_ASKED_EXITS


# Guards against requests that reach a target from the address of an exit after
# the target has asked that address for a pause.
@pytest.mark.parametrize('first', ['cut-off', 'exit'])
async def test_pause_holds_for_all_that_connect_through_one_exit(
    start_vms, scripted, make_sender, first
):
    target = await scripted([OK] * 3 + [PAUSE], keep=True)
    vms = await start_vms('nnnn', [target.address])
    for vm in vms[:3]:
        await lose_path(vm, [target])
        vm.pool.close()
    await wait_until(
        lambda: all(
            vm.paths.notes.is_lost(other.name)
            for vm in vms
            for other in vms[:3]
        )
    )
    entry = vms[0].members.member_list.targets[0]
    senders = [make_sender(vm) for vm in vms]
    if first == 'exit':
        senders.reverse()
    await send(senders[0], entry)
    before = len(target.requests)
    await asyncio.sleep(NOTICE_SECONDS)
    for sender in senders[1:]:
        await send(sender, entry)
    assert len(target.requests) - before <= MAX_PAUSED_REQUESTS


# Guards against connections to the store that are closed with those to targets.
async def test_lost_path_closes_idle_connections_to_targets_only(
    vms, targets, scripted
):
    store = await scripted([OK], keep=True)
    for address in (store.address, targets[0].address):
        assert await fetch(vms[0], address) == b'ok'
    await lose_path(vms[0], targets[1:], 'hanging')
    opened_count = vms[0].pool.opened_count
    assert await fetch(vms[0], store.address) == b'ok'
    assert vms[0].pool.opened_count == opened_count
    assert await fetch(vms[0], targets[0].address) == b'ok'
    assert vms[0].pool.opened_count == opened_count + 1
