import asyncio
import random

import pytest

from galenaswitch.claims.tests.test_owner import LossyStore
from galenaswitch.limits.costs import CostAccounts, decode_costs
from galenaswitch.limits.ledger import UsageLedger
from galenaswitch.operations.process import TaskGroup

DAY = '2026-01-02'


@pytest.fixture
def make_cost_accounts():
    """Return a function that builds an owner's cost accounts and ledger."""

    def make_owner_costs(store, spent):
        ledger = UsageLedger()
        costs = CostAccounts(store, TaskGroup())
        costs.open_account('lab', ledger)
        ledger.add_costs(DAY, spent)
        return costs, ledger

    return make_owner_costs


async def test_two_owners_that_save_together_keep_all_costs(make_cost_accounts):
    store = LossyStore(random.Random(1), failure_rate=0)
    one, _ = make_cost_accounts(store, {'a/1': 3, 'b/1': 1})
    other, _ = make_cost_accounts(store, {'b/1': 2, 'c/1': 5})
    await asyncio.gather(
        one.wait_first_read('lab'), other.wait_first_read('lab')
    )
    await asyncio.gather(one.save(), other.save())
    assert decode_costs(store.held.body) == (
        DAY,
        {'a/1': 3, 'b/1': 2, 'c/1': 5},
    )


async def test_new_owner_reads_stored_costs(make_cost_accounts):
    store = LossyStore(random.Random(1), failure_rate=0)
    former_costs, _ = make_cost_accounts(store, {'a/1': 3})
    await former_costs.save()
    later_costs, ledger = make_cost_accounts(store, {'b/1': 1})
    await later_costs.wait_first_read('lab')
    assert ledger.total_cost() == 4


@pytest.mark.parametrize('seed', range(20))
async def test_lost_store_replies_lose_no_costs(make_cost_accounts, seed):
    store = LossyStore(random.Random(seed), failure_rate=0.2)
    owners = [
        make_cost_accounts(store, {f'{name}/1': 1, 'all/1': number})
        for number, name in enumerate('abc', start=1)
    ]
    for _ in range(12):
        for costs, _ in owners:
            await costs.save()
    store.failure_rate = 0
    for costs, _ in owners:
        await costs.save()
    _, spent = decode_costs(store.held.body)
    assert spent == {'a/1': 1, 'b/1': 1, 'c/1': 1, 'all/1': 3}
