"""Which prompt parts are quarantined, on which VMs, and for how long."""

import hypothesis
import pytest
from hypothesis import strategies

from galenaswitch.quarantine.records import TRIAL_INTERVALS_SECONDS
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from galenaswitch.store.objects import Listing, StoredObject

CONTACT_SECONDS = 3.0
MAX_CRASHES = 5
MAX_LATE_SENDS = 3
THREE_CRASHES = ('t1/1', 't2/1', 't3/1')


async def test_harmful_part_is_found_among_thirty_requests(open_cluster):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES:
        parts = [
            (vm, ('first', f'{incarnation}{number}'))
            for number in range(29)
            for vm in cluster.vms[number % 4 : number % 4 + 1]
        ]
        bad = (cluster.vms[1], ('first', 'tenant', 'bad'))
        await cluster.crash(incarnation, *parts, bad)
        cluster.vms[2].containment.record_answer(('first', 'tenant'))
        await cluster.deliver()
    assert all(vm.quarantined == {'bad'} for vm in cluster.vms)


# Guards against a sound part that is blamed on a part of a crash's reports.
async def test_crash_is_judged_by_the_reports_of_all_vms(open_cluster):
    cluster = open_cluster()
    sound, bad = ('first', 'subject'), ('first', 'subject', 'bad')
    for incarnation in THREE_CRASHES:
        await cluster.crash(
            incarnation, (cluster.vms[0], sound), (cluster.vms[1], bad)
        )
        cluster.vms[2].containment.record_answer(('first',))
        await cluster.deliver()
    assert all(vm.quarantined == {'bad'} for vm in cluster.vms)


async def test_first_part_is_quarantined_when_all_with_it_crash(open_cluster):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES:
        parts = ('bad', f'own-{incarnation}')
        await cluster.crash(incarnation, (cluster.vms[0], parts))
    assert all(vm.quarantined == {'bad'} for vm in cluster.vms)


async def test_two_harmful_parts_at_one_time_are_both_found(open_cluster):
    cluster = open_cluster()
    for number in range(6):
        part = ('bad', 'worse')[number % 2]
        parts = (cluster.vms[number % 4], ('first', part))
        other = (cluster.vms[3], ('first', f'own{number}'))
        await cluster.crash(f't{number}/1', parts, other)
        cluster.vms[2].containment.record_answer(('first',))
        await cluster.deliver()
    assert all(vm.quarantined == {'bad', 'worse'} for vm in cluster.vms)


async def test_sound_part_survives_five_crashes_of_one_target(open_cluster):
    cluster = open_cluster()
    for number in range(5):
        await cluster.crash(f't1/{number}', (cluster.vms[0], ('hot', 'b')))
        cluster.vms[1].containment.record_answer(('hot', 'b'))
        await cluster.settle()
    assert not any(vm.quarantined for vm in cluster.vms)


async def test_targets_that_crash_at_one_moment_count_once(open_cluster):
    cluster = open_cluster()
    for number in range(6):
        await cluster.vms[0].break_request(f't{number}/1', 'hot')
    await cluster.settle()
    assert not any(vm.quarantined for vm in cluster.vms)


async def test_target_that_still_listens_has_not_crashed(open_cluster):
    cluster = open_cluster()
    cluster.listening = True
    for incarnation in THREE_CRASHES:
        await cluster.crash(incarnation, (cluster.vms[0], ('hot',)))
    assert not any(vm.quarantined for vm in cluster.vms)


async def test_part_that_was_answered_before_takes_five_crashes(open_cluster):
    cluster = open_cluster()
    cluster.vms[0].containment.record_answer(('first',))
    cluster.now += 1
    found = []
    for number in range(5):
        await cluster.crash(f't{number}/1', (cluster.vms[0], ('first',)))
        found.append(cluster.vms[3].quarantined)
    assert found == [set()] * 4 + [{'first'}]


async def test_other_parts_of_a_quarantined_part_are_not_blamed(
    open_cluster,
):
    cluster = open_cluster()
    vm = cluster.vms[0]
    for number in range(6):
        parts = [(vm, ('bad',))]
        if number >= 3:
            parts.append((vm, ('rare',)))
        await cluster.crash(f't{number}/1', *parts)
    assert vm.quarantined == {'bad'}


