"""Fake of the platform's object store, with fault modes."""

import asyncio
import contextlib
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import web

NOT_FOUND, CONFLICT, GONE, UNAVAILABLE = 404, 409, 410, 503
# Number of the latest changes that watches can read.
MAX_HISTORY_CHANGES = 400
# Delay of the store's answers in its mode slow.
SLOW_SECONDS = 0.4
# Longest wait of a watch, even if the client asks for more.
MAX_WAIT_SECONDS = 10.0
ERA_HEADER = 'Store-Era'
Document = dict[str, Any]


class StoreCopy(NamedTuple):
    """State of a store, from which it can be restored.

    :param revision: revision of the last change.
    :param history: changes that watches can read.
    """

    revision: int
    objects: dict[tuple[str, str], Document]
    history: tuple[tuple[int, str, Document, bool], ...]


class FakeStore:
    """Object store in memory with one revision counter for all objects.

    :ivar mode: ``well`` injects no fault, ``busy`` answers with status 503,
        ``silent`` does the same after ``MAX_WAIT_SECONDS``, ``slow`` delays
        answers by ``SLOW_SECONDS``, ``mute`` applies writes and delays their
        answers by ``MAX_WAIT_SECONDS``.
    :ivar revision: revision of the last change.
    :ivar era: number that rises with each restore, and is in all answers.
    :ivar call_count: number of calls received.
    :ivar calls_by_kind: number of calls received for each kind of object.
    """

    def __init__(self) -> None:
        """Build a store without objects, at revision 1."""
        self.mode = 'well'
        self.revision = 1
        self.era = 1
        self.call_count = 0
        self.calls_by_kind: Counter[str] = Counter()
        self._objects: dict[tuple[str, str], Document] = {}
        self._history: deque[tuple[int, str, Document, bool]] = deque()
        self._compacted_revision = 0
        self._changed = asyncio.Event()

    def make_application(self) -> web.Application:
        """Return the store's HTTP interface."""
        app = web.Application(middlewares=(self._add_era,))
        app.router.add_get('/api/objects/{kind}', self._read)
        app.router.add_post('/api/objects/{kind}', self._create)
        app.router.add_put('/api/objects/{kind}/{name}', self._replace)
        app.router.add_delete('/api/objects/{kind}/{name}', self._delete)
        return app

    def put(self, kind: str, name: str, spec: Document) -> int:
        """Write an object unconditionally and return its new revision."""
        self.revision += 1
        entry: Document = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = entry
        self._record_change(kind, entry, deleted=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        entry = self._objects.pop((kind, name), None)
        if entry:
            self.revision += 1
            self._record_change(kind, entry, deleted=True)

    def find_names(self, kind: str) -> set[str]:
        """Return the names of all objects of a kind."""
        return {name for found, name in self._objects if found == kind}

    def compact_history(self) -> None:
        """Delete the history of changes; watches have to list all objects."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._wake_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(
            self.revision, dict(self._objects), tuple(self._history)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; its later revisions are given out again."""
        self.era += 1
        self.revision = copy.revision
        self._objects = dict(copy.objects)
        self._history = deque(copy.history)
        self._compacted_revision = min(self._compacted_revision, self.revision)
        self._wake_watches()

    @web.middleware
    async def _add_era(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        self.call_count += 1
        self.calls_by_kind[request.match_info.get('kind', '')] += 1
        answer = await handler(request)
        answer.headers[ERA_HEADER] = str(self.era)
        return answer

    def _record_change(
        self, kind: str, entry: Document, *, deleted: bool
    ) -> None:
        self._history.append((self.revision, kind, entry, deleted))
        while len(self._history) > MAX_HISTORY_CHANGES:
            self._compacted_revision = self._history.popleft()[0]
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _apply_mode(self) -> web.Response | None:
        if self.mode == 'busy':
            return web.json_response({}, status=UNAVAILABLE)
        if self.mode == 'silent':
            await asyncio.sleep(MAX_WAIT_SECONDS)
            return web.json_response({}, status=UNAVAILABLE)
        if self.mode == 'slow':
            await asyncio.sleep(SLOW_SECONDS)
        return None

    async def _answer_write(
        self,
        document: Document,
        status: int = 200,
    ) -> web.Response:
        if self.mode == 'mute':
            await asyncio.sleep(MAX_WAIT_SECONDS)
        return web.json_response(document, status=status)

    async def _read(self, request: web.Request) -> web.Response:
        failure = await self._apply_mode()
        if failure:
            return failure
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(kind, request)
        items = [
            entry
            for (object_kind, _), entry in sorted(self._objects.items())
            if object_kind == kind
        ]
        return web.json_response(
            {
                'items': items,
                'has-more': False,
                'store-revision': self.revision,
            },
        )

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        after_revision = int(request.query['watch'])
        wait = min(int(request.query['wait-ms']) / 1000, MAX_WAIT_SECONDS)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while True:
            is_known = self._compacted_revision <= after_revision
            if not is_known or after_revision > self.revision:
                return web.json_response({}, status=GONE)
            events = [
                {'object': entry, 'deleted': deleted}
                for revision, object_kind, entry, deleted in self._history
                if object_kind == kind and revision > after_revision
            ]
            seconds_left = deadline - loop.time()
            if events or seconds_left <= 0:
                return web.json_response(
                    {'events': events, 'store-revision': self.revision},
                )
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds_left):
                    await changed.wait()

    async def _create(self, request: web.Request) -> web.Response:
        return await self._write(request, creates=True)

    async def _replace(self, request: web.Request) -> web.Response:
        return await self._write(request, creates=False)

    async def _write(
        self,
        request: web.Request,
        *,
        creates: bool,
    ) -> web.Response:
        failure = await self._apply_mode()
        if failure:
            return failure
        document = await request.json()
        kind = request.match_info['kind']
        name = document['metadata']['name']
        current = self._objects.get((kind, name))
        expected_revision = document['metadata'].get('revision')
        if current is None and not creates:
            return web.json_response({}, status=NOT_FOUND)
        if current and (
            creates or expected_revision != current['metadata']['revision']
        ):
            return await self._answer_write(current, CONFLICT)
        self.put(kind, name, document['spec'])
        return await self._answer_write(self._objects[kind, name])

    async def _delete(self, request: web.Request) -> web.Response:
        failure = await self._apply_mode()
        if failure:
            return failure
        kind, name = request.match_info['kind'], request.match_info['name']
        current = self._objects.get((kind, name))
        expected_revision = int(request.query.get('revision', 0))
        if (
            current
            and expected_revision
            and expected_revision != current['metadata']['revision']
        ):
            return await self._answer_write(current, CONFLICT)
        self.remove(kind, name)
        return await self._answer_write({})
