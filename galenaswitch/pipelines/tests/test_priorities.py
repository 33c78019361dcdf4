from galenaswitch.contracts.documents import Contract, parse_document
from galenaswitch.pipelines.priorities import Priorities
from standins.examples import make_contract


def read_contract(workspace, weight=1):
    """Return a parsed contract of a workspace."""
    document = make_contract(workspace, 'token', weight=weight)
    return parse_document(document, Contract)


def test_streams_of_a_burst_get_lower_priorities():
    priorities = Priorities()
    burst = [priorities.start(read_contract('large')) for _ in range(10)]
    assert burst[-1] == 0.1
    assert priorities.start(read_contract('small')) == 1


def test_weight_of_the_contract_raises_the_priority():
    assert Priorities().start(read_contract('large', weight=4)) == 4


def test_ended_streams_do_not_lower_the_priority():
    priorities = Priorities()
    lab = read_contract('lab')
    for _ in range(3):
        assert priorities.start(lab) == 1
        priorities.finish(lab)