# Guards against a part quarantined by mistake that hides the harmful one.
async def test_quarantined_part_does_not_explain_later_crashes(open_cluster):
    cluster = open_cluster()
    one, two = cluster.vms[:2]
    for number in range(9):
        await cluster.crash(
            f't{number}/1', (one, ('first', 'bad')), (two, ('first', 'sound'))
        )
        two.containment.record_answer(('first',))
        await cluster.settle()
    assert all('bad' in vm.quarantined for vm in cluster.vms)


@pytest.mark.parametrize('order', [1, -1])
async def test_evidence_of_two_vms_is_joined_in_any_order(open_cluster, order):
    cluster = open_cluster()
    one, two = cluster.vms[::order][:2]
    for incarnation, vm in zip(THREE_CRASHES, (one, two, one), strict=True):
        await cluster.crash(incarnation, (vm, ('bad',)))
    assert all(vm.quarantined == {'bad'} for vm in cluster.vms)


async def test_reports_that_arrive_twice_count_once(open_cluster):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES[:2]:
        await cluster.vms[0].break_request(incarnation, 'bad')
        cluster.messages *= 3
        await cluster.settle()
        cluster.now += 1
    assert not any(vm.quarantined for vm in cluster.vms)


async def test_answer_before_the_report_of_a_crash_clears_it(open_cluster):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES:
        await cluster.vms[0].break_request(incarnation, 'hot')
        cluster.now += 0.5
        cluster.vms[1].containment.record_answer(('hot',))
        await cluster.settle()
        cluster.now += 0.5
    assert not any(vm.quarantined for vm in cluster.vms)


async def test_vm_that_starts_late_learns_of_the_crashes(open_cluster):
    cluster = open_cluster()
    late = cluster.vms.pop()
    for incarnation in THREE_CRASHES[:2]:
        await cluster.crash(incarnation, (cluster.vms[0], ('bad',)))
    await late.containment.exchange.on_link_open(cluster.vms[1])
    cluster.vms.append(late)
    await cluster.crash('t9/1', (late, ('bad',)))
    assert late.quarantined == {'bad'}


async def test_vm_without_links_learns_from_the_store(open_cluster):
    cluster = open_cluster()
    cut = cluster.vms.pop()
    for incarnation in THREE_CRASHES:
        await cluster.crash(incarnation, (cluster.vms[0], ('bad',)))
    cut.read_store()
    assert cut.quarantined == {'bad'}


async def test_record_is_written_later_by_another_vm(open_cluster):
    cluster = open_cluster()
    cluster.store.is_away = True
    for incarnation in THREE_CRASHES:
        await cluster.crash(incarnation, (cluster.vms[0], ('bad',)))
    cluster.vms.pop(0)
    cluster.store.is_away = False
    cluster.now += 3
    await cluster.vms[0].containment.run_maintenance()
    assert set(cluster.store.objects) == {'bad'}


async def test_refusal_names_the_part_and_the_next_trial(open_cluster):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES:
        await cluster.crash(incarnation, (cluster.vms[0], ('bad',)))
    with pytest.raises(RefusedError) as caught:
        await cluster.vms[2].containment.admit(('first', 'bad'))
    error = caught.value
    assert (error.reason, error.run) == (
        Reason.quarantined,
        ExecutionState.not_run,
    )
    assert error.detail == 'bad'
    assert 0 < error.retry_after <= TRIAL_INTERVALS_SECONDS[0]


async def test_vms_together_make_one_trial_at_a_time(open_cluster):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES:
        await cluster.crash(incarnation, (cluster.vms[0], ('bad',)))
    trials = 0
    for _ in range(3 * int(sum(TRIAL_INTERVALS_SECONDS))):
        sent = [await vm.send('a1', 'bad') for vm in cluster.vms]
        assert sum(sent) <= 1
        trials += sum(sent)
        await cluster.settle()
        cluster.now += 0.5
    assert trials == len(TRIAL_INTERVALS_SECONDS)


async def test_answer_to_a_trial_ends_the_quarantine_everywhere(open_cluster):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES:
        await cluster.crash(incarnation, (cluster.vms[0], ('bad',)))
    cluster.now += TRIAL_INTERVALS_SECONDS[0]
    assert await cluster.vms[1].send('a1', 'bad')
    cluster.vms[1].containment.record_answer(('bad',))
    await cluster.settle()
    assert not any(vm.quarantined for vm in cluster.vms)
    assert not cluster.store.objects
    assert await cluster.vms[3].send('a2', 'bad')


