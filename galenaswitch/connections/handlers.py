"""What responds to the requests of callers, and writes the responses."""

from typing import Protocol

from galenaswitch.connections.errors import ConnectionEnd
from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.requests import InboundRequest


class AnswerWriter(Protocol):
    """Sends the response to one request.

    :ivar keep: whether the connection stays open after the response.
    """

    keep: bool

    def start(self, head: AnswerHead, length: int | None) -> None:
        """Send the response head; a length of ``None`` means a chunked body."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the response body, waiting for a slow caller."""

    def finish(self) -> None:
        """End the response as complete."""

    def abort(self) -> None:
        """Reset the connection, so that the response can't look complete."""

    @property
    def started(self) -> bool:
        """Whether the response head was sent."""

    @property
    def finished(self) -> bool:
        """Whether the response is complete."""

    @property
    def connection_end(self) -> ConnectionEnd | None:
        """What ended the caller's connection, ``None`` while it is open."""


class Handler(Protocol):
    """Responds to the requests of a listener."""

    async def handle(
        self,
        request: InboundRequest,
        writer: AnswerWriter,
    ) -> None:
        """Send the response to a request through ``writer``.

        A request that a handler leaves without a response, or with an error,
        gets a response with status 500.
        """
