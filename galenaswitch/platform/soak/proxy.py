"""TCP proxy that injects network faults into the connections through it."""

import asyncio
from collections.abc import Callable

from galenaswitch.platform.soak.filters import drop_packets

DELAY_SECONDS = 0.15
CHUNK_BYTES = 65_536
PROXY_MODES = ('delay', 'reset', 'silent', 'mute_answers', 'mute_requests')
# Ways in which a proxy cuts a client off. ``hang`` drops all packets, and
# ``live_on`` those of new connections only; ``reset`` resets connections and
# drops new ones, ``refuse`` resets new ones as well.
PARTITION_MODES = ('hang', 'live_on', 'reset', 'refuse')
# Partition that soaks don't draw: new connections are accepted and never read.
UNREAD = 'unread'
POLL_SECONDS = 0.1


class Proxy:
    """TCP proxy in front of one address, with a fault mode.

    :ivar mode: ``well`` forwards all bytes, ``delay`` forwards them later,
        ``reset`` resets connections, ``silent`` drops the bytes of both
        directions, ``mute_answers`` and ``mute_requests`` drop the bytes of
        one direction.
    :ivar address: host and port that the proxy listens on, empty before the
        start.
    """

    def __init__(self, find_upstream: Callable[[], tuple[str, int]]) -> None:
        """Build a proxy that isn't listening yet.

        :param find_upstream: returns the address of the server behind the
            proxy, for each connection anew.
        """
        self.mode = 'well'
        self.address = ''
        self._find_upstream = find_upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._down_count = 0
        self._partitions: dict[str, str] = {}

    async def start(self, host: str, port: int = 0) -> None:
        """Start to listen; port 0 chooses a free port."""
        self._server = await asyncio.start_server(
            self._forward_connection, host, port
        )
        listen_address = self._server.sockets[0].getsockname()
        self.address = f'{listen_address[0]}:{listen_address[1]}'
        self._filter_new_connections()

    async def go_down(self, seconds: float) -> None:
        """Reset all connections and refuse new ones for a time.

        Several such times may overlap.
        """
        self._down_count += 1
        await self.stop()
        await asyncio.sleep(seconds)
        self._down_count -= 1
        if self._down_count:
            return
        host, _, port = self.address.rpartition(':')
        await self.start(host, int(port))

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        self.cut()

    def change_mode(self, mode: str) -> None:
        """Start a fault, or end the current one with the mode ``well``.

        The end of a fault that drops bytes resets all connections, because
        the dropped bytes can't be sent again.
        """
        is_over = self.mode not in {'well', 'delay'} and mode == 'well'
        self.mode = mode
        if mode == 'reset' or is_over:
            self.cut()

    def cut_off(self, client: str, mode: str) -> None:
        """Partition a client from the server, which others still reach.

        :param client: address that the client's connections come from.
        :param mode: one of ``PARTITION_MODES``, or ``UNREAD``.
        """
        self._partitions[client] = mode
        self._filter_new_connections()
        for writer in self._find_writers(client):
            if mode in {'hang', UNREAD}:
                _filter_connection(writer, (client,))
            elif mode != 'live_on':
                writer.transport.abort()

    def reconnect(self, client: str) -> None:
        """End the partition of a client, whose connections go on."""
        self._partitions.pop(client, None)
        self._filter_new_connections()
        for writer in self._find_writers(client):
            _filter_connection(writer, ())

    def cut(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _filter_new_connections(self) -> None:
        dropped = [
            client
            for client, mode in self._partitions.items()
            if mode not in {'refuse', UNREAD}
        ]
        if self._server:
            for listener in self._server.sockets:
                drop_packets(listener, dropped)

    def _find_writers(self, client: str) -> list[asyncio.StreamWriter]:
        return [
            writer for writer in self._writers if _get_client(writer) == client
        ]

    async def _forward_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        partition = self._partitions.get(_get_client(writer))
        if self.mode == 'reset' or partition == 'refuse':
            writer.transport.abort()
            return
        while self._partitions.get(_get_client(writer)) == UNREAD:
            await asyncio.sleep(POLL_SECONDS)
        try:
            upstream = await asyncio.open_connection(*self._find_upstream())
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, upstream[1])
        self._writers.update(writers)
        try:
            await asyncio.gather(
                self._forward_bytes(reader, upstream[1], 'mute_requests'),
                self._forward_bytes(upstream[0], writer, 'mute_answers'),
            )
        finally:
            for open_writer in writers:
                open_writer.close()
            self._writers.difference_update(writers)

    async def _forward_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        mute_mode: str,
    ) -> None:
        """Forward the bytes of one direction until its end.

        A reset of one connection resets the other one as well.

        :param mute_mode: mode in which the bytes of this direction are
            dropped.
        """
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode == 'delay':
                    await asyncio.sleep(DELAY_SECONDS)
                if self.mode not in {'silent', mute_mode}:
                    writer.write(chunk)
                    await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()


def _get_client(writer: asyncio.StreamWriter) -> str:
    peer = writer.get_extra_info('peername')
    return str(peer[0]) if peer else ''


def _filter_connection(
    writer: asyncio.StreamWriter, dropped: tuple[str, ...]
) -> None:
    drop_packets(writer.get_extra_info('socket'), dropped)
