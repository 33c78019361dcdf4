"""Requests that began under a configuration which is replaced meanwhile."""

import asyncio
import copy

import pytest

from galenaswitch.configuration.catalog import Item
from galenaswitch.gateway.messages import PlaceEnd, PlaceQuestion
from galenaswitch.gateway.placements import PlacementScheduler
from galenaswitch.gateway.state_sync import (
    CONFIGURATION_ITEM_KIND,
    MAX_FORMER_SERVICES,
    ActiveRouteTable,
)
from galenaswitch.limits.pacing import Pacer
from galenaswitch.membership.lists import MemberList, Members, Target
from galenaswitch.platform.documents import PlatformDocuments


@pytest.fixture
def route_table():
    """Return the route table of a VM without a configuration."""
    return ActiveRouteTable(PlatformDocuments())


@pytest.fixture
def apply(route_table):
    """Return a function that brings a configuration into force."""

    def bring_into_force(document):
        version = document['version']
        route_table.apply(
            Item(CONFIGURATION_ITEM_KIND, 'main', version, document)
        )
        assert route_table.current.version == version

    return bring_into_force


@pytest.fixture
def reduced(configuration):
    """Return a later configuration, which leaves all services out but one."""
    document = copy.deepcopy(configuration)
    (kept,) = [one for one in document['services'] if one['name'] == 'scan']
    return {
        **document,
        'version': document['version'] + 3,
        'routes': [],
        'services': [{**kept, 'pieces': {**kept['pieces'], 'batch': 9}}],
    }


def make_query(ident):
    """Return a query for a placement on an engine."""
    return PlaceQuestion('llm', ident, (), 100, 10, 'z', {}, (), 1, 1.0, 1.0)


# Guards against a request that gets no engine, as a new configuration has left
# its service out; a stream that has begun is broken off then.
async def test_request_is_placed_under_the_limits_it_began_with(
    apply, route_table, configuration, reduced
):
    configuration['services'][0]['engine']['slots'] = 1
    apply(configuration)
    members = Members()
    engine = Target('e', 'e/1', 'z', 'llm', '127.0.0.1:1')
    members.accept(MemberList(1, (), (engine,)))
    scheduler = PlacementScheduler(
        'llm',
        lambda service: route_table.with_former_services.find_engine_limits(
            service
        ),
        members,
        Pacer(),
    )
    await scheduler.place(make_query('a'))
    waiting = asyncio.create_task(scheduler.place(make_query('b')))
    await asyncio.sleep(0.01)
    apply(reduced)
    scheduler.record_end(PlaceEnd('llm', 'a', 'e', False))
    assert (await waiting).target == 'e'


def test_limits_of_a_service_in_force_replace_former_ones(
    apply, route_table, configuration, reduced
):
    apply(configuration)
    apply(reduced)
    table = route_table.with_former_services
    assert table.find_batch_limits('scan').batch_size == 9
    assert table.find_batch_limits('llm') is None
    assert table.find_engine_limits('llm').slots == 64
    assert route_table.current.find_engine_limits('llm') is None


def test_number_of_former_services_is_bounded(apply, route_table, reduced):
    (service,) = reduced['services']
    for version in range(1, 2 * MAX_FORMER_SERVICES):
        named = {**service, 'name': f's{version}'}
        apply({**reduced, 'version': version, 'services': [named]})
    services = route_table.with_former_services.services
    assert len(services) == MAX_FORMER_SERVICES + 1
    assert f's{version}' in services
