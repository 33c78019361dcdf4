"""HTTP client of the platform's object store.

An object has a kind, a name, a revision, and a JSON document in its ``spec``.
Every write is conditional on the object's revision. In an answer,
``store-revision`` is the revision of the store that the answer reflects; a
watch continues from there. The header ``Store-Era`` of each answer is the era
of its revisions.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any
from urllib.parse import quote, urlencode

import orjson

from galenaswitch.connections.heads import (
    AnswerHead,
    RequestHead,
    find_header_text,
)
from galenaswitch.connections.pool import ConnectionPool
from galenaswitch.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
    TargetError,
)
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import LocalMetrics, Metrics
from galenaswitch.operations.timeouts import Timeout
from galenaswitch.platform.headers import CONFLICT, MILLISECONDS
from galenaswitch.platform.pages import (
    decode_object,
    decode_objects,
)
from galenaswitch.platform.store_answers import (
    NOT_FOUND,
    Document,
    StoreAnswer,
    decode_answer,
    decode_store_version,
    decode_version,
    find_purpose,
    read_list,
)
from galenaswitch.store.cache import Change, Changes
from galenaswitch.store.objects import ABSENT, Listing, StoredObject
from galenaswitch.store.versions import (
    find_era,
    split_version,
)

# Timeout of a call other than a watch, hundreds of times the 4 ms that a
# healthy store takes to answer.
CALL_TIMEOUT_SECONDS = 2.0
# Time that a watch may take beyond the wait that it asks for, several times
# the answer time of a store that is slowed down fifty times.
WATCH_MARGIN_SECONDS = 1.0
# Longest time for which a pooled connection to the store may have been idle.
MAX_IDLE_SECONDS = 20.0
# Largest answer of the store.
MAX_ANSWER_BYTES = 33_554_432
# Longest era that fits beside a revision in a version.
MAX_ERA_DIGITS = 4
_ERA_HEADER = b'store-era'


class PlatformStore:
    """Client of the platform's object store; it never retries a call.

    :ivar era: highest era that an answer has named, 0 for none.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        metrics: Metrics | None = None,
    ) -> None:
        """Build a client of the store at ``address``.

        :param pool: connections that the client uses.
        :param metrics: counts the calls by purpose and kind.
        """
        self._metrics = metrics or LocalMetrics()
        self._pool = pool
        self._address = address
        self.era = 0
        self._unnamed_counts: dict[str, int] = {}
        self._watches: set[asyncio.Task[StoreAnswer]] = set()

    async def list_kind(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind, at the revision of the first page.

        Later pages may show later changes, which a watch from that revision
        shows once more. An entry whose content can't be read has the body
        ``None``; one whose name can't be read isn't returned.

        :param stale: whether the store may return data that is seconds old.
            Such a call costs a tenth of a consistent read.
        :raises StoreHistoryLostError: when the pages are of different eras.
        :raises StoreUnavailableError: when the store doesn't answer.
        """
        stored: list[StoredObject] = []
        revision: int | None = None
        entry_count = 0
        query: dict[str, str] = {'allow-stale': '1'} if stale else {}
        while True:
            answer = await self._call('GET', kind, query=query)
            if revision and find_era(revision) != answer.era:
                raise StoreHistoryLostError('the store was restored meanwhile')
            version = decode_store_version(answer)
            revision = revision or version
            entries = read_list(answer, 'items')
            page = decode_objects(kind, entries, version)
            stored.extend(page)
            entry_count += len(entries)
            if not answer.document.get('has-more') or not entries:
                self._report_unnamed(kind, entry_count - len(stored))
                return Listing(revision, tuple(stored))
            query = {**query, 'after': _find_next(page, query)}

    async def watch(self, kind: str, revision: int, seconds: float) -> Changes:
        """Wait for changes of a kind after a revision.

        A watch never continues in another era, also when the store has given
        out the watched revision again.

        :param revision: version of the store to continue from.
        :param seconds: longest wait for the first change.
        :raises StoreHistoryLostError: when the store no longer has the
            changes after ``revision``, or another era has begun.
        :raises StoreUnavailableError: when the store doesn't answer.
        """
        era, number = split_version(revision)
        if era != self.era:
            raise StoreHistoryLostError(
                'the watched revision is of another era'
            )
        query = {
            'watch': str(number),
            'wait-ms': str(int(seconds * MILLISECONDS)),
        }
        timeout = seconds + WATCH_MARGIN_SECONDS
        answer = await self._wait_within_era(
            self._call('GET', kind, query=query, seconds=timeout)
        )
        if answer.era != era:
            raise StoreHistoryLostError('the store was restored meanwhile')
        version = decode_store_version(answer)
        events = [
            event if isinstance(event, dict) else {}
            for event in read_list(answer, 'events')
        ]
        found = [
            (decode_object(kind, event.get('object'), version), event)
            for event in events
        ]
        changes = tuple(
            Change(stored, bool(event.get('deleted')))
            for stored, event in found
            if stored
        )
        if len(changes) < len(events):
            get_logger().warning(
                'entries_unnamed', kind=kind, count=len(events) - len(changes)
            )
        return Changes(version, changes)

    async def write(
        self,
        kind: str,
        name: str,
        body: Document,
        replaces: int,
    ) -> int:
        """Write an object if its current revision is the expected one.

        :param replaces: expected current version, ``ABSENT`` to create.
        :returns: the new version.
        :raises StoreConflictError: when the object is at another version; a
            version of another era isn't sent.
        :raises StoreUnavailableError: when the store doesn't answer; the write
            may have taken effect or may do so later.
        """
        metadata: Document = {'name': name}
        if replaces != ABSENT:
            metadata['revision'] = self._find_revision(replaces)
        answer = await self._call(
            'POST' if replaces == ABSENT else 'PUT',
            kind,
            '' if replaces == ABSENT else name,
            document={'metadata': metadata, 'spec': body},
        )
        if answer.status == CONFLICT:
            raise StoreConflictError(decode_version(answer))
        if answer.status == NOT_FOUND:
            raise StoreConflictError(ABSENT)
        return decode_version(answer)

    async def remove(self, kind: str, name: str, revision: int) -> None:
        """Remove an object if its current revision is the expected one.

        :param revision: expected current version.
        :raises StoreConflictError: when the object is at another version; a
            version of another era isn't sent.
        :raises StoreUnavailableError: when the store doesn't answer; the
            removal may have taken effect or may do so later.
        """
        number = self._find_revision(revision)
        answer = await self._call(
            'DELETE',
            kind,
            name,
            query={'revision': str(number)},
        )
        if answer.status == CONFLICT:
            raise StoreConflictError(decode_version(answer))

    def observe_era(self, era: int) -> None:
        """Record an era of the store, and end all watches if it is new."""
        if era <= self.era:
            return
        get_logger().warning('store_era_began', era=era, before=self.era)
        self.era = era
        for watch in self._watches - {asyncio.current_task()}:
            watch.cancel()

    def _report_unnamed(self, kind: str, count: int) -> None:
        """Log how many entries of a listing have no name, if that changed."""
        if self._unnamed_counts.get(kind, 0) != count:
            self._unnamed_counts[kind] = count
            get_logger().warning('entries_unnamed', kind=kind, count=count)

    def _find_revision(self, version: int) -> int:
        """Return the revision of a version for the condition of a write.

        :raises StoreConflictError: when the version is of another era, in
            which the same revision may be that of other content.
        """
        era, number = split_version(version)
        if era != self.era:
            raise StoreConflictError(ABSENT)
        return number

    async def _wait_within_era(
        self, call: Coroutine[Any, Any, StoreAnswer]
    ) -> StoreAnswer:
        """Wait for the answer to a call until another era begins.

        :raises StoreHistoryLostError: when another era has begun.
        """
        task = asyncio.ensure_future(call)
        self._watches.add(task)
        try:
            await asyncio.wait({task})
        finally:
            self._watches.discard(task)
            task.cancel()
        if task.cancelled():
            raise StoreHistoryLostError('another era began during the watch')
        return task.result()

    def _observe_era(self, answer: AnswerHead) -> int:
        """Return the era of an answer.

        An answer without a readable era is taken to be of the current one.
        """
        field = find_header_text(answer.headers, _ERA_HEADER)
        is_era = field.isdecimal() and len(field) <= MAX_ERA_DIGITS
        era = int(field) if is_era else self.era
        self.observe_era(era)
        return era

    async def _call(
        self,
        method: str,
        kind: str,
        name: str = '',
        *,
        query: dict[str, str] | None = None,
        document: Document | None = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> StoreAnswer:
        is_watch = bool(query and 'watch' in query)
        path = f'/api/objects/{quote(kind)}'
        if name:
            path = f'{path}/{quote(name)}'
        if query:
            path = f'{path}?{urlencode(query)}'
        self._metrics.count(f'store_{find_purpose(method, query)}_{kind}')
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
            async with Timeout(seconds, is_measured=not is_watch):
                answer, content = await self._exchange(head, body)
        except (TargetError, TimeoutError) as error:
            raise StoreUnavailableError(
                f'the store does not answer: {type(error).__name__}',
            ) from error
        era = self._observe_era(answer)
        document = await decode_answer(answer, content)
        return StoreAnswer(answer.status, document, era)

    async def _exchange(
        self,
        head: RequestHead,
        body: bytes,
    ) -> tuple[AnswerHead, bytes]:
        exchange = None
        connection = await self._pool.acquire(self._address, MAX_IDLE_SECONDS)
        try:
            exchange = connection.send(head, body)
            answer = await exchange.read_head()
            content = await connection.read_all(exchange, MAX_ANSWER_BYTES)
        except BaseException:
            connection.close()
            raise
        finally:
            if exchange:
                exchange.discard()
        self._pool.release(connection)
        return answer, content


def _find_next(page: list[StoredObject], query: dict[str, str]) -> str:
    """Return the name after which a listing continues.

    :raises StoreError: when no name is left that can be read.
    """
    name = page[-1].name if page else ''
    if name in {'', query.get('after')}:
        raise StoreError('no name to continue a listing from')
    return name
