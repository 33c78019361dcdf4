"""Memory and descriptors of a process whose callers can't be trusted."""

import asyncio
import contextlib
import time
from collections import Counter
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from galenaswitch.platform.soak.callers import API_KEY, HOST, Balancer
from galenaswitch.platform.soak.configuration import make_configuration
from galenaswitch.platform.soak.machines import Machine
from galenaswitch.platform.soak.records import open_records
from galenaswitch.platform.soak.runners import FakeTarget
from galenaswitch.platform.soak.store import FakeStore

# Other load changes what arrives at once, so the tests run one at a time.
pytestmark = pytest.mark.xdist_group('untrusted callers')
NETWORK = 154
# The smallest VM that deployments use.
MEMORY_MB = 160
KILOBYTES_PER_MEGABYTE = 1024
MAX_BODY_BYTES = 1_000_000
LARGEST_BODY_BYTES = 4_194_304
CALLERS = 240
# One of this many callers sends its whole body, the others stop short of it.
COMPLETE_INTERVAL = 4
PIECE_BYTES = 16_384
CHUNK_BYTES = 65_536
TINY_CHUNKS = 32_768
FAR_OVER_BYTES = 64_000_000
OVER_BYTES = 4_000_000
WRITE_SECONDS = 20
# Time in which the process reads what the callers sent.
SETTLE_SECONDS = 2
POLL_SECONDS = 0.05
STARTUP_SECONDS = 15
ANSWER_SECONDS = 20
HEAD = (
    f'POST /plain/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: %s\r\n'
    f'X-Deadline-Ms: 5000\r\nAuthorization: Bearer {API_KEY}\r\n%s\r\n\r\n'
)
CHUNKED = 'Transfer-Encoding: chunked'
LAST_CHUNK = b'0\r\n\r\n'


def make_whole(is_complete):
    """Return a head and a body of permitted size."""
    body = b'x' * (MAX_BODY_BYTES if is_complete else MAX_BODY_BYTES - 1)
    return f'Content-Length: {MAX_BODY_BYTES}', [body]


def make_pieces(is_complete):
    """Return a head and a body of permitted size in pieces."""
    field, (body,) = make_whole(is_complete)
    starts = range(0, len(body), PIECE_BYTES)
    return field, [body[start : start + PIECE_BYTES] for start in starts]


