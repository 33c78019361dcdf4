"""Timeout of a connection that waits for a request of its caller."""

import asyncio
from collections.abc import Callable

from galenaswitch.connections.requests import InboundLimits, ReadPhase

# Time to read what arrived while the event loop was held up, which runs timers
# that are due before it reads.
LAST_READ_SECONDS = 0.01
# Slowest rate at which a body may arrive, in bytes per second. The time that
# it allows comes on top of the idle timeout.
MIN_BODY_RATE = 1000


class RequestTimer:
    """Reports that no request begins, or that one doesn't end.

    The timeouts of a head and of a body count from its begin, so that bytes
    that trickle in don't extend them; a body gets more time with each byte, as
    much as the slowest rate gives.

    The limits may change meanwhile. The longest one that was in force or was
    announced counts, since the caller may rely on it.

    :ivar announced_idle_seconds: idle timeout in the last response, in seconds.
    :ivar started_at: time of the event loop at which the phase began.
    """

    def __init__(
        self,
        limits: Callable[[], InboundLimits],
        on_timeout: Callable[[ReadPhase], None],
    ) -> None:
        """Build a timer that is stopped.

        :param limits: returns the limits now in force.
        :param on_timeout: receives what the connection waited for.
        """
        self.announced_idle_seconds = 0
        self._limits = limits
        self._on_timeout = on_timeout
        self._phase = ReadPhase.idle
        self._body_bytes = 0
        self.started_at = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, phase: ReadPhase, body_bytes: int = 0) -> None:
        """Start the timeout of a phase anew.

        :param body_bytes: number of bytes of the body that have arrived.
        """
        loop = asyncio.get_running_loop()
        self.stop()
        self._phase = phase
        self._body_bytes = body_bytes
        self.started_at = loop.time()
        self._handle = loop.call_later(self._find_timeout(), self._check)

    def observe(self, phase: ReadPhase, body_bytes: int) -> None:
        """Start the timeout anew unless the phase goes on.

        :param body_bytes: number of bytes of the body that have arrived.
        """
        if phase is not self._phase or self._handle is None:
            self.start(phase, body_bytes)
        self._body_bytes = body_bytes

    def stop(self) -> None:
        """Cancel the timeout."""
        if self._handle:
            self._handle.cancel()
            self._handle = None

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        left = self._find_end() - loop.time()
        self._handle = (
            loop.call_later(max(left, LAST_READ_SECONDS), self._check)
            if left > 0
            else loop.call_later(
                LAST_READ_SECONDS, self._report, self.started_at
            )
        )

    def _report(self, started_at: float) -> None:
        """Report the timeout, unless what arrived last has extended it."""
        if started_at != self.started_at:
            return
        if self._find_end() > asyncio.get_running_loop().time():
            self._check()
            return
        self._handle = None
        self._on_timeout(self._phase)

    def _find_end(self) -> float:
        return self.started_at + self._find_timeout()

    def _find_timeout(self) -> float:
        limits = self._limits()
        idle = max(limits.idle_timeout_seconds, self.announced_idle_seconds)
        return {
            ReadPhase.idle: idle,
            ReadPhase.head: limits.header_timeout_seconds,
            ReadPhase.body: idle + self._body_bytes / MIN_BODY_RATE,
        }[self._phase]
