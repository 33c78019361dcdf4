"""Tests of the client of the platform's object store."""

import asyncio

import orjson
import pytest

from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from galenaswitch.platform.objects import PlatformStore
from galenaswitch.store.objects import ABSENT
from galenaswitch.store.versions import Revision, join_version, split_version


def make_answer(document, status=b'200 OK', era=None):
    """Return the bytes of an HTTP answer with a JSON body.

    :param era: era that the answer names, ``None`` for none.
    """
    body = orjson.dumps(document)
    era_line = b'' if era is None else b'Store-Era: %d\r\n' % era
    head = b'HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n'
    return head % (status, era_line, len(body)) + body


def make_listing(revision, era, *entries):
    """Return the bytes of an answer with a listing."""
    page = {'items': entries, 'has-more': False, 'store-revision': revision}
    return make_answer(page, era=era)


def make_object(name, revision, spec=None):
    """Return the JSON representation of an object in the store's answers."""
    return {
        'metadata': {'name': name, 'revision': revision},
        'spec': spec or {},
        'status': None,
    }


@pytest.fixture
async def start_client(scripted):
    """Return a function that starts a store with scripted answers.

    The function returns a client of this store, and the store's target, which
    records the requests.
    """
    pool = ConnectionPool()

    async def start(*answers):
        target = await scripted(answers, keep=True)
        return PlatformStore(pool, target.address), target

    yield start
    pool.close()


@pytest.fixture
async def silent_address():
    """Return the address of a server that never answers."""
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield f'{host}:{port}'
    server.close()


# Guards against changes of a page that come while a later page is read.
async def test_listing_of_pages_has_the_revision_of_the_first(start_client):
    client, target = await start_client(
        make_answer(
            {
                'items': [make_object('a', 3)],
                'has-more': True,
                'store-revision': 8,
            },
        ),
        make_answer(
            {
                'items': [make_object('b', 7)],
                'has-more': False,
                'store-revision': 9,
            },
        ),
    )
    listing = await client.list_kind('servers')
    assert [entry.name for entry in listing.objects] == ['a', 'b']
    assert listing.revision == 8
    assert 'after=a' in target.requests[1]


async def test_watch_returns_changes_and_deletions(start_client):
    client, target = await start_client(
        make_answer(
            {
                'events': [
                    {'object': make_object('a', 9), 'deleted': False},
                    {'object': make_object('b', 7), 'deleted': True},
                ],
                'store-revision': 11,
            },
        ),
    )
    changes = await client.watch('servers', 8, 1.5)
    assert [change.deleted for change in changes.changes] == [False, True]
    assert changes.revision == 11
    assert 'watch=8' in target.requests[0]
    assert 'wait-ms=1500' in target.requests[0]


@pytest.mark.parametrize(
    ('answer', 'error'),
    [
        (make_answer({}, b'410 Gone'), StoreHistoryLostError),
        (make_answer({}, b'429 Too Many'), StoreUnavailableError),
        (make_answer({}, b'503 Busy'), StoreUnavailableError),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno', StoreError),
        (make_answer([1]), StoreError),
        (b'', StoreUnavailableError),
    ],
)
async def test_invalid_answer_raises_an_error(start_client, answer, error):
    client, _ = await start_client(answer)
    with pytest.raises(error):
        await client.watch('servers', 8, 0.1)


async def test_write_names_the_expected_revision(start_client):
    client, target = await start_client(make_answer(make_object('a', 12)))
    assert await client.write('vms', 'a', {'x': 1}, 11) == 12
    assert target.requests[0].startswith('PUT /api/objects/vms/a ')


async def test_write_of_a_new_object_creates_it(start_client):
    client, target = await start_client(
        make_answer(make_object('a', 12), b'201 Created')
    )
    await client.write('vms', 'a', {'x': 1}, ABSENT)
    assert target.requests[0].startswith('POST /api/objects/vms ')


