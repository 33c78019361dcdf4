"""Fixtures of scripted stores and targets that several modules share."""

import pytest

from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.platform.objects import PlatformStore
from galenaswitch.platform.tests.engines import Engines


@pytest.fixture
async def start_store(scripted):
    """Return a function that starts a store with scripted answers."""
    pool = ConnectionPool()

    async def start(*answers):
        server = await scripted(answers, keep=True)
        return PlatformStore(pool, server.address), server

    yield start
    pool.close()


@pytest.fixture
def make_answer():
    """Return a function that makes the bytes of a target's answer."""

    def make(body=b'fine', status=b'200 OK', ident=b'a1', extra=b''):
        return (
            b'HTTP/1.1 %b\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n%b'
            b'Content-Length: %d\r\n\r\n%b'
        ) % (status, ident, extra, len(body), body)

    return make


@pytest.fixture
def start_engines(scripted):
    """Return a function that starts engines with given scripts."""

    async def start(*scripts, count=2):
        targets = [await scripted([b'']) for _ in range(count)]
        return Engines(targets, scripts)

    return start
