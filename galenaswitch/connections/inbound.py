"""Connections of callers: one task each, one request after another.

The handler is cancelled the moment its caller closes the connection, so
that a target's work for it ends at once.
"""

import asyncio
import time
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any, Protocol

from galenaswitch.connections.errors import (
    CallerGoneError,
    RequestRejectedError,
)
from galenaswitch.connections.heads import (
    AnswerHead,
    Header,
    encode_response_head,
)
from galenaswitch.connections.requests import (
    InboundLimits,
    InboundRequest,
    RequestParser,
)
from galenaswitch.connections.sockets import enable_dead_peer_detection
from galenaswitch.operations.logs import get_logger

# Requests that a caller may send ahead of their answers.
MAX_PIPELINED_REQUESTS = 4
# Bytes of answers that may wait for a slow caller.
MAX_UNSENT_BYTES = 262_144
# Longest time in seconds that a caller may stop reading its answer.
STALLED_READER_TIMEOUT_SECONDS = 20
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


class AnswerWriter(Protocol):
    """Takes the answer to one request."""

    def start(self, head: AnswerHead, length: int | None) -> None:
        """Send the head; ``None`` as length means a chunked body."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body, waiting for a slow caller."""

    def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """Break the answer off, so that it can't look complete."""

    @property
    def started(self) -> bool:
        """Whether the head was sent."""


class Handler(Protocol):
    """Answers requests."""

    async def handle(
        self,
        request: InboundRequest,
        writer: AnswerWriter,
    ) -> None:
        """Answer a request through ``writer``."""


