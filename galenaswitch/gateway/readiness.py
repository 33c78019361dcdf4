"""Health endpoint that tells the load balancer if a VM takes callers."""

from collections.abc import Callable
from http import HTTPStatus

from galenaswitch.connections.handlers import AnswerWriter
from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.requests import InboundRequest


class Readiness:
    """Answers the readiness checks of the load balancer."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Build a health endpoint that answers with ``is_ready``."""
        self._is_ready = is_ready

    async def handle(
        self,
        request: InboundRequest,
        writer: AnswerWriter,
    ) -> None:
        """Answer 200 when this VM is ready for callers, else 503."""
        ready = self._is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        writer.start(AnswerHead(status, ()), 0)
        writer.finish()
