"""Fake TCP server for tests that runs a script on each connection."""

import asyncio
from collections.abc import Awaitable, Callable

Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class ScriptedTarget:
    """Fake target that runs a script on each connection.

    :ivar requests: heads of the received requests, in order of arrival.
    :ivar bodies: bodies of the received requests, in order of arrival.
    :ivar connections: number of accepted connections.
    :ivar address: host and port of the listening socket.
    """

    def __init__(self, script: Script) -> None:
        """Build a target that runs ``script`` on each connection."""
        self._script = script
        self._server: asyncio.Server | None = None
        self.requests: list[str] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._run, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listening socket."""
        if self._server:
            self._server.close()

    async def read_request(self, reader: asyncio.StreamReader) -> str:
        """Read one HTTP request with its body; record both, return the head."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        body = b''
        for line in head.split('\r\n'):
            name, _, field = line.partition(':')
            if name.lower() == 'content-length':
                body = await reader.readexactly(int(field))
        self.requests.append(head)
        self.bodies.append(body)
        return head

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        try:
            await self._script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


def find_header(head: str, name: str) -> str:
    r"""Return the value of a header in an HTTP head, empty if absent.

    >>> find_header('GET / HTTP/1.1\r\nX-A: 1\r\n', 'x-a')
    '1'
    """
    for line in head.split('\r\n')[1:]:
        key, _, field = line.partition(':')
        if key.lower() == name.lower():
            return field.strip()
    return ''
