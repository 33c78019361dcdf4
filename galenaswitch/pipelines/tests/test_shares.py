import pytest

from galenaswitch.contracts.documents import Contract, parse_document
from galenaswitch.pipelines.shares import FairShares
from standins.examples import make_contract

ROOM = 12


@pytest.fixture
def contracts():
    return {
        name: parse_document(
            make_contract(name, 'token', weight=weight),
            Contract,
        )
        for name, weight in (('large', 1), ('small', 1), ('heavy', 4))
    }


def fill(shares, contract, count):
    """Begin some requests of a workspace."""
    for _ in range(count):
        shares.enter('runners', contract)


def test_workspace_alone_has_all_of_the_room(contracts):
    shares = FairShares()
    fill(shares, contracts['large'], ROOM - 1)
    assert shares.has_share('runners', contracts['large'], ROOM)
    fill(shares, contracts['large'], 1)
    assert not shares.has_share('runners', contracts['large'], ROOM)


def test_small_workspace_has_its_part_beside_a_burst(contracts):
    shares = FairShares()
    fill(shares, contracts['large'], ROOM * 4)
    fill(shares, contracts['small'], ROOM // 2 - 1)
    assert shares.has_share('runners', contracts['small'], ROOM)
    assert not shares.has_share('runners', contracts['large'], ROOM)
    fill(shares, contracts['small'], 1)
    assert not shares.has_share('runners', contracts['small'], ROOM)


def test_weight_of_the_contract_widens_a_part(contracts):
    shares = FairShares()
    fill(shares, contracts['large'], 1)
    fill(shares, contracts['heavy'], 8)
    assert shares.has_share('runners', contracts['heavy'], ROOM)
    assert not shares.has_share('runners', contracts['heavy'], 11)


def test_nobody_has_a_part_of_less_than_one_request(contracts):
    shares = FairShares()
    assert not shares.has_share('runners', contracts['small'], 0.5)


def test_ended_requests_count_no_more(contracts):
    shares = FairShares()
    fill(shares, contracts['large'], 1)
    shares.leave('runners', contracts['large'])
    assert shares.dump() == {'runners': {}}
    assert shares.has_share('runners', contracts['small'], 1)
