"""One send of a request to a target, and its whole answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from galenaswitch.connections.heads import AnswerHead, RequestHead
from galenaswitch.connections.outbound import (
    ConnectionPool,
    Exchange,
    TargetConnection,
)
from galenaswitch.errors import TargetBrokenError, TargetLateError

# Largest answer in bytes that is held whole before it is passed on.
MAX_WHOLE_BYTES = 4_194_304


class Attempt:
    """A request on its way at a target."""

    def __init__(
        self, connection: TargetConnection, exchange: Exchange
    ) -> None:
        """Read the answer of ``exchange`` from ``connection``."""
        self.connection = connection
        self.exchange = exchange

    async def read_head(self, seconds: float) -> AnswerHead:
        """Wait for the head of the answer.

        :raises TargetBrokenError: when the connection ended first.
        :raises TargetLateError: when it did not come in time.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self.exchange.read_head()
        except TimeoutError as error:
            raise TargetLateError('no answer in time') from error

    async def read(self, seconds: float) -> bytes:
        """Return the next part of the body, nothing at its whole end.

        :raises TargetBrokenError: when the answer is not whole.
        :raises TargetLateError: when nothing came in time.
        """
        try:
            async with asyncio.timeout(seconds):
                chunk = await self.exchange.read()
        except TimeoutError as error:
            raise TargetLateError('a pause in the answer') from error
        self.connection.resume_reading()
        return chunk

    async def read_complete(self, seconds: float) -> bytes:
        """Return the whole body.

        :raises TargetBrokenError: when it is not whole or too large.
        :raises TargetLateError: when it did not come in time.
        """
        content = bytearray()
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while chunk := await self.read(end - loop.time()):
            content += chunk
            if len(content) > MAX_WHOLE_BYTES:
                raise TargetBrokenError('the answer is too large')
        return bytes(content)


class Sender:
    """Sends requests; each is sent once."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Send on connections of ``pool``."""
        self._pool = pool

    @asynccontextmanager
    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        max_idle: float,
    ) -> AsyncIterator[Attempt]:
        """Send a request; its connection is closed unless all was read.

        :param max_idle: longest time in seconds that a connection may have
            been idle before.
        :raises TargetUnreachableError: when nothing was sent.
        """
        connection = await self._pool.acquire(address, max_idle)
        try:
            exchange = connection.send(head, body)
            yield Attempt(connection, exchange)
        finally:
            self._pool.release(connection)
