import asyncio
import random

import pytest

from galenaswitch.claims.messages import (
    ClaimRequest,
    ClaimState,
    Settlement,
    SettleRequest,
)
from galenaswitch.claims.owner import ShardOwner
from galenaswitch.errors import StoreConflictError, StoreUnavailableError
from galenaswitch.store.objects import StoredObject


class LossyStore:
    """Store that delays writes and loses answers at random.

    :param rng: random generator that decides on each failure.
    :param failure_rate: probability of each kind of failure.
    """

    def __init__(self, rng, failure_rate):
        self.rng = rng
        self.failure_rate = failure_rate
        self.held = None
        self.late = []

    async def read(self, kind, name):
        await asyncio.sleep(0)
        self._apply_late_write()
        if self.rng.random() < self.failure_rate:
            raise StoreUnavailableError('lost')
        return self.held

    async def write(self, kind, name, body, replaces):
        await asyncio.sleep(0)
        self._apply_late_write()
        draw = self.rng.random()
        if draw < self.failure_rate:
            self.late.append((kind, name, body, replaces))
            raise StoreUnavailableError('late')
        version = self._apply(kind, name, body, replaces)
        if draw < 2 * self.failure_rate:
            raise StoreUnavailableError('answer lost')
        return version

    def _apply_late_write(self):
        if self.late and self.rng.random() < 0.5:
            try:
                self._apply(*self.late.pop(0))
            except StoreConflictError:
                return

    def _apply(self, kind, name, body, replaces):
        current = self.held.version if self.held else 0
        if current != replaces:
            raise StoreConflictError(current)
        self.held = StoredObject(kind, name, current + 1, body)
        return current + 1


@pytest.fixture
def short_timeouts(monkeypatch):
    """Shorten write timeouts, so that outcomes of writes stay unknown."""
    monkeypatch.setattr(
        'galenaswitch.claims.owner.WRITE_TIMEOUT_SECONDS', 0.002
    )
    monkeypatch.setattr('galenaswitch.store.writes.RETRY_SECONDS', 0)


def make_claim_request(key, attempt, *, force=False):
    return ClaimRequest('lab', key, 'hash', attempt, 5, force)


async def run_attempt(rng, owners, key, attempt, dispatched):
    """Make one attempt as an entry does.

    The attempt is dispatched only after its claim was granted, and released
    otherwise.
    """
    owner = rng.choice(owners)
    reply = await owner.claim(
        make_claim_request(key, attempt, force=rng.random() < 0.5)
    )
    if reply.state is ClaimState.granted and rng.random() < 0.8:
        dispatched.append(key)
        settlement = Settlement.done
    else:
        settlement = Settlement.released
    request = SettleRequest('lab', key, 'hash', attempt, settlement)
    await rng.choice(owners).settle(request._replace(force=True))


@pytest.mark.parametrize('seed', range(30))
async def test_no_key_is_dispatched_twice(short_timeouts, seed):
    rng = random.Random(seed)
    store = LossyStore(rng, failure_rate=0.2)
    owners = [
        ShardOwner('slice', f'node-{number}/x', store, lambda node: True)
        for number in range(2)
    ]
    dispatched = []
    for round_number in range(10):
        await asyncio.gather(
            *(
                run_attempt(
                    rng,
                    owners,
                    f'key-{number % 3}',
                    f'{round_number}-{number}',
                    dispatched,
                )
                for number in range(6)
            ),
        )
    assert len(dispatched) == len(set(dispatched))


async def test_first_outcome_is_replayed_by_the_next_owner():
    store = LossyStore(random.Random(1), failure_rate=0)
    first, second = (
        ShardOwner('slice', f'node-{number}/x', store, lambda node: False)
        for number in range(2)
    )
    assert (
        await first.claim(make_claim_request('k', 'a'))
    ).state is ClaimState.granted
    done = SettleRequest('lab', 'k', 'hash', 'a', Settlement.done, {'seat': 4})
    await first.settle(done)
    reply = await second.claim(make_claim_request('k', 'b'))
    assert (reply.state, reply.outcome) == (ClaimState.done, {'seat': 4})


async def test_live_owner_is_named_instead_of_taken_over():
    store = LossyStore(random.Random(1), failure_rate=0)
    first, second = (
        ShardOwner('slice', f'node-{number}/x', store, lambda node: True)
        for number in range(2)
    )
    await first.claim(make_claim_request('k', 'a'))
    reply = await second.claim(make_claim_request('k', 'b'))
    assert (reply.state, reply.owner) == (ClaimState.not_owner, 'node-0')


async def test_many_claims_share_a_write():
    store = LossyStore(random.Random(1), failure_rate=0)
    owner = ShardOwner('slice', 'node/x', store, lambda node: True)
    await owner.claim(make_claim_request('first', 'a'))
    await asyncio.gather(
        *(
            owner.claim(make_claim_request(f'k{number}', f'a{number}'))
            for number in range(50)
        ),
    )
    assert owner.dump()['writes'] <= 3
