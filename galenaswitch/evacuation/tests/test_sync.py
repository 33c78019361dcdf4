"""Evacuated zones that one VM knows, from what the store shows."""

import math
from unittest.mock import Mock

import pytest
from structlog.testing import capture_logs

from galenaswitch.evacuation.sync import EvacuationSync
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.platform.evacuations import EvacuationEntries
from galenaswitch.store import registry
from galenaswitch.store.cache import GRACE_SECONDS
from galenaswitch.store.objects import Listing, StoredObject
from galenaswitch.store.versions import Revision, join_version

KIND = EvacuationEntries.kind
BOUND_SECONDS = 5.0


class Vm:
    """Sync of one VM, with a clock that the test moves."""

    def __init__(self, monkeypatch, bound=BOUND_SECONDS):
        """Build a VM with a target in each of three zones."""
        self.now = 100.0
        monkeypatch.setattr(registry.time, 'monotonic', lambda: self.now)
        self.members = Members()
        targets = tuple(
            Target(zone, f'{zone}/1', zone, 'desk', f'{zone}:1')
            for zone in 'abc'
        )
        self.members.accept(MemberList(1, (), targets))
        self.metrics = LocalMetrics()
        following = Mock()
        self.sync = EvacuationSync(
            self.members, self.metrics, EvacuationEntries()
        )
        self.sync.enable(Mock(), following, bound)
        self.follower = (
            following.add.call_args.args[0] if following.add.called else None
        )

    @property
    def usable(self):
        """Zones whose targets may get requests."""
        return ''.join(one.zone for one in self.members.usable('desk'))

    def show(self, revision, *names, era=1, body=None):
        """Receive a listing; names may have their own revision behind ``@``."""
        objects = []
        for name in names:
            zone, _, written = name.partition('@')
            version = join_version(Revision(era, int(written or revision)))
            objects.append(
                StoredObject(KIND, zone, version, {} if body is None else body)
            )
        version = join_version(Revision(era, revision))
        self.follower.receive_listing(Listing(version, tuple(objects)))

    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds
        self.follower.drop_expired()


@pytest.fixture
def vm(monkeypatch):
    """Return a VM whose settings have a bound for evacuations."""
    return Vm(monkeypatch)


# Guards against a feature that changes a deployment which doesn't ask for it.
def test_without_the_setting_the_kind_is_not_read(monkeypatch):
    vm = Vm(monkeypatch, bound=None)
    assert vm.follower is None
    assert vm.sync.is_known
    assert vm.usable == 'abc'


# Guards against a VM that sends before it knows what is evacuated.
def test_nothing_is_usable_until_the_evacuations_are_known(vm):
    assert not vm.sync.is_known
    assert not vm.usable
    vm.show(1)
    assert vm.sync.is_known
    assert vm.usable == 'abc'


# Guards against an end that leaves something behind, also when repeated.
def test_two_zones_are_evacuated_and_taken_back(vm):
    vm.show(1)
    for revision in (2, 12):
        vm.show(revision, 'a')
        assert vm.usable == 'bc'
        vm.show(revision + 1, 'a@2', 'b')
        assert vm.usable == 'c'
        vm.show(revision + 2, 'b')
        assert vm.usable == 'ac'
        vm.show(revision + 3)
        assert vm.usable == 'abc'
    assert vm.metrics.dump() == {'evacuation_began': 4, 'evacuation_ended': 4}


# Guards against an odd entry that ends an evacuation, or hides another entry.
@pytest.mark.parametrize('body', [[], 'x', 7])
def test_invalid_entry_leaves_in_force_what_is(vm, body):
    vm.show(2, 'a')
    with capture_logs() as lines:
        for revision in (3, 4):
            vm.show(revision, 'a@3', 'b@3', body=body)
    assert vm.usable == 'bc'
    errors = [line for line in lines if line['log_level'] == 'error']
    assert [line['evacuation'] for line in errors] == ['a', 'b']


# Guards against an error that repeats with each change of the store.
def test_zone_without_targets_is_reported_once(vm):
    with capture_logs() as lines:
        vm.show(2, 'x')
        vm.show(3, 'x@2', 'a')
    assert vm.usable == 'bc'
    errors = [one['event'] for one in lines if one['log_level'] == 'error']
    assert errors == ['evacuation_unlisted']


# Guards against requests to a zone whose entry a restored store has lost.
def test_entry_that_a_restored_store_lost_is_kept_for_a_while(vm):
    vm.show(9, 'a')
    vm.show(4, era=2)
    assert vm.usable == 'bc'
    vm.wait(GRACE_SECONDS - 0.1)
    assert vm.usable == 'bc'
    vm.show(6, 'a@5', era=2)
    vm.wait(GRACE_SECONDS)
    assert vm.usable == 'bc'
    vm.show(7, era=2)
    assert vm.usable == 'abc'


# Guards against an evacuation that never ends, as its end was written while the
# store was restored.
def test_entry_that_a_restored_store_lost_ends_after_the_grace_period(vm):
    vm.show(9, 'a')
    vm.show(4, era=2)
    vm.wait(GRACE_SECONDS)
    assert vm.usable == 'abc'


# Guards against an evacuation that was taken back and comes with an old copy,
# and against one that is written again and isn't followed.
def test_entry_that_was_removed_before_a_restore_is_withheld(vm):
    vm.show(5, 'a')
    vm.show(9)
    vm.show(7, 'a@5', era=2)
    assert vm.usable == 'abc'
    vm.show(8, 'a', era=2)
    assert vm.usable == 'bc'


# Guards against an operator who can't evacuate since the entry is in the copy.
def test_entry_that_stays_in_a_restored_store_comes_into_force(vm):
    vm.show(5, 'a')
    vm.show(9)
    vm.show(7, 'a@5', era=2)
    vm.wait(GRACE_SECONDS)
    assert vm.usable == 'bc'


# Guards against an outage of the store that changes what is evacuated.
def test_last_known_state_stays_in_force_without_the_store(vm):
    vm.show(2, 'a')
    vm.follower.record_contact(is_lost=True)
    vm.wait(3600)
    assert vm.usable == 'bc'


# Guards against a lost watch that is noticed only after the bound.
@pytest.mark.parametrize('bound', [1.5, 5.0, 60.0])
def test_watch_ends_within_the_bound(monkeypatch, bound):
    vm = Vm(monkeypatch, bound)
    assert vm.follower._find_watch_seconds() < bound < math.inf
