"""Sound targets that are silent for a time, beside planned work on all VMs."""

import asyncio

import pytest

from galenaswitch.platform.soak.bursts import Burst
from galenaswitch.platform.soak.callers import OK, REQUEST_KINDS
from galenaswitch.platform.soak.machines import GRACE_SECONDS
from galenaswitch.platform.soak.records import InjectedFault
from galenaswitch.platform.soak.silences import ALL_SILENCES
from galenaswitch.platform.soak.soundness import (
    check_cut_answers,
    check_overlaps,
    check_words,
)

SIGNAL_INTERVAL_SECONDS = 0.8
# Fewest answers with a silence that a test has to see.
MIN_SILENT_ANSWERS = 8
SERVICES = ('desk', 'desk', 'scan', 'llm', 'llm', 'llm')
ONE_OF_EACH = ('desk', 'scan', 'llm')
# A request runs two stages, both of which may be silent.
SILENCES = {
    'desk': ALL_SILENCES,
    'llm': ALL_SILENCES,
    'scan': [silence for silence in ALL_SILENCES if silence.seconds < 2],
}


def find_others(soak):
    """Return all targets but the first of each service."""
    seen = set()
    return [
        target
        for target in soak._targets
        if target.service in seen or seen.add(target.service)
    ]


def fill_others(soak):
    """Let all targets but the first of a service refuse all requests."""
    for target in find_others(soak):
        target.mode = 'full'


def remove_others(soak):
    """Let all targets but the first of a service leave."""
    for target in find_others(soak):
        target.state = 'draining'
        target.says_leaving = True


def keep_others(soak):
    """Let all targets be as they are."""


async def stop_machine(soak, machine):
    """Stop a machine and record it."""
    now = soak._now()
    stop = InjectedFault('term', machine.number, now, now + 99, planned=True)
    number = len(soak.records.faults)
    soak.records.faults.append(stop)
    await machine.stop_gracefully()
    soak.records.faults[number] = stop._replace(ended_at=soak._now())


async def disturb(soak, change_others):
    """Change the configuration and signal all machines in turn."""
    async with asyncio.TaskGroup() as group:
        group.create_task(soak._operator.change_often(2 * GRACE_SECONDS))
        await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
        change_others(soak)
        for machine in soak._machines:
            machine.change_settings()
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
        for machine in soak._machines:
            group.create_task(stop_machine(soak, machine))
            machine.change_settings()
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)


# Each case guards against an answer that is given up before another target is
# sure to go on with it.
@pytest.mark.timeout(90)
@pytest.mark.parametrize(
    ('network', 'silent', 'change_others', 'plan'),
    [
        # The other targets refuse, as they are full.
        pytest.param(
            131, ('desk', 'llm'), fill_others, {'services': SERVICES}, id='full'
        ),
        # The retry budget is used up.
        pytest.param(
            132, ('desk', 'llm'), keep_others, {'retries': False}, id='budget'
        ),
        # The other targets leave after the request has been sent.
        pytest.param(
            133,
            ('desk', 'llm'),
            remove_others,
            {'services': SERVICES},
            id='leaving',
        ),
        # There is no other target.
        pytest.param(
            134,
            ('desk', 'llm'),
            keep_others,
            {'services': ONE_OF_EACH},
            id='alone',
        ),
        # All targets are silent, and each attempt is given up.
        pytest.param(135, ('desk', 'llm'), keep_others, {}, id='all'),
        # All targets of the stages are silent.
        pytest.param(136, ('scan',), keep_others, {}, id='stages'),
    ],
)
async def test_silence_of_sound_targets_ends_no_answer(
    open_driver, start_callers, network, silent, change_others, plan
):
    soak = (await open_driver(network, **plan)).soak
    for target in soak._targets:
        if target.service in silent:
            target.change_silences(SILENCES[target.service])
    start_callers(soak, REQUEST_KINDS)
    await disturb(soak, change_others)
    checks = (check_cut_answers, check_words, check_overlaps)
    found = [broken for check in checks for broken in check(soak.records)]
    assert not found, '\n'.join(found)
    silent_answers = [
        span
        for span in soak.records.spans
        if span.silent_seconds and span.ending == 'complete'
    ]
    assert len(silent_answers) >= MIN_SILENT_ANSWERS


# Guards against connections and pipelined requests of a burst that are closed
# without a word, while limits change and the settings are read again.
@pytest.mark.timeout(60)
async def test_burst_of_pipelined_requests_is_answered(open_driver):
    soak = (await open_driver(137)).soak
    async with asyncio.TaskGroup() as group:
        group.create_task(soak._operator.change_often(3))
        for _ in range(3):
            for machine in soak._machines:
                burst = Burst(machine, soak.records, soak._now)
                group.create_task(burst.send())
                machine.change_settings()
            await asyncio.sleep(1)
    assert not [*check_cut_answers(soak.records), *check_words(soak.records)]
    statuses = [request.status for request in soak.records.sent]
    assert statuses.count(OK) > len(statuses) / 2
    assert all(request.complete for request in soak.records.sent)
