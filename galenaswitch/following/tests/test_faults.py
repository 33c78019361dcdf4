"""Copies of the store's objects while the VMs that follow it fail."""

import asyncio

import pytest

KIND = 'servers'
# Time in seconds within which a leaving target or a configuration has to be
# known on the smallest deployments.
BOUND_SECONDS = 2.0


@pytest.fixture
async def running(cluster):
    """Return a cluster whose followers have been found."""
    await cluster.start()
    assert await cluster.wait_for('a') < 5
    await cluster.wait_for_followers()
    return cluster


async def test_change_reaches_all_vms_through_two_followers(running):
    running.store.call_count = 0
    for name in ('b', 'c', 'd'):
        running.store.put(KIND, name, {})
        assert (
            await running.wait_until(
                lambda name=name: all(name in vm.names for vm in running.live)
            )
            < BOUND_SECONDS
        )
    running.store.remove(KIND, 'a')
    assert await running.wait_for('b', 'c', 'd') < BOUND_SECONDS
    # Each follower lists once and calls once a change, and probes once a
    # second; six VMs that watch by themselves would call 24 times and more.
    assert running.store.call_count < 16


# Guards against VMs whose followers are killed just before a change.
async def test_change_is_known_in_time_when_both_followers_are_killed(running):
    for vm in running.active:
        await vm.stop()
    running.store.remove(KIND, 'a')
    assert await running.wait_for() < BOUND_SECONDS


# Guards against the store that turns its followers away, also without a word,
# while it serves all others.
@pytest.mark.parametrize('mode', ['reset', 'silent', 'mute_answers'])
async def test_change_is_known_when_the_followers_are_turned_away(
    running, mode
):
    turned_away = running.active
    for vm in turned_away:
        vm.store.change_mode(mode)
    await asyncio.sleep(BOUND_SECONDS)
    running.store.remove(KIND, 'a')
    assert await running.wait_for() < BOUND_SECONDS


# Guards against a follower that is turned away at the moment of a change.
@pytest.mark.parametrize('mode', ['reset', 'silent'])
async def test_one_follower_that_fails_at_a_change_delays_nothing(
    running, mode
):
    running.active[0].store.change_mode(mode)
    running.store.remove(KIND, 'a')
    assert await running.wait_for() < BOUND_SECONDS


# Guards against changes that reach some VMs only.
async def test_lost_messages_are_repaired(running, monkeypatch):
    for vm in running.active:
        monkeypatch.setattr(vm.follower, 'on_changes', lambda *args: None)
    running.store.remove(KIND, 'a')
    assert await running.wait_for() < BOUND_SECONDS


# Guards against a copy that a late follower brings back.
async def test_killed_vms_that_start_again_bring_nothing_back(running):
    first, second = running.active
    await first.stop()
    running.store.remove(KIND, 'a')
    assert await running.wait_for() < BOUND_SECONDS
    await second.stop()
    await running.start(first, second)
    assert await running.wait_for() < BOUND_SECONDS
    await asyncio.sleep(1)
    assert not any(vm.names for vm in running.live)


# Guards against VMs that know nothing since all started while the store was
# away, and against calls of all of them meanwhile.
async def test_vms_that_start_without_the_store_learn_on_its_return(cluster):
    cluster.store.mode = 'busy'
    await cluster.start()
    await asyncio.sleep(3)
    assert not cluster.active
    cluster.store.mode = 'well'
    assert await cluster.wait_for('a') < 5


# Guards against a restore that VMs without a call to the store don't notice.
async def test_restored_store_is_known_to_all(running):
    copy = running.store.copy()
    running.store.put(KIND, 'b', {})
    assert await running.wait_for('a', 'b') < BOUND_SECONDS
    running.store.restore(copy)
    running.store.put(KIND, 'c', {})
    assert (
        await running.wait_until(
            lambda: all('c' in vm.names for vm in running.live)
        )
        < BOUND_SECONDS
    )
    assert await running.wait_for('a', 'c') < 2 * BOUND_SECONDS


# Guards against a VM that only the store reaches.
async def test_vm_without_peers_follows_by_itself(cluster):
    alone = cluster.vms[0]
    await cluster.start(alone)
    assert await cluster.wait_for('a') < 1
    assert await cluster.wait_until(lambda: alone.following.is_current) < 5
    cluster.store.remove(KIND, 'a')
    assert await cluster.wait_for() < BOUND_SECONDS


# Guards against a VM that only its peers reach.
async def test_vm_without_the_store_learns_from_peers(running):
    vm = next(vm for vm in running.live if not vm.following.is_active)
    await vm.stop()
    vm.store.change_mode('reset')
    await running.start(vm)
    assert await running.wait_for('a') < BOUND_SECONDS
    running.store.put(KIND, 'b', {})
    assert await running.wait_for('a', 'b') < BOUND_SECONDS


# Guards against an outage of the store in which all VMs call it at full price.
async def test_outage_does_not_let_all_vms_call_the_store(running):
    running.store.mode = 'busy'
    for vm in running.live:
        vm.store.cut()
    await asyncio.sleep(1)
    running.store.call_count = 0
    await asyncio.sleep(3)
    assert len(running.active) <= 3
    assert running.store.call_count < 40
    running.store.mode = 'well'
    running.store.put(KIND, 'b', {})
    assert await running.wait_for('a', 'b') < 3


# Guards against a follower that stops: others begin before it has ended.
async def test_planned_stop_of_a_follower_leaves_no_time_without(running):
    leaving = running.active[0]
    leaving.following.leave()
    assert (
        await running.wait_until(
            lambda: len([vm for vm in running.active if vm is not leaving]) == 2
        )
        < 3
    )
    await leaving.stop()
    running.store.remove(KIND, 'a')
    assert await running.wait_for() < 1
