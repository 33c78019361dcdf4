"""HTTP client of the platform's object store.

An object has a kind, a name, a revision, and a JSON document in its ``spec``.
Every write is conditional on the object's revision. In an answer,
``store-revision`` is the revision of the store that the answer reflects; a
watch continues from there.
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

# Timeout of a call other than a watch, hundreds of times the 4 ms that a
# healthy store takes to answer.
CALL_TIMEOUT_SECONDS = 2.0
# Time that a watch may take beyond the wait that it asks for, several times
# the answer time of a store that is slowed down fifty times.
WATCH_MARGIN_SECONDS = 1.0
# Longest time for which a pooled connection to the store may have been idle.
MAX_IDLE_SECONDS = 20.0
OK = 200
CREATED = 201
NOT_FOUND = 404
GONE = 410
_EXPECTED_STATUSES = frozenset((OK, CREATED, NOT_FOUND, CONFLICT))
Document = dict[str, Any]


class PlatformStore:
    """Client of the platform's object store; it never retries a call."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        """Build a client of the store at ``address``.

        :param pool: connections that the client uses.
        """
        self._pool = pool
        self._address = address

    async def list_kind(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind.

        :param stale: whether the store may return data that is seconds old.
            Such a call costs a tenth of a consistent read.
        :raises StoreUnavailableError: when the store doesn't answer.
        """
        stored: list[StoredObject] = []
        query: dict[str, str] = {'allow-stale': '1'} if stale else {}
        while True:
            _, page = await self._call('GET', kind, query=query)
            stored.extend(
                _decode_object(kind, entry) for entry in page['items']
            )
            if not page.get('has-more') or not page['items']:
                return Listing(page['store-revision'], tuple(stored))
            query = {**query, 'after': stored[-1].name}

    async def watch(self, kind: str, revision: int, seconds: float) -> Changes:
        """Wait for changes of a kind after a revision.

        :param seconds: longest wait for the first change.
        :raises StoreHistoryLostError: when the store no longer has the
            changes after ``revision``.
        :raises StoreUnavailableError: when the store doesn't answer.
        """
        query = {
            'watch': str(revision),
            'wait-ms': str(int(seconds * MILLISECONDS)),
        }
        timeout = seconds + WATCH_MARGIN_SECONDS
        _, answer = await self._call('GET', kind, query=query, seconds=timeout)
        return Changes(
            answer['store-revision'],
            tuple(
                Change(
                    _decode_object(kind, event['object']),
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
        """Write an object if its current revision is the expected one.

        :param replaces: expected current revision, ``ABSENT`` to create.
        :returns: the new revision.
        :raises StoreConflictError: when the object is at another revision.
        :raises StoreUnavailableError: when the store doesn't answer; the write
            may have taken effect or may do so later.
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
            raise StoreConflictError(_decode_revision(answer))
        if status == NOT_FOUND:
            raise StoreConflictError(ABSENT)
        return _decode_revision(answer)

    async def remove(self, kind: str, name: str, revision: int) -> None:
        """Remove an object if its current revision is the expected one.

        :param revision: expected current revision.
        :raises StoreConflictError: when the object is at another revision.
        :raises StoreUnavailableError: when the store doesn't answer; the
            removal may have taken effect or may do so later.
        """
        status, answer = await self._call(
            'DELETE',
            kind,
            name,
            query={'revision': str(revision)},
        )
        if status == CONFLICT:
            raise StoreConflictError(_decode_revision(answer))

    async def _call(
        self,
        method: str,
        kind: str,
        name: str = '',
        *,
        query: dict[str, str] | None = None,
        document: Document | None = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
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
        return answer.status, _decode_answer(answer, content)

    async def _exchange(
        self,
        head: RequestHead,
        body: bytes,
    ) -> tuple[AnswerHead, bytes]:
        connection = await self._pool.acquire(self._address, MAX_IDLE_SECONDS)
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


def _decode_answer(answer: AnswerHead, content: bytes) -> Document:
    if answer.status == GONE:
        raise StoreHistoryLostError(
            'the store no longer has the changes after the watched revision',
        )
    if answer.status not in _EXPECTED_STATUSES:
        raise StoreUnavailableError(
            f'the store answers with status {answer.status}',
        )
    if not content:
        return {}
    try:
        document = orjson.loads(content)
    except ValueError as error:
        raise StoreError('the store answers with invalid JSON') from error
    if not isinstance(document, dict):
        raise StoreError('the store answers with JSON that is not an object')
    return document


def _decode_object(kind: str, document: Document) -> StoredObject:
    metadata = document['metadata']
    return StoredObject(
        kind,
        metadata['name'],
        metadata['revision'],
        document.get('spec'),  # type: ignore[arg-type]
    )


def _decode_revision(document: Document) -> int:
    metadata = document.get('metadata') or {}
    return int(metadata.get('revision', ABSENT))
