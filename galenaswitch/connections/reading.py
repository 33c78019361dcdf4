"""Requests that arrive on one connection, up to the one that is rejected."""

import asyncio
import time
from http import HTTPStatus
from typing import Any

from galenaswitch.connections.errors import RequestRejectedError, detach
from galenaswitch.connections.intake import make_full_error
from galenaswitch.connections.memory import MemoryAccount
from galenaswitch.connections.requests import InboundRequest, RequestParser
from galenaswitch.operations.logs import describe_error, get_logger

# Pipelined requests that wait on one connection before reading from the
# caller is paused.
MAX_PIPELINED_REQUESTS = 4
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestReader:
    """Reads requests; one that is rejected is the last of the connection.

    :ivar rejection: why the request behind the complete ones is rejected.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        """Build a reader of a new connection.

        :param memory: accounts for the bodies.
        """
        self.parser = RequestParser(memory)
        self.parser.on_given_up = self._handle_given_up
        self.rejection: RequestRejectedError | None = None
        self._transport: Any = None
        self._arrived = asyncio.Event()

    @property
    def has_input(self) -> bool:
        """Whether a request is complete, or is rejected."""
        return bool(self.parser.requests or self.rejection)

    def attach(self, transport: Any) -> None:
        """Use a new connection, on which reading is paused if need be."""
        self._transport = transport

    def feed(self, chunk: bytes) -> None:
        """Parse bytes from the caller and wake who waits for a request."""
        if self.rejection:
            return
        try:
            self.parser.feed(chunk, time.monotonic())
        except RequestRejectedError as error:
            detach(error)
            self._reject(error)
        except Exception as error:
            get_logger().error('request_unreadable', **describe_error(error))
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            self._reject(RequestRejectedError(status, 'the parser failed'))
        if self.parser.wants_continue:
            self.parser.wants_continue = False
            self._transport.write(CONTINUE_RESPONSE)
        if len(self.parser.requests) > MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        if self.parser.requests:
            self._arrived.set()

    async def read(self) -> InboundRequest | None:
        """Return the next request, ``None`` if it is rejected."""
        while not self.has_input:
            self._arrived.clear()
            await self._arrived.wait()
        if not self.parser.requests:
            return None
        request = self.parser.requests.popleft()
        if not self.rejection and not self._transport.is_closing():
            self._transport.resume_reading()
        return request

    def _reject(self, error: RequestRejectedError) -> None:
        self.rejection = error
        self.parser.drop_body()
        self._transport.pause_reading()
        self._arrived.set()

    def _handle_given_up(self) -> None:
        self._reject(make_full_error('the bodies in memory are too large'))
