"""Server loop of the fake servers that are Sanic applications."""

import asyncio

from sanic import Sanic

from galenaswitch.operations.process import wait_for_stop

GRACE_SECONDS = 5


async def serve_application(app: Sanic, address: str, port: int) -> None:
    """Serve a Sanic application until SIGTERM or SIGINT."""
    server = await app.create_server(
        host=address,
        port=port,
        return_asyncio_server=True,
        access_log=False,
    )
    if server is None:
        raise OSError(f'cannot listen on {address}:{port}')
    await server.startup()
    await server.start_serving()
    await wait_for_stop()
    server.close()
    await asyncio.sleep(0)
