"""Records of software versions while targets, VMs and the store change."""

import asyncio
import contextlib

import pytest

from galenaswitch.errors import StoreConflictError
from galenaswitch.gateway import version_records
from galenaswitch.gateway.tests.version_fakes import (
    SERVICE,
    settle,
    tell,
)
from galenaswitch.gateway.version_records import VERSION_KIND
from galenaswitch.membership.lists import Target
from galenaswitch.store.objects import StoredObject

pytestmark = pytest.mark.usefixtures('no_pauses')


# Guards against take-ups that are all refused after all VMs were killed.
async def test_only_version_is_known_to_a_vm_that_starts_again(start_vm):
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    assert vm.usable == {'v1'}
    restarted = start_vm()
    assert await restarted.records.find_only_version(SERVICE) == 'v1'


# Guards against a stream that goes on at the version that is left.
async def test_version_that_has_just_left_is_remembered(start_vm):
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    vm.list_versions('v2')
    await settle()
    restarted = start_vm()
    restarted.list_versions('v2')
    await settle()
    assert await restarted.records.find_only_version(SERVICE) is None


# Guards against a stream at a version that a killed VM can't have recorded.
async def test_target_is_not_used_before_its_version_is_recorded(
    store, start_vm
):
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    store.is_away = True
    vm.list_versions('v1', 'v2')
    await settle()
    assert vm.usable == {'v1'}
    store.is_away = False
    await settle()
    assert vm.usable == {'v1', 'v2'}


# Guards against a stream at a version whose record is written seconds later,
# or never.
async def test_target_waits_while_the_write_of_its_version_is_late(
    store, start_vm
):
    vm, other = start_vm(first_start=True), start_vm()
    vm.list_versions('v1')
    await settle()
    store.is_late = True
    vm.list_versions('v1', 'v2')
    await settle()
    assert vm.usable == {'v1'}
    assert await other.records.find_only_version(SERVICE) == 'v1'
    store.finish_writes()
    await settle()
    assert vm.usable == {'v1', 'v2'}
    assert await other.records.find_only_version(SERVICE) is None


# Guards against a take-up at a VM that stood still before it read the record,
# while a version joined.
async def test_vm_that_stood_still_infers_nothing_old(start_vm):
    vm, other = start_vm(first_start=True), start_vm()
    vm.list_versions('v1')
    await settle()
    assert await vm.records.find_only_version(SERVICE) == 'v1'
    vm.store.running.clear()
    found = [
        asyncio.create_task(vm.records.find_only_version(SERVICE))
        for _ in range(3)
    ]
    other.list_versions('v1', 'v2')
    await settle()
    assert other.usable == {'v1', 'v2'}
    vm.store.running.set()
    assert await asyncio.gather(*found) == [None, None, None]


async def test_targets_of_other_services_are_used_at_once(store, start_vm):
    vm = start_vm()
    store.is_away = True
    target = Target('a', 'a/1', 'z', 'desk', '127.0.0.1:9', version='v1')
    assert vm.records.admit([target], {SERVICE}) == [target]


# Guards against a record of an earlier era that lacks a version added since.
async def test_record_of_a_restored_store_is_not_trusted(store, start_vm):
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    copy = store.copy()
    vm.list_versions('v1', 'v2')
    await settle()
    store.restore(copy)
    restarted = start_vm()
    assert await restarted.records.find_only_version(SERVICE) is None
    restarted.list_versions('v1')
    await settle()
    assert restarted.usable == {'v1'}
    assert await restarted.records.find_only_version(SERVICE) is None


# Guards against a VM that takes a record lost in a restore for one never made.
async def test_lost_record_is_written_again_as_incomplete(store, start_vm):
    copy = store.copy()
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    store.restore(copy)
    vm.list_versions('v2')
    await settle()
    assert vm.usable == {'v2'}
    assert await vm.records.find_only_version(SERVICE) is None


async def test_vm_that_did_not_see_the_first_start_claims_nothing(start_vm):
    vm = start_vm()
    vm.list_versions('v1')
    await settle()
    assert vm.usable == {'v1'}
    assert await vm.records.find_only_version(SERVICE) is None


async def test_nothing_is_known_while_the_store_is_away(store, start_vm):
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    store.is_away = True
    assert await vm.records.find_only_version(SERVICE) is None


@pytest.mark.parametrize('body', [None, [], {}, {'versions': 3, 'era': 'x'}])
async def test_unreadable_record_is_replaced(store, start_vm, body):
    store.objects[SERVICE] = StoredObject(
        VERSION_KIND, SERVICE, store._revision, body
    )
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    assert vm.usable == {'v1'}
    assert await vm.records.find_only_version(SERVICE) is None


# Guards against a version that stays in the record for good.
async def test_version_out_of_service_is_dropped_in_two_steps(
    store, start_vm, monkeypatch
):
    monkeypatch.setattr(version_records, 'SETTLE_SECONDS', 0.05)
    monkeypatch.setattr(version_records, 'REVIEW_SECONDS', 0.05)
    vm = start_vm(first_start=True)
    vm.list_versions('v1', 'v2')
    await settle()
    vm.list_versions('v2')
    await vm.records.review_once()
    assert store.objects[SERVICE].body['retiring'] == ()
    await asyncio.sleep(0.06)
    await vm.records.review_once()
    assert store.objects[SERVICE].body['retiring'] == ('v1',)
    assert await vm.records.find_only_version(SERVICE) is None
    await vm.records.review_once()
    await asyncio.sleep(0.06)
    await vm.records.review_once()
    assert await vm.records.find_only_version(SERVICE) == 'v2'


