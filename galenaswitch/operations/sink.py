"""Non-blocking writer of log lines.

Log lines are queued and written when the pipe accepts them, so a slow reader
of the log never blocks the event loop. When the queue is full, new lines are
dropped and counted; the count is logged once the queue is below half full.
"""

import asyncio
import os
import sys
from collections import deque
from collections.abc import Callable

MAX_QUEUED_LINES = 4000
FLUSH_INTERVAL_SECONDS = 0.05
# Lines are joined until they reach this size, the usual capacity of a pipe.
WRITE_CHUNK_BYTES = 65_536
_LEVEL_METHODS = frozenset(
    ('debug', 'info', 'warning', 'error', 'critical', 'exception', 'log'),
)


class LineSink:
    """Bounded queue of log lines that are written to a file descriptor."""

    def __init__(self, descriptor: int) -> None:
        """Build a sink for ``descriptor`` and make that non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b''
        self.dropped = 0

    def msg(self, line: str) -> None:
        r"""Queue a log line; structlog calls this method.

        >>> import os
        >>> read, write = os.pipe()
        >>> sink = LineSink(write)
        >>> sink.msg('a=1')
        >>> sink.flush()
        >>> os.read(read, 9)
        b'a=1\n'
        """
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._lines.append(f'{line}\n'.encode('utf-8', 'replace'))

    def __getattr__(self, level: str) -> Callable[[str], None]:
        """Return :meth:`msg` for each log level's name.

        structlog calls the method that is named like the level of a line.
        """
        if level not in _LEVEL_METHODS:
            raise AttributeError(level)
        return self.msg

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        if self.dropped and len(self._lines) < MAX_QUEUED_LINES / 2:
            self.msg(f'event=log_lines_dropped count={self.dropped}')
            self.dropped = 0
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._dequeue_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except (BlockingIOError, BrokenPipeError):
                return
            self._unwritten = self._unwritten[written:]

    async def keep_flushing(self) -> None:
        """Flush the queue periodically until cancelled."""
        while True:
            self.flush()
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)

    def _dequeue_chunk(self) -> bytes:
        chunk_lines = []
        size = 0
        while self._lines and size < WRITE_CHUNK_BYTES:
            chunk_lines.append(self._lines.popleft())
            size += len(chunk_lines[-1])
        return b''.join(chunk_lines)


def open_sink() -> LineSink:
    """Return a log sink for standard output."""
    return LineSink(sys.stdout.fileno())
