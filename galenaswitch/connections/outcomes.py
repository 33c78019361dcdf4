"""What became of a connection, for those who judge the path to its target."""

from collections.abc import Callable
from typing import Any, Protocol


class Traffic(Protocol):
    """Observer of the requests and answers on all direct connections."""

    def begin(self, address: str) -> None:
        """Record a request that no byte has answered yet."""

    def hear(self) -> None:
        """Record bytes of any target."""

    def end(self, address: str) -> None:
        """Record that a request is answered, or its connection is closed."""


class Outcome:
    """Outcome of a connection, which is reported once.

    >>> outcome = Outcome(print)
    >>> outcome.report(is_answer=True)
    True
    >>> outcome.report(is_answer=False)
    """

    def __init__(
        self,
        listener: Callable[[bool], Any] | None = None,
        address: str = '',
        traffic: Traffic | None = None,
    ) -> None:
        """Build the outcome of a new connection.

        :param listener: called with ``True`` at the first byte of an answer,
            or with ``False`` when the other side ends the connection before.
        :param address: IP address and port of the target.
        :param traffic: observes all requests of the connection, if any does.
        """
        self._listener = listener
        self._address = address
        self._traffic = traffic
        self._is_waiting = False

    def begin(self) -> None:
        """Record a request that is written."""
        if self._traffic and not self._is_waiting:
            self._is_waiting = True
            self._traffic.begin(self._address)

    def finish(self) -> None:
        """Record that no byte is due any more, or that one has come."""
        if self._traffic and self._is_waiting:
            self._is_waiting = False
            self._traffic.end(self._address)

    def report(self, *, is_answer: bool) -> None:
        """Report the outcome unless it is known."""
        if self._traffic and is_answer:
            self._traffic.hear()
        self.finish()
        listener = self._listener
        self._listener = None
        if listener:
            listener(is_answer)
