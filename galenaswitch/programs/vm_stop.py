"""Last part of the stop of a VM: it drains its connections."""

import asyncio
import time

from galenaswitch.connections.inbound import Listener
from galenaswitch.paths.exits import Exits

# Requests still running this many seconds before the platform's SIGKILL are
# cut off.
KILL_MARGIN_SECONDS = 0.6
STOP_POLL_SECONDS = 0.05
# The port of callers closes these seconds before the end of a stop, so that
# each connection that was accepted gets its answer.
CLOSED_PORT_SECONDS = 0.3
# A connection that was opened a moment ago has this many seconds for the begin
# of its request. Its caller learns nothing from a close.
LEAST_IDLE_SECONDS = 0.25


class Draining:
    """Waits until the connections of callers and the tunnels have ended."""

    def __init__(
        self, callers: Listener, exits: Exits, grace_seconds: float
    ) -> None:
        """Begin the grace period.

        :param grace_seconds: time from now on until the platform's SIGKILL.
        """
        self._callers = callers
        self._exits = exits
        self.end = time.monotonic() + grace_seconds - KILL_MARGIN_SECONDS

    async def run(self, caller_port: asyncio.Server | None) -> None:
        """Close each connection as soon as it is idle.

        :param caller_port: port of callers, which closes at last.
        """
        self._callers.draining = True
        while time.monotonic() < self.end - CLOSED_PORT_SECONDS:
            self._callers.close_idle(LEAST_IDLE_SECONDS)
            if not self._is_busy:
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        if caller_port:
            caller_port.close()
        # What was accepted before the port closed is read first.
        await asyncio.sleep(STOP_POLL_SECONDS)
        while self._is_busy and time.monotonic() < self.end:
            self._callers.close_idle(LEAST_IDLE_SECONDS)
            await asyncio.sleep(STOP_POLL_SECONDS)

    @property
    def _is_busy(self) -> bool:
        return bool(self._callers.connections or self._exits.count)
