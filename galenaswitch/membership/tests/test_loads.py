import pytest

from galenaswitch.membership.loads import parse_loads


def test_unknown_fields_of_events_are_ignored():
    document = {
        'load': {'incarnation': '1', 'running': 3, 'mood': 'good'},
        'events': [{'sequence': 1, 'added': [5, 16], 'at': 12.5}],
    }
    loads = parse_loads('engine', document)
    assert loads.reports[0].running == 3
    assert loads.changes[0].added == (16,)


def test_field_of_wrong_type_raises_value_error():
    with pytest.raises(ValueError, match='running'):
        parse_loads('a', {'load': {'incarnation': '1', 'running': 'many'}})
