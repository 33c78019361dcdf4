"""Failures of connections to callers."""

from http import HTTPStatus

from galenaswitch.errors import GalenaError


class RequestRejectedError(GalenaError):
    """A caller's bytes are no request that may be passed on.

    :param status: HTTP status of the answer.
    :param reason: one sentence for the log.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        """Keep status and reason."""
        super().__init__(reason)
        self.status = status


class CallerGoneError(GalenaError):
    """The caller closed the connection before its answer was sent."""
