"""A loopback proxy that harms the connections through it."""

import asyncio
from collections.abc import Callable

DELAY_SECONDS = 0.15
CHUNK_BYTES = 65_536
MODES = ('delay', 'reset', 'silent', 'mute_answers', 'mute_requests')


class Proxy:
    """Passes connections on to one address.

    :ivar mode: ``well``, ``delay``, ``reset``, ``silent`` in both
        directions, ``mute_answers`` or ``mute_requests`` in one.
    """

    def __init__(self, find_upstream: Callable[[], tuple[str, int]]) -> None:
        """Pass on to the address that ``find_upstream`` returns."""
        self.mode = 'well'
        self.address = ''
        self._find_upstream = find_upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._carry, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Close everything."""
        if self._server:
            self._server.close()
        self.cut()

    def harm(self, mode: str) -> None:
        """Begin a fault, or end it with ``well``.

        Bytes that were held up are lost: connections that were silent are
        reset when the fault ends.
        """
        ended = self.mode not in {'well', 'delay'} and mode == 'well'
        self.mode = mode
        if mode == 'reset' or ended:
            self.cut()

    def cut(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode == 'reset':
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(*self._find_upstream())
        except OSError:
            writer.transport.abort()
            return
        both = (writer, upstream[1])
        self._writers.update(both)
        try:
            await asyncio.gather(
                self._pump(reader, upstream[1], 'mute_requests'),
                self._pump(upstream[0], writer, 'mute_answers'),
            )
        finally:
            for one in both:
                one.close()
            self._writers.difference_update(both)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        muted_in: str,
    ) -> None:
        """Pass one direction on until its end.

        A reset on one side is passed on as a reset.
        """
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_SECONDS)
                if self.mode not in {'silent', muted_in}:
                    writer.write(chunk)
                    await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
