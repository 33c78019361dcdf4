"""Log lines on standard output that never hold the process up.

Lines wait in a bounded queue and are written when the pipe takes them. What
doesn't fit is dropped and counted, and the count is logged later.
"""

import asyncio
import os
import sys
from collections import deque
from collections.abc import Callable

# Lines that may wait, and seconds between two writes.
MAX_LINES = 4000
FLUSH_SECONDS = 0.05
# Bytes handed over in one write: what a pipe usually takes at once.
WRITE_BYTES = 65_536
_LEVELS = frozenset(
    ('debug', 'info', 'warning', 'error', 'critical', 'exception', 'log'),
)


class LineSink:
    """Bounded queue of log lines before a file descriptor."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is made non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._rest = b''
        self.dropped = 0

    def msg(self, line: str) -> None:
        r"""Queue a line; called by the logging library.

        >>> import os
        >>> read, write = os.pipe()
        >>> sink = LineSink(write)
        >>> sink.msg('a=1')
        >>> sink.flush()
        >>> os.read(read, 9)
        b'a=1\n'
        """
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(f'{line}\n'.encode('utf-8', 'replace'))

    def __getattr__(self, level: str) -> Callable[[str], None]:
        """Return the method of any log level: all lines are queued."""
        if level not in _LEVELS:
            raise AttributeError(level)
        return self.msg

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        if self.dropped and len(self._lines) < MAX_LINES / 2:
            self.msg(f'event=log_lines_dropped count={self.dropped}')
            self.dropped = 0
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take()
            try:
                written = os.write(self._descriptor, self._rest)
            except (BlockingIOError, BrokenPipeError):
                return
            self._rest = self._rest[written:]

    async def keep_flushing(self) -> None:
        """Write again and again, until cancelled."""
        while True:
            self.flush()
            await asyncio.sleep(FLUSH_SECONDS)

    def _take(self) -> bytes:
        taken = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            taken.append(self._lines.popleft())
            size += len(taken[-1])
        return b''.join(taken)


def open_sink() -> LineSink:
    """Return a sink for standard output."""
    return LineSink(sys.stdout.fileno())
