"""Parts of a cold target's rate, under partitions and changes of the owner."""

import random

import pytest

from galenaswitch.cold.grants import LEASE_SECONDS, Grants, Leases
from galenaswitch.cold.times import ColdPeriod, ColdTimes
from galenaswitch.limits.pacing import Pacer

RATE = 7.3
BOUND = 1.5 * RATE + 5
STEP_SECONDS = 0.02
RENEW_STEPS = 15


class Vm:
    """VM that lends its part, and grants as an owner what it has borrowed."""

    def __init__(self, name, machines):
        """Build a VM that has run for long."""
        self.name = name
        self.owner = name
        self.is_frozen = False
        self.leases = Leases(-10)
        self.grants = Grants()
        self.grants.machines = machines
        times = ColdTimes()
        times.periods['t/1'] = ColdPeriod('desk', 900, 0, 900)
        self.pacer = Pacer(times, self.grants, lambda service: RATE)

    def borrow(self, vms, now):
        """Borrow the parts of the VMs that take this one for the owner."""
        for vm in vms:
            takes_it = vm.owner == self.name and not vm.is_frozen
            if takes_it and vm.leases.lend('desk', self.name, now):
                self.grants.record('desk', vm.name, now)

    def give(self, now, sends):
        """Give all turns that are free, and some in advance."""
        for _ in range(20):
            wait = self.pacer.find_wait('t/1', now)
            if wait > min(0.5, self.pacer.find_horizon('t/1', now)):
                return
            sends.append(now + self.pacer.take('t/1', now))


def find_largest_second(sends):
    """Return the most requests that a target got in one second."""
    times = sorted(sends)
    return max(
        (sum(start <= one < start + 1 for one in times) for start in times),
        default=0,
    )


def run(count, change, seconds=8.0):
    """Run VMs under constant demand everywhere, and return the sends.

    :param change: changes owners and frozen VMs at a step, and returns the
        groups of VMs that reach each other.
    """
    names = tuple(f'vm{number}' for number in range(count))
    vms = [Vm(name, names) for name in names]
    sends = []
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        for group in change(step, vms):
            for vm in group:
                if vm.is_frozen:
                    continue
                if step % RENEW_STEPS == 0:
                    vm.borrow(group, now)
                vm.give(now, sends)
    return sends


# Guards against a rate that isn't used, or exceeded without any failure.
def test_owner_of_all_vms_grants_the_whole_rate():
    def change(step, vms):
        for vm in vms:
            vm.owner = 'vm0'
        return [vms]

    sends = run(4, change)
    assert find_largest_second(sends) <= RATE + 3
    assert len(sends) >= RATE * (8 - 2 * LEASE_SECONDS)
    assert min(sends) >= LEASE_SECONDS


# Guards against owners on both sides of a partition that grant the whole each,
# and against a bound that only holds while owners don't change: each VM names
# the first of those that it reaches, at a time of its own.
@pytest.mark.parametrize('count', [2, 4, 9, 40])
@pytest.mark.parametrize('seed', range(4))
def test_bound_holds_under_partitions_changes_and_freezes(count, seed):
    rng = random.Random(f'{count}/{seed}')
    state = {'groups': 1, 'lag': 0}

    def change(step, vms):
        if step % rng.choice((40, 70, 110)) == 0:
            state['groups'] = rng.choice((1, 2, 3, count))
            for vm in vms:
                vm.is_frozen = rng.random() < 0.2
        groups = [vms[first :: state['groups']] for first in range(count)]
        groups = [group for group in groups if group]
        for group in groups[: state['groups']]:
            for vm in group:
                if not vm.is_frozen and rng.random() < 0.05:
                    vm.owner = rng.choice(group[:2]).name
        return groups[: state['groups']]

    sends = run(count, change, seconds=16)
    assert find_largest_second(sends) <= BOUND


# Guards against a frozen owner that goes on granting when it wakes up.
def test_owner_that_was_frozen_grants_nothing_before_it_borrows_again():
    grants = Grants()
    grants.machines = ('a', 'b')
    for asked_at in (0, 0.5, 1.0):
        for node in grants.machines:
            grants.record('desk', node, asked_at)
    assert grants.find('desk', RATE, 1.5).share == 1
    assert not grants.find('desk', RATE, 4.0).share
    for node in grants.machines:
        grants.record('desk', node, 4.0)
    assert not grants.find('desk', RATE, 4.9).share


# Guards against VMs of the previous build, which lend nothing, that count.
def test_vm_that_lends_nothing_keeps_its_part():
    grants = Grants()
    grants.machines = ('a', 'b', 'c', 'd')
    for asked_at in (0, 0.7, 1.4):
        grants.record('desk', 'a', asked_at)
    grant = grants.find('desk', RATE, 1.5)
    assert (grant.share, grant.burst) == (0.25, 1)


# Guards against leases of VMs that are gone, which are kept for good.
def test_leases_that_have_ended_are_dropped():
    grants = Grants()
    for number in range(100):
        grants.record('desk', f'vm{number}', number / 2)
    assert len(grants._ends_at['desk']) <= 3
