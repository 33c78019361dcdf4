"""Findings in configuration documents, and differences between two."""

import copy

import pytest

from galenaswitch.platform.findings import (
    find_differences,
    find_findings,
    find_version_finding,
)


def set_field(document, path, content):
    """Set the field at a path of names and numbers, and return the whole."""
    changed = copy.deepcopy(document)
    place = changed
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = content
    return changed


def test_clean_document_has_no_findings(configuration):
    assert find_findings(configuration) == ()


# Guards against a configuration that is applied and does something else.
@pytest.mark.parametrize(
    ('path', 'content', 'place', 'text'),
    [
        (('routes', 0, 'target-latency-ms'), 7000, 'routes[0]', 'over timeout'),
        (('routes', 0, 'timeout-ms'), 0, 'routes[0]', 'in time'),
        (('routes', 0, 'max-attempts'), 0, 'routes[0]', 'max-attempts is 0'),
        (('routes', 0, 'path-prefix'), 'x/', 'routes[0]', 'never matches'),
        (('routes', 0, 'stages', 0, 'bytes'), 9e9, 'routes[0]', 'is larger'),
        (('routes', 0, 'stages', 0, 'after'), [0], 'routes[0]', 'no earlier'),
        (('routes', 0, 'stages', 1, 'service'), 'llm', 'routes[0]', 'pieces'),
        (
            ('routes', 1, 'traffic-split', 1, 'weight'),
            0,
            'routes[1]',
            'scan has no weight',
        ),
        (('services', 0, 'engine', 'slots'), 0, 'services[0]', 'slots is 0'),
        (('limits', 'max-header-bytes'), 0, 'limits.max-header', 'no request'),
        (('limits', 'idle-timeout-ms'), 0, 'limits.idle', 'no request'),
    ],
)
def test_finding_names_its_place(configuration, path, content, place, text):
    (found,) = find_findings(set_field(configuration, path, content))
    assert found.place.startswith(place)
    assert text in found.text


# Guards against a check that ends with an exception.
def test_number_of_another_type_is_a_finding(configuration):
    odd = set_field(configuration, ('routes', 0, 'stages', 0, 'bytes'), 'x')
    (found,) = find_findings(odd)
    assert 'TypeError' in found.text


# Guards against a second route to an address, of which nobody gets a response.
def test_route_behind_one_with_its_host_and_prefix_never_matches(
    configuration,
):
    twin = {**configuration['routes'][1], 'name': 'r-3', 'host': 'B.Example'}
    configuration['routes'].append(twin)
    (found,) = find_findings(configuration)
    assert found.place == 'routes[2] (r-3)'
    assert 'routes[1] (r-2) comes first' in found.text


def test_name_or_key_that_occurs_twice_is_found(configuration):
    configuration['services'].append(configuration['services'][0])
    configuration['tenants'].append({'name': 'two', 'api-keys': ['k2']})
    places = [found.place for found in find_findings(configuration)]
    assert places == ['services[2] (llm)', 'tenants[1] (two)']


# Guards against an error of a long document that nobody can locate.
@pytest.mark.parametrize(
    ('path', 'content', 'text'),
    [
        (('routes', 1, 'kind'), 'odd', "routes[1]: KeyError 'odd'"),
        (('services', 1, 'pieces'), {'slots': 1}, "services[1]: KeyError 'ba"),
        (('tenants', 0, 'api-keys'), None, 'tenants[0]: TypeError'),
        (('routes', 1, 'traffic-split', 0, 'service'), 'x', 'r-2: unknown'),
    ],
)
def test_error_of_the_decoder_has_a_location(
    configuration, path, content, text
):
    (found,) = find_findings(set_field(configuration, path, content))
    assert text in found.text


def test_differences_name_added_changed_and_removed_fields(configuration):
    after = set_field(configuration, ('routes', 0, 'timeout-ms'), 5000)
    del after['routes'][1]
    after['services'].append({'name': 'new'})
    after['tenants'][0]['api-keys'] = ['k1', 'k3']
    found = find_differences(configuration, after)
    changed = {one.place: one[1:] for one in found}
    assert changed['routes.r-1.timeout-ms'] == ('6000', '5000')
    assert changed['services.new.name'] == ('', 'new')
    assert changed['routes.r-2.kind'] == ('non_idempotent', '')
    # Keys are secret, and the output may go to a log.
    assert changed['tenants.lab.api-keys'] == ('2 keys', '2 keys')
    assert 'k3' not in str(found)


def test_order_of_entries_is_no_difference(configuration):
    after = copy.deepcopy(configuration)
    after['routes'].reverse()
    assert find_differences(configuration, after) == ()


@pytest.mark.parametrize(('version', 'count'), [(6, 1), (7, 1), (8, 0)])
def test_version_has_to_rise(configuration, version, count):
    after = {**configuration, 'version': version}
    assert len(find_version_finding(after, configuration)) == count
