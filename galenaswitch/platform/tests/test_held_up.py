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
from collections import Counter
from typing import NamedTuple

import orjson
import pytest
import uvloop

from galenaswitch.connections.heads import RequestHead
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import TargetBrokenError, TargetLateError
from galenaswitch.gateway.sending import Attempt
from galenaswitch.membership.frames import Vocabulary
from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import LinkService, dial, listen
from galenaswitch.membership.lists import Target
from galenaswitch.operations.process import TaskGroup
from galenaswitch.targets.client import TargetClient
from galenaswitch.targets.messages import StageCall, StreamEnd, Token

GET = RequestHead(b'GET', b'/', ((b'Host', b'h'),))
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
FIRST, LAST = b'1\r\na\r\n', b'1\r\nb\r\n0\r\n\r\n'
LATE = r'waited \d\.\d+ s, held up for \d.\d+ s, nothing came for \d\.\d+ s'
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


# Guards against an answer that has arrived and isn't read, as another socket's
# callback took the rest of the time and timers run before the next sockets.
def test_answer_that_arrived_before_the_limit_is_read(run):
    async def read(attempt):
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        with ours, theirs:
            loop.add_reader(ours, read_long, ours)
            loop.call_later(0.1, theirs.send, b'x')
            try:
                return (await attempt.read_head(0.5, limit_seconds=0.5)).status
            finally:
                loop.remove_reader(ours)

    def read_long(ours):
        ours.recv(1)
        time.sleep(0.6)

    assert run([(0.3, HEAD + LAST)], read) == 200


def read_once(address):
    """Read an answer within 1 s; run in a process that gets stopped."""

    async def read(attempt):
        return (await attempt.read_head(1)).status

    return uvloop.run(read_answer(address, read))


class Question(NamedTuple):
    """Message to a peer, which answers it after a pause in seconds."""

    pause: float


async def reply(_, question):
    """Answer a question after its pause."""
    await asyncio.sleep(question.pause)
    return question


def make_service(node):
    """Return what the links of one process share."""
    return LinkService(
        Identity(node, 'z', 'edge', node),
        'a-shared-secret-of-all',
        Vocabulary(Question),
        {Question: reply},
        '',
        Counter(),
        {},
    )


@pytest.fixture
def peer_port():
    """Return the port of a peer on a loop of its own, in a thread."""
    with asyncio.Runner() as runner:
        loop, tasks = runner.get_loop(), TaskGroup()
        server = runner.run(listen('127.0.0.1', 0, make_service('b'), tasks))
        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        yield server.sockets[0].getsockname()[1]
        asyncio.run_coroutine_threadsafe(tasks.stop(), loop).result(5)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(5)
        server.close()


# Guards against a peer that counts as silent, or an owner of a service as lost,
# though its reply has arrived.
@pytest.mark.parametrize('new_loop', LOOPS, ids=('uvloop', 'asyncio'))
def test_reply_that_arrived_meanwhile_is_read(peer_port, new_loop):
    async def ask():
        link = await dial('127.0.0.1', peer_port, make_service('a'))
        tasks = TaskGroup()
        tasks.start(link.serve())
        hold_up((0.1, 1.1))
        try:
            return await link.request(Question(0.4), 1)
        finally:
            link.close()
            await tasks.stop()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(ask()) == Question(0.4)


# Guards against a target that counts as unreachable though it has accepted the
# connection.
@pytest.mark.parametrize('new_loop', LOOPS, ids=('uvloop', 'asyncio'))
def test_connection_that_was_accepted_meanwhile_is_open(new_loop):
    async def check(port):
        hold_up((0, 0.7))
        return await ConnectionPool().is_listening(f'127.0.0.1:{port}')

    with (
        socket.create_server(('127.0.0.1', 0)) as listener,
        asyncio.Runner(loop_factory=new_loop) as runner,
    ):
        assert runner.run(check(listener.getsockname()[1]))


CALL = StageCall('r', 's', 'a', '', '', '/x', {}, 5000)


def make_part(**fields):
    """Return a line of a token stream as a chunk of a body."""
    line = orjson.dumps(CALL._asdict() | fields) + b'\n'
    return b'%x\r\n%b\r\n' % (len(line), line)


async def read_tokens(address):
    """Read a token stream, the loop held up from 0.1 s on."""
    client = TargetClient()
    target = Target('t', '1', 'z', 'p', f'http://{address}')
    hold_up((0.1, 1.3))
    try:
        return [part async for part in client.stream(target, CALL, 1)]
    finally:
        await client.close()


# Guards against a token stream of an own target that counts as stalled though
# its tokens have arrived.
@pytest.mark.parametrize('new_loop', LOOPS, ids=('uvloop', 'asyncio'))
def test_tokens_that_arrived_meanwhile_are_read(new_loop):
    first = make_part(index=0, text='a')
    last = make_part(index=1, text='b') + make_part(count=2) + b'0\r\n\r\n'
    with (
        open_engine([(0, HEAD + first), (0.5, last)]) as address,
        asyncio.Runner(loop_factory=new_loop) as runner,
    ):
        parts = runner.run(read_tokens(address))
    assert parts == [[Token(0, 'a')], [Token(1, 'b')], StreamEnd(2)]


# Guards against a token stream of an own target that stalls without an end.
def test_token_stream_that_stalls_is_found():
    with open_engine([(0, HEAD + make_part(index=0, text='a'))]) as address:
        began = time.monotonic()
        with pytest.raises(TargetBrokenError):
            asyncio.run(read_tokens(address))
    assert time.monotonic() - began < 4


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
def test_silent_target_is_found(run):
    assert 1.19 < run([], read_late) < 1.3


# Guards against a timeout that a loop with short lags all the time puts off.
def test_silent_target_is_found_on_a_busy_loop(run):
    async def read(attempt):
        loop = asyncio.get_running_loop()

        def lag():
            time.sleep(0.05)
            loop.call_later(0.005, lag)

        lag()
        return await read_late(attempt)

    assert 1.19 < run([], read) < 2.5


async def read_late(attempt):
    """Return after how many seconds a target without an answer is late."""
    began = time.monotonic()
    with pytest.raises(TargetLateError, match=LATE):
        await attempt.read_head(1.2)
    return time.monotonic() - began
