"""Machines whose process stands still for a moment and goes on."""

import asyncio
import signal

import pytest

# Events in which a machine holds a target or a peer to be silent or lost.
BLAMES = ('event=peer_silent', 'event=holder_lost', 'TargetLateError')
CALLERS = 8


async def send_all(driver, number):
    """Send requests one after another; the task is cancelled in the end."""
    while True:
        await driver.send('plain', f'p{number}')
        await asyncio.sleep(0.02)


# Guards against a machine that stood still and takes its own pause for one of
# its targets and peers.
@pytest.mark.timeout(90)
async def test_machine_that_stood_still_blames_no_one(open_driver):
    driver = await open_driver(88)
    machine = driver.soak._machines[0]
    async with asyncio.TaskGroup() as tasks:
        callers = [
            tasks.create_task(send_all(driver, number))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(2)
        before = machine._log.stat().st_size
        for _ in range(3):
            machine.signal(signal.SIGSTOP)
            await asyncio.sleep(2)
            machine.signal(signal.SIGCONT)
            await asyncio.sleep(2)
        for caller in callers:
            caller.cancel()
    lines = machine._log.read_bytes()[before:].decode().splitlines()
    assert not [line for line in lines for blame in BLAMES if blame in line]
    assert any('event=loop_held_up' in line for line in lines)
