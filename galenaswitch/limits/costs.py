"""Durable costs of workspaces, in the platform's store.

The owner in a workspace's home zone writes the costs of the current day, for
each run of an entry's process. It writes them every ``STORE_INTERVAL_SECONDS``
by a conditional update. Before it grants permits, a new owner waits for the
stored costs, for at most ``FIRST_READ_TIMEOUT_SECONDS``.

Two owners at one time do no harm: costs are merged by taking the larger, and
a write that is based on an old version fails.
"""

import asyncio
from collections.abc import Awaitable, Mapping
from typing import Any

from galenaswitch.errors import StoreError
from galenaswitch.limits.ledger import UsageLedger
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.client import StoreClient
from galenaswitch.store.objects import ABSENT, StoredObject
from galenaswitch.store.writes import Written, write_once

COSTS = 'costs'
STORE_INTERVAL_SECONDS = 10
FIRST_READ_TIMEOUT_SECONDS = 0.1
WRITE_TIMEOUT_SECONDS = 2
MAX_ATTEMPTS = 3


class Account:
    """Durable costs of one workspace.

    :ivar ledger: costs from usage reports and from the store.
    :ivar version: version of the stored object at the last read or write,
        ``None`` while the object has to be read.
    :ivar stored: day and costs by origin in the store.
    """

    def __init__(self, ledger: UsageLedger) -> None:
        """Build the account for the costs in ``ledger``."""
        self.ledger = ledger
        self.version: int | None = None
        self.stored: tuple[str, dict[str, float]] = ('', {})

    @property
    def is_stored(self) -> bool:
        """Whether the store holds all costs of the ledger."""
        ledger_costs = (self.ledger.day, self.ledger.spent)
        return not self.ledger.spent or ledger_costs == self.stored

    def merge(self, found: StoredObject | None) -> None:
        """Merge the stored costs into the ledger."""
        if found is None:
            self.version = ABSENT
            return
        self.version = found.version
        day, spent = decode_costs(found.body)
        self.ledger.add_costs(day, spent)
        self.stored = (day, spent)


class CostAccounts:
    """Reads and writes the accounts of workspaces that this VM owns."""

    def __init__(self, store: StoreClient, tasks: TaskGroup) -> None:
        """Build accounts that are kept in ``store``."""
        self._store = store
        self._tasks = tasks
        self._accounts: dict[str, Account] = {}
        self._first_reads: dict[str, asyncio.Task[Any]] = {}

    def open_account(self, workspace: str, ledger: UsageLedger) -> None:
        """Open a workspace's account and start to read its stored costs."""
        account = Account(ledger)
        self._accounts[workspace] = account
        self._first_reads[workspace] = self._tasks.start(
            self._log_store_errors(self._read_account(workspace, account)),
        )

    async def wait_first_read(self, workspace: str) -> None:
        """Wait for the first read of a workspace's costs.

        The wait ends after ``FIRST_READ_TIMEOUT_SECONDS`` because the store
        may be unavailable.
        """
        first_read = self._first_reads.get(workspace)
        if first_read is None:
            return
        await asyncio.wait((first_read,), timeout=FIRST_READ_TIMEOUT_SECONDS)
        self._first_reads.pop(workspace, None)

    async def save(self) -> None:
        """Write the accounts whose costs have changed."""
        changed = [
            self._log_store_errors(self._save_account(workspace, account))
            for workspace, account in self._accounts.items()
            if not account.is_stored
        ]
        await asyncio.gather(*changed)

    async def _log_store_errors(self, job: Awaitable[None]) -> None:
        try:
            await job
        except StoreError as error:
            get_logger().info('costs_not_stored', reason=str(error))

    async def _read_account(self, workspace: str, account: Account) -> None:
        account.merge(await self._store.read(COSTS, workspace))

    async def _save_account(self, workspace: str, account: Account) -> None:
        """Write an account until the store holds all its costs.

        Another owner may write the object at the same time. Its costs are
        read and merged before the next attempt.

        :raises StoreError: after ``MAX_ATTEMPTS``; the next save tries again.
        """
        for _ in range(MAX_ATTEMPTS):
            if account.version is None:
                await self._read_account(workspace, account)
            if account.is_stored:
                return
            await self._write_account(workspace, account)
        if not account.is_stored:
            raise StoreError(
                f'{workspace}: another owner keeps writing its costs'
            )

    async def _write_account(self, workspace: str, account: Account) -> None:
        day, spent = account.ledger.day, dict(account.ledger.spent)
        wanted = StoredObject(
            COSTS,
            workspace,
            account.version or ABSENT,
            {'day': day, 'spent': spent},
        )
        outcome = await write_once(self._store, wanted, WRITE_TIMEOUT_SECONDS)
        account.version = None
        if isinstance(outcome, Written):
            account.version = outcome.version
            account.stored = (day, spent)


def decode_costs(body: Mapping[str, Any]) -> tuple[str, dict[str, float]]:
    """Return the day and the cost units by origin of a stored object.

    >>> decode_costs({'day': '2026-01-02', 'spent': {'a/1': 3}})
    ('2026-01-02', {'a/1': 3.0})
    """
    spent = {
        str(origin): float(units) for origin, units in body['spent'].items()
    }
    return str(body['day']), spent
