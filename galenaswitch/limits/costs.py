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
STORE_SECONDS = 10
FIRST_READ_SECONDS = 0.1
WRITE_SECONDS = 2
MAX_TRIES = 3


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
        held = (self.ledger.day, self.ledger.spent)
        return not self.ledger.spent or held == self.stored

    def take(self, found: StoredObject | None) -> None:
        """Merge what the store holds."""
        if found is None:
            self.version = ABSENT
            return
        self.version = found.version
        day, spent = read_body(found.body)
        self.ledger.spend(day, spent)
        self.stored = (day, spent)


class CostAccounts:
    """Accounts of the workspaces that this machine has held."""

    def __init__(self, store: StoreClient, tasks: TaskGroup) -> None:
        """Keep accounts in ``store``."""
        self._store = store
        self._tasks = tasks
        self._accounts: dict[str, Account] = {}
        self._readings: dict[str, asyncio.Task[Any]] = {}

    def open(self, workspace: str, ledger: UsageLedger) -> None:
        """Keep a workspace's costs from now on and begin to read them."""
        account = Account(ledger)
        self._accounts[workspace] = account
        self._readings[workspace] = self._tasks.start(
            self._try(self._read(workspace, account)),
        )

    async def wait_read(self, workspace: str) -> None:
        """Wait for the first reading, but not long: the store may be down."""
        reading = self._readings.get(workspace)
        if reading is None:
            return
        await asyncio.wait((reading,), timeout=FIRST_READ_SECONDS)
        self._readings.pop(workspace, None)

    async def save(self) -> None:
        """Write the accounts that have changed."""
        changed = [
            self._try(self._save(workspace, account))
            for workspace, account in self._accounts.items()
            if not account.is_stored
        ]
        await asyncio.gather(*changed)

    async def _try(self, job: Awaitable[None]) -> None:
        try:
            await job
        except StoreError as error:
            get_logger().info('costs_not_stored', reason=str(error))

    async def _read(self, workspace: str, account: Account) -> None:
        account.take(await self._store.read(COSTS, workspace))

    async def _save(self, workspace: str, account: Account) -> None:
        """Write until the store holds all, or until the next time.

        Another holder may write in between; what it wrote is merged first.
        """
        for _ in range(MAX_TRIES):
            if account.version is None:
                await self._read(workspace, account)
            if account.is_stored:
                return
            await self._write(workspace, account)
        if not account.is_stored:
            raise StoreError(f'{workspace} is written by others')

    async def _write(self, workspace: str, account: Account) -> None:
        day, spent = account.ledger.day, dict(account.ledger.spent)
        wanted = StoredObject(
            COSTS,
            workspace,
            account.version or ABSENT,
            {'day': day, 'spent': spent},
        )
        outcome = await write_once(self._store, wanted, WRITE_SECONDS)
        account.version = None
        if isinstance(outcome, Written):
            account.version = outcome.version
            account.stored = (day, spent)


def read_body(body: Mapping[str, Any]) -> tuple[str, dict[str, float]]:
    """Return day and units by origin of a stored object.

    >>> read_body({'day': '2026-01-02', 'spent': {'a/1': 3}})
    ('2026-01-02', {'a/1': 3.0})
    """
    spent = {
        str(origin): float(units) for origin, units in body['spent'].items()
    }
    return str(body['day']), spent
