"""Take-ups at a VM that is out of step while targets of a version join."""

import asyncio
import random
import re
import signal

import aiohttp
import pytest

from galenaswitch.platform.soak.callers import OK, Caller, Stream
from galenaswitch.platform.soak.promises import check_answers, check_versions

# Seconds of streams before a version joins, in which it joins, and in which
# take-ups are answered.
BEFORE_SECONDS, JOIN_SECONDS, AFTER_SECONDS = 1.5, 2.5, 4.0
# Time for which a VM stays without the store when take-ups come.
CUT_SECONDS = 0.5
# Time in which a VM that stands still gets take-ups, which wait for it.
QUEUE_SECONDS = 0.2
MIN_TAKE_UPS = 3
# Events, at 33 a second, that streams lack when the VMs are killed. A stream
# with fewer may have ended before its VM has.
MIN_EVENTS_LEFT = 4
POLL_SECONDS = 0.02


class Subject:
    """The VM that is out of step, and the engines of a soak.

    :ivar stands_still: whether the VM stands still.
    :ivar store_mode: mode of its link to the store.
    """

    def __init__(self, soak, store_mode, *, stands_still):
        """Let the first VM of a soak be out of step later."""
        self.soak = soak
        self.machine = soak._machines[0]
        self.engines = [one for one in soak._targets if one.service == 'llm']
        self.stands_still = stands_still
        self.store_mode = store_mode
        self.running = set()

    def step_out(self):
        """Cut the VM off, or let it stand still, while a version joins.

        Nobody reaches the engine of the old version meanwhile. Callers send
        nothing to the VM, which knows the new version from its peers where it
        doesn't stand still.
        """
        self.soak._balancer.excluded.add(0)
        self.machine.store.change_mode(self.store_mode)
        if self.stands_still:
            self.machine.signal(signal.SIGSTOP)
        self.engines[0].proxy.change_mode('reset')
        for engine in self.engines[1:]:
            engine.restart()
            engine.version = 'v2'
            engine.proxy.cut()

    async def wait_streams(self):
        """Wait until callers have events of several new streams.

        Those of the VM itself don't count, since they won't break off.
        """
        records = self.soak.records
        while len(self.running) < MIN_TAKE_UPS:
            await asyncio.sleep(POLL_SECONDS)
            self.running = {
                ident
                for ident, content in records.received.items()
                if records.machines_by_ident[ident]
                and b'.v2\n' in content
                and self._count_left(ident) >= MIN_EVENTS_LEFT
            }

    async def break_streams(self):
        """Kill all other VMs, and let the old engine be reached again.

        A process that is killed lives on until it gets processor time, so the
        streams break off some time later.
        """
        for machine in self.soak._machines[1:]:
            machine.kill()
        self.engines[0].proxy.change_mode('well')
        while self.running.intersection(self.soak.records.received):
            await asyncio.sleep(POLL_SECONDS)

    async def step_in(self):
        """Let the VM go on, and some time later also with the store."""
        self.machine.signal(signal.SIGCONT)
        if self.store_mode != 'well':
            await asyncio.sleep(CUT_SECONDS)
        self.machine.store.change_mode('well')

    def find_broken(self):
        """Return the streams of the new version that broke off."""
        records = self.soak.records
        return [
            Stream(
                sent.kind,
                records.paths_by_ident[sent.ident],
                sent.origin,
                sent.after,
            ).advance(sent)
            for sent in records.sent
            if sent.status == OK and not sent.complete and '.v2\n' in sent.body
        ]

    def _count_left(self, ident):
        """Return the number of events that a stream lacks."""
        records = self.soak.records
        path = records.paths_by_ident[ident].partition('?')[0]
        numbers = re.findall(rb'id: (\d+)\n', records.received[ident])
        return int(path.rpartition('/')[2]) - int(numbers[-1])

    async def take_up(self, stream):
        """Take a stream up at the VM, and record the attempt."""
        caller = Caller(
            [self.machine.callers],
            self.soak._balancer,
            self.soak.records,
            self.soak._now,
            random.Random(1),
        )
        async with aiohttp.ClientSession() as session:
            await caller._send_attempt(session, 0, stream, first=True)


# Guards against a stream of a new version that goes on at the old one, at a VM
# that was out of step when the new one joined.
@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    ('network', 'store_mode', 'stands_still'),
    [
        (211, 'well', True),
        (212, 'silent', False),
        (213, 'mute_answers', False),
        (214, 'silent', True),
    ],
)
async def test_no_stream_is_joined_at_a_machine_out_of_step(
    open_driver, start_callers, network, store_mode, stands_still
):
    soak = (await open_driver(network, version='v1')).soak
    subject = Subject(soak, store_mode, stands_still=stands_still)
    start_callers(soak)
    await asyncio.sleep(BEFORE_SECONDS)
    subject.step_out()
    await asyncio.sleep(JOIN_SECONDS)
    await subject.wait_streams()
    await subject.break_streams()
    streams = subject.find_broken()
    assert len(streams) >= MIN_TAKE_UPS
    taken_up = [asyncio.create_task(subject.take_up(one)) for one in streams]
    await asyncio.sleep(QUEUE_SECONDS)
    await subject.step_in()
    await asyncio.gather(*taken_up)
    await asyncio.sleep(AFTER_SECONDS)
    assert not list(check_versions(soak.records))
    assert not list(check_answers(soak.records))
