"""Requests that a connection has carried, by the ids of their responses.

A target may write a response again in place of the next one on the connection.
The id in it tells which request it is for, unless that request is under way
again.
"""

from collections import deque
from collections.abc import Callable

from xxhash import xxh3_64_intdigest

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.operations.logs import get_logger

# Responses with these status codes, or higher ones, may be refusals.
FIRST_ERROR_STATUS = 400
# Most requests with an error on one connection, as they take memory.
MAX_ERRORS = 256
# Requests without an error that one connection remembers, the last ones.
MAX_SUCCESSES = 16


class RequestHistory:
    """Requests that one connection has carried.

    :ivar ident: id of the last request, empty if responses to it name none.

    >>> history = RequestHistory('127.0.0.1:80')
    >>> history.start('a1', lambda head: 'a1')
    >>> history.record(503)
    >>> history.has_error('a1'), history.has_error('a2')
    (True, False)
    >>> history.start('a2', lambda head: 'a1')
    >>> history.names_earlier(AnswerHead(503, ()))
    True
    """

    def __init__(self, address: str) -> None:
        """Build the history of a new connection to ``address``."""
        self.ident = ''
        self._address = address
        self._read_ident: Callable[[AnswerHead], str] | None = None
        # Digests, since callers choose the length of ids.
        self._errors: set[int] = set()
        self._successes: deque[int] = deque(maxlen=MAX_SUCCESSES)

    @property
    def is_full(self) -> bool:
        """Whether the connection may not carry more requests."""
        return len(self._errors) >= MAX_ERRORS

    def start(
        self, ident: str, read_ident: Callable[[AnswerHead], str] | None
    ) -> None:
        """Record that a request is sent.

        :param read_ident: decodes the id in a response, ``None`` if responses
            name no request.
        """
        self.ident = ident
        self._read_ident = read_ident

    def record(self, status: int) -> None:
        """Record the status of the response to the last request."""
        if not self.ident:
            return
        if status >= FIRST_ERROR_STATUS:
            self._errors.add(_digest(self.ident))
        else:
            self._successes.append(_digest(self.ident))

    def has_error(self, ident: str) -> bool:
        """Tell whether a response to a request was an error."""
        return _digest(ident) in self._errors

    def names_earlier(self, head: AnswerHead) -> bool:
        """Tell whether a response names a request before the last one."""
        if self._read_ident is None:
            return False
        ident = self._read_ident(head)
        digest = _digest(ident)
        is_earlier = digest in self._errors or digest in self._successes
        return is_earlier and ident != self.ident

    def log_dropped(self, head: AnswerHead) -> None:
        """Log that a response to an earlier request was dropped."""
        get_logger().info(
            'response_dropped',
            address=self._address,
            request=self.ident,
            status=head.status,
        )


def _digest(ident: str) -> int:
    return xxh3_64_intdigest(ident.encode())
