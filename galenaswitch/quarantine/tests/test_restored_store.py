"""Quarantines after the store was restored from a copy."""

from galenaswitch.quarantine.records import (
    TRIAL_INTERVALS_SECONDS,
    WRITE_PAUSE_SECONDS,
)
from galenaswitch.quarantine.tests.test_containment import THREE_CRASHES
from galenaswitch.store.cache import GRACE_SECONDS
from galenaswitch.store.versions import (
    Revision,
    join_version,
    split_version,
)


def restore(cluster, objects):
    """Restore the store to a copy of its objects, at an early revision."""
    era = split_version(cluster.store.revision).era + 1
    cluster.store.objects = {
        name: (join_version(Revision(era, number)), body)
        for number, (name, (_, body)) in enumerate(objects.items(), 1)
    }
    cluster.store.revision = join_version(Revision(era, len(objects) + 1))


async def quarantine(cluster):
    """Let three crashes implicate the part ``bad``."""
    for incarnation in THREE_CRASHES:
        await cluster.crash(incarnation, (cluster.vms[0], ('bad',)))
    assert all(vm.quarantined == {'bad'} for vm in cluster.vms)


async def settle_without_record(cluster):
    """Let all VMs see that the restored store has no record."""
    for seconds in (0, GRACE_SECONDS):
        cluster.now += seconds
        for vm in cluster.vms:
            vm.read_store()
            if vm.cache.drop_expired(cluster.now):
                vm.containment._apply_records(vm.cache)


# Guards against a quarantine that a restore of the store ends.
async def test_quarantine_outlives_a_restore_that_takes_its_record(
    open_cluster,
):
    cluster = open_cluster()
    await quarantine(cluster)
    restore(cluster, {})
    await settle_without_record(cluster)
    assert all(vm.quarantined == {'bad'} for vm in cluster.vms)
    cluster.now += 2 * WRITE_PAUSE_SECONDS
    for vm in cluster.vms:
        await vm.containment.run_maintenance()
        vm.read_store()
    assert set(cluster.store.objects) == {'bad'}
    cluster.now += TRIAL_INTERVALS_SECONDS[0]
    sent = [await vm.send('a1', 'bad') for vm in cluster.vms]
    assert sum(sent) == 1


# Guards against trials that are made again when the store has forgotten them.
async def test_trial_is_counted_although_the_store_forgot_it(open_cluster):
    cluster = open_cluster()
    await quarantine(cluster)
    copy = dict(cluster.store.objects)
    cluster.now += TRIAL_INTERVALS_SECONDS[0]
    assert await cluster.vms[1].send('a1', 'bad')
    await cluster.settle()
    restore(cluster, copy)
    await cluster.settle()
    trials = 1
    for _ in range(3):
        cluster.now += TRIAL_INTERVALS_SECONDS[-1]
        for vm in cluster.vms:
            trials += await vm.send('a2', 'bad')
            await cluster.settle()
    assert trials == len(TRIAL_INTERVALS_SECONDS)


# Guards against a quarantine that begins again by the copy of its record.
async def test_ended_quarantine_does_not_return_with_a_restored_record(
    open_cluster,
):
    cluster = open_cluster()
    await quarantine(cluster)
    copy = dict(cluster.store.objects)
    cluster.now += TRIAL_INTERVALS_SECONDS[0]
    assert await cluster.vms[1].send('a1', 'bad')
    cluster.vms[1].containment.record_answer(('bad',))
    await cluster.settle()
    assert not any(vm.quarantined for vm in cluster.vms)
    restore(cluster, copy)
    await cluster.settle()
    await cluster.settle()
    assert not any(vm.quarantined for vm in cluster.vms)
    assert not cluster.store.objects
