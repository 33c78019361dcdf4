"""Fixture with the processes of a soak, to which a test sends requests."""

import asyncio
import contextlib
import random
import secrets
from typing import NamedTuple

import aiohttp
import pytest
from yarl import URL

from galenaswitch.platform.soak.callers import API_KEY, HOST, Caller
from galenaswitch.platform.soak.networks import Network
from galenaswitch.platform.soak.soak import Plan, Soak

# Callers that a test starts.
CALLERS = 12


class Sent(NamedTuple):
    """Request that a driver sent.

    :param sent_at: seconds since the start of the soak.
    :param status: status of a complete answer, 0 for none.
    """

    ident: str
    sent_at: float
    status: int
    seconds: float


class SoakDriver:
    """Sends requests of a test to the machines of a soak in turn."""

    def __init__(self, soak, session):
        """Send to the machines of a running soak without callers."""
        self.soak = soak
        self._session = session
        self._turn = 0

    async def send(self, route, *parts, body='', work_items=''):
        """Send a request with shared prompt parts.

        Its body is its own unless one is given.

        :param work_items: number of work items of each stage.
        """
        machines = self.soak._machines
        machine = machines[self._turn % len(machines)]
        self._turn += 1
        ident = secrets.token_hex(8)
        headers = {
            'Host': HOST,
            'X-Attempt-Id': ident,
            'X-Deadline-Ms': '3000',
            'Authorization': f'Bearer {API_KEY}',
            'X-Token-Usage': '150,10',
            'X-Prompt-Prefix': ','.join(f'{one}:50' for one in (*parts, ident)),
        }
        if work_items:
            headers['X-Pieces'] = work_items
            headers['X-Piece-Key'] = ident
        url = URL(f'http://{machine.callers}/{route}/3', encoded=True)
        sent_at = self.soak._now()
        status = 0
        try:
            async with self._session.post(
                url, headers=headers, data=body or ident
            ) as answer:
                await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        return Sent(ident, sent_at, status, self.soak._now() - sent_at)


@pytest.fixture
def take_network():
    """Return a function that takes a network until the end of the test.

    The number that it gets is the first one tried.
    """
    with contextlib.ExitStack() as taken:

        def take(first):
            network = Network(first)
            taken.callback(network.release)
            return network

        yield take


@pytest.fixture
async def open_driver(tmp_path):
    """Return a function that starts the processes of a soak and a driver.

    The number of its network is the first one tried. With ``version``, all
    targets are of one software version at first. Other parameters are those of
    the plan. With ``retries=False``, the settings of the machines allow no
    retries.
    """
    opened = []

    async def start(network, version='', *, retries=True, **plan):
        soak = Soak(Plan(1, network=network, **plan), tmp_path)
        for machine in soak._machines:
            machine.retry_ratio *= retries
            machine.retry_slack *= retries
        for target in soak._targets:
            target.version = version or target.version
        session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=4))
        opened.append((soak, session))
        await soak.open()
        return SoakDriver(soak, session)

    yield start
    for soak, session in opened:
        await session.close()
        await soak.close()


@pytest.fixture
def start_callers():
    """Return a function that starts callers, of resumable streams at first."""
    tasks = []

    def start(soak, kinds=('notes',)):
        addresses = [machine.callers for machine in soak._machines]
        for number in range(CALLERS):
            caller = Caller(
                addresses,
                soak._balancer,
                soak.records,
                soak._now,
                random.Random(number),
                kinds,
            )
            tasks.append(asyncio.create_task(caller.run()))

    yield start
    for task in tasks:
        task.cancel()