async def test_operator_ends_a_quarantine_by_deleting_its_record(open_cluster):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES:
        await cluster.crash(incarnation, (cluster.vms[0], ('bad',)))
    cluster.store.objects.clear()
    cluster.store.revision += 1
    await cluster.settle()
    assert not any(vm.quarantined for vm in cluster.vms)
    await cluster.crash('t4/1', (cluster.vms[0], ('bad',)))
    assert not any(vm.quarantined for vm in cluster.vms)


# Guards against a quarantine that ends by a view of the store older than
# its record.
async def test_record_that_the_watch_has_not_shown_yet_is_not_lifted(
    open_cluster,
):
    cluster = open_cluster(1)
    vm = cluster.vms[0]
    await cluster.store.write('galena-quarantines', 'z', {}, 0)
    vm.read_store()
    older = Listing(
        cluster.store.revision + 1,
        (
            StoredObject(
                'galena-quarantines', 'other', cluster.store.revision + 1, {}
            ),
        ),
    )
    cluster.store.revision += 1
    for incarnation in THREE_CRASHES:
        await vm.break_request(incarnation, 'bad')
        cluster.now += 1
    await cluster.run_tasks()
    assert cluster.store.objects['bad']
    vm.cache.apply_listing(older, cluster.now)
    vm.containment._apply_records(vm.cache)
    assert vm.quarantined == {'bad'}


# Guards against a process that ends by a record that another program wrote.
@pytest.mark.parametrize(
    'body',
    [
        None,
        {},
        {'part': 'bad'},
        {'part': 'bad', 'trials': 'x', 'crashes': []},
        {'part': 'bad', 'trials': 0, 'crashes': [['x']]},
    ],
)
async def test_malformed_record_is_ignored(open_cluster, body):
    cluster = open_cluster(1)
    await cluster.store.write('galena-quarantines', 'bad', body, 0)
    cluster.vms[0].read_store()
    assert not cluster.vms[0].quarantined


async def test_evidence_of_a_crash_is_bounded(open_cluster):
    cluster = open_cluster(2)
    for number in range(20):
        parts = tuple(f'p{number}x{one}' for one in range(50))
        await cluster.vms[0].break_request('t1/1', *parts)
    await cluster.settle()
    evidence = await cluster.vms[1].request(None, 1)
    assert len(evidence.crashes[0].parts) <= 256


async def test_request_of_a_implicated_part_is_not_repeated(open_cluster):
    cluster = open_cluster()
    parts = ('first', 'bad')
    await cluster.crash('t1/1', (cluster.vms[0], parts))
    assert cluster.vms[0].containment.may_repeat(parts)
    await cluster.crash('t2/1', (cluster.vms[1], parts))
    assert not cluster.vms[0].containment.may_repeat(parts)


# One step: a VM, what it sends, which VM has a sound request at the same
# target, and whether all messages are delivered before it.
STEP = strategies.tuples(
    strategies.integers(0, 3),
    strategies.sampled_from(('bad', 'bad', 's1', 's2')),
    strategies.integers(0, 3),
    strategies.booleans(),
)


@hypothesis.settings(
    max_examples=150,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(strategies.lists(STEP, min_size=10, max_size=60))
async def test_any_order_of_events_keeps_the_bound_and_sound_parts(
    open_cluster, steps
):
    cluster = open_cluster()
    crashes = []
    for number, (sender, part, other, delivers) in enumerate(steps):
        vm = cluster.vms[sender]
        cluster.now += 0.5
        # A VM judges what it knows in less than the time of a step.
        await cluster.run_tasks()
        if delivers:
            await cluster.settle()
        if not await vm.send(f'a{number}', 'first', part):
            continue
        if part != 'bad':
            vm.containment.record_answer(('first', part))
            continue
        crashes.append(cluster.now)
        await vm.break_request(f't{number}/1', 'first', 'bad')
        innocent = cluster.vms[other]
        if await innocent.send(f'b{number}', 'first', 's1'):
            await innocent.break_request(f't{number}/1', 'first', 's1')
        # News reaches all VMs within the time that the bound leaves for it.
        if len(crashes) >= MAX_CRASHES:
            await cluster.settle()
    await cluster.settle()
    bounds = crashes[MAX_CRASHES - 1 : MAX_CRASHES]
    late = [
        at for at in crashes for bound in bounds if at > bound + CONTACT_SECONDS
    ]
    assert len(late) <= MAX_LATE_SENDS
    cluster.vms[0].containment.record_answer(('first', 's1', 's2'))
    await cluster.settle()
    assert all(vm.quarantined <= {'bad'} for vm in cluster.vms)
