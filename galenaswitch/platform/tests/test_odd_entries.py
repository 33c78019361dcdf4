"""Entries of the store that another writer left, beside sound ones."""

import asyncio
from unittest.mock import Mock

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenaswitch.connections.outbound import ConnectionPool
from galenaswitch.errors import StoreError
from galenaswitch.gateway.machine_sync import MachineSync
from galenaswitch.gateway.state_sync import StateSync
from galenaswitch.gateway.version_records import VersionRecords
from galenaswitch.membership.directory import Directory
from galenaswitch.membership.lists import Machine, Members
from galenaswitch.operations.process import TaskGroup
from galenaswitch.platform.documents import PlatformDocuments
from galenaswitch.platform.objects import PlatformStore
from galenaswitch.platform.pages import decode_in_parts
from galenaswitch.quarantine.records import QuarantineRecords
from galenaswitch.store.cache import ObjectCache
from galenaswitch.store.client import Listing, StoredObject

OWN = Machine('vm-1', 'north', '127.0.0.1', 8625)
TARGET = {
    'service': 'llm',
    'address': '127.0.0.1:8080',
    'zone': 'north',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 4,
    'born': 1764900000000,
}
# Contents that a store may hold and that aren't valid as a whole.
UNREADABLE_SPECS = {
    'deep array': b'[' * 2000 + b']' * 2000,
    'deep object': b'{"a":' * 2000 + b'1' + b'}' * 2000,
    'deep beyond readers': b'[' * 900 + b']' * 900,
    'number out of range': b'{"slots": 1e999}',
    'long number': b'{"slots": ' + b'9' * 400 + b'}',
    'not a number': b'{"slots": NaN}',
    'infinity': b'{"slots": -Infinity}',
    'lone surrogate': b'{"zone": "\\ud800"}',
    'no UTF-8': b'{"zone": "\xff\xfe"}',
    'control character': b'{"zone": "\x00\n"}',
    'brackets in text': b'{"zone": "]}\\"],{", "slots": NaN}',
    'no such word': b'undefined',
    'nothing': b'',
}
UNREADABLE_ENTRIES = {
    name: b'{"metadata": {"name": "odd", "revision": 7}, "spec": %b}' % spec
    for name, spec in UNREADABLE_SPECS.items()
}
# Entries without a name that can be read.
UNNAMED_ENTRIES = {
    'no object': b'[1]',
    'null': b'null',
    'no metadata': b'{"spec": {}}',
    'metadata of another type': b'{"metadata": ["odd", 7], "spec": {}}',
    'no name': b'{"metadata": {"revision": 7}, "spec": {}}',
    'number as name': b'{"metadata": {"name": 7, "revision": 7}}',
    'empty name': b'{"metadata": {"name": "", "revision": 7}}',
    'unreadable name': b'{"metadata": {"name": "\\ud800", "revision": 7}}',
    'cut entry': b'nul',
}
# Entries whose name can be read, and not the rest of the metadata.
ODD_METADATA = {
    'no revision': b'{"metadata": {"name": "odd"}, "spec": {}}',
    'revision as text': b'{"metadata": {"name": "odd", "revision": "7"}}',
    'revision as list': b'{"metadata": {"name": "odd", "revision": [7]}}',
    'negative revision': b'{"metadata": {"name": "odd", "revision": -7}}',
    'huge revision': b'{"metadata": {"name": "odd", "revision": 1e999}}',
    'revision of an era': b'{"metadata": {"name":"odd","revision":%d}}' % 2**60,
    'odd date': b'{"metadata": {"name": "odd", "created-at": NaN}}',
}


def make_entry(name, revision, spec):
    """Return the JSON text of an entry."""
    metadata = {'name': name, 'revision': revision}
    return orjson.dumps({'metadata': metadata, 'spec': spec})


def make_answer(body):
    """Return an HTTP answer of the store with a JSON text."""
    head = b'HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n'
    return head % len(body) + body


def make_page(*entries, more=False, revision=20):
    """Return the answer with a page of entries."""
    return make_answer(
        b'{"items": [%b], "has-more": %b, "store-revision": %d}'
        % (b', '.join(entries), b'true' if more else b'false', revision)
    )


def make_events(*events, revision=20):
    """Return the answer to a watch with entries, and whether they are gone."""
    texts = [
        b'{"deleted": %b, "object": %b}' % (b'true' if gone else b'false', one)
        for one, gone in events
    ]
    return make_answer(
        b'{"events": [%b], "store-revision": %d}'
        % (b', '.join(texts), revision)
    )


def make_items(entries):
    """Return test parameters of entries, with their names as ids."""
    return [pytest.param(one, id=name) for name, one in entries.items()]


@pytest.fixture
async def start_store(scripted):
    """Return a function that starts a store with scripted answers."""
    pool = ConnectionPool()

    async def start(*answers):
        server = await scripted(answers, keep=True)
        return PlatformStore(pool, server.address), server

    yield start
    pool.close()


@pytest.fixture
async def sync(start_store):
    """Return a function that starts a VM's state sync of scripted answers.

    The sync follows the kinds of the store one after the other.
    """
    tasks = TaskGroup()

    async def start(*answers):
        store, _ = await start_store(*answers)
        members = Members()
        state = StateSync(
            store,
            PlatformDocuments(),
            Directory(members, OWN),
            OWN,
            tasks,
            1.2,
        )
        return state, members

    yield start
    await tasks.stop()


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


# Guards against a target that stays in use when its entry becomes unreadable.
@pytest.mark.parametrize('odd', make_items(UNREADABLE_ENTRIES))
async def test_target_whose_entry_becomes_unreadable_is_dropped(sync, odd):
    state, members = await sync(
        make_page(make_entry('i-1', 3, TARGET), make_entry('odd', 4, TARGET)),
        make_events((odd, False), revision=21),
    )
    follower = state._followers[1]
    await follower._list()
    assert len(members.member_list.targets) == 2
    watching = asyncio.create_task(follower._watch())
    async with asyncio.timeout(5):
        while len(members.member_list.targets) > 1:
            await asyncio.sleep(0.01)
    watching.cancel()
    assert [one.name for one in members.member_list.targets] == ['i-1']


# Guards against a configuration that isn't followed beside an odd entry, and
# against one that is given up when it can't be read.
async def test_configuration_is_followed_beside_odd_entries(
    sync, configuration
):
    odd = UNREADABLE_ENTRIES['deep object']
    newer = {**configuration, 'version': 9}
    unreadable = b'{"metadata": {"name": "main", "revision": 30}, "spec": NaN}'
    state, _ = await sync(
        make_page(make_entry('main', 3, configuration), odd),
        make_page(odd, make_entry('main', 25, newer), revision=26),
        make_page(odd, unreadable, revision=31),
    )
    follower = state._followers[0]
    await follower._list()
    assert state.route_table.current.version == configuration['version']
    await follower._list()
    await follower._list()
    assert state.route_table.current.version == newer['version']


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


# Guards against a log that grows with each read of an odd entry.
async def test_odd_target_is_logged_once_for_each_revision(sync, monkeypatch):
    logger = Mock()
    monkeypatch.setattr(
        'galenaswitch.store.unreadable.get_logger', lambda: logger
    )
    state, _ = await sync(
        *(
            make_page(
                make_entry(f'i-{number}', number, TARGET),
                make_entry('odd', 4 + number // 4, {}),
                revision=20 + number,
            )
            for number in range(1, 7)
        )
    )
    for _ in range(6):
        await state._followers[1]._list()
    assert logger.warning.call_count == 2


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
