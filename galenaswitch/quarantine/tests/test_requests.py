"""Which whole requests are quarantined, and which parts are spared."""

import hypothesis
import pytest
from hypothesis import strategies

from galenaswitch.quarantine import records
from galenaswitch.quarantine.fingerprints import Fingerprints
from galenaswitch.quarantine.records import (
    REQUEST_LIFETIME_SECONDS,
    TRIAL_INTERVALS_SECONDS,
)
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

FINGERPRINTS = Fingerprints('secret')
HARMFUL = FINGERPRINTS.make([b'harmful'])
SOUND = FINGERPRINTS.make([b'sound'])
THREE_CRASHES = ('t1/1', 't2/1', 't3/1')
CONTACT_SECONDS = 3.0
RESEND_SECONDS = 0.05
MAX_CRASHES = 3
MAX_LATE_SENDS = 3


async def crash_three_times(cluster, *parts):
    """End three targets by a request, each time through another VM."""
    for number, incarnation in enumerate(THREE_CRASHES):
        await cluster.crash(incarnation, (cluster.vms[number], parts))


async def test_request_is_refused_everywhere_after_three_crashes(open_cluster):
    cluster = open_cluster()
    await crash_three_times(cluster, 'first', 'subject', HARMFUL)
    assert all(vm.quarantined == {HARMFUL} for vm in cluster.vms)
    assert await cluster.vms[3].send('a1', 'first', 'subject', SOUND)
    with pytest.raises(RefusedError) as caught:
        await cluster.vms[3].containment.admit(('first', 'subject', HARMFUL))
    assert (caught.value.reason, caught.value.run) == (
        Reason.request_quarantined,
        ExecutionState.not_run,
    )


# Guards against resends within a moment that count as one crash.
async def test_resends_within_a_moment_are_crashes_of_their_own(open_cluster):
    cluster = open_cluster()
    vm = cluster.vms[0]
    for incarnation in THREE_CRASHES:
        await vm.break_request(incarnation, HARMFUL, run_seconds=0.04)
        cluster.now += RESEND_SECONDS
    await cluster.settle()
    assert all(vm.quarantined == {HARMFUL} for vm in cluster.vms)


async def crash_together(cluster, part):
    """End three targets within a moment, each with a request of its own VM."""
    for number, incarnation in enumerate(THREE_CRASHES):
        await cluster.vms[number].break_request(
            incarnation, part, run_seconds=0.5
        )
        cluster.now += 0.01
    await cluster.settle()


async def test_sound_request_at_targets_that_crash_together_counts_once(
    open_cluster,
):
    cluster = open_cluster()
    cluster.vms[3].containment.record_answer((SOUND,))
    cluster.now += 1
    await crash_together(cluster, SOUND)
    assert not any(vm.quarantined for vm in cluster.vms)


# Guards against copies of one harmful request whose crashes count as one.
async def test_copies_of_a_request_that_crash_together_count_each(
    open_cluster,
):
    cluster = open_cluster()
    await crash_together(cluster, HARMFUL)
    assert all(vm.quarantined == {HARMFUL} for vm in cluster.vms)


# Guards against a sound request that a crash of its targets' host condemns.
async def test_first_trial_frees_a_new_request_after_a_joint_crash(
    open_cluster,
):
    cluster = open_cluster()
    await crash_together(cluster, SOUND)
    cluster.now += TRIAL_INTERVALS_SECONDS[0]
    assert await cluster.vms[2].send('a1', SOUND)
    cluster.vms[2].containment.record_answer((SOUND,))
    await cluster.settle()
    assert not any(vm.quarantined for vm in cluster.vms)


# Guards against a sound part that is blamed for one request that comes again.
async def test_one_request_does_not_condemn_its_parts(open_cluster):
    cluster = open_cluster()
    for number in range(6):
        vm = cluster.vms[number % 4]
        await cluster.crash(f't{number}/1', (vm, ('subject', HARMFUL)))
    assert all(vm.quarantined == {HARMFUL} for vm in cluster.vms)


