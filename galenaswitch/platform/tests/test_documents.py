"""Tests of decoding the configuration and target documents."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from galenaswitch.errors import InvalidInputError
from galenaswitch.gateway.routes import CallKind
from galenaswitch.membership.lists import LEAVING, LIVE
from galenaswitch.platform.documents import (
    PlatformDocuments,
    read_configuration,
    read_target,
)


def test_configuration_is_decoded_to_a_route_table(configuration):
    table = read_configuration(configuration)
    route = table.find_route('a.example', '/x/z')
    assert route.kind is CallKind.stream
    assert (
        route.timeout,
        route.objective_seconds,
        route.max_event_gap_seconds,
    ) == (6, 1.9, 0.3)
    assert route.stages[1].after == (0,)
    assert route.final_stages() == (1,)
    assert table.find_batch_limits('scan').work_item_seconds == 0.042
    assert table.find_engine_limits('llm').kv_cache_tokens == 375109
    assert table.workspaces['k2'].name == 'lab'
    assert table.limits.idle_timeout_seconds == 15
    assert table.find_route('a.example', '/other') is None


def test_traffic_split_and_anonymous_route_are_decoded(configuration):
    route = read_configuration(configuration).find_route('b.example', '/y/')
    assert [split.weight for split in route.splits] == [90, 10]
    assert route.anonymous
    assert route.kind is CallKind.once


@pytest.mark.parametrize(
    'corrupt',
    [
        lambda document: document.pop('version'),
        lambda document: document.pop('services'),
        lambda document: document['routes'][0].update(kind='odd'),
        lambda document: document['routes'][0].update(service='none'),
        lambda document: document['routes'][0].pop('host'),
        lambda document: document['tenants'][0].pop('api-keys'),
        lambda document: document['services'][1]['pieces'].pop('batch'),
    ],
)
def test_configuration_with_an_invalid_field_is_rejected(
    configuration, corrupt
):
    corrupt(configuration)
    with pytest.raises(InvalidInputError):
        read_configuration(configuration)


def test_target_document_is_decoded(entry):
    target = read_target('i-1', entry)
    assert (target.pool, target.url, target.state) == (
        'llm',
        '127.0.0.1:8080',
        LIVE,
    )
    assert read_target('i-1', {**entry, 'state': 'draining'}).state == LEAVING
    restarted = read_target('i-1', {**entry, 'born': 1})
    assert restarted.incarnation != target.incarnation


@pytest.mark.parametrize(
    'change',
    [
        {'address': 5},
        {'address': 'nowhere'},
        {'state': 'asleep'},
        {'slots': '64'},
        {'slots': True},
        {'service': None},
        {'zone': ['north']},
        {'born': 1.5},
    ],
)
def test_target_document_with_an_invalid_field_is_rejected(entry, change):
    with pytest.raises(InvalidInputError):
        read_target('i-1', {**entry, **change})


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=5), inner, max_size=3)
        ),
        max_leaves=8,
    ),
)
def test_arbitrary_document_is_rejected(document):
    for decode in (
        read_configuration,
        lambda entry: read_target('i', entry),
    ):
        with pytest.raises(InvalidInputError):
            decode(document)


# Guards against a limit that is read wrong, or set where none is asked for.
def test_limits_of_cold_targets_are_decoded(configuration):
    assert read_configuration(configuration).find_cold_limits('llm') is None
    service = configuration['services'][0]
    service.update({'cold-per-s': 7.3, 'cold-start-s': 3.0})
    table = read_configuration(configuration)
    assert table.find_cold_limits('llm') == (7.3, 3.0)
    assert table.find_cold_limits('scan') is None
    service['cold-per-s'] = 0
    assert read_configuration(configuration).find_cold_limits('llm') is None


@pytest.mark.parametrize('rate', [-1, float('nan'), float('inf'), 'x', 1e9])
def test_configuration_with_an_odd_cold_rate_is_rejected(configuration, rate):
    configuration['services'][0]['cold-per-s'] = rate
    with pytest.raises(InvalidInputError):
        read_configuration(configuration)


@pytest.mark.parametrize(
    ('left', 'seconds'),
    [(1500, 1.5), (0, 0), (None, 0), ('x', 0), (-1, 0), (float('inf'), 0)],
)
def test_cold_time_of_an_entry_is_decoded(entry, left, seconds):
    entry['cold-left-ms'] = left
    assert read_target('i-1', entry).name == 'i-1'
    assert PlatformDocuments().read_cold_seconds(entry) == seconds


# Guards against a cold time that counts as none without a word, and against a
# log line for each heartbeat.
def test_odd_cold_time_is_logged_once_for_each_target(entry):
    documents = PlatformDocuments()
    with capture_logs() as lines:
        for left in ('x' * 999, [[]] * 99, None, 1500):
            entry['cold-left-ms'] = left
            for name in ('i-1', 'i-2'):
                documents.read_cold_seconds(entry, name)
    assert [line['target'] for line in lines] == ['i-1', 'i-2']
    assert all(len(line['found']) <= 40 for line in lines)
