"""Responses to the requests of one connection that a caller opened."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from galenaswitch.connections.errors import (
    ConnectionEnd,
    RequestRejectedError,
)
from galenaswitch.connections.heads import (
    AnswerHead,
    Header,
    encode_response_head,
)
from galenaswitch.connections.requests import InboundLimits
from galenaswitch.connections.timers import RequestTimer

# Seconds after which a caller may repeat a request for which there was no room.
RETRY_AFTER_SECONDS = 1


def encode_rejection(error: RequestRejectedError) -> bytes:
    """Return the response that rejects a request and ends its connection."""
    headers: tuple[Header, ...] = (
        (b'Content-Length', b'0'),
        (b'Connection', b'close'),
    )
    if error.status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers = (*headers, (b'Retry-After', b'%d' % RETRY_AFTER_SECONDS))
    return encode_response_head(AnswerHead(error.status, headers))


class ListenerState(Protocol):
    """State of a listener that decides when its connections close."""

    draining: bool
    limits: Callable[[], InboundLimits]


class Connection(Protocol):
    """Connection of a caller, as far as a response needs it."""

    @property
    def listener(self) -> ListenerState:
        """State that the connections of a port share."""

    @property
    def end(self) -> ConnectionEnd | None:
        """What ended the connection, ``None`` while it is open."""

    @property
    def timer(self) -> RequestTimer:
        """Timeout between two requests."""

    async def drain(self) -> None:
        """Wait until the write buffer of the connection can take bytes."""

    def send(self, chunk: bytes) -> None:
        """Write bytes to the connection unless it is closed."""

    def abort(self) -> None:
        """Reset the connection, which makes a started response incomplete."""


class ConnectionWriter:
    """Writes the response to one request on a caller's connection.

    ``keep`` tells whether the connection stays open after the response.
    ``finished`` tells whether the response was sent completely.
    """

    def __init__(
        self,
        connection: Connection,
        keep_alive: bool,
    ) -> None:
        """Build a writer for ``connection``.

        :param keep_alive: whether the request allows the connection to stay
            open after the response.
        """
        self._connection = connection
        self._chunked = False
        self.keep = keep_alive
        self.started = False
        self.finished = False

    @property
    def connection_end(self) -> ConnectionEnd | None:
        """What ended the caller's connection, ``None`` while it is open."""
        return self._connection.end

    def start(self, head: AnswerHead, length: int | None) -> None:
        """Send the response head; a length of ``None`` means a chunked body."""
        self._chunked = length is None
        self.keep = self.keep and not self._connection.listener.draining
        framing: list[Header] = [
            (b'Transfer-Encoding', b'chunked')
            if length is None
            else (b'Content-Length', b'%d' % length),
        ]
        if self.keep:
            seconds = int(
                self._connection.listener.limits().idle_timeout_seconds
            )
            self._connection.timer.announced_idle_seconds = seconds
            framing.append((b'Keep-Alive', b'timeout=%d' % seconds))
        else:
            framing.append((b'Connection', b'close'))
        full_head = AnswerHead(head.status, (*head.headers, *framing))
        encoded = encode_response_head(full_head)
        self.started = True
        self._connection.send(encoded)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the response body, waiting for a slow caller.

        :raises CallerGoneError: when the caller closed the connection or
            stopped reading.
        """
        if self._chunked:
            chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        self._connection.send(chunk)
        await self._connection.drain()

    def finish(self) -> None:
        """End the response as complete."""
        if self._chunked:
            self._connection.send(b'0\r\n\r\n')
        self.finished = True

    def abort(self) -> None:
        """Reset the connection, so that the response can't look complete."""
        self.keep = False
        self._connection.abort()

    def fail(self) -> None:
        """End a response that can't be completed, as a failure."""
        if self.started:
            self.abort()
            return
        self.keep = False
        self.start(AnswerHead(HTTPStatus.INTERNAL_SERVER_ERROR, ()), 0)
        self.finish()
