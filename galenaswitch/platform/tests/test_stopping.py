"""Callers that open connections until the process of a VM is gone."""

import asyncio

import pytest

from galenaswitch.platform.soak.callers import API_KEY, HOST

CALLERS = 24
REQUEST = (
    f'POST /plain/3 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {{ident}}\r\n'
    f'X-Deadline-Ms: 3000\r\nAuthorization: Bearer {API_KEY}\r\n'
    'Expect: 100-continue\r\nContent-Length: 2\r\n\r\n'
)


async def send(host, port, ident):
    """Send a request on a new connection and return what came back.

    The interim response shows that the process has read its head.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(REQUEST.format(ident=ident).encode())
        interim = await reader.readuntil(b'\r\n\r\n')
        writer.write(b'ok')
        return interim + await reader.read(9)
    except asyncio.IncompleteReadError as error:
        return error.partial
    finally:
        writer.close()


async def send_all(machine, number, received):
    """Send requests one after another until the machine is gone."""
    host, port = machine.callers.split(':')
    turn = 0
    while not machine.is_gone:
        turn += 1
        try:
            received.append(await send(host, port, f'{number:04x}{turn:012x}'))
        except OSError:
            await asyncio.sleep(0.001)


class StoppingMachine:
    """Machine that is being stopped.

    :ivar is_gone: whether its process has ended.
    """

    def __init__(self, machine):
        """Build a view of a machine of a soak."""
        self.callers = machine.callers
        self.is_gone = False
        self._machine = machine

    async def stop(self):
        """Stop the machine and wait for its end."""
        await self._machine.stop_gracefully()
        self.is_gone = True


# Guards against a connection that a stopping VM accepts, reads a whole request
# of, and cuts off as its process ends.
@pytest.mark.timeout(90)
@pytest.mark.parametrize('network', [141, 142])
async def test_accepted_request_is_answered_until_the_process_is_gone(
    open_driver, network
):
    driver = await open_driver(network, machines=2)
    machine = StoppingMachine(driver.soak._machines[0])
    received = []
    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLERS):
            tasks.create_task(send_all(machine, number, received))
        await asyncio.sleep(0.5)
        await machine.stop()
    read = [one for one in received if one.startswith(b'HTTP/1.1 100 ')]
    cut = [one for one in read if not one.endswith(b'HTTP/1.1 ')]
    assert len(read) > CALLERS
    assert not cut