@pytest.mark.parametrize(('requests', 'crashes'), [(3, 3), (2, 5)])
async def test_part_of_different_requests_is_condemned(
    open_cluster, requests, crashes
):
    cluster = open_cluster()
    for number in range(crashes):
        own = FINGERPRINTS.make([b'%d' % (number % requests)])
        vm = cluster.vms[number % 4]
        await cluster.crash(f't{number}/1', (vm, ('bad', own)))
    assert all('bad' in vm.quarantined for vm in cluster.vms)


# Guards against a harmful part that hides behind a request sent by many.
async def test_request_that_is_answered_hides_no_part(open_cluster):
    cluster = open_cluster()
    for number, incarnation in enumerate(THREE_CRASHES):
        own = FINGERPRINTS.make([b'%d' % number])
        await cluster.crash(
            incarnation,
            (cluster.vms[0], ('bad', own)),
            (cluster.vms[1], (SOUND,)),
        )
        cluster.vms[1].containment.record_answer((SOUND,))
        await cluster.settle()
    assert all(vm.quarantined == {'bad'} for vm in cluster.vms)


# Guards against a part that only other VMs have seen answered.
async def test_answer_at_any_vm_counts_for_a_part(open_cluster):
    cluster = open_cluster()
    cluster.vms[2].containment.record_answer(('subject',))
    cluster.now += 1
    for number in range(3):
        own = FINGERPRINTS.make([b'%d' % number])
        await cluster.crash(f't{number}/1', (cluster.vms[0], ('subject', own)))
    assert not any(vm.quarantined for vm in cluster.vms)


async def test_answer_frees_a_request_that_ran_beside_a_harmful_one(
    open_cluster,
):
    cluster = open_cluster()
    for incarnation in THREE_CRASHES:
        await cluster.crash(
            incarnation,
            (cluster.vms[0], (HARMFUL,)),
            (cluster.vms[1], (SOUND,)),
        )
    cluster.now += TRIAL_INTERVALS_SECONDS[0]
    assert await cluster.vms[2].send('a1', SOUND)
    cluster.vms[2].containment.record_answer((SOUND,))
    await cluster.settle()
    assert all(vm.quarantined == {HARMFUL} for vm in cluster.vms)


async def test_trial_of_a_request_is_not_repeated(open_cluster):
    cluster = open_cluster()
    await crash_three_times(cluster, HARMFUL)
    cluster.now += TRIAL_INTERVALS_SECONDS[0]
    assert await cluster.vms[0].send('a1', HARMFUL)
    assert not cluster.vms[0].containment.may_repeat((HARMFUL,))


# Guards against records of requests that fill the store for ever.
async def test_quarantine_of_a_request_ends_after_its_lifetime(open_cluster):
    cluster = open_cluster()
    await crash_three_times(cluster, HARMFUL)
    await cluster.crash('t4/1', (cluster.vms[0], ('bad',)))
    await cluster.crash('t5/1', (cluster.vms[0], ('bad',)))
    await cluster.crash('t6/1', (cluster.vms[0], ('bad',)))
    assert set(cluster.store.objects) == {HARMFUL, 'bad'}
    cluster.now += REQUEST_LIFETIME_SECONDS
    await cluster.vms[0].containment.run_maintenance()
    await cluster.settle()
    assert all(vm.quarantined == {'bad'} for vm in cluster.vms)
    assert set(cluster.store.objects) == {'bad'}


# Guards against harmful requests that are too many to be quarantined.
async def test_oldest_request_gives_way_when_records_are_full(
    open_cluster, monkeypatch
):
    monkeypatch.setattr(records, 'MAX_QUARANTINES', 3)
    cluster = open_cluster()
    idents = [FINGERPRINTS.make([b'%d' % number]) for number in range(4)]
    for part in ('bad', *idents):
        for number in range(3):
            await cluster.crash(f'{part}/{number}', (cluster.vms[0], (part,)))
    assert all(vm.quarantined == {'bad', *idents[-2:]} for vm in cluster.vms)
    assert set(cluster.store.objects) == {'bad', *idents[-2:]}


