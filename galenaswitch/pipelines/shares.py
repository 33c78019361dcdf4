"""The part of a pool's room that each workspace has at an entry.

An entry has an equal part of the room that a pool's targets have, and each
workspace that is active there a part of that by its weight. Within its part
a workspace goes to a target though others have filled it: it can do so
whatever they send, and targets serve by priority.
"""

from collections import Counter, defaultdict

from galenaswitch.contracts.documents import Contract


class FairShares:
    """Requests in progress at this entry, by pool and workspace."""

    def __init__(self) -> None:
        """Start with nothing in progress."""
        self._in_progress: dict[str, Counter[str]] = defaultdict(Counter)
        self._weights: dict[str, float] = {}

    def enter(self, pool: str, contract: Contract) -> None:
        """Count a request that begins a stage."""
        self._in_progress[pool][contract.workspace] += 1
        self._weights[contract.workspace] = contract.weight

    def leave(self, pool: str, contract: Contract) -> None:
        """Count a request off that has ended a stage."""
        running = self._in_progress[pool]
        running[contract.workspace] -= 1
        if not running[contract.workspace]:
            running.pop(contract.workspace)

    def has_share(self, pool: str, contract: Contract, capacity: float) -> bool:
        """Tell whether a workspace's next request is within its part.

        :param capacity: requests that this entry may have at the pool.
        """
        running = self._in_progress[pool]
        others = sum(
            self._weights[workspace]
            for workspace in running
            if workspace != contract.workspace
        )
        fair_share = capacity * contract.weight / (others + contract.weight)
        return running[contract.workspace] + 1 <= fair_share

    def dump(self) -> dict[str, dict[str, int]]:
        """Return the requests in progress by pool and workspace."""
        return {
            pool: dict(running) for pool, running in self._in_progress.items()
        }
