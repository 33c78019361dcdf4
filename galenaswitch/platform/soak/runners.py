"""Stand-ins for targets: a plain service, makers of pieces, engines."""

import asyncio
import secrets
import time
from collections.abc import Callable

from aiohttp import web

from galenaswitch.platform.soak.proxy import Proxy
from galenaswitch.platform.soak.records import Made, Ran, Records
from galenaswitch.platform.soak.store import Document, SoakStore

CONFLICT, MISDIRECTED, FAILED = 409, 421, 500
# Seconds that requests take.
PLAIN_SECONDS = 0.03
CALL_SECONDS = 0.06
PIECE_SECONDS = 0.01
EVENT_SECONDS = 0.03
# Seconds between two entries of a target, as the settings tell.
HEARTBEAT_SECONDS = 0.6
ENTRY_BEATS = 5
ROOM_MB = 2.0
# Seconds for which a target that hangs says nothing.
HANG_SECONDS = 30
# Bytes of the last event of a stream that is cut in it.
CUT_BYTES = 7
NOT_EXECUTED = {'X-Not-Executed': '1'}
SLOW_FACTOR = 6.0
# Every so many requests of a target that fails some is failed.
FAIL_EVERY = 3
Handles = dict[str, tuple[str, int, int]]


class Runner:
    """One target.

    :ivar mode: ``well``, ``slow``, ``errors``, ``hang`` or ``cut``.
    """

    def __init__(
        self,
        number: int,
        service: str,
        zone: str,
        records: Records,
        handles: Handles,
        now: Callable[[], float],
    ) -> None:
        """Serve ``service``; ``handles`` names all results of all targets."""
        self.number = number
        self.service = service
        self.zone = zone
        self.mode = 'well'
        self.state = 'ready'
        self.address = ('', 0)
        self.proxy = Proxy(lambda: self.address)
        self._records = records
        self._handles = handles
        self._now = now
        self._own: set[str] = set()
        self._turn = asyncio.Lock()
        self._count = 0
        self.name = ''
        self.born = 0
        self.begin_life()

    def begin_life(self) -> None:
        """Start anew under another id, knowing nothing of before."""
        self.name = f'i-{self.number}-{secrets.token_hex(3)}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        for handle in self._own:
            self._handles.pop(handle, None)
        self._own.clear()

    async def start(self, host: str) -> web.AppRunner:
        """Listen behind the proxy."""
        app = web.Application()
        app.router.add_get('/health', self._answer_health)
        app.router.add_get('/api/report', self._answer_report)
        app.router.add_post('/api/stage-run', self._make_pieces)
        app.router.add_post('/api/stage-free', self._free_pieces)
        app.router.add_route('*', '/{rest:.*}', self._run)
        serving = web.AppRunner(app, handler_cancellation=True)
        await serving.setup()
        site = web.TCPSite(serving, host, 0, shutdown_timeout=0.1)
        await site.start()
        bound = serving.addresses[0]
        self.address = (bound[0], bound[1])
        await self.proxy.start(host)
        return serving

    async def register(self, store: SoakStore) -> None:
        """Enter itself in the store again and again."""
        known = ''
        while True:  # noqa: WPS457 cancelled with the soak
            if known not in {'', self.name}:
                store.drop('servers', known)
            known = self.name
            store.put('servers', self.name, self._entry())
            state = (self.name, self.state)
            end = self._now() + HEARTBEAT_SECONDS * ENTRY_BEATS
            while self._now() < end and (self.name, self.state) == state:
                await asyncio.sleep(HEARTBEAT_SECONDS / 4)

    def _entry(self) -> Document:
        return {
            'service': self.service,
            'address': self.proxy.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold-left-ms': 0,
            'sequence': 1,
            'born': self.born,
        }

    def _check(self, request: web.Request) -> web.Response | None:
        """Refuse what isn't meant for this life."""
        expected = request.headers.get('X-Expect-Instance', self.name)
        if expected != self.name:
            return web.Response(status=MISDIRECTED, headers=NOT_EXECUTED)
        return None

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.Response(headers={'X-Instance-Id': self.name})

    async def _answer_report(self, request: web.Request) -> web.Response:
        return web.json_response({'free-mb': ROOM_MB, 'waiting': 0})

    def _fails_now(self) -> bool:
        self._count += 1
        return self.mode != 'well' and self._count % FAIL_EVERY == 0

    async def _run(self, request: web.Request) -> web.StreamResponse:
        wrong = self._check(request)
        if wrong:
            return wrong
        ident = request.headers.get('X-Attempt-Id', '')
        body = (await request.read()).decode()
        inputs = request.headers.get('X-Inputs', '')
        if inputs and self._check_inputs(ident, inputs):
            return web.Response(status=CONFLICT, headers=NOT_EXECUTED)
        after = int(request.headers.get('Last-Event-Id', '0'))
        self._records.ran.append(
            Ran(
                ident,
                self.name,
                self._now(),
                request.raw_path,
                body,
                request.headers.get('X-Tenant', ''),
                'Authorization' in request.headers,
                int(request.headers.get('X-Deadline-Ms', '0')) / 1000,
                after,
            ),
        )
        headers = {'X-Attempt-Id': ident, 'X-Server-Seal': f'{self.name}.1'}
        fails = self._fails_now()
        if fails and self.mode == 'errors':
            return web.Response(status=FAILED, headers=headers, text='failed')
        if fails and self.mode == 'hang':
            await asyncio.sleep(HANG_SECONDS)
        if self.service == 'llm':
            return await self._stream(request, headers, ident, after, fails)
        await asyncio.sleep(self._find_seconds(PLAIN_SECONDS))
        if fails and self.mode == 'cut' and request.transport:
            request.transport.abort()
        return web.Response(headers=headers, text=f'{ident} {body}')

    def _find_seconds(self, seconds: float) -> float:
        factor = SLOW_FACTOR if self.mode == 'slow' else 1
        return seconds * factor

    async def _stream(
        self,
        request: web.Request,
        headers: dict[str, str],
        ident: str,
        after: int,
        fails: bool,
    ) -> web.StreamResponse:
        """Answer with as many events as the path says."""
        count = int(request.path.rstrip('/').rpartition('/')[2])
        answer = web.StreamResponse(headers=headers)
        answer.content_type = 'text/event-stream'
        await answer.prepare(request)
        for number in range(after + 1, count + 1):
            await asyncio.sleep(self._find_seconds(EVENT_SECONDS))
            event = f'id: {number}\ndata: {ident}\n\n'.encode()
            if fails and self.mode == 'cut' and number == count:
                await answer.write(event[:CUT_BYTES])
                if request.transport:
                    request.transport.abort()
                return answer
            await answer.write(event)
        await answer.write_eof()
        return answer

    def _check_inputs(self, ident: str, field: str) -> bool:
        """Tell whether inputs are gone; note those of another request."""
        handles = [one for one in field.split(',') if one]
        found = [self._handles[one] for one in handles if one in self._handles]
        if len(found) == len(handles):
            made = Made(ident, -1, 0, '', tuple(found))
            self._records.made.append(made)
        return len(found) < len(handles)

    async def _make_pieces(self, request: web.Request) -> web.Response:
        wrong = self._check(request)
        if wrong:
            return wrong
        items = (await request.json())['items']
        if self._fails_now() and self.mode == 'errors':
            return web.Response(status=FAILED)
        async with self._turn:
            seconds = CALL_SECONDS + PIECE_SECONDS * len(items)
            await asyncio.sleep(self._find_seconds(seconds))
            outcomes = [self._make_piece(item) for item in items]
        headers = {'X-Server-Load': '1,0,1'}
        return web.json_response({'items': outcomes}, headers=headers)

    def _make_piece(self, item: Document) -> Document:
        inputs = item.get('inputs', ())
        found = tuple(
            self._handles[one] for one in inputs if one in self._handles
        )
        if len(found) < len(inputs):
            return {'reason': 'gone'}
        made = (item['id'], item['stage'], item['piece'])
        self._records.made.append(Made(*made, item.get('key', ''), found))
        handle = f'{self.proxy.address}/{secrets.token_hex(5)}'
        self._handles[handle] = made
        self._own.add(handle)
        return {'handle': handle}

    async def _free_pieces(self, request: web.Request) -> web.Response:
        wrong = self._check(request)
        if wrong:
            return wrong
        for handle in (await request.json())['handles']:
            self._handles.pop(handle, None)
            self._own.discard(handle)
        return web.json_response({})
