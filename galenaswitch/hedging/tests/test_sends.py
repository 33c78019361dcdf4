"""Extra sends of a VM to fake targets, without a network."""

import asyncio
import itertools
import time
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from galenaswitch.errors import TargetBusyError
from galenaswitch.gateway.calls import Load
from galenaswitch.gateway.plain_records import AttemptRecords
from galenaswitch.gateway.routes import CallKind
from galenaswitch.gateway.selection import PlainJob
from galenaswitch.hedging.policy import ExtraWorkPolicy
from galenaswitch.hedging.sends import ExtraSends, Hedges
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Target
from galenaswitch.operations.metrics import LocalMetrics
from galenaswitch.pipelines.hedging import find_first_success
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import LoadView

LATE_SECONDS = 0.03
FOREVER = 60.0
TARGETS = tuple(Target(f't{n}', f't{n}/1', 'z', 'desk', 'h') for n in range(3))
FULL = Load(4, 0, 4)


class FakeVm:
    """Parts of a VM around extra sends, with targets that answer in a time.

    :ivar seconds: time that each target takes, by name.
    """

    def __init__(self):
        """Build a VM that knows the latency of its service."""
        self.seconds = {'t0': FOREVER, 't1': 0.0, 't2': 0.0}
        self.sent = []
        self.cancelled = []
        self.loads = LoadView()
        self.budgets = RetryBudgets(0.2, 0, 10)
        self.ejector = Ejector()
        self.metrics = LocalMetrics()
        self.sender = Mock()
        self.sender.turns.pacer.rates = {}
        self.sender.turns.seats.is_brittle.return_value = False
        self.sender.select = Mock(side_effect=lambda found: found)
        self.members = Mock()
        self.members.usable.return_value = TARGETS
        self.members.is_leaving.return_value = False
        self.extra = ExtraSends(
            ExtraWorkPolicy(0.1),
            self.members,
            self.sender,
            self.loads,
            self.budgets,
            self.ejector,
            self.metrics,
        )
        for _ in range(100):
            self.extra.record_first(self.make_job())
            self.budgets.of('desk').record_request(time.monotonic())
            self.extra.record_latency('desk', LATE_SECONDS)

    def make_job(self, kind=CallKind.repeatable):
        """Return a job whose objective is 1 s ahead."""
        request = SimpleNamespace(
            ident='r',
            service='desk',
            route=SimpleNamespace(kind=kind, attempts=2),
            objective_deadline=time.monotonic() + 1,
        )
        return PlainJob(request, Mock())

    async def send(self, job, target):
        """Answer with the name of the target, after its time."""
        job.progress.record_sent(repeatable=True)
        self.sent.append(target.name)
        load = self.loads.get_load(target.name)
        work = load.start(time.monotonic(), 0, 0)
        try:
            await asyncio.sleep(self.seconds[target.name])
        except asyncio.CancelledError:
            self.cancelled.append(target.name)
            raise
        finally:
            load.finish(work, time.monotonic())
        return target.name

    async def run(self, job=None, silence=0.3):
        """Return the first answer; give up when a target would be silent."""
        job = job or self.make_job()
        job.tried.add('t0')
        first = asyncio.create_task(self.send(job, TARGETS[0]))
        await asyncio.sleep(0)

        def give_up():
            first.cancel()
            return set()

        hedges = Hedges(
            itertools.repeat(silence), give_up, lambda: job.has_attempts_left
        )
        hedges = self.extra.plan(job, hedges, self.send)
        try:
            return await find_first_success(first, hedges.delays, hedges.start)
        except asyncio.CancelledError:
            return ''


@pytest.fixture
async def vm():
    """Return a VM whose first target doesn't answer."""
    return FakeVm()


# Guards against a slow response that nobody helps, and against a target that
# works on after another one has answered.
async def test_first_response_wins_and_the_other_attempt_is_cancelled(vm):
    assert await vm.run() in {'t1', 't2'}
    assert vm.cancelled == ['t0']
    assert vm.metrics.dump()['extra_sent'] == 1
    assert vm.metrics.dump()['extra_won'] == 1


async def test_late_response_that_still_comes_first_cancels_the_extra_send(vm):
    vm.seconds = {'t0': LATE_SECONDS + 0.05, 't1': FOREVER, 't2': FOREVER}
    assert await vm.run() == 't0'
    assert vm.cancelled in (['t1'], ['t2'])
    assert 'extra_won' not in vm.metrics.dump()


