"""Memory that the bodies and the connections of callers take together."""

import asyncio
import gc
import tracemalloc

import pytest

from galenaswitch.connections import inbound
from galenaswitch.connections.crowding import Wait, find_surplus
from galenaswitch.connections.errors import RequestRejectedError
from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import Listener
from galenaswitch.connections.memory import (
    BODY_SHARE,
    FAIR_BODY_SECONDS,
    HeldKind,
    MemoryAccount,
)
from galenaswitch.connections.requests import (
    InboundLimits,
    ReadPhase,
    RequestParser,
)
from galenaswitch.operations.metrics import LocalMetrics

MAX_BODY = 100_000
LIMITS = InboundLimits(max_body_bytes=MAX_BODY)
# Bodies may take 675,000 bytes; two of the largest size are spared, so four are
# kept.
LIMIT_BYTES = 900_000
HEAD = b'POST / HTTP/1.1\r\nHost: h\r\n%b\r\n\r\n'
DECLARED = HEAD % b'Content-Length: 100000'
CHUNKED = HEAD % b'Transfer-Encoding: chunked'
OK_HEAD = b'HTTP/1.1 200 OK'
FULL_HEAD = b'HTTP/1.1 503 Service Unavailable'


class ReadingHandler:
    """Responds to a request when it may, with a body of some size."""

    def __init__(self):
        """Build a handler that responds as soon as ``may_answer`` is set."""
        self.may_answer = asyncio.Event()
        self.begun = 0
        self.response = b''

    async def handle(self, request, writer):
        """Respond to a request; as in a gateway, errors are kept for a log."""
        self.begun += 1
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError as error:
            kept = [error]
            raise kept[0] from None
        writer.start(AnswerHead(200, ()), len(self.response))
        await writer.write(self.response)
        writer.finish()


@pytest.fixture
async def listen():
    """Return a function that serves a handler with an account.

    The function returns the handler, its listener, and a function that opens
    a connection.
    """
    servers, writers = [], []

    async def start(limit_bytes=LIMIT_BYTES, max_connections=100):
        handler = ReadingHandler()
        listener = Listener(
            handler,
            lambda: LIMITS,
            LocalMetrics(),
            MemoryAccount(limit_bytes),
            max_connections,
        )
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            listener.open_connection, '127.0.0.1', 0
        )
        servers.append(server)
        port = server.sockets[0].getsockname()[1]

        async def connect(sent=b''):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writers.append(writer)
            writer.write(sent)
            return reader, writer

        return handler, listener, connect

    yield start
    for writer in writers:
        writer.transport.abort()
    for server in servers:
        server.close()


async def wait_until(holds):
    """Wait until a condition holds."""
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0.01)


# Guards against running requests that are given up for others, and against a
# body that is read although there is no room for it.
async def test_requests_beyond_the_account_are_rejected_by_their_head(listen):
    handler, listener, connect = await listen()
    body = DECLARED + b'x' * MAX_BODY
    running = [await connect(body) for _ in range(4)]
    await wait_until(lambda: handler.begun == 4)
    reader, _ = await connect(DECLARED)
    assert (await reader.readuntil(b'\r\n\r\n')).startswith(FULL_HEAD)
    small, _ = await connect(HEAD % b'Content-Length: 20000' + b'x' * 20_000)
    handler.may_answer.set()
    for reader in (small, *(one for one, _ in running)):
        assert (await reader.readline()).startswith(OK_HEAD)
    await wait_until(lambda: listener.memory.total == 0)


# Guards against bodies that stop short of their end and keep others out.
@pytest.mark.parametrize('is_chunked', [True, False])
async def test_stalled_bodies_give_way_to_a_complete_one(listen, is_chunked):
    handler, listener, connect = await listen()
    handler.may_answer.set()
    part = b'x' * (MAX_BODY - 1)
    stalled = DECLARED + part
    if is_chunked:
        stalled = CHUNKED + b'\r\n%x\r\n' % len(part) + part
    for _ in range(9):
        await connect(stalled.replace(b'\r\n\r\n\r\n', b'\r\n\r\n'))
    held = listener.memory.sums
    limit = listener.memory.body_limit_bytes
    await wait_until(lambda: held[HeldKind.body] > limit - MAX_BODY)
    await asyncio.sleep(FAIR_BODY_SECONDS * 1.5)
    reader, _ = await connect(DECLARED + b'x' * MAX_BODY)
    assert (await reader.readline()).startswith(OK_HEAD)
    assert listener.memory.total <= LIMIT_BYTES


# Guards against a body that is lost though it arrives fast and is almost
# complete, and against slow bodies that stay since they are young.
@pytest.mark.parametrize(
    ('ages', 'sizes', 'given_up'),
    [
        ((0.3, 0.2, 0.1), (70_000, 70_000, 70_000), [2]),
        ((9.0, 5.0, 0.1), (50_000, 99_000, 60_000), [1]),
    ],
)
def test_order_in_which_bodies_are_given_up(ages, sizes, given_up):
    account = MemoryAccount(200_000 / BODY_SHARE)
    found = []
    bodies = [
        account.open(lambda number=number: found.append(number), HeldKind.body)
        for number in range(3)
    ]
    for body, age in zip(bodies, ages, strict=True):
        body.opened_at -= age
    for body, size in zip(bodies, sizes, strict=True):
        body.resize(size)
    assert found == given_up


