"""Errors of connections that callers open."""

from http import HTTPStatus

from galenaswitch.errors import GalenaError


class RequestRejectedError(GalenaError):
    """Bytes from a caller are not a request that may be forwarded.

    :param status: HTTP status of the response to the caller.
    :param reason: one sentence for the log.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        """Build the error from an HTTP status and a reason."""
        super().__init__(reason)
        self.status = status


class CallerGoneError(GalenaError):
    """The caller closed the connection, or stopped reading its response."""
