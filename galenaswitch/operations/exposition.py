"""The page of metrics over HTTP."""

import asyncio
from http import HTTPStatus

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import AnswerWriter, Listener
from galenaswitch.connections.requests import InboundLimits, InboundRequest
from galenaswitch.operations.metrics import PrometheusMetrics
from galenaswitch.operations.settings import MetricSettings

PATH = b'/metrics'
CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'


class MetricsPage:
    """Answers ``GET /metrics``."""

    def __init__(self, metrics: PrometheusMetrics) -> None:
        """Show ``metrics``."""
        self._metrics = metrics

    async def handle(
        self,
        request: InboundRequest,
        writer: AnswerWriter,
    ) -> None:
        """Answer a request."""
        if request.head.path != PATH:
            writer.start(AnswerHead(HTTPStatus.NOT_FOUND, ()), 0)
            writer.finish()
            return
        page = self._metrics.render()
        headers = ((b'Content-Type', CONTENT_TYPE),)
        writer.start(AnswerHead(HTTPStatus.OK, headers), len(page))
        await writer.write(page)
        writer.finish()


async def serve_metrics(
    metrics: PrometheusMetrics,
    settings: MetricSettings,
) -> None:
    """Show metrics at the address of the settings, if there is one.

    :raises OSError: when the port can't be opened.
    """
    if not settings.address:
        return
    listener = Listener(MetricsPage(metrics), InboundLimits)
    await asyncio.get_running_loop().create_server(
        listener.open_connection,
        settings.address,
        settings.port,
    )
