"""Kinds that VMs of an earlier build don't pass on."""

import asyncio

import pytest

from galenaswitch.following.duty import rank_followers
from galenaswitch.following.probe import PROBE_KIND
from galenaswitch.following.tests.conftest import (
    KIND,
    MAX_UNFED_SECONDS,
    NEW_KIND,
)

# Time in seconds within which a change of the new kind has to be known.
BOUND_SECONDS = 5.0


@pytest.fixture
async def mixed(cluster):
    """Return a cluster whose followers are of an earlier build."""
    ranked = rank_followers(vm.machine for vm in cluster.vms)
    for vm in cluster.vms:
        vm.knows_new_kind = ranked.index(vm.machine.name) > 1
    await cluster.start()
    assert await cluster.wait_for('a') < 5
    await cluster.wait_for_followers()
    assert not any(vm.knows_new_kind for vm in cluster.active)
    return cluster


def list_new(cluster):
    """Return what each VM of the new build knows of the new kind."""
    return [
        set(vm.new_follower.cache.objects)
        for vm in cluster.live
        if vm.knows_new_kind
    ]


# Guards against a VM that never hears of a kind since its followers are old.
async def test_kind_of_which_no_peer_tells_is_followed_by_each_vm(mixed):
    for names in ({'north'}, {'north', 'south'}, set()):
        for name in ('north', 'south'):
            if name in names:
                mixed.store.put(NEW_KIND, name, {})
            else:
                mixed.store.remove(NEW_KIND, name)
        knows = [names] * 4
        assert (
            await mixed.wait_until(lambda knows=knows: list_new(mixed) == knows)
            < BOUND_SECONDS
        )
    assert all(not vm.new_follower.cache.objects for vm in mixed.active)


# Guards against VMs that all call the store for what a peer tells them.
async def test_kind_of_which_a_peer_tells_is_followed_by_followers_only(
    cluster,
):
    for vm in cluster.vms:
        vm.knows_new_kind = True
    await cluster.start()
    assert await cluster.wait_for('a') < 5
    await cluster.wait_for_followers()
    await asyncio.sleep(MAX_UNFED_SECONDS + 0.5)
    cluster.store.call_count = 0
    cluster.store.put(NEW_KIND, 'north', {})
    seconds = await cluster.wait_until(
        lambda: list_new(cluster) == [{'north'}] * 6
    )
    assert seconds < 1
    assert cluster.store.call_count < 8


# Guards against an outage in which all VMs call the store for their own kind.
async def test_kind_is_not_followed_while_nobody_follows_the_store(mixed):
    await mixed.wait_until(
        lambda: all(
            vm.new_follower.is_current for vm in mixed.live if vm.knows_new_kind
        )
    )
    mixed.store.mode = 'busy'
    await asyncio.sleep(BOUND_SECONDS)
    mixed.store.calls_by_kind.clear()
    await asyncio.sleep(2)
    calls = mixed.store.calls_by_kind
    assert not calls[NEW_KIND]
    # Six VMs may probe once a second.
    assert calls[PROBE_KIND] <= 6 * 3
    # The two followers list their kind again after pauses of half a second.
    assert calls[KIND] <= 2 * 5
    assert set(calls) <= {PROBE_KIND, KIND}
    mixed.store.put(NEW_KIND, 'north', {})
    mixed.store.put(KIND, 'b', {})
    mixed.store.mode = 'well'
    assert await mixed.wait_for('a', 'b') < BOUND_SECONDS
    assert (
        await mixed.wait_until(lambda: list_new(mixed) == [{'north'}] * 4)
        < BOUND_SECONDS
    )