# Guards against bytes of closed connections that stay until the garbage
# collector runs, while the account counts them no more.
@pytest.mark.parametrize('sent', [MAX_BODY - 1, MAX_BODY])
async def test_bodies_of_closed_connections_are_freed_at_once(listen, sent):
    handler, listener, connect = await listen(limit_bytes=9_000_000)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(20):
            _, writer = await connect(DECLARED + b'x' * sent)
            await wait_until(lambda: listener.memory.total == sent)
            writer.transport.abort()
            await wait_until(lambda: not listener.connections)
            assert listener.memory.total == 0
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert held < 10 * MAX_BODY


# Guards against heads of many tiny headers, which take many times their bytes.
def test_heads_of_many_headers_are_accounted_for():
    account = MemoryAccount()
    parser = RequestParser(account)
    parser.feed(b'GET / HTTP/1.1\r\nHost: h\r\n' + b'a:\r\n' * 4000, 0)
    assert account.total > 400_000
    parser.feed(b'\r\n', 0)
    (request,) = parser.requests
    assert request.holding.size == account.total
    request.holding.close()
    assert account.total == 0


# Guards against the same bytes of a body that is rejected.
async def test_rejected_body_is_freed_at_once():
    parser = RequestParser(MemoryAccount())
    parser.limits = LIMITS
    parser.feed(CHUNKED + b'%x\r\n' % (2 * MAX_BODY), 0)
    parser.feed(b'x' * 80_000, 0)
    with pytest.raises(RequestRejectedError, match='over 100000'):
        parser.feed(b'x' * 40_000, 0)
    parser.drop_body()
    assert not parser.body_bytes


# Guards against bodies that are never used, and stay in memory while a
# connection is closed so that its caller gets the last response.
@pytest.mark.parametrize('sent', [MAX_BODY - 1, MAX_BODY])
async def test_bodies_are_freed_before_the_connection_has_closed(
    listen, monkeypatch, sent
):
    monkeypatch.setattr(inbound, 'LINGER_SECONDS', 30)
    handler, listener, connect = await listen()
    reader, _ = await connect(HEAD % b'A: b' + DECLARED + b'x' * sent)
    await wait_until(lambda: listener.memory.total >= sent)
    listener.draining = True
    handler.may_answer.set()
    assert (await reader.readline()).startswith(OK_HEAD)
    await wait_until(lambda: listener.memory.total == 0)
    assert len(listener.connections) == 1


# Guards against many callers that don't read their responses.
async def test_unread_responses_are_bounded_together(listen):
    handler, listener, connect = await listen(limit_bytes=20_000_000)
    handler.response = b'x' * 16_000_000
    handler.may_answer.set()
    for _ in range(4):
        await connect(HEAD % b'A: b')
    await wait_until(lambda: handler.begun == 4)
    await wait_until(lambda: len(listener.connections) < 4)
    assert listener.memory.total <= 20_000_000


# Guards against connections without requests that keep ordinary callers out.
async def test_idle_connection_gives_way_to_a_new_one(listen):
    handler, listener, connect = await listen(max_connections=4)
    handler.may_answer.set()
    opened = [await connect() for _ in range(4)]
    await wait_until(lambda: len(listener.connections) == 4)
    await asyncio.sleep(0.6)
    reader, _ = await connect(HEAD % b'A: b')
    assert (await reader.readline()).startswith(OK_HEAD)
    await wait_until(lambda: any(one.at_eof() for one, _ in opened))
    assert len(listener.connections) == 4


class WaitingConnection:
    """Connection that waits for something."""

    def __init__(self, phase, since):
        """Build a connection; without a phase, it has a request."""
        self.wait = Wait(phase, since) if phase else None


# Guards against requests in progress that are broken off for new connections.
@pytest.mark.parametrize(
    ('waits', 'chosen'),
    [
        (((None, 0), (ReadPhase.idle, 9.9)), None),
        (((ReadPhase.body, 1), (ReadPhase.idle, 5)), 1),
        (((ReadPhase.body, 2), (ReadPhase.head, 1), (None, 0)), 1),
    ],
)
def test_connection_that_gives_way(waits, chosen):
    connections = [WaitingConnection(*wait) for wait in waits]
    found = find_surplus(connections, 10)
    assert found is (None if chosen is None else connections[chosen])


# Guards against pipelined requests that take memory outside the account: one
# read holds thousands of them.
def test_pipelined_requests_are_accounted_for():
    account = MemoryAccount(LIMIT_BYTES)
    parser = RequestParser(account)
    parser.limits = LIMITS
    with pytest.raises(RequestRejectedError, match='room'):
        parser.feed(HEAD % b'X: y' * 5000, 0)
    assert 0 < account.total <= LIMIT_BYTES
    parser.close()
    assert account.total == 0


# Guards against responses of running requests that are given up for bodies that
# have stopped short of their end.
def test_stalled_bodies_are_given_up_before_responses():
    account = MemoryAccount(LIMIT_BYTES)
    given_up = []
    for number in range(6):
        body = account.open(lambda n=number: given_up.append(n), HeldKind.body)
        body.resize(100_000)
        body.opened_at -= 60
    response = account.open(lambda: given_up.append('response'))
    response.resize(400_000)
    assert given_up
    assert 'response' not in given_up
    assert account.total <= LIMIT_BYTES
