import pytest

from galenaswitch.contracts.documents import Contract, parse_document
from galenaswitch.pipelines.shares import FairShares
from standins.examples import make_contract

CAPACITY = 12


@pytest.fixture
def contracts():
    return {
        name: parse_document(
            make_contract(name, 'token', weight=weight),
            Contract,
        )
        for name, weight in (('large', 1), ('small', 1), ('heavy', 4))
    }


def enter_requests(shares, contract, count):
    """Count ``count`` requests of a workspace as started."""
    for _ in range(count):
        shares.enter('runners', contract)


def test_single_workspace_gets_all_of_the_capacity(contracts):
    shares = FairShares()
    enter_requests(shares, contracts['large'], CAPACITY - 1)
    assert shares.has_share('runners', contracts['large'], CAPACITY)
    enter_requests(shares, contracts['large'], 1)
    assert not shares.has_share('runners', contracts['large'], CAPACITY)


def test_small_workspace_gets_its_share_beside_a_burst(contracts):
    shares = FairShares()
    enter_requests(shares, contracts['large'], CAPACITY * 4)
    enter_requests(shares, contracts['small'], CAPACITY // 2 - 1)
    assert shares.has_share('runners', contracts['small'], CAPACITY)
    assert not shares.has_share('runners', contracts['large'], CAPACITY)
    enter_requests(shares, contracts['small'], 1)
    assert not shares.has_share('runners', contracts['small'], CAPACITY)


def test_weight_of_the_contract_raises_the_share(contracts):
    shares = FairShares()
    enter_requests(shares, contracts['large'], 1)
    enter_requests(shares, contracts['heavy'], 8)
    assert shares.has_share('runners', contracts['heavy'], CAPACITY)
    assert not shares.has_share('runners', contracts['heavy'], 11)


def test_share_below_one_request_allows_none(contracts):
    shares = FairShares()
    assert not shares.has_share('runners', contracts['small'], 0.5)


def test_ended_requests_are_not_counted(contracts):
    shares = FairShares()
    enter_requests(shares, contracts['large'], 1)
    shares.leave('runners', contracts['large'])
    assert shares.dump() == {'runners': {}}
    assert shares.has_share('runners', contracts['small'], 1)
