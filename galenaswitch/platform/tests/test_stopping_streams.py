"""Streams on kept connections of a VM that is being stopped."""

import asyncio
import itertools
import time
from typing import NamedTuple

import pytest

from galenaswitch.platform.soak.callers import API_KEY, HOST
from galenaswitch.platform.tests.test_stopping import StoppingMachine

CALLERS = 16
# Events of the short and the long streams; one comes each 0.03 s.
SHORT, LONG = 10, 110
MEASURING_SECONDS = 6.0
# Streams that are sent late, seconds after SIGTERM, and one that outlasts them.
LATE_SECONDS = 2.6
LATE_STREAMS = 3
KEPT = 150
REQUEST = (
    f'POST /chat/{{events}} HTTP/1.1\r\nHost: {HOST}\r\n'
    'X-Attempt-Id: {ident}\r\nX-Deadline-Ms: 30000\r\n'
    f'Authorization: Bearer {API_KEY}\r\nX-Token-Usage: 300,{{tokens}}\r\n'
    'X-Prompt-Prefix: aa:200,{ident}:100\r\nContent-Length: 2\r\n\r\nok'
)


class Received(NamedTuple):
    """Request of a caller and what came of it.

    :param age: seconds from SIGTERM to its send, negative before it.
    """

    events: int
    age: float
    content: bytes

    @property
    def has_begun(self):
        """Whether an answer of an engine began."""
        return self.content.startswith(b'HTTP/1.1 200')

    @property
    def is_complete(self):
        """Whether an answer of an engine is complete."""
        return self.content.endswith(b'0\r\n\r\n')


class Callers:
    """Callers that keep their connections until the machine is gone."""

    def __init__(self, machine):
        """Build callers of a machine that isn't stopped yet."""
        self.received = []
        self.stopped_at = float('inf')
        self._machine = machine
        self._idents = itertools.count(1)

    async def run(self, events):
        """Send one stream after another with a number of events."""
        host, port = self._machine.callers.split(':')
        while not self._machine.is_gone:
            try:
                reader, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            while await self._send(events, events, reader, writer):
                await asyncio.sleep(0.01)
            writer.close()

    async def send(self, events, tokens):
        """Send one stream that names more tokens than it has events."""
        host, port = self._machine.callers.split(':')
        reader, writer = await asyncio.open_connection(host, port)
        await self._send(events, tokens, reader, writer)
        writer.close()

    async def _send(self, events, tokens, reader, writer):
        """Send a request; tell whether the connection may be used again."""
        ident = f'{next(self._idents):016x}'
        sent_at = time.monotonic()
        head = content = b''
        try:
            request = REQUEST.format(events=events, tokens=tokens, ident=ident)
            writer.write(request.encode())
            head = await reader.readuntil(b'\r\n\r\n')
            if head.startswith(b'HTTP/1.1 200'):
                content = await reader.readuntil(b'\r\n0\r\n\r\n')
        except asyncio.IncompleteReadError as error:
            content = error.partial
        except OSError:
            content = b''
        age = sent_at - self.stopped_at
        received = Received(events, age, head + content)
        self.received.append(received)
        return received.is_complete and b'Connection: close' not in head


# Guards against streams that a stop takes on kept connections and cuts, and
# against short ones that it refuses in vain.
@pytest.mark.timeout(90)
async def test_stream_taken_during_a_stop_is_never_cut(open_driver):
    driver = await open_driver(143, machines=2)
    for target in driver.soak._targets:
        target.mode = 'well'
    machine = StoppingMachine(driver.soak._machines[0])
    callers = Callers(machine)
    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLERS):
            tasks.create_task(callers.run((SHORT, LONG)[number % 2]))
        await asyncio.sleep(MEASURING_SECONDS)
        callers.stopped_at = time.monotonic()
        await machine.stop()
    late = [one for one in callers.received if one.age > 0]
    taken = [one for one in late if one.has_begun]
    assert [one.age for one in taken if not one.is_complete] == []
    assert {one.events for one in taken if one.age > 1} == {SHORT}
    assert any(not one.has_begun for one in late if one.events == LONG)


async def send_all(callers, count, events, tokens):
    """Send several streams at one time."""
    sends = (callers.send(events, tokens) for _ in range(count))
    await asyncio.gather(*sends)


# Guards against streams that a stop takes late and cuts, as others that named
# as many tokens were shorter, and against short ones that it
# refuses though they name few. A change of the settings ends no stop.
@pytest.mark.timeout(90)
@pytest.mark.parametrize('changes_settings', [False, True])
async def test_late_stream_is_taken_by_the_tokens_that_it_names(
    open_driver, changes_settings
):
    driver = await open_driver(147, machines=2)
    for target in driver.soak._targets:
        target.mode = 'well'
    machine = driver.soak._machines[0]
    stopping = StoppingMachine(machine)
    callers = Callers(stopping)
    for _ in range(3):
        await send_all(callers, 2 * LATE_STREAMS + 1, SHORT, LONG)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(callers.send(KEPT, KEPT))
        await asyncio.sleep(0.1)
        callers.stopped_at = time.monotonic()
        tasks.create_task(stopping.stop())
        await asyncio.sleep(LATE_SECONDS / 2)
        if changes_settings:
            machine.change_settings()
        await asyncio.sleep(LATE_SECONDS / 2)
        tasks.create_task(send_all(callers, LATE_STREAMS, LONG, LONG))
        tasks.create_task(send_all(callers, LATE_STREAMS, SHORT, SHORT))
    late = [one for one in callers.received if one.age > 0]
    taken = [one.events for one in late if one.is_complete]
    cut = [one for one in late if one.has_begun and not one.is_complete]
    assert (taken, cut) == ([SHORT] * LATE_STREAMS, [])
