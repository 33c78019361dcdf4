"""Fair shares of a pool's capacity between workspaces at one entry.

The entries divide a pool's capacity equally. Each entry divides its capacity
between active workspaces by weight. A request within its workspace's fair
share is sent even when other workspaces have filled the targets. Requests of
other workspaces can't delay such a request, because targets serve requests by
priority.
"""

from collections import Counter, defaultdict

from galenaswitch.contracts.documents import Contract


class FairShares:
    """Counts requests in progress at one entry by pool and workspace."""

    def __init__(self) -> None:
        """Build fair shares without requests in progress."""
        self._in_progress: dict[str, Counter[str]] = defaultdict(Counter)
        self._weights: dict[str, float] = {}

    def enter(self, pool: str, contract: Contract) -> None:
        """Count a request that starts a stage."""
        self._in_progress[pool][contract.workspace] += 1
        self._weights[contract.workspace] = contract.weight

    def leave(self, pool: str, contract: Contract) -> None:
        """Remove a request that has ended a stage from the count."""
        running = self._in_progress[pool]
        running[contract.workspace] -= 1
        if not running[contract.workspace]:
            running.pop(contract.workspace)

    def has_share(self, pool: str, contract: Contract, capacity: float) -> bool:
        """Tell whether a workspace's next request is within its fair share.

        :param capacity: requests that this entry may have in the pool.
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
        """Return the number of requests in progress by pool and workspace."""
        return {
            pool: dict(running) for pool, running in self._in_progress.items()
        }
