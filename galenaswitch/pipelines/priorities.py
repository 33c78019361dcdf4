"""Priorities of streams in the queues of engines.

An engine's queue holds requests of all entries, so no entry alone can order
it. A stream's priority is its workspace's weight divided by the number of
the workspace's streams in progress. So a workspace in a burst waits behind
workspaces with few requests.

Reference: A. Demers, S. Keshav, S. Shenker, "Analysis and Simulation of a
Fair Queueing Algorithm", ACM SIGCOMM 1989.
"""

from collections import Counter

from galenaswitch.contracts.documents import Contract


class Priorities:
    """Counts streams in progress by workspace and derives priorities."""

    def __init__(self) -> None:
        """Build priorities without streams in progress."""
        self._in_progress: Counter[str] = Counter()

    def start(self, contract: Contract) -> float:
        """Count a stream as started and return the priority to send."""
        self._in_progress[contract.workspace] += 1
        return contract.weight / self._in_progress[contract.workspace]

    def finish(self, contract: Contract) -> None:
        """Count a stream as ended."""
        self._in_progress[contract.workspace] -= 1
        if not self._in_progress[contract.workspace]:
            self._in_progress.pop(contract.workspace)
