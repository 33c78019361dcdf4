"""Answers of targets that arrive while the own event loop is held up."""

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
import uvloop

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.outbound import ConnectionPool
from galenaswitch.errors import TargetLateError
from galenaswitch.gateway.sending import Attempt

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
FIRST, LAST = b'1\r\na\r\n', b'1\r\nb\r\n0\r\n\r\n'
LOOPS = (uvloop.new_event_loop, asyncio.new_event_loop)


def answer(listener, script):
    """Answer one request by a script of pauses in seconds and bytes."""
    connection, _ = listener.accept()
    with connection, contextlib.suppress(OSError):
        connection.recv(9999)
        for pause, part in script:
            time.sleep(pause)
            connection.sendall(part)
        connection.recv(9999)


@contextlib.contextmanager
def open_engine(script):
    """Run an engine in a thread, which no hold-up of the loop concerns."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(target=answer, args=(listener, script))
        thread.start()
        yield f'127.0.0.1:{listener.getsockname()[1]}'
        thread.join()


@pytest.fixture(params=LOOPS, ids=('uvloop', 'asyncio'))
def run(request):
    """Return a function that reads an engine's answer on either loop."""

    def start(script, read):
        with (
            open_engine(script) as address,
            asyncio.Runner(loop_factory=request.param) as runner,
        ):
            return runner.run(read_answer(address, read))

    return start


async def read_answer(address, read):
    """Send a request and read its answer by ``read``."""
    pool = ConnectionPool()
    connection = await pool.acquire(address, 1)
    try:
        return await read(
            Attempt(connection, connection.send(GET, b''), lambda _: None)
        )
    finally:
        connection.close()


def hold_up(*hold_ups):
    """Hold up the loop, each time from a time on for a duration in seconds."""
    loop = asyncio.get_running_loop()
    for begin, seconds in hold_ups:
        loop.call_later(begin, time.sleep, seconds)


# Guards against a stream that is given up though its next event has arrived
# while the loop was held up.
def test_event_that_arrived_meanwhile_is_read(run):
    async def read(attempt):
        await attempt.read_head(1.2)
        assert await attempt.read(1.2) == b'a'
        hold_up((0.1, 1.28))
        return await attempt.read(1.2)

    assert run([(0, HEAD + FIRST), (0.5, LAST)], read) == b'b'


# Guards against an answer whose head has arrived and counts as late.
def test_head_that_arrived_meanwhile_is_read(run):
    async def read(attempt):
        hold_up((0.1, 1.28))
        return (await attempt.read_head(1.2)).status

    assert run([(0.5, HEAD + LAST)], read) == 200


# Guards against a body that has arrived and counts as late.
def test_body_that_arrived_meanwhile_is_read(run):
    async def read(attempt):
        await attempt.read_head(1.2)
        hold_up((0.1, 1.28))
        return await attempt.read_complete(1.2)

    assert run([(0, HEAD + FIRST), (0.5, LAST)], read) == b'ab'


# Guards against hold-ups in a row, each shorter than the timeout, that together
# take the time of a target.
def test_hold_ups_in_series_do_not_count(run):
    async def read(attempt):
        hold_up(*((number * 0.35, 0.3) for number in range(4)))
        return (await attempt.read_head(1.2)).status

    assert run([(1.15, HEAD + LAST)], read) == 200


def read_once(address):
    """Read an answer within 1 s; run in a process that gets stopped."""

    async def read(attempt):
        return (await attempt.read_head(1)).status

    return uvloop.run(read_answer(address, read))


# Guards against a process that was stopped and takes its pause for one of a
# target, which answers after the process goes on.
@pytest.mark.parametrize('pause', [1.5, 2.3])
def test_process_that_was_stopped_reads_its_answer(pause):
    program = (
        'import sys; from galenaswitch.platform.tests.test_held_up import '
        'read_once; sys.exit(read_once(sys.argv[1]) != 200)'
    )
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        process = subprocess.Popen([sys.executable, '-c', program, address])
        connection, _ = listener.accept()
        with connection:
            connection.recv(9999)
            os.kill(process.pid, signal.SIGSTOP)
            threading.Timer(2, os.kill, (process.pid, signal.SIGCONT)).start()
            time.sleep(pause)
            connection.sendall(HEAD + LAST)
            assert process.wait(5) == 0


# Guards against a target without an answer that is found out late.
@pytest.mark.parametrize(
    ('lag', 'least', 'most'), [(0, 1.19, 1.3), (0.05, 1.19, 3)]
)
def test_silent_target_is_found(run, lag, least, most):
    async def read(attempt):
        hold_up(*((number * 0.051, lag) for number in range(60 if lag else 0)))
        began = time.monotonic()
        with pytest.raises(TargetLateError):
            await attempt.read_head(1.2)
        return time.monotonic() - began

    assert least < run([], read) < most
