"""``galena-admin``: serves the operators' API and has no state of its own."""

import secrets
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import defopt
from sanic import Sanic

from galenaswitch.administration.objects import ConfigurationObjects
from galenaswitch.administration.operators import OperatorSettings
from galenaswitch.administration.overview import StoreOverview
from galenaswitch.administration.server import OperatorApi
from galenaswitch.membership.handshake import Identity
from galenaswitch.membership.links import LinkService
from galenaswitch.operations.exposition import serve_metrics
from galenaswitch.operations.logs import configure_logs, get_logger
from galenaswitch.operations.metrics import open_metrics
from galenaswitch.operations.process import (
    TaskGroup,
    run_program,
    wait_for_stop,
)
from galenaswitch.operations.settings import (
    MetricSettings,
    NodeSettings,
    PeerSettings,
    Port,
)
from galenaswitch.programs.control import StoreSettings
from galenaswitch.programs.http import serve_http
from galenaswitch.programs.vocabulary import VOCABULARY
from galenaswitch.store.client import StoreClient


class ApiSettings(NamedTuple):
    """Section ``[api]``: the HTTP port for operators.

    :param port: TCP port.
    """

    port: Port


class AdminSettings(NamedTuple):
    """Sections of the settings file of ``galena-admin``."""

    node: NodeSettings
    peers: PeerSettings
    store: StoreSettings
    api: ApiSettings
    operators: OperatorSettings
    metrics: MetricSettings = MetricSettings()


async def run_admin(settings: AdminSettings) -> None:
    """Run the process of the operators' API until SIGTERM."""
    configure_logs('galena-admin', settings.node.name)
    tasks = TaskGroup()
    identity = Identity(
        settings.node.name,
        settings.node.zone,
        'admin',
        secrets.token_hex(4),
    )
    service = LinkService(identity, settings.peers.secret, VOCABULARY, {})
    metrics = open_metrics()
    async with aiohttp.ClientSession() as session:
        store = StoreClient(
            session,
            settings.store.url,
            settings.store.seconds,
        )
        api = OperatorApi(
            ConfigurationObjects(store),
            StoreOverview(store, service, tasks, metrics),
            settings.operators,
            metrics,
        )
        app: Sanic[Any, Any] = Sanic('galena-admin', configure_logging=False)
        api.mount(app)
        await serve_metrics(metrics, settings.metrics)
        server = await serve_http(
            app,
            settings.node.address,
            settings.api.port,
        )
        get_logger().info('started', port=settings.api.port)
        await wait_for_stop()
        await server.stop()
        await tasks.stop()
    get_logger().info('stopped')


def serve(*, settings: Path) -> None:
    """Run the operators' API.

    :param settings: path of the INI file
    """
    run_program(settings, AdminSettings, run_admin)


def main() -> None:
    """Run the command-line entry point of ``galena-admin``."""
    defopt.run(serve)


if __name__ == '__main__':
    main()
