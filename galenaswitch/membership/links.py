"""Authenticated streams between the system's processes.

Both ends prove that they hold the shared secret: each sends a nonce and
answers the other's with an HMAC-SHA256 over both nonces and its role.
"""

import asyncio
import contextlib
import hmac
import secrets
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import msgpack

from galenaswitch.errors import (
    PeerClosedError,
    PeerError,
    PeerRejectedError,
    PeerTimeoutError,
)
from galenaswitch.membership.frames import (
    Frame,
    Vocabulary,
    encode_frame,
    open_unpacker,
    unpack_frame,
)
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup

READ_BYTES = 65536
HANDSHAKE_SECONDS = 3
NONCE_BYTES = 16
MAX_PENDING_BYTES = 16_777_216
MAX_BUSY_REQUESTS = 4096


class Identity(NamedTuple):
    """Who stands at one end of a stream.

    :param node: name of the machine.
    :param zone: its availability zone.
    :param role: program, ``entry``, ``control`` or ``admin``.
    :param incarnation: random id of the process's life.
    """

    node: str
    zone: str
    role: str
    incarnation: str


class Hello(NamedTuple):
    """First message in each direction."""

    identity: Identity
    nonce: bytes


class Proof(NamedTuple):
    """Second message in each direction: HMAC over both nonces."""

    mac: bytes


HANDSHAKE = Vocabulary(Hello, Proof)
# A coroutine replies or waits; a plain function takes a push at once.
Handler = Callable[['Link', Any], Awaitable[Any] | None]


class Service(NamedTuple):
    """What a process answers on its streams.

    :param identity: this process.
    :param secret: the shared secret.
    :param vocabulary: known message types.
    :param handlers: for each type a coroutine, whose result is the reply,
        or a plain function for pushes that need no task of their own.
    :param address: IP number that dialled streams come from, empty for any.
    :param traffic: bytes ``sent`` and ``received`` on all streams, bytes
        ``sent.<message>`` of each type, and ``unknown_messages`` that were
        dropped.
    :param last_received_at: monotonic time of the last byte from each
        process, by its
        incarnation.
    """

    identity: Identity
    secret: str
    vocabulary: Vocabulary
    handlers: Mapping[type[Any], Handler]
    address: str = ''
    traffic: Counter[str] = Counter()  # noqa: RUF012
    last_received_at: dict[str, float] = {}  # noqa: RUF012

    def silent_seconds(self, peer: Identity, now: float) -> float:
        """Return the time since anything came from a process."""
        return now - self.last_received_at.get(peer.incarnation, 0)


