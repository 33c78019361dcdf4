"""Fixtures of the tests of the gateway."""

import pytest

from galenaswitch.gateway import version_records
from galenaswitch.gateway.tests.version_fakes import ModelStore, Vm


@pytest.fixture
def no_pauses(monkeypatch):
    """Record versions without a pause."""
    monkeypatch.setattr(version_records, 'FIRST_RETRY_SECONDS', 0)
    monkeypatch.setattr(version_records, 'MAX_RETRY_SECONDS', 0)


@pytest.fixture
def store():
    """Return a store without records."""
    return ModelStore()


@pytest.fixture
async def start_vm(store):
    """Return a function that starts a VM of the deployment."""
    vms = []

    def start(**changes):
        vm = Vm(store, **changes)
        vms.append(vm)
        return vm

    yield start
    for vm in vms:
        vm.tasks.stop()
