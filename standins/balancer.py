"""Fake TCP load balancer of the platform.

The balancer forwards each connection to the next entry VM, in turn, whose
readiness check succeeds.
"""

import asyncio
import contextlib
import itertools
import json
import sys

import aiohttp
import uvloop

from galenaswitch.operations.process import wait_for_stop

CHECK_INTERVAL_SECONDS = 0.5
READ_BYTES = 65536
Backend = tuple[str, int]


class Balancer:
    """Round-robin TCP load balancer over the ready entry VMs."""

    def __init__(self, backends: list[Backend]) -> None:
        """Build a balancer for the entry VMs in ``backends``."""
        self.backends = backends
        self.ready: list[Backend] = []
        self.connection_numbers = itertools.count()

    async def check(self) -> None:
        """Check the readiness of each entry VM until the task is cancelled."""
        timeout = aiohttp.ClientTimeout(total=CHECK_INTERVAL_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                readiness = await asyncio.gather(
                    *(is_ready(session, entry) for entry in self.backends),
                )
                self.ready = [
                    entry
                    for entry, ready in zip(
                        self.backends, readiness, strict=True
                    )
                    if ready
                ]
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def forward_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection to the next ready entry VM."""
        if not self.ready:
            writer.close()
            return
        host, port = self.ready[next(self.connection_numbers) % len(self.ready)]
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            copy_stream(reader, upstream_writer),
            copy_stream(upstream_reader, writer),
        )


async def is_ready(session: aiohttp.ClientSession, entry: Backend) -> bool:
    """Tell whether an entry VM answers its readiness check with 200."""
    url = f'http://{entry[0]}:{entry[1]}/health/ready'
    try:
        async with session.get(url) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def copy_stream(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Copy bytes from reader to writer until the end, then close writer."""
    with contextlib.suppress(OSError):
        while chunk := await reader.read(READ_BYTES):
            writer.write(chunk)
            await writer.drain()
    writer.close()


async def serve(port: int, backends: list[Backend]) -> None:
    """Run the balancer on a loopback port until SIGTERM or SIGINT."""
    balancer = Balancer(backends)
    health_check_task = asyncio.create_task(balancer.check())
    server = await asyncio.start_server(
        balancer.forward_connection, '127.0.0.1', port
    )
    await wait_for_stop()
    server.close()
    health_check_task.cancel()


if __name__ == '__main__':
    pairs = json.loads(sys.argv[2])
    uvloop.run(serve(int(sys.argv[1]), [tuple(pair) for pair in pairs]))