def make_large_chunks(is_complete):
    """Return a head and large chunks, without the last if not complete."""
    chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, b'x' * CHUNK_BYTES)
    parts = [chunk] * (MAX_BODY_BYTES // CHUNK_BYTES)
    return CHUNKED, [*parts, LAST_CHUNK[: 5 if is_complete else 3]]


def make_tiny_chunks(is_complete):
    """Return a head and chunks of a byte, without the last if not complete."""
    end = LAST_CHUNK[: 5 if is_complete else 3]
    return CHUNKED, [b'1\r\nx\r\n' * TINY_CHUNKS, end]


def make_declared(is_complete):
    """Return a head that declares far too much, and a part of the body."""
    return f'Content-Length: {FAR_OVER_BYTES}', [b'x' * OVER_BYTES]


def make_undeclared(is_complete):
    """Return a head without a length, and chunks that are far too much."""
    chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, b'x' * CHUNK_BYTES)
    return CHUNKED, [chunk] * (OVER_BYTES // CHUNK_BYTES)


def make_begun(is_complete):
    """Return a head and the begin of a small body."""
    return 'Content-Length: 1000', [b'x' * 10]


# What callers send, and the descriptors that the settings allow.
LOADS = {
    'whole': (make_whole, 600),
    'pieces': (make_pieces, 600),
    'large chunks': (make_large_chunks, 600),
    'tiny chunks': (make_tiny_chunks, 600),
    'declared': (make_declared, 600),
    'undeclared': (make_undeclared, 600),
    'many connections': (make_begun, 200),
}


class UntrustedCaller:
    """Sends a request that may stay incomplete, and never reads."""

    def __init__(self, host, number, make):
        """Build a caller; one of a few sends its request completely."""
        self._host = host
        self._ident = f'u{number}'
        self._field, self._parts = make(number % COMPLETE_INTERVAL == 0)
        self._writer = None

    async def send(self):
        """Send all parts, as far as the process takes them."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(WRITE_SECONDS):
                _, writer = await asyncio.open_connection(self._host, 8001)
                self._writer = writer
                writer.write((HEAD % (self._ident, self._field)).encode())
                for part in self._parts:
                    writer.write(part)
                    await writer.drain()

    def close(self):
        """Reset the connection."""
        if self._writer:
            self._writer.transport.abort()


class Probe:
    """Process with its largest memory and number of descriptors."""

    def __init__(self, machine):
        """Build a probe of a machine that runs."""
        self.machine = machine
        self.starts = machine.start_count
        self.descriptors = 0
        self.memory_mb = 0
        self._folder = Path(f'/proc/{machine._process.pid}')

    def read(self):
        """Read the process once."""
        with contextlib.suppress(OSError):
            count = len(list((self._folder / 'fd').iterdir()))
            self.descriptors = max(self.descriptors, count)
            lines = (self._folder / 'status').read_text('utf-8').splitlines()
            peak = [one.split()[1] for one in lines if one[:5] == 'VmHWM']
            for kilobytes in peak:
                self.memory_mb = int(kilobytes) / KILOBYTES_PER_MEGABYTE

    async def run(self):
        """Read the process until cancelled."""
        while True:
            self.read()
            await asyncio.sleep(POLL_SECONDS)

    @property
    def is_alive(self):
        """Whether the process has neither ended nor restarted."""
        process = self.machine._process
        return (
            self.machine.start_count == self.starts
            and process.returncode is None
        )


@pytest.fixture
async def start_machine(take_network, tmp_path):
    """Return a function that starts a process, its store and a target."""
    started_at = time.monotonic()
    records, store = open_records(), FakeStore()
    tasks, servers, callers = [], [], []
    network = take_network(NETWORK)
    ip, host = network.make_address(1, 1), network.make_address(9, 1)

    def now():
        return time.monotonic() - started_at

    target = FakeTarget(0, 'desk', 'north', records, {}, now)
    machine = Machine(0, 'north', ip, f'{ip}:8003', tmp_path, records, now)
    machine.inherited = (network.descriptor,)

    async def start(descriptors, max_body_bytes=MAX_BODY_BYTES):
        machine.memory_mb = MEMORY_MB
        machine.max_descriptors = descriptors
        configuration = make_configuration(1, ())
        configuration['limits']['max-body-bytes'] = max_body_bytes
        store.put('config', 'main', configuration)
        machine.check_address()
        server = web.AppRunner(store.make_application())
        servers.append(server)
        await server.setup()
        await web.TCPSite(server, host, 0).start()
        servers.append(await target.start(host))
        await machine.start_store_proxy(server.addresses[0])
        balancer = Balancer([machine.readiness])
        for work in (target.register(store), machine.run(), balancer.watch()):
            tasks.append(asyncio.create_task(work))
        async with asyncio.timeout(STARTUP_SECONDS):
            while not balancer.all_ready():
                await asyncio.sleep(POLL_SECONDS)
        probe = Probe(machine)
        tasks.append(asyncio.create_task(probe.run()))
        return probe, callers

    yield start
    for caller in callers:
        caller.close()
    for task in tasks:
        task.cancel()
    machine.kill()
    await asyncio.gather(*tasks, return_exceptions=True)
    await machine.wait_ended()
    await machine.store.stop()
    await target.proxy.stop()
    for server in servers:
        await server.cleanup()


async def send_ordinary(host, ident, body):
    """Send an ordinary request; return the status, 0 for no answer."""
    headers = {
        'Host': HOST,
        'X-Attempt-Id': ident,
        'X-Deadline-Ms': '5000',
        'Authorization': f'Bearer {API_KEY}',
    }
    timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(
                f'http://{host}:8001/plain/1', headers=headers, data=body
            ) as answer,
        ):
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


# Guards against callers that end a process by the memory or the descriptors
# that their requests hold, and against a process that serves nobody after it.
@pytest.mark.timeout(120)
@pytest.mark.parametrize('kind', LOADS)
async def test_untrusted_callers_leave_the_process_in_service(
    start_machine, kind
):
    make, descriptors = LOADS[kind]
    probe, callers = await start_machine(descriptors)
    host = probe.machine.address
    callers.extend(
        UntrustedCaller(host, number, make) for number in range(CALLERS)
    )
    await asyncio.gather(*(caller.send() for caller in callers))
    await asyncio.sleep(SETTLE_SECONDS)
    statuses = [
        await send_ordinary(host, f'small-{kind}', b'ordinary'),
        await send_ordinary(host, f'large-{kind}', b'x' * MAX_BODY_BYTES),
    ]
    probe.read()
    figures = f'{probe.memory_mb:.0f} MB, {probe.descriptors} descriptors'
    print(kind, figures, statuses)
    assert probe.is_alive
    assert Counter(statuses) == {200: 2}, figures
    assert probe.memory_mb < MEMORY_MB, figures
    assert probe.descriptors < descriptors, figures


# Guards against limits that refuse the largest request on the smallest VM.
async def test_largest_request_is_served_on_the_smallest_machine(start_machine):
    probe, _ = await start_machine(600, LARGEST_BODY_BYTES)
    # The target's answer repeats the request behind its id.
    body = b'x' * (LARGEST_BODY_BYTES - 100)
    statuses = [
        await send_ordinary(probe.machine.address, f'largest-{number}', body)
        for number in range(3)
    ]
    probe.read()
    figures = f'{probe.memory_mb:.0f} MB, {statuses}'
    print(figures)
    assert probe.is_alive
    assert statuses == [200, 200, 200], figures
    assert probe.memory_mb < MEMORY_MB, figures
