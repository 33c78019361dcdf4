"""Requests that a connection has carried, by the ids of their responses.

A target may write a response again in place of the next one on the connection.
The id in it tells which request it is for, unless that request is under way
again.
"""

# Responses with these status codes, or higher ones, may be refusals.
FIRST_ERROR_STATUS = 400
# Most requests with an error on one connection, as their ids take memory.
MAX_ERRORS = 256


class RequestHistory:
    """Requests that one connection has carried.

    :ivar ident: id of the last request, empty if responses to it name none.

    >>> history = RequestHistory()
    >>> history.ident = 'a1'
    >>> history.record(503)
    >>> history.has_error('a1'), history.has_error('a2')
    (True, False)
    """

    def __init__(self) -> None:
        """Build the history of a connection that has carried no request."""
        self.ident = ''
        self._errors: set[str] = set()

    @property
    def is_full(self) -> bool:
        """Whether the connection may not carry more requests."""
        return len(self._errors) >= MAX_ERRORS

    def record(self, status: int) -> None:
        """Record the status of the response to the last request."""
        if self.ident and status >= FIRST_ERROR_STATUS:
            self._errors.add(self.ident)

    def has_error(self, ident: str) -> bool:
        """Tell whether a response to a request was an error."""
        return ident in self._errors
