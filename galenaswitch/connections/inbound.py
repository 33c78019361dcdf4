"""HTTP connections that callers open to this process.

Each connection has one task, which handles its requests one after another.
When the caller closes the connection, the running request handler is
cancelled at once, so that targets stop working on the request.
"""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any

from galenaswitch.connections.crowding import Wait, find_surplus
from galenaswitch.connections.errors import (
    CallerGoneError,
    ConnectionEnd,
    RequestRejectedError,
    detach,
    find_end,
)
from galenaswitch.connections.handlers import Handler
from galenaswitch.connections.intake import make_full_error
from galenaswitch.connections.memory import MemoryAccount
from galenaswitch.connections.reading import RequestReader
from galenaswitch.connections.requests import (
    InboundLimits,
    InboundRequest,
    ReadPhase,
)
from galenaswitch.connections.responses import (
    ConnectionWriter,
    encode_rejection,
)
from galenaswitch.connections.sockets import (
    enable_dead_peer_detection,
    has_unread_bytes,
)
from galenaswitch.connections.timers import RequestTimer
from galenaswitch.connections.unsent import UnsentProtocol
from galenaswitch.operations.logs import describe_error, get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import is_cancelled

# Longest time in seconds that a connection stays open after its last response,
# so that what the caller still sends doesn't reset it.
LINGER_SECONDS = 1
# Most bytes of a request's path in a log line.
MAX_LOGGED_PATH = 100


