"""Take-ups at a VM that is out of step while targets of a version join."""

import asyncio
import random
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
# Time after which a stream that an engine runs has brought its first event.
BEGIN_SECONDS = 0.15
MIN_TAKE_UPS = 3


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
        """Wait until several streams of the new version have begun to run.

        Those of the VM itself don't count, since they won't break off.
        """
        records = self.soak.records
        running = []
        while len(running) < MIN_TAKE_UPS:
            await asyncio.sleep(0.02)
            names = {engine.name for engine in self.engines[1:]}
            latest = self.soak._now() - BEGIN_SECONDS
            ended = {sent.ident for sent in records.sent}
            running = [
                run
                for run in records.ran
                if run.target in names
                and run.ident not in ended
                and run.started_at < latest
                and records.machines_by_ident.get(run.ident)
            ]

    def break_streams(self):
        """Kill all other VMs, and let the old engine be reached again."""
        for machine in self.soak._machines[1:]:
            machine.kill()
        self.engines[0].proxy.change_mode('well')

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
    subject.break_streams()
    await asyncio.sleep(QUEUE_SECONDS)
    streams = subject.find_broken()
    assert len(streams) >= MIN_TAKE_UPS
    taken_up = [asyncio.create_task(subject.take_up(one)) for one in streams]
    await asyncio.sleep(QUEUE_SECONDS)
    await subject.step_in()
    await asyncio.gather(*taken_up)
    await asyncio.sleep(AFTER_SECONDS)
    assert not list(check_versions(soak.records))
    assert not list(check_answers(soak.records))
