"""Timeout of a connection that waits for a request of its caller."""

import asyncio
from collections.abc import Callable

from galenaswitch.connections.requests import InboundLimits

# Time to read what arrived while the event loop was held up, which runs timers
# that are due before it reads.
LAST_READ_SECONDS = 0.01


class RequestTimer:
    """Reports that no request begins, or that the head of one doesn't end.

    The limits may change meanwhile. The longest one that was in force or was
    announced counts, since the caller may rely on it.

    :ivar announced_idle_seconds: idle timeout in the last response, in seconds.
    """

    def __init__(
        self,
        limits: Callable[[], InboundLimits],
        on_timeout: Callable[[bool], None],
    ) -> None:
        """Build a timer that is stopped.

        :param limits: returns the limits now in force.
        :param on_timeout: receives whether a request had begun.
        """
        self.announced_idle_seconds = 0
        self._limits = limits
        self._on_timeout = on_timeout
        self._request_begun = False
        self._started_at = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, *, request_begun: bool) -> None:
        """Start the timeout anew, after a response or after some bytes.

        :param request_begun: whether the bytes of a request have begun.
        """
        loop = asyncio.get_running_loop()
        self.stop()
        self._request_begun = request_begun
        self._started_at = loop.time()
        self._handle = loop.call_later(self._find_timeout(), self._check)

    def stop(self) -> None:
        """Cancel the timeout."""
        if self._handle:
            self._handle.cancel()
            self._handle = None

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        left = self._started_at + self._find_timeout() - loop.time()
        self._handle = (
            loop.call_later(left, self._check)
            if left > 0
            else loop.call_later(
                LAST_READ_SECONDS, self._on_timeout, self._request_begun
            )
        )

    def _find_timeout(self) -> float:
        limits = self._limits()
        if self._request_begun:
            return limits.header_timeout_seconds
        return max(limits.idle_timeout_seconds, self.announced_idle_seconds)
