"""What workspaces have spent today, kept in the platform's store.

The holder of a workspace's home zone writes what each life of an entry has
spent, by conditional update and some seconds late. A new holder reads it
before it grants. Two holders at once do no harm: figures are merged by
taking the larger, and a write on an old version fails.
"""

import asyncio
from collections.abc import Awaitable, Mapping
from typing import Any

from galenaswitch.errors import StoreError
from galenaswitch.limits.ledger import UsageLedger
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.store.client import ABSENT, StoreClient, StoredObject
from galenaswitch.store.writes import Written, write_once

COSTS = 'costs'
STORE_INTERVAL_SECONDS = 10
FIRST_READ_TIMEOUT_SECONDS = 0.1
WRITE_TIMEOUT_SECONDS = 2
MAX_ATTEMPTS = 3


class Account:
    """Durable costs of one workspace.

    :ivar ledger: figures from reports and from the store.
    :ivar version: version of the object last read or written, ``None``
        while it has to be read.
    :ivar stored: figures that the store holds.
    """

    def __init__(self, ledger: UsageLedger) -> None:
        """Keep the costs of ``ledger``."""
        self.ledger = ledger
        self.version: int | None = None
        self.stored: tuple[str, dict[str, float]] = ('', {})

    @property
    def is_stored(self) -> bool:
        """Whether the store holds all that is known."""
        known = (self.ledger.day, self.ledger.spent)
        return not self.ledger.spent or known == self.stored

    def merge(self, found: StoredObject | None) -> None:
        """Merge what the store holds."""
        if found is None:
            self.version = ABSENT
            return
        self.version = found.version
        day, spent = decode_costs(found.body)
        self.ledger.add_costs(day, spent)
        self.stored = (day, spent)


class CostAccounts:
    """Accounts of the workspaces that this machine has held."""

    def __init__(self, store: StoreClient, tasks: TaskGroup) -> None:
        """Keep accounts in ``store``."""
        self._store = store
        self._tasks = tasks
        self._accounts: dict[str, Account] = {}
        self._first_reads: dict[str, asyncio.Task[Any]] = {}

    def open_account(self, workspace: str, ledger: UsageLedger) -> None:
        """Keep a workspace's costs from now on and begin to read them."""
        account = Account(ledger)
        self._accounts[workspace] = account
        self._first_reads[workspace] = self._tasks.start(
            self._log_store_errors(self._read_account(workspace, account)),
        )

    async def wait_first_read(self, workspace: str) -> None:
        """Wait for the first reading, but not long: the store may be down."""
        first_read = self._first_reads.get(workspace)
        if first_read is None:
            return
        await asyncio.wait((first_read,), timeout=FIRST_READ_TIMEOUT_SECONDS)
        self._first_reads.pop(workspace, None)

    async def save(self) -> None:
        """Write the accounts that have changed."""
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
        """Write until the store holds all, or until the next time.

        Another holder may write in between; what it wrote is merged first.
        """
        for _ in range(MAX_ATTEMPTS):
            if account.version is None:
                await self._read_account(workspace, account)
            if account.is_stored:
                return
            await self._write_account(workspace, account)
        if not account.is_stored:
            raise StoreError(f'{workspace} is written by others')

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
    """Return day and units by origin of a stored object.

    >>> decode_costs({'day': '2026-01-02', 'spent': {'a/1': 3}})
    ('2026-01-02', {'a/1': 3.0})
    """
    spent = {
        str(origin): float(units) for origin, units in body['spent'].items()
    }
    return str(body['day']), spent