class Listener:
    """What all connections of one port share."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], InboundLimits],
    ) -> None:
        """Serve with ``handler`` under the limits in force."""
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.connections: set[CallerConnection] = set()
        self.busy = 0

    def open_connection(self) -> 'CallerConnection':
        """Make the protocol of a new connection."""
        return CallerConnection(self)

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()


class Timer:
    """One call in the future that can be put off."""

    def __init__(self) -> None:
        """Start without a call."""
        self._handle: asyncio.TimerHandle | None = None

    def start(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call ``act`` later, instead of what was planned before."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(seconds, callback)

    def stop(self) -> None:
        """Call nothing."""
        if self._handle:
            self._handle.cancel()
            self._handle = None


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, listener: Listener) -> None:
        """Serve as ``listener`` says."""
        self._listener = listener
        self._parser = RequestParser()
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._request_arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer = Timer()
        self._rejection: RequestRejectedError | None = None
        self._serving = False
        self._closed = False

    def connection_made(self, transport: Any) -> None:
        """Start the task of the connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        enable_dead_peer_detection(transport)
        self._listener.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())
        self._arm_timer()

    def data_received(self, chunk: bytes) -> None:
        """Parse what the caller sent."""
        self._parser.limits = self._listener.limits()
        try:
            self._parser.feed(chunk, time.monotonic())
        except RequestRejectedError as error:
            self._rejection = error
            self._transport.pause_reading()
        if self._parser.wants_continue:
            self._parser.wants_continue = False
            self._transport.write(CONTINUE_RESPONSE)
        if len(self._parser.requests) > MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        if self._parser.requests or self._rejection:
            self._request_arrived.set()
        if not self._serving:
            self._arm_timer()

    def eof_received(self) -> bool:
        """Treat a caller that has ended its side as gone."""
        self._disconnect()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Stop all work for the caller."""
        self._disconnect()

    def pause_writing(self) -> None:
        """Hold answers back; the caller doesn't read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on; the caller reads again."""
        self._writable.set()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun on it."""
        if not self._serving and self._parser.begun_at is None:
            self._disconnect()

    async def drain(self) -> None:
        """Wait until the caller has read enough.

        :raises CallerGoneError: when it has stopped reading or left.
        """
        if self._closed:
            raise CallerGoneError('the caller left')
        if self._writable.is_set():
            return
        try:
            async with asyncio.timeout(STALLED_READER_TIMEOUT_SECONDS):
                await self._writable.wait()
        except TimeoutError as error:
            raise CallerGoneError('the caller does not read') from error

    def send(self, chunk: bytes) -> None:
        """Queue bytes for the caller."""
        if not self._closed:
            self._transport.write(chunk)

    def abort(self) -> None:
        """Reset the connection in the middle of an answer."""
        self._transport.abort()
        self._closed = True

    async def _serve(self) -> None:
        while not self._closed:
            request = await self._next_request()
            if request is None:
                return
            self._serving = True
            self._listener.busy += 1
            try:
                keep_alive = await self._handle_request(request)
            finally:
                self._listener.busy -= 1
                self._serving = False
            if not keep_alive:
                self._close()
                return
            self._arm_timer()

    async def _next_request(self) -> InboundRequest | None:
        while True:
            if self._parser.requests:
                request = self._parser.requests.popleft()
                if not self._closed and not self._rejection:
                    self._transport.resume_reading()
                return request
            if self._rejection:
                self._reject(self._rejection)
                return None
            self._request_arrived.clear()
            await self._request_arrived.wait()

    async def _handle_request(self, request: InboundRequest) -> bool:
        keep_alive = request.keep_alive and not self._listener.draining
        writer = ConnectionWriter(self, keep_alive, self._listener)
        try:
            await self._listener.handler.handle(request, writer)
        except CallerGoneError:
            self.abort()
            return False
        if not writer.finished:
            writer.abort()
            return False
        return writer.keep

    def _reject(self, error: RequestRejectedError) -> None:
        get_logger().info(
            'request_rejected',
            status=int(error.status),
            reason=str(error),
        )
        head = AnswerHead(
            error.status,
            ((b'Content-Length', b'0'), (b'Connection', b'close')),
        )
        self.send(encode_response_head(head))
        self._close()

    def _close(self) -> None:
        self._closed = True
        self._timer.stop()
        self._transport.close()

    def _disconnect(self) -> None:
        self._closed = True
        self._timer.stop()
        self._writable.set()
        self._listener.connections.discard(self)
        if self._task:
            self._task.cancel()
        self._transport.close()

    def _arm_timer(self) -> None:
        """Bound the time until a head is whole, or a request begins."""
        limits = self._listener.limits()
        request_begun = self._parser.begun_at is not None
        seconds = (
            limits.header_timeout_seconds
            if request_begun
            else limits.idle_timeout_seconds
        )
        self._timer.start(seconds, partial(self._handle_timeout, request_begun))

    def _handle_timeout(self, request_begun: bool) -> None:
        if self._serving:
            return
        if request_begun and not self._parser.head_complete:
            self._reject(
                RequestRejectedError(
                    HTTPStatus.REQUEST_TIMEOUT,
                    'the head did not arrive in time',
                ),
            )
        if not request_begun:
            self._disconnect()


class ConnectionWriter:
    """Answer to one request of a connection."""

    def __init__(
        self,
        connection: CallerConnection,
        keep_alive: bool,
        listener: Listener,
    ) -> None:
        """Write to ``connection``; ``keep`` it open after the answer."""
        self._connection = connection
        self._listener = listener
        self._chunked = False
        self.keep = keep_alive
        self.started = False
        self.finished = False

    def start(self, head: AnswerHead, length: int | None) -> None:
        """Send the head; ``None`` as length means a chunked body."""
        self.started = True
        self._chunked = length is None
        self.keep = self.keep and not self._listener.draining
        framing: list[Header] = [
            (b'Transfer-Encoding', b'chunked')
            if length is None
            else (b'Content-Length', b'%d' % length),
        ]
        if self.keep:
            seconds = int(self._listener.limits().idle_timeout_seconds)
            framing.append((b'Keep-Alive', b'timeout=%d' % seconds))
        else:
            framing.append((b'Connection', b'close'))
        full_head = AnswerHead(head.status, (*head.headers, *framing))
        self._connection.send(encode_response_head(full_head))

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body.

        :raises CallerGoneError: when the caller doesn't read.
        """
        if self._chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self._connection.send(chunk)
        await self._connection.drain()

    def finish(self) -> None:
        """End the answer as complete."""
        if self._chunked:
            self._connection.send(b'0\r\n\r\n')
        self.finished = True

    def abort(self) -> None:
        """Break the answer off, so that it can't look complete."""
        self.keep = False
        self._connection.abort()
