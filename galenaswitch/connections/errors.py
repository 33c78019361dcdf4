"""Errors and ends of connections that callers open."""

import errno
from enum import Enum
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


def detach(error: BaseException) -> None:
    """Drop the tracebacks of an error and of those that caused it.

    Their frames refer to the error in turn, so that what else they refer to,
    such as the body of a request, would stay until the garbage collector runs.
    """
    pending: list[BaseException | None] = [error]
    while pending:
        found = pending.pop()
        if found:
            pending.extend((found.__context__, found.__cause__))
            found.__traceback__ = None
            found.__context__ = None
            found.__cause__ = None


class ConnectionEnd(Enum):
    """What ended a connection; the values stand in log lines."""

    caller_closed = 'closed by the caller'
    caller_reset = 'reset by the caller'
    kernel = 'given up by the kernel'
    idle = 'closed as idle'
    stop = 'closed by the stop'
    rejected = 'closed after a rejection'
    answered = 'closed after an answer'
    broken_off = 'reset by the server'
    crowded = 'closed for a newer one'


_END_BY_ERRNO = {
    errno.ECONNRESET: ConnectionEnd.caller_reset,
    errno.EPIPE: ConnectionEnd.caller_reset,
}


def find_end(error: Exception | None) -> ConnectionEnd:
    """Return what ended a connection that was lost.

    :param error: error of the socket, ``None`` for an orderly close.

    >>> find_end(ConnectionResetError(errno.ECONNRESET, 'reset')).value
    'reset by the caller'
    >>> find_end(TimeoutError(errno.ETIMEDOUT, 'timed out')).value
    'given up by the kernel'
    """
    if error is None:
        return ConnectionEnd.caller_closed
    if isinstance(error, ConnectionError):
        return ConnectionEnd.caller_reset
    return _END_BY_ERRNO.get(
        getattr(error, 'errno', None) or 0, ConnectionEnd.kernel
    )
