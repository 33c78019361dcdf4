"""Choice of the connection that is closed when callers have opened too many."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol, TypeVar

from galenaswitch.connections.requests import ReadPhase

# Descriptors that stay free for listeners, peers, the store and checks.
SPARE_DESCRIPTORS = 64
# Memory in bytes that one connection takes outside the account: the head, the
# uncounted bytes of a body, the parser and the task.
CONNECTION_BYTES = 32_768
# Fewest connections that callers may open, by descriptors and by memory,
# however low the settings are.
MIN_BY_DESCRIPTORS = 16
MIN_BY_MEMORY = 64
# Time in seconds for which a connection is never closed for a newer one.
PROTECTED_SECONDS = 0.5


class Wait(NamedTuple):
    """What a connection waits for.

    :param since: time of the event loop at which it began to wait.
    """

    phase: ReadPhase
    since: float


class Waiting(Protocol):
    """Connection of a caller, which may wait for a request."""

    @property
    def wait(self) -> Wait | None:
        """What it waits for, ``None`` if it has a complete request."""


WaitingConnection = TypeVar('WaitingConnection', bound=Waiting)


def find_max_connections(max_descriptors: float, free_bytes: float) -> int:
    """Return the number of connections that callers may open.

    Each request may need a second descriptor for its target.

    :param max_descriptors: most descriptors that the process may open.
    :param free_bytes: memory that the account leaves to the connections.

    >>> find_max_connections(4100, 90_000_000)
    2018
    >>> find_max_connections(4100, 19_200_000)
    585
    """
    by_descriptors = (max_descriptors - SPARE_DESCRIPTORS) / 2
    by_memory = max(free_bytes / CONNECTION_BYTES, MIN_BY_MEMORY)
    return max(MIN_BY_DESCRIPTORS, int(min(by_descriptors, by_memory)))


def find_surplus(
    connections: Iterable[WaitingConnection], now: float
) -> WaitingConnection | None:
    """Return the connection to close, ``None`` if the newest has to go.

    Idle connections go before those with an incomplete request, and of these
    the one that has waited for longest.

    :param now: time of the event loop.
    """
    found = [(one.wait, one) for one in connections]
    ranked = [
        (wait.phase is not ReadPhase.idle, wait.since, one)
        for wait, one in found
        if wait and now - wait.since >= PROTECTED_SECONDS
    ]
    return min(ranked, key=lambda rank: rank[:2])[-1] if ranked else None
