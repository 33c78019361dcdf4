"""Priorities that the engines' own queues honour.

Requests of all entries meet in an engine's queue, where no entry can order
them. A workspace's priority there is its weight divided by what it has in
progress, so that one in a burst waits behind those that ask for little.

Reference: A. Demers, S. Keshav, S. Shenker, "Analysis and Simulation of a
Fair Queueing Algorithm", ACM SIGCOMM 1989.
"""

from collections import Counter

from galenaswitch.contracts.documents import Contract


class Priorities:
    """Streams in progress of each workspace, and what follows for the next."""

    def __init__(self) -> None:
        """Start with nothing in progress."""
        self._in_progress: Counter[str] = Counter()

    def start(self, contract: Contract) -> float:
        """Count a stream that begins; return the priority to send with it."""
        self._in_progress[contract.workspace] += 1
        return contract.weight / self._in_progress[contract.workspace]

    def finish(self, contract: Contract) -> None:
        """Count a stream off that has ended."""
        self._in_progress[contract.workspace] -= 1
        if not self._in_progress[contract.workspace]:
            self._in_progress.pop(contract.workspace)