class Listener:
    """Shared state of all connections that callers open to one port.

    ``draining`` is set at a graceful shutdown: each connection closes after
    its response. ``busy`` counts the connections with a request in progress.
    Above ``max_connections``, a connection is closed for each new one.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], InboundLimits],
        metrics: Metrics,
        memory: MemoryAccount | None = None,
        max_connections: float = math.inf,
    ) -> None:
        """Build a listener; ``limits`` returns the limits now in force.

        :param memory: accounts for the bytes of requests and responses.
        """
        self.handler = handler
        self._metrics = metrics
        self.limits = limits
        self.memory = memory or MemoryAccount()
        self.max_connections = max_connections
        self.draining = False
        self.connections: set[CallerConnection] = set()
        self.busy = 0

    def open_connection(self) -> 'CallerConnection':
        """Return the asyncio protocol for a new connection."""
        return CallerConnection(self)

    def add(self, connection: 'CallerConnection') -> None:
        """Add a new connection; another one is closed if there are too many."""
        self.connections.add(connection)
        count = len(self.connections)
        if count <= self.max_connections:
            return
        now = asyncio.get_running_loop().time()
        surplus = find_surplus(self.connections, now) or connection
        wait = surplus.wait
        self._metrics.count('connection_closed_for_newer')
        get_logger().info(
            'connection_closed_for_newer',
            connections=count,
            phase=wait.phase.name if wait else '',
            age=round(now - wait.since, 3) if wait else 0,
        )
        surplus.make_way()

    def count(self, name: str) -> None:
        """Count an event."""
        self._metrics.count(name)

    def close_idle(self, least_idle_seconds: float = 0) -> None:
        """Close all connections without a request in progress.

        :param least_idle_seconds: time for which a connection has to be idle,
            so that a caller that has just opened it can send its request.
        """
        latest = asyncio.get_running_loop().time() - least_idle_seconds
        for connection in list(self.connections):
            if connection.timer.started_at <= latest:
                connection.close_if_idle()

    def record_failure(
        self, request: InboundRequest, error: BaseException
    ) -> None:
        """Log and count an error that left a request without a response."""
        self._metrics.count('request_unanswered')
        get_logger().error(
            'request_unanswered',
            method=request.head.method.decode('latin-1'),
            path=request.head.path[:MAX_LOGGED_PATH].decode('latin-1'),
            **describe_error(error),
        )


class CallerConnection(UnsentProtocol):
    """One connection that a caller opened.

    :ivar end: what ended the connection, ``None`` while it is open.
    """

    def __init__(self, listener: Listener) -> None:
        """Build the protocol of a connection to ``listener``."""
        super().__init__(listener.memory, self.abort)
        self.listener = listener
        self._reader = RequestReader(listener.memory)
        self._parser = self._reader.parser
        self._task: asyncio.Task[None] | None = None
        self.timer = RequestTimer(listener.limits, self._handle_timeout)
        self._serving = False
        self.end: ConnectionEnd | None = None
        self._linger: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Start the task that handles the requests of the connection."""
        super().connection_made(transport)
        self._reader.attach(transport)
        enable_dead_peer_detection(transport)
        self._task = asyncio.get_running_loop().create_task(self._serve())
        self._task.add_done_callback(
            partial(_handle_task_end, self._disconnect)
        )
        self.timer.start(self._parser.phase, self._parser.body_bytes)
        self.listener.add(self)

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes from the caller and wake the connection's task."""
        if self._linger:
            return
        self._parser.limits = self.listener.limits()
        self._reader.feed(chunk)
        if not self._serving:
            self.timer.observe(self._parser.phase, self._parser.body_bytes)

    def eof_received(self) -> bool:
        """Disconnect; a half-closed connection counts as closed."""
        self._disconnect(ConnectionEnd.caller_closed)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress on the lost connection."""
        self.resume_writing()
        self._disconnect(find_end(error))

    @property
    def wait(self) -> Wait | None:
        """What it waits for, ``None`` if it has a complete request."""
        if self._serving or self._parser.requests:
            return None
        return Wait(self._parser.phase, self.timer.started_at)

    def make_way(self) -> None:
        """Close the connection at once, as callers have opened too many."""
        if self.is_full:
            self.abort()
        elif self._parser.begun_at is not None:
            self.send(encode_rejection(make_full_error('too many connections')))
        self._disconnect(ConnectionEnd.crowded)

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive on it."""
        has_begun = self._parser.begun_at is not None
        is_used = self._serving or self._reader.has_input
        if is_used or has_begun or self._linger:
            return
        # Timers that are due may run before the loop reads what has arrived.
        if self._closed or not has_unread_bytes(self._transport):
            self._disconnect(
                ConnectionEnd.stop
                if self.listener.draining
                else ConnectionEnd.idle
            )

    async def drain(self) -> None:
        """Wait until the write buffer of the connection can take bytes.

        :raises CallerGoneError: when the caller has closed the connection or
            reads nothing for too long.
        """
        if self._closed:
            ended = self.end.value if self.end else 'closed'
            raise CallerGoneError(f'the connection is {ended}')
        await super().drain()

    def abort(self) -> None:
        """Reset the connection, which makes a started response incomplete."""
        self.end = self.end or ConnectionEnd.broken_off
        self._transport.abort()
        self._closed = True

    async def _serve(self) -> None:
        while not self._closed:
            if not await self._serve_next():
                return

    async def _serve_next(self) -> bool:
        """Handle one request; return whether another one may follow.

        The request ends with this call, so that an idle connection holds none.
        """
        request = await self._reader.read()
        if request is None:
            self._reject(self._reader.rejection)
            return False
        self._serving = True
        self.listener.busy += 1
        try:
            keep_alive = await self._handle_request(request)
        finally:
            self.listener.busy -= 1
            self._serving = False
            if request.holding:
                request.holding.close()
        if keep_alive:
            self.timer.start(self._parser.phase, self._parser.body_bytes)
        else:
            self._close_gently(ConnectionEnd.answered)
        return keep_alive

    async def _handle_request(self, request: InboundRequest) -> bool:
        keep_alive = request.keep_alive and not self.listener.draining
        writer = ConnectionWriter(self, keep_alive)
        try:
            await self.listener.handler.handle(request, writer)
        except CallerGoneError as error:
            detach(error)
            self.abort()
            return False
        except (Exception, asyncio.CancelledError) as error:
            if is_cancelled():
                raise
            self.listener.record_failure(request, error)
            detach(error)
        if not writer.finished:
            writer.fail()
        return writer.keep

    def _reject(self, error: RequestRejectedError | None) -> None:
        self._parser.drop_body()
        if error:
            self.listener.count('request_rejected')
            get_logger().info(
                'request_rejected',
                status=int(error.status),
                reason=str(error),
            )
            self.send(encode_rejection(error))
        self._close_gently(ConnectionEnd.rejected)

    def _close_gently(self, end: ConnectionEnd) -> None:
        """Close the connection without a reset that overtakes the response.

        The kernel resets a connection that is closed while bytes of the caller
        are unread, and the caller may lose the response to that. Requests
        that wait behind the last response aren't served, and are released.
        """
        if self._closed:
            return
        self.end = self.end or end
        self._closed = True
        self.timer.stop()
        self._parser.close()
        self._transport.write_eof()
        self._transport.resume_reading()
        loop = asyncio.get_running_loop()
        self._linger = loop.call_later(LINGER_SECONDS, self._transport.close)

    def _disconnect(self, end: ConnectionEnd) -> None:
        self.end = self.end or end
        self._closed = True
        if self._linger:
            self._linger.cancel()
        self.timer.stop()
        self._parser.close()
        self.listener.connections.discard(self)
        if self._task:
            self._task.cancel()
        self._transport.close()

    def _handle_timeout(self, phase: ReadPhase) -> None:
        if phase is ReadPhase.idle:
            self.close_if_idle()
        elif not self._serving and self._parser.phase is phase:
            self._reject(
                RequestRejectedError(
                    HTTPStatus.REQUEST_TIMEOUT,
                    f'the {phase.name} of the request did not arrive in time',
                ),
            )


def _handle_task_end(
    disconnect: Callable[[ConnectionEnd], None], task: asyncio.Task[None]
) -> None:
    """Close a connection whose task failed, as no other one serves it."""
    try:
        error = task.exception()
    except asyncio.CancelledError as cancelled:
        detach(cancelled)
        return
    if error:
        get_logger().error('connection_failed', **describe_error(error))
        detach(error)
        disconnect(ConnectionEnd.broken_off)
