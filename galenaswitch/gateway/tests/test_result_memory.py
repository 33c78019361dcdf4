"""Queries for free result memory that can't be sent at once."""

import asyncio
from contextlib import asynccontextmanager
from unittest.mock import AsyncMock, Mock

import pytest

from galenaswitch.gateway import result_memory
from galenaswitch.gateway.notices import TargetClosedError
from galenaswitch.gateway.result_memory import ResultMemory
from galenaswitch.membership.lists import Target
from galenaswitch.operations.process import TaskGroup

TARGET = Target('m', 'm/1', 'z', 'intake', 'm:1')


class Sender:
    """Sends nothing while its target is closed.

    :ivar calls: whether each call was sent.
    """

    def __init__(self):
        """Build a sender whose target is closed."""
        self.is_closed = True
        self.calls = []

    @asynccontextmanager
    async def send(self, *args, **kwargs):
        """Yield an attempt unless the target is closed."""
        self.calls.append(not self.is_closed)
        if self.is_closed:
            raise TargetClosedError('the target is cold')
        yield AsyncMock()


# Guards against a query that is never repeated as its target was cold, or its
# zone evacuated, when it was due, and against one that is sent twice.
@pytest.mark.parametrize('interval', [0, 9])
async def test_query_that_was_not_sent_is_repeated(monkeypatch, interval):
    monkeypatch.setattr(result_memory, 'MIN_QUERY_INTERVAL_SECONDS', interval)
    sender = Sender()
    wire = Mock(**{'read_free_bytes.return_value': 0})
    queue = Mock(**{'target_state.return_value.held_bytes': 0})
    memory = ResultMemory(queue, sender, wire, TaskGroup(), Mock())
    limits = Mock(result_memory_bytes=9e6, retention_seconds=9)
    for is_closed in (True, False, False):
        sender.is_closed = is_closed
        memory.query_new((TARGET,), limits)
        await asyncio.sleep(0.01)
    assert sender.calls == ([False] if interval else [False, True])
