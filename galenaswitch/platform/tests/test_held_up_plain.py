"""Plain requests whose answers arrive while the loop is held up."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from galenaswitch.gateway.routes import CallKind
from galenaswitch.platform.tests.test_hand_over_limits import RETRIES


def answer(listener, body, seconds, heard):
    """Answer one request after a pause, on a thread of its own."""
    with contextlib.suppress(OSError):
        connection, _ = listener.accept()
        with connection:
            connection.recv(9999)
            heard.append(time.monotonic())
            time.sleep(seconds)
            connection.sendall(body)
            connection.recv(9999)


class Threaded:
    """Target on a thread, which no hold-up of the loop concerns."""

    def __init__(self, body, seconds):
        """Start a target that answers ``body`` after a pause."""
        self.heard = []
        self.listener = socket.create_server(('127.0.0.1', 0))
        port = self.listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.thread = threading.Thread(
            target=answer,
            args=(self.listener, body, seconds, self.heard),
            daemon=True,
        )
        self.thread.start()


@pytest.fixture(
    params=(uvloop.EventLoopPolicy, asyncio.DefaultEventLoopPolicy),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run the tests on either loop."""
    return request.param()


# Guards against a retry that is spent, and a request that runs twice, for a
# pause of the own loop: the answer has arrived in time.
async def test_hold_up_does_not_send_a_request_twice(
    make_plain_runner,
    make_route,
    make_caller_request,
    writer,
    make_answer,
    budgets,
):
    targets = [Threaded(make_answer(), 0.08) for _ in range(2)]
    runner = make_plain_runner(*targets)
    runner._loads.observe_pool_latency('desk', 0.05)
    runner._loads.get_load('t1').outstanding = 1
    request = make_caller_request(
        make_route(CallKind.repeatable), **{'X-Deadline-Ms': '3000'}
    )
    asyncio.get_running_loop().call_later(0.04, time.sleep, 0.4)
    await runner.run(request, writer)
    await asyncio.sleep(0.05)
    assert [len(one.heard) for one in targets] == [1, 0]
    left = 0
    while budgets.of('desk').acquire(time.monotonic()):
        left += 1
    assert left == RETRIES
