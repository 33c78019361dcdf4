"""Calls on the platform's store."""

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


def reply(document, status=b'200 OK'):
    """Return an answer of the store."""
    body = orjson.dumps(document)
    head = b'HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n' % (status, len(body))
    return head + body


def stored(name, revision, spec=None):
    """Return an object as the store shows it."""
    return {
        'metadata': {'name': name, 'revision': revision},
        'spec': spec or {},
        'status': None,
    }


@pytest.fixture
async def store(scripted):
    """Client of a store that gives some answers in turn."""
    pool = ConnectionPool()

    async def start(*answers):
        target = await scripted(answers, keep=True)
        return PlatformStore(pool, target.address), target

    yield start
    pool.close()


async def test_pages_of_a_list_are_joined(store):
    client, target = await store(
        reply(
            {
                'items': [stored('a', 3)],
                'has-more': True,
                'store-revision': 8,
            },
        ),
        reply(
            {
                'items': [stored('b', 7)],
                'has-more': False,
                'store-revision': 9,
            },
        ),
    )
    listing = await client.list_kind('servers')
    assert [one.name for one in listing.objects] == ['a', 'b']
    assert listing.revision == 9
    assert 'after=a' in target.requests[1]


async def test_watch_tells_changes_and_deletions(store):
    client, target = await store(
        reply(
            {
                'events': [
                    {'object': stored('a', 9), 'deleted': False},
                    {'object': stored('b', 7), 'deleted': True},
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
        (reply({}, b'410 Gone'), StoreHistoryLostError),
        (reply({}, b'429 Too Many'), StoreUnavailableError),
        (reply({}, b'503 Busy'), StoreUnavailableError),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno', StoreError),
        (reply([1]), StoreError),
        (b'', StoreUnavailableError),
    ],
)
async def test_what_is_no_answer_is_an_error(store, answer, error):
    client, _ = await store(answer)
    with pytest.raises(error):
        await client.watch('servers', 8, 0.1)


async def test_write_names_the_revision_that_it_replaces(store):
    client, target = await store(reply(stored('a', 12)))
    assert await client.write('vms', 'a', {'x': 1}, 11) == 12
    assert target.requests[0].startswith('PUT /api/objects/vms/a ')


async def test_new_object_is_created(store):
    client, target = await store(reply(stored('a', 12), b'201 Created'))
    await client.write('vms', 'a', {'x': 1}, ABSENT)
    assert target.requests[0].startswith('POST /api/objects/vms ')


async def test_conflict_tells_the_revision_found(store):
    client, _ = await store(reply(stored('a', 40), b'409 Conflict'))
    with pytest.raises(StoreConflictError) as caught:
        await client.write('vms', 'a', {}, 11)
    assert caught.value.current == 40


async def test_watch_that_the_store_swallows_ends_soon_after_its_wait(
    scripted,
    monkeypatch,
):
    monkeypatch.setattr(
        'galenaswitch.platform.objects.WATCH_SLACK_SECONDS',
        0.05,
    )
    target = await scripted((b'',), keep=True)
    pool = ConnectionPool()
    store = PlatformStore(pool, target.address)
    with pytest.raises(StoreUnavailableError):
        async with asyncio.timeout(1):
            await store.watch('config', 3, 0.05)
    pool.close()
