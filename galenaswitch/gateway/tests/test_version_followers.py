"""Records of software versions beside VMs that follow the store."""

import pytest

from galenaswitch.gateway import version_records
from galenaswitch.gateway.tests.version_fakes import settle, tell

pytestmark = pytest.mark.usefixtures('no_pauses')


# Guards against engines that nobody uses while no VM follows the store, as in
# the first seconds of a deployment.
async def test_version_is_recorded_at_once_when_no_follower_is_heard(start_vm):
    vm = start_vm(first_start=True, hears_follower=lambda: False)
    vm.list_versions('v1')
    await settle()
    assert vm.usable == {'v1'}


# Guards against each of many VMs that reads and writes a record for itself.
async def test_version_is_left_to_a_follower_that_is_heard(store, start_vm):
    vm = start_vm(hears_follower=lambda: True)
    vm.list_versions('v1')
    await settle()
    assert not store.calls
    start_vm(first_start=True).list_versions('v1')
    await settle()
    tell(vm, store)
    assert vm.usable == {'v1'}


# Guards against a follower that is heard and records nothing.
async def test_version_is_recorded_in_time_though_a_follower_is_heard(
    store, start_vm, monkeypatch
):
    monkeypatch.setattr(version_records, 'FOLLOWER_WRITE_SECONDS', 0)
    vm = start_vm(first_start=True, hears_follower=lambda: True)
    vm.list_versions('v1')
    await settle()
    assert vm.usable == {'v1'}
