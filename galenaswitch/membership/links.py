"""Authenticated links between the system's processes.

A link is a TCP connection that carries frames in both directions. Both ends
prove that they know the shared secret.
"""

import asyncio
import contextlib
import hmac
import secrets
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from galenaswitch.errors import (
    PeerClosedError,
    PeerError,
    PeerRejectedError,
    PeerTimeoutError,
)
from galenaswitch.membership.frames import (
    Frame,
    FrameDecoder,
    Vocabulary,
    encode_frame,
    pack_message,
)
from galenaswitch.membership.handshake import (
    HANDSHAKE_VOCABULARY,
    Hello,
    Identity,
    Proof,
    compute_hmac,
)
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.operations.timeouts import Timeout

READ_CHUNK_BYTES = 65536
HANDSHAKE_TIMEOUT_SECONDS = 3
NONCE_BYTES = 16
MAX_WRITE_BUFFER_BYTES = 16_777_216
MAX_CONCURRENT_REQUESTS = 4096


# Handles one message type. A coroutine function runs in a task of its own and
# may return a reply; a plain function handles a one-way message immediately.
Handler = Callable[['Link', Any], Awaitable[Any] | None]


class LinkService(NamedTuple):
    """Identity, message handlers and counters that a process's links share.

    :param identity: identity of this process.
    :param secret: shared secret that all processes authenticate with.
    :param vocabulary: message types that this process understands.
    :param handlers: handler of each message type: a coroutine function, whose
        result is sent as the reply, or a plain function for one-way messages
        that need no task of their own.
    :param address: source IP address of outgoing connections, empty for any.
    :param traffic: counters over all links: bytes ``sent`` and ``received``,
        bytes ``sent.<message>`` of each message type, and the number of
        ``unknown_messages`` that were dropped.
    :param last_received_at: monotonic time of the last byte that each peer
        sent, keyed by the peer's incarnation.
    """

    identity: Identity
    secret: str
    vocabulary: Vocabulary
    handlers: Mapping[type[Any], Handler]
    address: str = ''
    traffic: Counter[str] = Counter()  # noqa: RUF012
    last_received_at: dict[str, float] = {}  # noqa: RUF012

    def silent_seconds(self, peer: Identity, now: float) -> float:
        """Return the seconds since a peer last sent data on any link.

        :param now: monotonic time in seconds.
        """
        return now - self.last_received_at.get(peer.incarnation, 0)


