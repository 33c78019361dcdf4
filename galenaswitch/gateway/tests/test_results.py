"""Result memory is free after a confirmed release or after expiry."""

import asyncio
import time
from unittest.mock import Mock

import pytest

from galenaswitch.cold.targets import ColdTargets
from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.gateway.calls import Wire
from galenaswitch.gateway.notices import TargetNotices
from galenaswitch.gateway.results import StoredResult, StoredResults
from galenaswitch.gateway.seats import Seats
from galenaswitch.gateway.sending import Sender
from galenaswitch.gateway.turns import Turns
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.operations.process import TaskGroup

DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class StubWire:
    """Encodes releases; a handle begins with its producer's address."""

    def make_release(self, handles, target):
        """Encode a release with its handles in the body."""
        body = ','.join(handles).encode()
        return RequestHead(b'POST', b'/free', ((b'Host', b'h'),)), body

    def find_producer(self, handle):
        """Return the address of a result's producer."""
        return handle.partition('/')[0]


@pytest.fixture
def released():
    """Results whose memory became free."""
    return []


@pytest.fixture
async def open_results(released):
    """Return a function that opens the stored results of a producer."""
    pool = ConnectionPool()
    tasks = TaskGroup()

    def open_stored(producer):
        members = Members()
        target = Target('m', 'm/1', 'z', 'intake', producer.address)
        members.accept(MemberList(1, (), (target,)))
        stored_results = StoredResults(
            members,
            Sender(
                pool,
                Mock(
                    spec=Turns,
                    seats=Mock(spec=Seats),
                    cold=Mock(
                        spec=ColdTargets, **{'is_cold.return_value': False}
                    ),
                ),
                Mock(spec=TargetNotices, **{'find_wait.return_value': 0}),
                Mock(
                    spec=Wire,
                    **{
                        'read_answer_ident.return_value': '',
                        'read_rate_limit.return_value': None,
                        'read_brittleness.return_value': None,
                    },
                ),
            ),
            StubWire(),
            tasks,
            released.append,
        )
        return stored_results, target

    yield open_stored
    await tasks.stop()
    pool.close()


async def wait_for(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


async def test_released_results_are_sent_in_one_call(
    open_results,
    scripted,
    released,
):
    producer = await scripted([DONE], keep=True)
    stored_results, target = open_results(producer)
    handles = tuple(f'{producer.address}/{number}' for number in range(5))
    stored = StoredResult(target, 100, time.monotonic() + 9)
    for handle in handles:
        stored_results.add(handle, stored)
    stored_results.release(handles[:2])
    stored_results.release(handles[2:])
    assert released == []
    await wait_for(lambda: len(released) == 5)
    assert len(producer.requests) == 1
    assert len(stored_results) == 0


async def test_result_memory_stays_used_when_a_release_is_lost(
    open_results,
    scripted,
    released,
):
    producer = await scripted([b''])
    stored_results, target = open_results(producer)
    handle = f'{producer.address}/1'
    stored_results.add(
        handle, StoredResult(target, 100, time.monotonic() + 0.3)
    )
    stored_results.release((handle,))
    await wait_for(lambda: producer.requests)
    await asyncio.sleep(0.05)
    assert released == []
    await asyncio.sleep(0.3)
    stored_results.drop_expired()
    assert len(released) == 1


async def test_result_memory_of_a_lost_answer_is_free_after_expiry(
    open_results,
    scripted,
    released,
):
    stored_results, target = open_results(await scripted([DONE]))
    stored_results.add_unknown(
        StoredResult(target, 100, time.monotonic() + 0.05)
    )
    stored_results.drop_expired()
    assert released == []
    await asyncio.sleep(0.06)
    stored_results.drop_expired()
    assert len(released) == 1


# Guards against a release that reaches a producer which asked for a pause.
async def test_results_of_a_paused_producer_are_released_after_its_pause(
    open_results,
    scripted,
    released,
):
    producer = await scripted([DONE], keep=True)
    stored_results, target = open_results(producer)
    stored_results._sender.notices.find_wait.return_value = 0.2
    handle = f'{producer.address}/1'
    released_at = time.monotonic()
    stored_results.add(handle, StoredResult(target, 100, released_at + 9))
    stored_results.release((handle,))
    await wait_for(lambda: released)
    assert time.monotonic() - released_at > 0.15
