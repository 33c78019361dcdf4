"""HTTP endpoint that Prometheus scrapes."""

import asyncio
from http import HTTPStatus

from galenaswitch.connections.handlers import AnswerWriter
from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import Listener
from galenaswitch.connections.requests import InboundLimits, InboundRequest
from galenaswitch.operations.metrics import PrometheusMetrics
from galenaswitch.operations.settings import MetricSettings

METRICS_PATH = b'/metrics'
CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'


class MetricsPage:
    """Request handler that answers ``GET /metrics``."""

    def __init__(self, metrics: PrometheusMetrics) -> None:
        """Build a handler that renders ``metrics``."""
        self._metrics = metrics

    async def handle(
        self,
        request: InboundRequest,
        writer: AnswerWriter,
    ) -> None:
        """Answer with the metrics, or with 404 for any other path."""
        if request.head.path != METRICS_PATH:
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
    """Serve the metrics endpoint; without an address do nothing.

    :raises OSError: when the port can't be opened.
    """
    if not settings.address:
        return
    listener = Listener(MetricsPage(metrics), InboundLimits, metrics)
    await asyncio.get_running_loop().create_server(
        listener.open_connection,
        settings.address,
        settings.port,
    )
