"""What became of a connection, for those who judge the path to its target."""

from collections.abc import Callable
from typing import Any


class Outcome:
    """Outcome of a connection, which is reported once.

    >>> outcome = Outcome(print)
    >>> outcome.report(is_answer=True)
    True
    >>> outcome.report(is_answer=False)
    """

    def __init__(self, listener: Callable[[bool], Any] | None = None) -> None:
        """Build the outcome of a new connection.

        :param listener: called with ``True`` at the first byte of an answer,
            or with ``False`` when the other side ends the connection before.
        """
        self._listener = listener

    def report(self, *, is_answer: bool) -> None:
        """Report the outcome unless it is known."""
        listener = self._listener
        self._listener = None
        if listener:
            listener(is_answer)