# Guards against a version that is dropped while another VM lists it again.
async def test_retiring_version_that_is_listed_again_stays(
    store, start_vm, monkeypatch
):
    monkeypatch.setattr(version_records, 'SETTLE_SECONDS', 0.05)
    vm, other = start_vm(first_start=True), start_vm()
    vm.list_versions('v1', 'v2')
    await settle()
    vm.list_versions('v2')
    await asyncio.sleep(0.06)
    await vm.records.review_once()
    assert store.objects[SERVICE].body['retiring'] == ('v1',)
    other.list_versions('v1')
    await settle()
    assert store.objects[SERVICE].body['retiring'] == ()
    assert set(store.objects[SERVICE].body['versions']) == {'v1', 'v2'}


# Guards against a version that is lost when a record changes during a review.
async def test_review_keeps_a_version_that_another_vm_adds_meanwhile(
    store, start_vm, monkeypatch
):
    monkeypatch.setattr(version_records, 'SETTLE_SECONDS', 0.05)
    reviewer = start_vm()
    for service in ('a', 'b'):
        store.objects[service] = StoredObject(
            VERSION_KIND,
            service,
            store._revision,
            {'versions': ['v1'], 'era': 1, 'complete': False},
        )
    await asyncio.sleep(0.06)
    targets = [
        Target(one, f'{one}/1', 'z', one, '127.0.0.1:9', version='v1')
        for one in ('a', 'b')
    ]
    reviewer.records.admit(targets, {'a', 'b'})
    await settle()
    write = store.write

    async def add_version(kind, name, body, replaces):
        version = await write(kind, name, body, replaces)
        if name == 'a':
            known = store.objects['b']
            added = {**known.body, 'versions': ['v1', 'v2']}
            await write(VERSION_KIND, 'b', added, known.version)
            await reviewer.records.find_only_version('b')
        return version

    monkeypatch.setattr(store, 'write', add_version)
    with contextlib.suppress(StoreConflictError):
        await reviewer.records.review_once()
    assert 'v2' in store.objects['b'].body['versions']


# Guards against a record that lacks a version in service, since a restore lost
# it and no VM missed it, and that vouches for the others all the same.
async def test_review_adds_a_version_that_a_restore_lost(
    store, start_vm, monkeypatch
):
    monkeypatch.setattr(version_records, 'SETTLE_SECONDS', 0.05)
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    copy = store.copy()
    vm.list_versions('v1', 'v2')
    await settle()
    store.restore(copy)
    assert await vm.records.find_only_version(SERVICE) is None
    await asyncio.sleep(0.06)
    await vm.records.review_once()
    assert vm.usable == {'v1', 'v2'}
    assert await start_vm().records.find_only_version(SERVICE) is None


# Guards against an answer to a write that comes late and hides what other VMs
# have recorded since.
@pytest.mark.parametrize('turns', range(8))
async def test_late_answer_to_a_write_hides_no_version(
    store, start_vm, monkeypatch, turns
):
    vm, other = start_vm(first_start=True), start_vm()
    answered, write = asyncio.Event(), store.write

    async def answer_late(*request):
        monkeypatch.setattr(store, 'write', write)
        version = await write(*request)
        await answered.wait()
        return version

    monkeypatch.setattr(store, 'write', answer_late)
    vm.list_versions('v1')
    await settle()
    other.list_versions('v1', 'v2')
    await settle()
    assert other.usable == {'v1', 'v2'}
    found = [
        asyncio.create_task(vm.records.find_only_version(SERVICE))
        for _ in range(3)
    ]
    for _ in range(turns):
        await asyncio.sleep(0)
    answered.set()
    assert await asyncio.gather(*found) == [None, None, None]


# Guards against calls without end by VMs that start together.
async def test_vms_that_start_together_write_a_version_once(store, start_vm):
    vms = [start_vm(first_start=True) for _ in range(8)]
    for vm in vms:
        vm.list_versions('v1')
    await settle()
    assert all(vm.usable == {'v1'} for vm in vms)
    assert len(store.objects) == 1
    assert store.calls.count('list') <= 2 * len(vms)


# Guards against engines that wait for a call to the store, at each start of a
# process, though the record that they need is known.
async def test_version_that_a_known_record_names_is_used_at_once(
    store, start_vm
):
    start_vm(first_start=True).list_versions('v1')
    await settle()
    restarted = start_vm()
    tell(restarted, store)
    store.calls.clear()
    restarted.list_versions('v1')
    assert restarted.usable == {'v1'}
    assert not store.calls


# Guards against a version in service that a review drops, because the VM that
# uses it again didn't say so.
async def test_version_that_a_known_record_retires_is_written_again(
    store, start_vm
):
    vm = start_vm(first_start=True)
    vm.list_versions('v1', 'v2')
    await settle()
    record = store.objects[SERVICE]
    body = {**record.body, 'retiring': ['v1']}
    await store.write(VERSION_KIND, SERVICE, body, record.version)
    restarted = start_vm()
    tell(restarted, store)
    restarted.list_versions('v1', 'v2')
    assert restarted.usable == {'v2'}
    await settle()
    assert restarted.usable == {'v1', 'v2'}
    assert not store.objects[SERVICE].body['retiring']


# Guards against a record of a former era, which the store that was restored may
# lack.
async def test_known_record_of_a_former_era_admits_nothing(store, start_vm):
    copy = store.copy()
    vm = start_vm(first_start=True)
    vm.list_versions('v1')
    await settle()
    restarted = start_vm()
    tell(restarted, store)
    store.restore(copy)
    await restarted.records.find_only_version(SERVICE)
    restarted.list_versions('v1')
    assert not restarted.usable
    await settle()
    assert restarted.usable == {'v1'}
