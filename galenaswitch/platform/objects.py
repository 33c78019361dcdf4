"""Calls on the platform's object store over HTTP.

An object has a kind, a name, a revision, and a document in its ``spec``.
``store-revision`` is the revision up to which an answer is complete.
"""

import asyncio
from typing import Any
from urllib.parse import quote, urlencode

import orjson

from galenaswitch.connections.heads import AnswerHead, RequestHead
from galenaswitch.connections.outbound import ConnectionPool
from galenaswitch.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
    TargetError,
)
from galenaswitch.platform.headers import CONFLICT, MILLISECONDS
from galenaswitch.store.client import ABSENT, Listing, StoredObject
from galenaswitch.store.registry import Change, Changes

# Longest time in seconds for an answer, waiting watches apart: hundreds of
# times the 4 ms that the store takes when it is well.
CALL_SECONDS = 2.0
# Seconds that a watch may take beyond its wait: several times what a store
# that is slowed down fifty times takes for an answer.
WATCH_SLACK_SECONDS = 1.0
# Longest time in seconds that a connection to the store stays unused.
IDLE_SECONDS = 20.0
OK = 200
CREATED = 201
NOT_FOUND = 404
GONE = 410
_EXPECTED = frozenset((OK, CREATED, NOT_FOUND, CONFLICT))
Document = dict[str, Any]


class PlatformStore:
    """Client of the platform's object store; one call, one send."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        """Talk to the store at ``address`` through ``pool``."""
        self._pool = pool
        self._address = address

    async def list_kind(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind.

        :param stale: accept data that is seconds old, at a tenth of the
            price.
        :raises StoreUnavailableError: when the store doesn't answer.
        """
        stored: list[StoredObject] = []
        query: dict[str, str] = {'allow-stale': '1'} if stale else {}
        while True:
            _, page = await self._call('GET', kind, query=query)
            stored.extend(_read_object(kind, entry) for entry in page['items'])
            if not page.get('has-more') or not page['items']:
                return Listing(page['store-revision'], tuple(stored))
            query = {**query, 'after': stored[-1].name}

    async def watch(self, kind: str, revision: int, seconds: float) -> Changes:
        """Wait for changes of a kind after a revision.

        :param seconds: longest wait for the first change.
        :raises StoreHistoryLostError: when that history is gone.
        :raises StoreUnavailableError: when the store doesn't answer.
        """
        query = {
            'watch': str(revision),
            'wait-ms': str(int(seconds * MILLISECONDS)),
        }
        longest = seconds + WATCH_SLACK_SECONDS
        _, answer = await self._call('GET', kind, query=query, seconds=longest)
        return Changes(
            answer['store-revision'],
            tuple(
                Change(
                    _read_object(kind, event['object']),
                    bool(event['deleted']),
                )
                for event in answer['events']
            ),
        )

    async def write(
        self,
        kind: str,
        name: str,
        body: Document,
        replaces: int,
    ) -> int:
        """Write an object if it is still at a revision.

        :param replaces: revision to be replaced, ``ABSENT`` to create.
        :returns: the new revision.
        :raises StoreConflictError: when it is at another revision.
        :raises StoreUnavailableError: when no answer came; the write may
            have taken effect or may do so later.
        """
        metadata: Document = {'name': name}
        if replaces != ABSENT:
            metadata['revision'] = replaces
        status, answer = await self._call(
            'POST' if replaces == ABSENT else 'PUT',
            kind,
            '' if replaces == ABSENT else name,
            document={'metadata': metadata, 'spec': body},
        )
        if status == CONFLICT:
            raise StoreConflictError(_read_revision(answer))
        if status == NOT_FOUND:
            raise StoreConflictError(ABSENT)
        return _read_revision(answer)

    async def remove(self, kind: str, name: str, revision: int) -> None:
        """Remove an object if it is still at a revision.

        :raises StoreConflictError: when it is at another revision.
        :raises StoreUnavailableError: when no answer came.
        """
        status, answer = await self._call(
            'DELETE',
            kind,
            name,
            query={'revision': str(revision)},
        )
        if status == CONFLICT:
            raise StoreConflictError(_read_revision(answer))

    async def _call(
        self,
        method: str,
        kind: str,
        name: str = '',
        *,
        query: dict[str, str] | None = None,
        document: Document | None = None,
        seconds: float = CALL_SECONDS,
    ) -> tuple[int, Document]:
        path = f'/api/objects/{quote(kind)}'
        if name:
            path = f'{path}/{quote(name)}'
        if query:
            path = f'{path}?{urlencode(query)}'
        head = RequestHead(
            method.encode(),
            path.encode(),
            (
                (b'Host', self._address.encode()),
                (b'Content-Type', b'application/json'),
            ),
        )
        body = b'' if document is None else orjson.dumps(document)
        try:
            async with asyncio.timeout(seconds):
                answer, content = await self._exchange(head, body)
        except (TargetError, TimeoutError) as error:
            raise StoreUnavailableError(
                f'the store does not answer: {type(error).__name__}',
            ) from error
        return answer.status, _read_answer(answer, content)

    async def _exchange(
        self,
        head: RequestHead,
        body: bytes,
    ) -> tuple[AnswerHead, bytes]:
        connection = await self._pool.acquire(self._address, IDLE_SECONDS)
        try:
            exchange = connection.send(head, body)
            answer = await exchange.read_head()
            content = bytearray()
            while chunk := await exchange.read():
                content += chunk
                connection.resume_reading()
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return answer, bytes(content)


def _read_answer(answer: AnswerHead, content: bytes) -> Document:
    if answer.status == GONE:
        raise StoreHistoryLostError('the history asked for is gone')
    if answer.status not in _EXPECTED:
        raise StoreUnavailableError(f'the store answers {answer.status}')
    if not content:
        return {}
    try:
        document = orjson.loads(content)
    except ValueError as error:
        raise StoreError('the store answered no JSON') from error
    if not isinstance(document, dict):
        raise StoreError('the store answered no JSON object')
    return document


def _read_object(kind: str, document: Document) -> StoredObject:
    metadata = document['metadata']
    return StoredObject(
        kind,
        metadata['name'],
        metadata['revision'],
        document.get('spec'),  # type: ignore[arg-type]
    )


def _read_revision(document: Document) -> int:
    metadata = document.get('metadata') or {}
    return int(metadata.get('revision', ABSENT))
