"""Fake network between zones that simulates network partitions.

Each route accepts the TCP connections to one address of a zone. The third
octet of the sender's loopback address ``127.0.<zone>.<machine>`` identifies
its zone. A cut between two zones aborts their open connections and rejects
new ones.
"""

import asyncio
import json
import sys
from typing import Any

import uvloop
from sanic import HTTPResponse, Request, Sanic
from sanic.response import json as answer_json

from standins.balancer import copy_stream
from standins.serving import serve_application

app = Sanic('cut', configure_logging=False)
Pair = tuple[str, str]


class Network:
    """TCP proxy that records which zones each open connection joins."""

    def __init__(self) -> None:
        """Build a network without cuts and without connections."""
        self.cuts: set[frozenset[str]] = set()
        self.zones_by_writer: dict[asyncio.StreamWriter, frozenset[str]] = {}

    def set_cuts(self, pairs: list[list[str]]) -> None:
        """Cut the network between these pairs of zones; restore others."""
        self.cuts = {frozenset(pair) for pair in pairs}
        for writer, pair in list(self.zones_by_writer.items()):
            if pair in self.cuts:
                writer.transport.abort()

    async def forward_connection(
        self,
        route: dict[str, Any],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection unless its two zones are cut apart."""
        source_zone = route['zones'].get(find_zone_octet(writer), route['zone'])
        pair = frozenset((source_zone, route['zone']))
        if pair in self.cuts and len(pair) > 1:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *route['to']
            )
        except OSError:
            writer.transport.abort()
            return
        if pair in self.cuts and len(pair) > 1:
            # The cut came while the connection was being opened.
            upstream_writer.transport.abort()
            writer.transport.abort()
            return
        self.zones_by_writer[writer] = pair
        self.zones_by_writer[upstream_writer] = pair
        await asyncio.gather(
            copy_stream(reader, upstream_writer),
            copy_stream(upstream_reader, writer),
        )
        self.zones_by_writer.pop(writer, None)
        self.zones_by_writer.pop(upstream_writer, None)


def find_zone_octet(writer: asyncio.StreamWriter) -> str:
    """Return the third octet of the sender's address: the zone number."""
    address: str = writer.get_extra_info('peername')[0]
    return address.split('.')[2]


@app.put('/control/faults')
async def set_cuts(request: Request) -> HTTPResponse:
    """Handle a request that sets the pairs of zones to cut."""
    request.app.ctx.network.set_cuts(request.json['cuts'])
    return answer_json({})


async def serve(port: int, routes: list[dict[str, Any]]) -> None:
    """Run all routes and the control API until SIGTERM or SIGINT."""
    network = Network()
    app.ctx.network = network
    for route in routes:
        await listen_on_route(network, route)
    await serve_application(app, '127.0.0.1', port)


async def listen_on_route(network: Network, route: dict[str, Any]) -> None:
    """Listen on the address of one route."""

    async def accept(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await network.forward_connection(route, reader, writer)

    await asyncio.start_server(accept, *route['listen'])


if __name__ == '__main__':
    uvloop.run(serve(int(sys.argv[1]), json.loads(sys.argv[2])))