# Guards against extra work for responses that are in time.
async def test_response_in_time_gets_no_extra_send(vm):
    vm.seconds['t0'] = 0
    assert await vm.run() == 't0'
    assert vm.sent == ['t0']


def make_brittle(vm):
    """Let the targets be brittle."""
    vm.sender.turns.seats.is_brittle.return_value = True


def limit_all(vm):
    """Let all targets name a limit."""
    vm.sender.turns.pacer.rates = {one.incarnation: 5.0 for one in TARGETS}


def pause_all(vm):
    """Pause all targets."""
    vm.sender.select.side_effect = lambda found: ()


def eject_others(vm):
    """Eject the targets that could help."""
    for name in ('t1', 't2'):
        vm.ejector.eject(name, time.monotonic())


def leave_others(vm):
    """Let the targets that could help leave."""
    vm.members.is_leaving.side_effect = lambda target: target.name != 't0'


def fill_others(vm):
    """Let the targets that could help report that they are full."""
    for target in TARGETS[1:]:
        vm.extra.record_load(target, FULL)


def occupy_others(vm):
    """Give the targets that could help requests of this VM."""
    for name in ('t1', 't2'):
        vm.loads.get_load(name).start(time.monotonic(), 0, 0)


def refuse_one(vm):
    """Let a target turn a request away."""
    vm.extra.record_error(vm.make_job(), TargetBusyError('full'))


def use_half_of_the_retries(vm):
    """Use retries up to the reserve for true ones."""
    budget = vm.budgets.of('desk')
    while budget.can_acquire(time.monotonic(), used_share=0.5):
        budget.acquire(time.monotonic())


# Guards against extra sends that break limits of targets, displace first
# sends, or leave no retries for failures.
@pytest.mark.parametrize(
    'change',
    [
        make_brittle,
        limit_all,
        pause_all,
        eject_others,
        leave_others,
        fill_others,
        occupy_others,
        refuse_one,
        use_half_of_the_retries,
    ],
)
async def test_extra_send_is_withheld(vm, change):
    change(vm)
    assert await vm.run() == ''
    assert vm.sent == ['t0']
    assert vm.metrics.dump()['extra_withheld'] == 1


# Guards against true retries that find the budget used up by extra sends.
async def test_extra_sends_leave_retries(vm):
    while (await vm.run()) in {'t1', 't2'}:
        continue
    retries = 0
    while vm.budgets.of('desk').acquire(time.monotonic()):
        retries += 1
    assert vm.metrics.dump()['extra_sent'] == 8
    assert retries >= 8


# Guards against requests that run at more targets than their route allows, or
# twice though they may run only once.
async def test_route_without_another_attempt_gets_no_extra_send(vm):
    job = vm.make_job()
    job.request.route.attempts = 1
    assert await vm.run(job) == ''
    assert await vm.run(vm.make_job(CallKind.once)) == ''
    assert vm.sent == ['t0', 't0']


# Guards against an extra send after a target already counts as silent.
async def test_hedge_of_a_silent_target_comes_first_if_it_is_earlier(vm):
    assert await vm.run(silence=LATE_SECONDS / 2) == ''
    assert vm.sent == ['t0']


# Guards against an old report that keeps a target from extra sends for ever.
async def test_old_load_report_is_ignored(vm, monkeypatch):
    fill_others(vm)
    monkeypatch.setattr('galenaswitch.hedging.sends.MAX_LOAD_AGE_SECONDS', -1)
    assert await vm.run() in {'t1', 't2'}


# Guards against sound targets that are ejected for being later than most.
@pytest.mark.parametrize(('seconds', 'expected'), [(0.05, False), (0.2, True)])
async def test_only_a_silent_target_beside_an_extra_send_failed(
    vm, seconds, expected
):
    records = AttemptRecords(vm.loads, vm.ejector)
    records.extra = vm.extra
    job = vm.make_job()
    for _ in range(3):
        job.in_flight['t0'] = time.monotonic() - seconds
        records.record_silent(job, 0.02, 0.15)
    assert vm.ejector.is_ejected('t0', time.monotonic()) == expected
