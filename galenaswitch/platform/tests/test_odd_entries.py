"""Entries of the store that another writer left, beside sound ones."""

from unittest.mock import Mock

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenaswitch.errors import StoreError
from galenaswitch.gateway.machine_sync import MachineSync
from galenaswitch.gateway.version_records import VersionRecords
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.lists import Members
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.pages import decode_in_parts
from galenaswitch.platform.tests.odd_entries import (
    ODD_METADATA,
    OWN,
    TARGET,
    UNNAMED_ENTRIES,
    UNREADABLE_ENTRIES,
    UNREADABLE_SPECS,
    make_answer,
    make_entry,
    make_events,
    make_items,
    make_page,
)
from galenaswitch.quarantine.records import QuarantineRecords
from galenaswitch.store.cache import ObjectCache
from galenaswitch.store.objects import Listing, StoredObject


# Guards against an unreadable entry that hides all entries of its page.
@pytest.mark.parametrize('odd', make_items(UNREADABLE_ENTRIES))
async def test_listing_isolates_an_unreadable_entry(start_store, odd):
    store, _ = await start_store(
        make_page(make_entry('a', 3, TARGET), odd, make_entry('z', 5, TARGET))
    )
    listing = await store.list_kind('servers')
    assert [(one.name, one.body) for one in listing.objects] == [
        ('a', TARGET),
        ('odd', None),
        ('z', TARGET),
    ]


# Guards against a client of the store that raises KeyError or TypeError.
@pytest.mark.parametrize('odd', make_items(UNNAMED_ENTRIES))
async def test_listing_and_watch_leave_out_an_unnamed_entry(start_store, odd):
    sound = make_entry('a', 3, TARGET)
    store, _ = await start_store(
        make_page(sound, odd), make_events((odd, False), (sound, True))
    )
    listing = await store.list_kind('servers')
    assert [one.name for one in listing.objects] == ['a']
    changes = await store.watch('servers', listing.revision, 0.1)
    assert [(one.stored.name, one.deleted) for one in changes.changes] == [
        ('a', True)
    ]


# Guards against an odd revision that passes for one of a later era.
@pytest.mark.parametrize('odd', make_items(ODD_METADATA))
async def test_odd_revision_becomes_that_of_the_page(start_store, odd):
    store, _ = await start_store(make_page(odd))
    listing = await store.list_kind('servers')
    assert [(one.name, one.version) for one in listing.objects] == [
        ('odd', listing.revision)
    ]


# Guards against pages that are skipped or read for ever.
@pytest.mark.parametrize(
    'odd',
    make_items(UNREADABLE_ENTRIES | UNNAMED_ENTRIES | ODD_METADATA),
)
async def test_listing_continues_after_a_page_that_ends_oddly(start_store, odd):
    store, server = await start_store(
        make_page(make_entry('a', 3, TARGET), odd, more=True),
        make_page(odd, make_entry('z', 5, TARGET)),
    )
    listing = await store.list_kind('servers')
    assert {'a', 'z'} <= {one.name for one in listing.objects}
    assert 'after=a' in server.requests[1] or 'after=odd' in server.requests[1]


# Guards against a listing that asks for the same page for ever.
async def test_listing_ends_when_no_name_is_left_to_continue_from(start_store):
    page = make_page(b'null', more=True)
    store, _ = await start_store(page, page)
    with pytest.raises(StoreError):
        await store.list_kind('servers')


# Guards against a removal that is lost since the removed entry is unreadable.
@pytest.mark.parametrize('odd', make_items(UNREADABLE_ENTRIES | ODD_METADATA))
async def test_watch_returns_the_removal_of_an_unreadable_entry(
    start_store, odd
):
    store, _ = await start_store(
        make_page(make_entry('odd', 3, TARGET)),
        make_events((odd, False), (make_entry('b', 4, TARGET), False)),
        make_events((odd, True)),
    )
    cache = ObjectCache()
    listing = await store.list_kind('servers')
    cache.apply_listing(listing, 100)
    cache.apply_changes(await store.watch('servers', listing.revision, 1), 100)
    assert not cache.objects['odd'].body
    assert cache.objects['b'].body == TARGET
    cache.apply_changes(await store.watch('servers', listing.revision, 1), 100)
    assert set(cache.objects) == {'b'}


