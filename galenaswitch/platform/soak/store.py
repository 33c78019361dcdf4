"""Stand-in for the platform's object store, with its own troubles."""

import asyncio
import contextlib
from collections import deque
from typing import Any

from aiohttp import web

MISSING, CONFLICT, GONE, BUSY = 404, 409, 410, 503
# Changes that are kept for watches.
HISTORY = 400
# Seconds by which a slow store answers later.
SLOW_SECONDS = 0.4
# Longest wait in seconds for a watch whatever it asks for.
MAX_WAIT_SECONDS = 10.0
Document = dict[str, Any]


class SoakStore:
    """Objects by kind and name under one revision counter.

    :ivar mode: ``well``, ``busy`` (503), ``silent``, ``slow`` or ``mute``
        (writes are done and not answered).
    """

    def __init__(self) -> None:
        """Start empty."""
        self.mode = 'well'
        self.revision = 1
        self._objects: dict[tuple[str, str], Document] = {}
        self._history: deque[tuple[int, str, Document, bool]] = deque()
        self._oldest = 0
        self._news = asyncio.Event()

    def make_application(self) -> web.Application:
        """Return the store's HTTP interface."""
        app = web.Application()
        app.router.add_get('/api/objects/{kind}', self._read)
        app.router.add_post('/api/objects/{kind}', self._create)
        app.router.add_put('/api/objects/{kind}/{name}', self._replace)
        app.router.add_delete('/api/objects/{kind}/{name}', self._delete)
        return app

    def put(self, kind: str, name: str, spec: Document) -> int:
        """Write an object as operators and targets do."""
        self.revision += 1
        found: Document = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = found
        self._note(kind, found, deleted=False)
        return self.revision

    def drop(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._objects.pop((kind, name), None)
        if found:
            self.revision += 1
            self._note(kind, found, deleted=True)

    def forget_history(self) -> None:
        """Drop the history: watches have to list anew."""
        self._history.clear()
        self._oldest = self.revision
        self._wake()

    def _note(self, kind: str, found: Document, *, deleted: bool) -> None:
        self._history.append((self.revision, kind, found, deleted))
        while len(self._history) > HISTORY:
            self._oldest = self._history.popleft()[0]
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def _suffer(self) -> web.Response | None:
        if self.mode == 'busy':
            return web.json_response({}, status=BUSY)
        if self.mode == 'silent':
            await asyncio.sleep(MAX_WAIT_SECONDS)
            return web.json_response({}, status=BUSY)
        if self.mode == 'slow':
            await asyncio.sleep(SLOW_SECONDS)
        return None

    async def _finish(
        self,
        document: Document,
        status: int = 200,
    ) -> web.Response:
        if self.mode == 'mute':
            await asyncio.sleep(MAX_WAIT_SECONDS)
        return web.json_response(document, status=status)

    async def _read(self, request: web.Request) -> web.Response:
        trouble = await self._suffer()
        if trouble:
            return trouble
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(kind, request)
        items = [
            found
            for (one, _), found in sorted(self._objects.items())
            if one == kind
        ]
        return web.json_response(
            {
                'items': items,
                'has-more': False,
                'store-revision': self.revision,
            },
        )

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        since = int(request.query['watch'])
        wait = min(int(request.query['wait-ms']) / 1000, MAX_WAIT_SECONDS)
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while True:
            if since < self._oldest:
                return web.json_response({}, status=GONE)
            events = [
                {'object': found, 'deleted': deleted}
                for revision, one, found, deleted in self._history
                if one == kind and revision > since
            ]
            left = end - loop.time()
            if events or left <= 0:
                return web.json_response(
                    {'events': events, 'store-revision': self.revision},
                )
            news = self._news
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await news.wait()

    async def _create(self, request: web.Request) -> web.Response:
        return await self._write(request, created=True)

    async def _replace(self, request: web.Request) -> web.Response:
        return await self._write(request, created=False)

    async def _write(
        self,
        request: web.Request,
        *,
        created: bool,
    ) -> web.Response:
        trouble = await self._suffer()
        if trouble:
            return trouble
        document = await request.json()
        kind = request.match_info['kind']
        name = document['metadata']['name']
        held = self._objects.get((kind, name))
        wanted = document['metadata'].get('revision')
        if held is None and not created:
            return web.json_response({}, status=MISSING)
        if held and (created or wanted != held['metadata']['revision']):
            return await self._finish(held, CONFLICT)
        self.put(kind, name, document['spec'])
        return await self._finish(self._objects[kind, name])

    async def _delete(self, request: web.Request) -> web.Response:
        trouble = await self._suffer()
        if trouble:
            return trouble
        self.drop(request.match_info['kind'], request.match_info['name'])
        return await self._finish({})