async def test_many_harmful_requests_at_one_time_are_all_found(open_cluster):
    cluster = open_cluster(2)
    idents = [FINGERPRINTS.make([b'%d' % number]) for number in range(200)]
    for number in range(3):
        for one, ident in enumerate(idents):
            await cluster.vms[0].break_request(f't{one}/{number}', ident)
            cluster.now += 0.2
    await cluster.settle()
    assert cluster.vms[1].quarantined == set(idents)


async def test_evidence_of_many_crashes_is_bounded(open_cluster):
    cluster = open_cluster(2)
    for number in range(300):
        parts = tuple(f'p{number}x{one}' for one in range(200))
        await cluster.vms[0].break_request(f't{number}/1', *parts)
    reply = await cluster.vms[0].request(None, 1)
    assert sum(len(crash.parts) for crash in reply.crashes) <= 32768


def test_answers_to_requests_leave_the_memory_of_parts(open_cluster):
    cluster = open_cluster(1)
    memory = cluster.vms[0].containment._answered
    memory.record('part', 1)
    for number in range(9000):
        memory.record(FINGERPRINTS.make([b'%d' % number]), 2)
    assert memory.find('part') == 1


# One step: the seconds to the next attempt of the harmful request, the VM that
# gets it, whether it is repeated after a crash, whether a sound request runs
# beside it, and whether the store is away.
STEP = strategies.tuples(
    strategies.sampled_from((0.5, 4.0)),
    strategies.integers(0, 3),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
)


@hypothesis.settings(
    max_examples=150,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(strategies.lists(STEP, min_size=10, max_size=60))
async def test_any_order_of_attempts_keeps_the_bound(open_cluster, steps):
    cluster = open_cluster()
    crashes = []
    for number, (pause, sender, repeats, beside, is_away) in enumerate(steps):
        cluster.now += pause
        cluster.store.is_away = is_away
        for vm in cluster.vms:
            await vm.containment.run_maintenance()
        await cluster.settle()
        vm = cluster.vms[sender]
        sent = await vm.send(f'a{number}', 'first', HARMFUL)
        resends = 2 if repeats else 1
        while sent and resends:
            crashes.append(cluster.now)
            incarnation = f't{number}/{resends}'
            await vm.break_request(incarnation, 'first', HARMFUL)
            if beside:
                other = cluster.vms[(sender + 1) % 4]
                await other.break_request(incarnation, 'first', SOUND)
            await cluster.deliver()
            resends -= 1
            sent = vm.containment.may_repeat(('first', HARMFUL))
            cluster.now += RESEND_SECONDS
        cluster.vms[number % 4].containment.record_answer(('first', SOUND))
    late = [
        at
        for at in crashes[MAX_CRASHES:]
        if at > crashes[MAX_CRASHES - 1] + CONTACT_SECONDS
    ]
    assert len(late) <= MAX_LATE_SENDS
    await cluster.settle()
    assert all(vm.quarantined <= {HARMFUL} for vm in cluster.vms)


# Guards against a report whose prompt parts push out its requests.
async def test_report_of_a_crash_is_bounded_and_names_its_requests(
    open_cluster,
):
    cluster = open_cluster(2)
    vm = cluster.vms[0]
    for number in range(5):
        await vm.break_request(
            't1/1', *(f'p{number}x{one}' for one in range(300)), HARMFUL
        )
    sent = [message for _, _, message in cluster.messages]
    assert sent
    for message in sent:
        idents = [part.ident for part in message.parts]
        assert HARMFUL in idents
        assert len(idents) <= 257
