"""The balancer's question whether callers should be sent to a VM."""

from collections.abc import Callable
from http import HTTPStatus

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.connections.inbound import AnswerWriter
from galenaswitch.connections.requests import InboundRequest


class Readiness:
    """Answers the balancer."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Answer what ``is_ready`` says."""
        self._is_ready = is_ready

    async def handle(
        self,
        request: InboundRequest,
        writer: AnswerWriter,
    ) -> None:
        """Answer whether callers should be sent here."""
        ready = self._is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        writer.start(AnswerHead(status, ()), 0)
        writer.finish()
