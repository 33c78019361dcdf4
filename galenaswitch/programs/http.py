"""Serving of a Sanic application inside the process's own event loop."""

import asyncio
from typing import Any

from sanic import Sanic

IDLE_POLL_SECONDS = 0.02
STOP_TIMEOUT_SECONDS = 5


class HttpServer:
    """HTTP server of one Sanic application, with graceful shutdown."""

    def __init__(self, server: Any) -> None:
        """Wrap a started Sanic server."""
        self._server = server

    async def stop(self) -> None:
        """Shut down gracefully: stop listening and drain all connections.

        Idle connections are closed at once, and requests in progress may take
        up to :data:`STOP_TIMEOUT_SECONDS`.
        """
        self._server.close()
        loop = asyncio.get_running_loop()
        end = loop.time() + STOP_TIMEOUT_SECONDS
        while self._server.connections and loop.time() < end:
            for connection in list(self._server.connections):
                connection.close_if_idle()
            await asyncio.sleep(IDLE_POLL_SECONDS)


async def serve_http(
    app: Sanic[Any, Any],
    address: str,
    port: int,
) -> HttpServer:
    """Serve an application at an address and return its server.

    :raises OSError: when the port can't be opened.
    """
    server = await app.create_server(
        host=address,
        port=port,
        return_asyncio_server=True,
        access_log=False,
    )
    if server is None:
        raise OSError(f'{address}:{port} cannot be opened')
    await _start_listening(server)
    return HttpServer(server)


async def _start_listening(server: Any) -> None:
    await server.startup()
    await server.start_serving()