@pytest.mark.parametrize(
    'body',
    [
        b'{}',
        b'{"items": {}, "store-revision": 4}',
        b'{"items": [], "store-revision": "4"}',
        b'{"items": [], "store-revision": NaN}',
        b'{"items": [], "store-revision": 9e99}',
        b'{"items": [{"spec": "}], "store-revision": 4}',
        b'{"items": [}, "store-revision": 4}',
        b'{"items": [], "store-revision": 4}}',
        b'NaN',
        b'[NaN]',
    ],
)
async def test_unreadable_page_is_an_error_of_the_store(start_store, body):
    store, _ = await start_store(make_answer(body))
    with pytest.raises(StoreError):
        await store.list_kind('servers')


# Guards against a write whose outcome gets lost with the content it met.
@pytest.mark.parametrize('odd', make_items(UNREADABLE_ENTRIES | ODD_METADATA))
async def test_conflict_with_an_unreadable_entry_is_a_conflict(
    start_store, odd
):
    answer = make_answer(odd).replace(b'200 OK', b'409 Conflict')
    store, _ = await start_store(answer)
    with pytest.raises(StoreError, match=r'\d'):
        await store.write('galena-versions', 'odd', {}, 0)


# Guards against an odd entry of a VM that ends the task that lists VMs.
@pytest.mark.parametrize(
    'odd',
    make_items(UNREADABLE_ENTRIES | UNNAMED_ENTRIES | ODD_METADATA)
    + [
        make_entry('odd', 4, {**OWN._asdict(), **change})
        for change in (
            {'name': 'odd', 'port': 99999},
            {'name': 'odd', 'port': 0},
            {'name': 'odd', 'cores': 'inf'},
            {'name': 'odd', 'address': []},
            {'name': 'vm-2'},
        )
    ],
)
async def test_vms_are_listed_beside_an_odd_entry(start_store, odd):
    other = OWN._replace(name='vm-2', address='127.0.0.2')
    store, _ = await start_store(
        make_page(
            make_entry('vm-1', 3, OWN._asdict()),
            make_entry('vm-2', 4, other._asdict()),
            odd,
        )
    )
    members = Members()
    await MachineSync(store, Directory(members, OWN), OWN)._read()
    assert set(members.member_list.machines) == {OWN, other}


# Guards against an odd record that ends the reading of all records.
@pytest.mark.parametrize(
    'odd', make_items(UNREADABLE_ENTRIES | UNNAMED_ENTRIES | ODD_METADATA)
)
async def test_record_of_versions_is_read_beside_an_odd_one(start_store, odd):
    record = {'versions': ['v1'], 'era': 1, 'complete': True}
    store, _ = await start_store(make_page(make_entry('llm', 3, record), odd))
    records = VersionRecords(
        store, TaskGroup(), Mock(), lambda: 1, first_start=False
    )
    assert await records.find_only_version('llm') == 'v1'


# Guards against an odd record that ends a quarantine or breaks its trials.
@pytest.mark.parametrize(
    'body',
    [
        None,
        [],
        {'part': 'p', 'trials': -9, 'crashes': []},
        {'part': 'p', 'trials': 1e30, 'crashes': []},
        {'part': 'p', 'trials': 0, 'crashes': [[]]},
    ],
)
def test_quarantine_outlives_a_record_that_becomes_odd(body):
    records = QuarantineRecords(Mock(), 'vm-1', lambda: 100.0)
    sound = {'part': 'p', 'trials': 0, 'crashes': ['a/1'], 'found_by': 'vm-2'}
    cache = ObjectCache()
    for version, content in ((3, sound), (4, body)):
        stored = StoredObject('galena-quarantines', 'p', version, content)
        cache.apply_listing(Listing(version, (stored,)), version)
        records.apply(cache)
    assert records.quarantines['p'].find_wait(100) > 0


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63 - 1)
    | st.text(st.characters(exclude_categories=['Cs']), max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.text(st.characters(exclude_categories=['Cs']), max_size=5),
            inner,
            max_size=3,
        )
    ),
    max_leaves=12,
)


# Guards against entries that change places or content beside an odd one.
@given(
    st.lists(JSON_VALUES, max_size=4),
    st.lists(JSON_VALUES, max_size=4),
    st.sampled_from(sorted(set(UNREADABLE_SPECS) - {'deep beyond readers'})),
)
def test_parts_beside_an_unreadable_one_are_decoded_as_they_are(
    before, after, name
):
    texts = [
        *map(orjson.dumps, before),
        UNREADABLE_SPECS[name],
        *map(orjson.dumps, after),
    ]
    entries = b', '.join(b'{"spec": %b}' % text for text in texts)
    found = decode_in_parts(b'{"items": [%b], "next": "a"}' % entries)
    assert found == {
        'items': [{'spec': spec} for spec in (*before, None, *after)],
        'next': 'a',
    }


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(content):
    try:
        decode_in_parts(content)
    except ValueError:
        return
