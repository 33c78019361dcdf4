"""Shared pytest fixtures, and the filter for known test failures.

KNOWN-RED.txt lists failures that don't fail the test run. The session hook
prints them.
"""

import asyncio
import contextlib
import socket
import struct
from pathlib import Path

# Import hypothesis before the pytest summary uses the ast module.
import hypothesis  # noqa: F401
import pytest
from minicheck import check_safety

from standins.examples import LAB_TOKEN, PIPELINES, make_contract
from standins.launcher import (
    POLL_INTERVAL_SECONDS,
    START_TIMEOUT_SECONDS,
    Deployment,
)
from standins.plans import Plan, plan_workers
from standins.scripted import ScriptedTarget

pytest_plugins = (
    'galenaswitch.platform.tests.driver',
    'galenaswitch.platform.tests.scripts',
)
KNOWN_FAILURES_FILE = Path(__file__).parent / 'KNOWN-RED.txt'
MAX_MODEL_STATES = 500_000
UNAUTHORIZED = 401
ZONES = ('north', 'south')
# A fake target keeps the connection open after an answer with such an ending.
COMPLETE_ANSWER_ENDINGS = (b'ok', b'fine', b'oops', b'\r\n\r\n')
DEFAULT_PLAN = Plan(zones=ZONES, workers=plan_workers(ZONES))


def read_known_failures():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test: ').strip()
        for line in lines
        if line.startswith('test: ')
    }


def pytest_sessionfinish(session, exitstatus):
    """Print the known failures; pass the run if no other test failed."""
    reporter = session.config.pluginmanager.get_plugin('terminalreporter')
    failed = {
        report.nodeid
        for kind in ('failed', 'error')
        for report in reporter.stats.get(kind, ())
    }
    known_failures = failed & read_known_failures()
    for name in sorted(known_failures):
        reporter.write_line(f'known red: {name}')
    if failed and failed == known_failures:
        session.exitstatus = 0


async def wait_accepted(deployment, url):
    """Wait until an entry VM accepts the token of the test's contract.

    A VM is ready before it has received each contract.
    """
    headers = {'Authorization': f'Bearer {LAB_TOKEN}'}
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            async with deployment.http.post(
                url, headers=headers, json={}
            ) as answer:
                if answer.status != UNAUTHORIZED:
                    return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


@pytest.fixture
async def deploy(tmp_path):
    """Return a function that starts a deployment of local processes.

    The fixture stops all deployments at the end of the test and fails if a
    process ended with a positive exit code.
    """
    running = []

    async def start(plan=DEFAULT_PLAN, **contract):
        deployment = await Deployment(plan, tmp_path).__aenter__()
        running.append(deployment)
        for pipeline in PIPELINES:
            await deployment.create('pipelines', pipeline)
        lab = make_contract('lab', LAB_TOKEN, **contract)
        await deployment.create('contracts', lab)
        await deployment.wait_ready()
        for node in deployment.nodes.values():
            await wait_accepted(deployment, f'{node.url}/v1/pipelines/none')
        return deployment

    yield start
    for deployment in running:
        await deployment.stop()
        exit_codes = {
            name: process.returncode
            for name, process in deployment.processes.items()
        }
        assert not {name for name, code in exit_codes.items() if code > 0}, (
            exit_codes
        )


@pytest.fixture
def call():
    """Return a function that sends a caller's request to a pipeline.

    The function returns the HTTP status and the JSON document.
    """

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
    """Return a function that model-checks a protocol.

    The function returns the names of the violated safety properties.
    """

    def find(protocol):
        check_report = check_safety(protocol, max_states=MAX_MODEL_STATES)
        return {
            name
            for name, found in check_report['properties'].items()
            if not found['holds']
        }

    return find


@pytest.fixture
async def scripted():
    """Return a function that starts a fake target with scripted answers.

    The target sends the byte strings in ``answers`` one after another and
    then repeats the last one. It sends ``late`` on the idle connection after
    the first answer. With ``reset`` it closes the connection with a TCP
    reset, with ``keep`` it leaves the connection open after every answer.
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
                if not answer or not (
                    keep or answer.endswith(COMPLETE_ANSWER_ENDINGS)
                ):
                    break
                if late and len(target.requests) == 1:
                    await asyncio.sleep(0.03)
                    writer.write(late)
            if reset:
                await asyncio.sleep(0.05)
                linger = struct.pack('ii', 1, 0)
                raw_socket = writer.get_extra_info('socket')
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
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
    """Return a TCP port on which no process listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@pytest.fixture
def free_ports():
    """Return a function that returns a TCP port on which no process listens.

    All ports that one test gets are different ones.
    """
    with contextlib.ExitStack() as probes:

        def find():
            probe = probes.enter_context(socket.socket())
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(('127.0.0.1', 0))
            return probe.getsockname()[1]

        yield find