async def test_conflict_error_has_the_current_revision(start_client):
    client, _ = await start_client(
        make_answer(make_object('a', 40), b'409 Conflict')
    )
    with pytest.raises(StoreConflictError) as caught:
        await client.write('vms', 'a', {}, 11)
    assert caught.value.current == 40


async def test_watch_times_out_soon_after_its_wait(
    scripted,
    monkeypatch,
):
    monkeypatch.setattr(
        'galenaswitch.platform.objects.WATCH_MARGIN_SECONDS',
        0.05,
    )
    target = await scripted((b'',), keep=True)
    pool = ConnectionPool()
    client = PlatformStore(pool, target.address)
    with pytest.raises(StoreUnavailableError):
        async with asyncio.timeout(1):
            await client.watch('config', 3, 0.05)
    pool.close()


async def test_versions_of_a_later_era_are_higher(start_client):
    client, _ = await start_client(
        make_listing(900, 1, make_object('a', 800)),
        make_listing(5, 2, make_object('a', 4)),
    )
    before = await client.list_kind('config')
    after = await client.list_kind('config')
    assert split_version(after.revision) == Revision(2, 5)
    assert after.revision > before.revision
    assert after.objects[0].version > before.objects[0].version


# Guards against a watch that goes on in the history of a restored store.
@pytest.mark.parametrize('status', [b'200 OK', b'503 Busy', b'409 Conflict'])
async def test_watch_ends_when_any_answer_names_a_new_era(
    start_client, silent_address, status
):
    client, _ = await start_client(
        make_listing(9, 1), make_answer({}, status, era=2)
    )
    listing = await client.list_kind('config')
    client._address, reachable = silent_address, client._address
    watch = asyncio.create_task(client.watch('config', listing.revision, 30))
    await asyncio.sleep(0.05)
    client._address = reachable
    await asyncio.gather(client.list_kind('servers'), return_exceptions=True)
    with pytest.raises(StoreHistoryLostError):
        await asyncio.wait_for(watch, 1)
    with pytest.raises(StoreHistoryLostError):
        await client.watch('config', listing.revision, 30)


async def test_watch_that_is_answered_from_a_new_era_fails(start_client):
    client, _ = await start_client(
        make_listing(9, 1),
        make_answer({'events': [], 'store-revision': 12}, era=2),
    )
    listing = await client.list_kind('config')
    with pytest.raises(StoreHistoryLostError):
        await client.watch('config', listing.revision, 1)


# Guards against a write that replaces other content at the same revision.
async def test_condition_of_an_earlier_era_is_not_sent(start_client):
    client, target = await start_client(make_listing(9, 2))
    await client.list_kind('config')
    earlier = join_version(Revision(1, 9))
    with pytest.raises(StoreConflictError):
        await client.write('vms', 'a', {}, earlier)
    with pytest.raises(StoreConflictError):
        await client.remove('vms', 'a', earlier)
    assert len(target.requests) == 1


async def test_listing_with_pages_of_two_eras_fails(start_client):
    page = {
        'items': [make_object('a', 3)],
        'has-more': True,
        'store-revision': 8,
    }
    client, _ = await start_client(make_answer(page, era=1), make_listing(4, 2))
    with pytest.raises(StoreHistoryLostError):
        await client.list_kind('servers')


# Guards against an answer of the store without end that is kept in memory.
async def test_endless_answer_of_the_store_is_a_failure(scripted, monkeypatch):
    monkeypatch.setattr(
        'galenaswitch.platform.objects.MAX_ANSWER_BYTES', 100_000
    )
    target = await scripted(
        (b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * 200_000,), keep=True
    )
    pool = ConnectionPool()
    client = PlatformStore(pool, target.address)
    with pytest.raises(StoreUnavailableError, match='TargetBrokenError'):
        await client.list_kind('config')
    assert pool.memory.total == 0
    pool.close()