class Link:
    """Link to one peer; a single task reads from it.

    Any task may send messages and requests on the link.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        service: LinkService,
    ) -> None:
        """Build an unauthenticated link over an open TCP connection."""
        self._reader = reader
        self._writer = writer
        self._service = service
        self._sequence = 0
        self._pending_replies: dict[int, asyncio.Future[Any]] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._decoder = FrameDecoder()
        self._frames = self._read_frames()
        self._handed_over = False
        self.peer = Identity('', '', '', '')

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._writer.is_closing()

    def send(self, message: Any, reply_to: int = 0) -> None:
        """Write a message to the send buffer without waiting.

        The connection is aborted when more than
        :data:`MAX_WRITE_BUFFER_BYTES` are still unsent.

        :param message: message, which may be packed already.
        :param reply_to: sequence number of the request that the message
            answers, 0 for a message that answers none.
        :raises PeerClosedError: when the link is closed, or is aborted because
            the peer doesn't read.
        """
        if self._writer.is_closing():
            raise PeerClosedError(f'the link to {self.peer.node} is closed')
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            transport.abort()
            raise PeerClosedError(f'{self.peer.node} does not read its link')
        self._sequence += 1
        packed = pack_message(message)
        frame = encode_frame(self._sequence, reply_to, packed)
        self._service.traffic['sent'] += len(frame)
        self._service.traffic[f'sent.{packed.name}'] += len(frame)
        self._writer.write(frame)

    async def request(self, message: Any, seconds: float) -> Any:
        """Send a request and wait for its reply.

        :param seconds: longest wait for the reply.
        :raises PeerTimeoutError: when no reply arrives in time.
        :raises PeerClosedError: when the link closes before the reply.
        """
        self.send(message)
        sequence = self._sequence
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[sequence] = future
        try:
            async with Timeout(seconds):
                return await future
        except TimeoutError as error:
            raise PeerTimeoutError(
                f'{self.peer.node} did not reply in {seconds} s',
            ) from error
        finally:
            self._pending_replies.pop(sequence, None)

    async def handshake(self) -> None:
        """Authenticate to the peer and check the peer's proof.

        :raises PeerRejectedError: when the peer's proof is wrong or the peer
            is this process itself.
        :raises PeerTimeoutError: when the peer doesn't complete the handshake
            in time.
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        self.send(Hello(self._service.identity, nonce))
        try:
            async with Timeout(HANDSHAKE_TIMEOUT_SECONDS):
                hello = await self._receive(Hello, HANDSHAKE_VOCABULARY)
                own_hmac = compute_hmac(
                    self._service.secret,
                    self._service.identity,
                    hello.nonce,
                    nonce,
                )
                self.send(Proof(own_hmac))
                proof = await self._receive(Proof, HANDSHAKE_VOCABULARY)
        except TimeoutError as error:
            raise PeerTimeoutError('the handshake timed out') from error
        if hello.identity == self._service.identity:
            raise PeerRejectedError('the link leads to this process itself')
        expected_hmac = compute_hmac(
            self._service.secret, hello.identity, nonce, hello.nonce
        )
        if not hmac.compare_digest(expected_hmac, proof.mac):
            raise PeerRejectedError('the peer does not hold the shared secret')
        self.peer = hello.identity

    async def serve(self) -> None:
        """Read and dispatch frames until the peer closes the connection.

        Handlers run concurrently, so replies may be out of order.

        :raises PeerRejectedError: when the peer sends an invalid frame or has
            too many requests in progress.
        """
        try:
            async for frame in self._frames:
                self._dispatch_frame(frame)
        finally:
            self.close()

    async def receive(self, kind: type[Any]) -> Any:
        """Return the next message on a link that isn't served.

        :raises PeerRejectedError: when the message is missing or not of the
            type ``kind``.
        """
        return await self._receive(kind, self._service.vocabulary)

    async def hand_over(self, protocol: asyncio.Protocol) -> None:
        """Let a protocol use the connection, which is no link any more.

        The link must live as long as the connection, since the stream closes
        the connection of a link that nobody refers to.
        """
        transport = self._writer.transport
        is_closed = self._reader.at_eof()
        self._handed_over = True
        transport.set_protocol(protocol)
        self._reader.feed_eof()
        unread = self._decoder.undecoded + await self._reader.read()
        protocol.connection_made(transport)
        if unread:
            protocol.data_received(unread)
        if is_closed:
            protocol.eof_received()
            transport.close()

    def close(self) -> None:
        """Close the connection and fail all requests without a reply."""
        if self._handed_over:
            return
        self._writer.close()
        self._service.last_received_at.pop(self.peer.incarnation, None)
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(
                    PeerClosedError(f'the link to {self.peer.node} closed'),
                )

    def _dispatch_frame(self, frame: Frame) -> None:
        message = self._service.vocabulary.decode(frame)
        if message is None:
            self._service.traffic['unknown_messages'] += 1
            return
        if frame.reply_to:
            future = self._pending_replies.get(frame.reply_to)
            if future and not future.done():
                future.set_result(message)
            return
        handler = self._service.handlers.get(type(message))
        if handler is None:
            self._service.traffic['unknown_messages'] += 1
            return
        if len(self._handler_tasks) >= MAX_CONCURRENT_REQUESTS:
            raise PeerRejectedError('too many requests in progress on the link')
        pending_reply = handler(self, message)
        if pending_reply is None:
            return
        task = asyncio.create_task(
            self._send_reply(frame.sequence, message, pending_reply),
        )
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    async def _send_reply(
        self,
        sequence: int,
        message: Any,
        pending_reply: Awaitable[Any],
    ) -> None:
        try:
            reply = await pending_reply
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

    async def _receive(self, kind: type[Any], vocabulary: Vocabulary) -> Any:
        frame = await anext(self._frames, None)
        message = vocabulary.decode(frame) if frame else None
        if not isinstance(message, kind):
            raise PeerRejectedError(f'{kind.__name__} message is missing')
        return message

    async def _read_frames(self) -> AsyncIterator[Frame]:
        while True:
            chunk = await self._reader.read(READ_CHUNK_BYTES)
            if not chunk:
                return
            self._service.traffic['received'] += len(chunk)
            self._record_receipt()
            for frame in self._decoder.decode(chunk):
                yield frame

    def _record_receipt(self) -> None:
        if self.peer.incarnation:
            now = asyncio.get_running_loop().time()
            self._service.last_received_at[self.peer.incarnation] = now


async def serve_link(link: Link) -> None:
    """Run the handshake, then serve a link that a peer opened.

    A peer error or socket error ends the link; it is logged, not raised.
    """
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
    service: LinkService,
    tasks: TaskGroup,
) -> asyncio.Server:
    """Listen for links from peers and serve each link in a task.

    :raises OSError: when the port can't be opened.
    """

    return await asyncio.start_server(
        lambda reader, writer: _accept_link(reader, writer, service, tasks),
        address,
        port,
    )


def _accept_link(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    service: LinkService,
    tasks: TaskGroup,
) -> None:
    tasks.start(serve_link(Link(reader, writer, service)))


async def dial(address: str, port: int, service: LinkService) -> Link:
    """Connect to a peer and run the handshake.

    The caller has to run :meth:`Link.serve` on the returned link.

    :raises PeerError: when the peer can't be reached or the handshake fails.
    """
    source_address = (service.address, 0) if service.address else None
    try:
        async with Timeout(HANDSHAKE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                address,
                port,
                local_addr=source_address,
            )
    except (OSError, TimeoutError, ValueError) as error:
        raise PeerClosedError(f'cannot reach {address}:{port}') from error
    link = Link(reader, writer, service)
    try:
        await link.handshake()
    except (PeerError, OSError) as error:
        link.close()
        raise PeerRejectedError(f'{address}:{port}: {error}') from error
    except asyncio.CancelledError:
        link.close()
        raise
    return link
