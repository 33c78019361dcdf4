"""Account of the bytes that wait in a tunnel."""

from typing import Any

from galenaswitch.connections.memory import HeldKind, Holding, MemoryAccount

# Unsent bytes of one connection above which its other end isn't read, and from
# which they are accounted for; the same as on the connections of callers.
MAX_UNCOUNTED_BYTES = 16_384


class CountedBuffer:
    """Unsent bytes of one connection, counted while it is paused.

    They are never given up: a part of a request or response can't be dropped
    without ending the connection, and its end bounds them.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        """Build the buffer of a connection that isn't open yet."""
        self._memory = memory
        self._transport: Any = None
        self._holding: Holding | None = None

    def attach(self, transport: Any) -> None:
        """Limit the buffer of a new connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNCOUNTED_BYTES)

    def open(self) -> None:
        """Begin to count, as the connection takes no more bytes."""
        if self._holding is None:
            self._holding = self._memory.open(None, HeldKind.internal)
        self.count()

    def count(self) -> None:
        """Count the bytes that are unsent now."""
        if self._holding:
            self._holding.resize(self._transport.get_write_buffer_size())

    def close(self) -> None:
        """Release the bytes, as most were sent or the connection has ended."""
        if self._holding:
            self._holding.close()
            self._holding = None