class Link:
    """One stream to a peer, used by one reading task."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        service: Service,
    ) -> None:
        """Wrap an open TCP connection."""
        self._reader = reader
        self._writer = writer
        self._service = service
        self._sequence = 0
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._jobs: set[asyncio.Task[None]] = set()
        self._frames = self._read_frames()
        self.peer = Identity('', '', '', '')

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""
        return self._writer.is_closing()

    def send(self, message: Any, reply_to: int = 0) -> None:
        """Queue a message without waiting.

        :raises PeerClosedError: when the stream is closed or the peer
            doesn't read and too many bytes wait for it.
        """
        if self._writer.is_closing():
            raise PeerClosedError(f'stream to {self.peer.node} is closed')
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MAX_PENDING_BYTES:
            transport.abort()
            raise PeerClosedError(f'{self.peer.node} does not read')
        self._sequence += 1
        frame = encode_frame(self._sequence, reply_to, message)
        self._service.traffic['sent'] += len(frame)
        self._service.traffic[f'sent.{type(message).__name__}'] += len(frame)
        self._writer.write(frame)

    async def request(self, message: Any, seconds: float) -> Any:
        """Send a message and wait for its reply.

        :param seconds: longest wait.
        :raises PeerTimeoutError: no reply in time.
        :raises PeerClosedError: the stream ended first.
        """
        self.send(message)
        number = self._sequence
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            async with asyncio.timeout(seconds):
                return await future
        except TimeoutError as error:
            raise PeerTimeoutError(
                f'{self.peer.node} did not reply in {seconds} s',
            ) from error
        finally:
            self._waiting.pop(number, None)

    async def handshake(self) -> None:
        """Prove the secret to the peer and check the peer's proof.

        :raises PeerRejectedError: when the peer doesn't hold the secret.
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        self.send(Hello(self._service.identity, nonce))
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                hello = await self._expect(Hello)
                own = self._sign(self._service.identity, hello.nonce, nonce)
                self.send(Proof(own))
                proof = await self._expect(Proof)
        except TimeoutError as error:
            raise PeerTimeoutError('no handshake in time') from error
        if hello.identity == self._service.identity:
            raise PeerRejectedError('stream to itself')
        wanted = self._sign(hello.identity, nonce, hello.nonce)
        if not hmac.compare_digest(wanted, proof.mac):
            raise PeerRejectedError('the peer does not hold the secret')
        self.peer = hello.identity

    async def serve(self) -> None:
        """Read frames until the stream ends, answering each in turn."""
        try:
            async for frame in self._frames:
                self._accept(frame)
        finally:
            self.close()

    def close(self) -> None:
        """Close the stream and fail all waiting requests."""
        self._writer.close()
        self._service.last_received_at.pop(self.peer.incarnation, None)
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(
                    PeerClosedError(f'stream to {self.peer.node} closed'),
                )

    def _accept(self, frame: Frame) -> None:
        message = self._service.vocabulary.decode(frame)
        if message is None:
            self._service.traffic['unknown_messages'] += 1
            return
        if frame.reply_to:
            future = self._waiting.get(frame.reply_to)
            if future and not future.done():
                future.set_result(message)
            return
        handler = self._service.handlers.get(type(message))
        if handler is None:
            self._service.traffic['unknown_messages'] += 1
            return
        if len(self._jobs) >= MAX_BUSY_REQUESTS:
            raise PeerRejectedError('too many requests in progress')
        answer = handler(self, message)
        if answer is None:
            return
        job = asyncio.create_task(self._answer(frame.sequence, message, answer))
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    async def _answer(
        self,
        sequence: int,
        message: Any,
        answer: Awaitable[Any],
    ) -> None:
        try:
            reply = await answer
        except PeerError as error:
            get_logger().warning(
                'peer_request_failed',
                message=type(message).__name__,
                reason=str(error),
            )
            return
        if reply is not None:
            with contextlib.suppress(PeerClosedError):
                self.send(reply, sequence)

    async def _expect(self, kind: type[Any]) -> Any:
        frame = await anext(self._frames, None)
        message = HANDSHAKE.decode(frame) if frame else None
        if not isinstance(message, kind):
            raise PeerRejectedError(f'{kind.__name__} expected')
        return message

    async def _read_frames(self) -> AsyncIterator[Frame]:
        unpacker = open_unpacker()
        while True:
            chunk = await self._reader.read(READ_BYTES)
            if not chunk:
                return
            self._service.traffic['received'] += len(chunk)
            self._note_heard()
            try:
                unpacker.feed(chunk)
            except msgpack.BufferFull as error:
                raise PeerRejectedError('frame too large') from error
            for parts in _unpack(unpacker):
                yield unpack_frame(parts)

    def _note_heard(self) -> None:
        if self.peer.incarnation:
            now = asyncio.get_running_loop().time()
            self._service.last_received_at[self.peer.incarnation] = now

    def _sign(self, who: Identity, first: bytes, second: bytes) -> bytes:
        text = '/'.join(who).encode()
        key = self._service.secret.encode()
        return hmac.digest(key, first + second + text, 'sha256')


def _unpack(unpacker: msgpack.Unpacker) -> list[Any]:
    try:
        return list(unpacker)
    except (ValueError, msgpack.UnpackException) as error:
        raise PeerRejectedError('not msgpack') from error


async def serve_link(link: Link) -> None:
    """Greet and serve a stream until its end, whatever ends it."""
    try:
        await link.handshake()
        await link.serve()
    except (PeerError, OSError) as error:
        get_logger().info('peer_lost', peer=link.peer.node, reason=str(error))
    finally:
        link.close()


async def listen(
    address: str,
    port: int,
    service: Service,
    tasks: TaskGroup,
) -> asyncio.Server:
    """Accept streams from peers, one task for each.

    :raises OSError: when the port can't be opened.
    """

    return await asyncio.start_server(
        lambda reader, writer: _accept(reader, writer, service, tasks),
        address,
        port,
    )


def _accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    service: Service,
    tasks: TaskGroup,
) -> None:
    tasks.start(serve_link(Link(reader, writer, service)))


async def dial(address: str, port: int, service: Service) -> Link:
    """Open a stream to a peer and greet it; the caller runs ``serve``.

    :raises PeerError: when the peer can't be reached or rejects us.
    """
    source = (service.address, 0) if service.address else None
    try:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            reader, writer = await asyncio.open_connection(
                address,
                port,
                local_addr=source,
            )
    except (OSError, TimeoutError) as error:
        raise PeerClosedError(f'cannot reach {address}:{port}') from error
    link = Link(reader, writer, service)
    try:
        await link.handshake()
    except (PeerError, OSError) as error:
        link.close()
        raise PeerRejectedError(f'{address}:{port}: {error}') from error
    return link
