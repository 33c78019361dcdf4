"""Tests of the client of the platform's object store."""

import asyncio

import orjson
import pytest

from galenaswitch.connections.outbound import ConnectionPool
from galenaswitch.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from galenaswitch.platform.objects import PlatformStore
from galenaswitch.store.client import ABSENT


def make_answer(document, status=b'200 OK'):
    """Return the bytes of an HTTP answer with a JSON body."""
    body = orjson.dumps(document)
    head = b'HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n' % (status, len(body))
    return head + body


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


async def test_list_reads_all_pages(start_client):
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
    assert listing.revision == 9
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
