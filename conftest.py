"""Fixtures of all tests, and the list of faults that are known."""

import asyncio
import socket
import struct
from pathlib import Path

import hypothesis  # noqa: F401  # before ast is busy in a summary
import pytest
from minicheck import check_safety

from standins.examples import LAB_TOKEN, PIPELINES, make_contract
from standins.launcher import Deployment
from standins.plans import Plan, plan_workers
from standins.scripted import ScriptedTarget

KNOWN_RED = Path(__file__).parent / 'KNOWN-RED.txt'
MAX_STATES = 500_000
ZONES = ('north', 'south')
# Ends of scripted answers after which their connection is kept.
WHOLE_ENDS = (b'ok', b'fine', b'oops', b'\r\n\r\n')
PLAN = Plan(zones=ZONES, workers=plan_workers(ZONES))


def read_known_red():
    """Return the node ids that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    }


def pytest_sessionfinish(session, exitstatus):
    """Pass over failures that KNOWN-RED.txt lists, and print them."""
    reporter = session.config.pluginmanager.get_plugin('terminalreporter')
    failed = {
        report.nodeid
        for kind in ('failed', 'error')
        for report in reporter.stats.get(kind, ())
    }
    known = failed & read_known_red()
    for name in sorted(known):
        reporter.write_line(f'known red: {name}')
    if failed and failed == known:
        session.exitstatus = 0


@pytest.fixture
async def deploy(tmp_path):
    """Start deployments; all are stopped at the end of the test."""
    running = []

    async def start(plan=PLAN, **contract):
        deployment = await Deployment(plan, tmp_path).__aenter__()
        running.append(deployment)
        for pipeline in PIPELINES:
            await deployment.create('pipelines', pipeline)
        lab = make_contract('lab', LAB_TOKEN, **contract)
        await deployment.create('contracts', lab)
        await deployment.wait_ready()
        return deployment

    yield start
    for deployment in running:
        await deployment.stop()
        codes = {
            name: process.returncode
            for name, process in deployment.processes.items()
        }
        assert not {name for name, code in codes.items() if code > 0}, codes


@pytest.fixture
def call():
    """Send one caller's request; return status and document."""

    async def send(
        deployment,
        pipeline,
        key='',
        token=LAB_TOKEN,
        url='',
        **body,
    ):
        headers = {'Authorization': f'Bearer {token}'}
        if key:
            headers['Idempotency-Key'] = key
        base = url or deployment.urls['balancer']
        async with deployment.http.post(
            f'{base}/v1/pipelines/{pipeline}',
            json=body,
            headers=headers,
        ) as answer:
            return answer.status, await answer.json()

    return send


@pytest.fixture
def find_broken():
    """Return the names of a model's invariants that don't hold."""

    def find(protocol):
        checked = check_safety(protocol, max_states=MAX_STATES)
        return {
            name
            for name, found in checked['properties'].items()
            if not found['holds']
        }

    return find


@pytest.fixture
async def scripted():
    """Start targets that answer requests with bytes, one after another.

    ``late`` is sent on the idle connection after the first answer; a
    ``reset`` follows the last answer in place of an orderly close; ``keep``
    leaves the connection open after every answer.
    """
    targets = []

    async def start(
        answers,
        *,
        late=b'',
        reset=False,
        read_body=True,
        keep=False,
    ):
        left = list(answers)

        async def run(reader, writer):
            while True:
                if read_body:
                    await target.read_request(reader)
                else:
                    await reader.readuntil(b'\r\n\r\n')
                answer = left.pop(0) if left else answers[-1]
                writer.write(answer)
                await writer.drain()
                if not answer or not (keep or answer.endswith(WHOLE_ENDS)):
                    break
                if late and len(target.requests) == 1:
                    await asyncio.sleep(0.03)
                    writer.write(late)
            if reset:
                await asyncio.sleep(0.05)
                linger = struct.pack('ii', 1, 0)
                raw = writer.get_extra_info('socket')
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()

        target = ScriptedTarget(run)
        await target.start()
        targets.append(target)
        return target

    yield start
    for target in targets:
        await target.stop()


@pytest.fixture
def free_port():
    """Return a port on which nobody listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]
