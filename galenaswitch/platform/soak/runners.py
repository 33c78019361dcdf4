"""Fakes of the targets: plain services, stages and model engines."""

import asyncio
import itertools
import json
import secrets
import time
from collections.abc import Callable, Iterator, Sequence
from functools import partial

from aiohttp import web

from galenaswitch.platform.soak.answers import (
    Harm,
    answer_report,
    check_instance,
    make_limit_header,
    refuse,
    send_events,
    send_in_parts,
)
from galenaswitch.platform.soak.proxy import Proxy
from galenaswitch.platform.soak.records import (
    Arrival,
    Records,
    RunSpan,
    TargetRun,
    WorkItemRun,
)
from galenaswitch.platform.soak.rooms import Room
from galenaswitch.platform.soak.silences import (
    NO_SILENCE,
    Silence,
    record_span,
)
from galenaswitch.platform.soak.store import Document, FakeStore

CONFLICT, SERVER_ERROR, UNAVAILABLE = 409, 500, 503
# Durations of a plain request, of a batch with its work items, and of the gap
# between two events of a stream.
PLAIN_REQUEST_SECONDS = 0.03
BATCH_OVERHEAD_SECONDS = 0.06
WORK_ITEM_SECONDS = 0.01
EVENT_GAP_SECONDS = 0.03
# Heartbeat interval of targets, the same as the setting heartbeat-ms of the
# machines. A fake target writes its document after this many intervals, or
# when its name or state changes.
HEARTBEAT_SECONDS = 0.6
HEARTBEATS_PER_WRITE = 5
# Time for which a target in the mode hang delays an answer.
HANG_SECONDS = 30
# Bytes of the last event that a stream sends before the mode cut aborts it.
PARTIAL_EVENT_BYTES = 7
SLOW_FACTOR = 6.0
# Time for which a target is down after a request has ended it.
CRASH_SECONDS = 0.6
MAX_BODY = 4_194_304
# Slots in the document of a target whose slots aren't limited.
DEFAULT_SLOTS = 8
# Versions of the software of targets.
VERSIONS = ('v1', 'v2')
# One of this many requests of a target fails in the modes errors, hang and cut.
FAILURE_INTERVAL = 3
# Attempt id, stage and work item number of each stored result, by its handle.
ResultHandles = dict[str, tuple[str, int, int]]


class FakeTarget:
    """Fake target that serves one service and records what it runs.

    :ivar mode: ``well`` injects no fault, ``slow`` delays all answers; in the
        other modes some requests fail: ``errors`` answers with status 500,
        ``hang`` delays the answer, ``cut`` aborts the connection. In the mode
        ``full`` it refuses all.
    :ivar state: state in the target's document, ``ready`` or ``draining``.
    :ivar name: name of the target, which changes with each restart.
    :ivar version: version of the target's software.
    :ivar harm: requests that end the target.
    :ivar says_leaving: whether all answers say that the target leaves.
    :ivar rate_limit: limit in requests per second that the answers name, 0
        for none.
    """

    def __init__(
        self,
        number: int,
        service: str,
        zone: str,
        records: Records,
        handles: ResultHandles,
        now: Callable[[], float],
    ) -> None:
        """Build a target of a service that isn't listening yet.

        :param number: number of the target.
        :param handles: attempt id, stage and work item number of each stored
            result, shared by all fake targets.
        :param now: returns the seconds since the start of the soak.
        """
        self.number = number
        self.service = service
        self.zone = zone
        self.mode = 'well'
        self.state = 'ready'
        self.harm = Harm()
        self.rate_limit = 0.0
        self.cold_until = 0.0
        self.says_leaving = False
        self._paused_until = 0.0
        self._silences: Iterator[Silence] = iter(())
        self._crash: asyncio.Task[None] | None = None
        self._room = Room(now, self.crash, lambda: self.name)
        self.address = ('', 0)
        self.proxy = Proxy(lambda: self.address)
        self._records = records
        self._handles = handles
        self._now = now
        self._own_handles: set[str] = set()
        self._batch_lock = asyncio.Lock()
        self._request_count = 0
        self.name = ''
        self._born = 0
        self._sequence = 0
        self._start_count = 0
        self.version = ''
        self.restart()

    def restart(self) -> None:
        """Restart the target under a new name and without stored results.

        Its software has another version after each restart.
        """
        self.name = f'i-{self.number}-{secrets.token_hex(3)}'
        self._born = int(time.time() * 1000)
        self._start_count += 1
        version_index = (self.number + self._start_count) % len(VERSIONS)
        self.version = VERSIONS[version_index]
        self._sequence = 0
        self.state = 'ready'
        self.says_leaving = False
        self._paused_until = 0.0
        for handle in self._own_handles:
            self._handles.pop(handle, None)
        self._own_handles.clear()

    async def start(self, host: str) -> web.AppRunner:
        """Start the target's server, and its proxy, which others connect to."""
        app = web.Application(
            client_max_size=MAX_BODY, middlewares=[self._room.let_in]
        )
        app.on_response_prepare.append(partial(_add_notice, self))
        app.router.add_get('/health', self._answer_health)
        app.router.add_get('/api/report', answer_report)
        app.router.add_post('/api/stage-run', self._handle_batch)
        app.router.add_post('/api/stage-free', self._release_results)
        app.router.add_route('*', '/{rest:.*}', self._handle_request)
        serving = web.AppRunner(app, handler_cancellation=True)
        await serving.setup()
        site = web.TCPSite(serving, host, 0, shutdown_timeout=0.1)
        await site.start()
        bound = serving.addresses[0]
        self.address = (bound[0], bound[1])
        await self.proxy.start(host)
        return serving

    async def crash(self, seconds: float) -> None:
        """End without a notice, and start again after a time."""
        self.restart()
        await self.proxy.go_down(seconds)

    def pause(self, seconds: float) -> None:
        """Refuse all requests of callers for a time and ask for none."""
        self._paused_until = self._now() + seconds

    def change_silences(self, silences: Sequence[Silence]) -> None:
        """Be silent in the next answers, as each of the silences in turn.

        :param silences: silences, none to end them.
        """
        self._silences = itertools.cycle(silences)

    async def register(self, store: FakeStore) -> None:
        """Keep the target's document in the store current until cancelled."""
        registered_name = ''
        while True:  # noqa: WPS457 cancelled with the soak
            if registered_name not in {'', self.name}:
                store.remove('servers', registered_name)
            registered_name = self.name
            self._sequence += 1
            store.put('servers', self.name, self._make_entry())
            state = (self.name, self.state, store.era)
            next_write_at = (
                self._now() + HEARTBEAT_SECONDS * HEARTBEATS_PER_WRITE
            )
            while (
                self._now() < next_write_at
                and (self.name, self.state, store.era) == state
            ):
                await asyncio.sleep(HEARTBEAT_SECONDS / 4)

    def _make_entry(self) -> Document:
        cold_seconds = self.cold_until - self._now()
        return {
            'service': self.service,
            'address': self.proxy.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self._room.slots or DEFAULT_SLOTS,
            'state': self.state,
            'cold-left-ms': max(0, round(cold_seconds * 1000)),
            'sequence': self._sequence,
            'born': self._born,
        }

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.Response(headers={'X-Instance-Id': self.name})

    def _should_fail(self) -> bool:
        self._request_count += 1
        return (
            self.mode != 'well' and self._request_count % FAILURE_INTERVAL == 0
        )

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        rejection = check_instance(request, self.name)
        if rejection:
            return rejection
        ident = request.headers.get('X-Attempt-Id', '')
        pause = max(0, self._paused_until - self._now())
        self._records.arrivals.append(
            Arrival(ident, self.name, self._now(), pause)
        )
        if pause or self.mode == 'full':
            return refuse(request, UNAVAILABLE, pause)
        body = (await request.read()).decode()
        inputs = request.headers.get('X-Inputs', '')
        if inputs and self._has_lost_inputs(ident, inputs):
            return refuse(request, CONFLICT)
        after = int(request.headers.get('Last-Event-Id', '0'))
        self._records.ran.append(
            TargetRun(
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
        silence, span = self._begin_answer((ident,))
        with record_span(self._records, span, self._now):
            return await self._run(request, body, silence)

    def _begin_answer(self, idents: tuple[str, ...]) -> tuple[Silence, RunSpan]:
        silence = next(self._silences, NO_SILENCE)
        return silence, RunSpan(
            idents, self.name, self.service, self._now(), silence.seconds
        )

    async def _run(
        self, request: web.Request, body: str, silence: Silence
    ) -> web.StreamResponse:
        """Run a request and send its answer."""
        ident = request.headers.get('X-Attempt-Id', '')
        headers = {
            'X-Attempt-Id': ident,
            'X-Server-Seal': f'{self.name}.1',
            **make_limit_header(self.rate_limit),
        }
        should_fail = self._should_fail()
        if should_fail and self.mode == 'errors':
            return web.Response(
                status=SERVER_ERROR, headers=headers, text='failed'
            )
        if should_fail and self.mode == 'hang':
            await asyncio.sleep(HANG_SECONDS)
        if self.harm.concerns(request, body):
            await asyncio.sleep(EVENT_GAP_SECONDS)
            if self.harm.events:
                await send_events(request, headers, self.harm.events)
            # The crash cancels this handler, so it runs in a task of its own.
            self._crash = asyncio.create_task(self.crash(CRASH_SECONDS))
            await asyncio.shield(self._crash)
        if self.service == 'llm':
            return await self._stream(request, headers, silence, should_fail)
        await asyncio.sleep(self._scale_seconds(PLAIN_REQUEST_SECONDS))
        if should_fail and self.mode == 'cut' and request.transport:
            request.transport.abort()
        text = f'{ident} {body}'
        return await send_in_parts(request, silence, headers, text.encode())

    def _scale_seconds(self, seconds: float) -> float:
        factor = SLOW_FACTOR if self.mode == 'slow' else 1
        return seconds * factor

    async def _stream(
        self,
        request: web.Request,
        headers: dict[str, str],
        silence: Silence,
        should_fail: bool,
    ) -> web.StreamResponse:
        """Send a stream with the number of events that the path names."""
        ident = headers['X-Attempt-Id']
        after = int(request.headers.get('Last-Event-Id', '0'))
        count = int(request.path.rstrip('/').rpartition('/')[2])
        version = self.version
        answer = web.StreamResponse(headers=headers)
        answer.content_type = 'text/event-stream'
        await silence.keep('head')
        await answer.prepare(request)
        for number in range(after + 1, count + 1):
            await asyncio.sleep(self._scale_seconds(EVENT_GAP_SECONDS))
            if number == (after + count) // 2 + 1:
                await silence.keep('middle')
            event = f'id: {number}\ndata: {ident}.{version}\n\n'.encode()
            if should_fail and self.mode == 'cut' and number == count:
                await answer.write(event[:PARTIAL_EVENT_BYTES])
                if request.transport:
                    request.transport.abort()
                return answer
            await answer.write(event)
        await silence.keep('end')
        await answer.write_eof()
        return answer

    def _has_lost_inputs(self, ident: str, field: str) -> bool:
        """Tell whether inputs are lost; if not, record which were read."""
        handles = [handle for handle in field.split(',') if handle]
        found = [
            self._handles[handle]
            for handle in handles
            if handle in self._handles
        ]
        if len(found) == len(handles):
            engine_run = WorkItemRun(ident, -1, 0, '', tuple(found))
            self._records.work_item_runs.append(engine_run)
        return len(found) < len(handles)

    async def _handle_batch(self, request: web.Request) -> web.StreamResponse:
        rejection = check_instance(request, self.name)
        if rejection:
            return rejection
        items = (await request.json())['items']
        if self._should_fail() and self.mode == 'errors':
            return web.Response(status=SERVER_ERROR)
        idents = tuple(item['id'] for item in items)
        silence, span = self._begin_answer(idents)
        headers = {
            'X-Server-Load': '1,0,1',
            'Content-Type': 'application/json',
            **make_limit_header(self.rate_limit),
        }
        with record_span(self._records, span, self._now):
            async with self._batch_lock:
                seconds = BATCH_OVERHEAD_SECONDS + WORK_ITEM_SECONDS * len(
                    items
                )
                await asyncio.sleep(self._scale_seconds(seconds))
                outcomes = [self._run_work_item(item) for item in items]
            body = json.dumps({'items': outcomes}).encode()
            return await send_in_parts(request, silence, headers, body)

    def _run_work_item(self, item: Document) -> Document:
        inputs = item.get('inputs', ())
        found = tuple(
            self._handles[input_handle]
            for input_handle in inputs
            if input_handle in self._handles
        )
        if len(found) < len(inputs):
            return {'reason': 'gone'}
        result = (item['id'], item['stage'], item['piece'])
        self._records.work_item_runs.append(
            WorkItemRun(*result, item.get('key', ''), found)
        )
        handle = f'{self.proxy.address}/{secrets.token_hex(5)}'
        self._handles[handle] = result
        self._own_handles.add(handle)
        return {'handle': handle}

    async def _release_results(self, request: web.Request) -> web.Response:
        rejection = check_instance(request, self.name)
        if rejection:
            return rejection
        for handle in (await request.json())['handles']:
            self._handles.pop(handle, None)
            self._own_handles.discard(handle)
        return web.json_response({})


async def _add_notice(
    target: FakeTarget, request: web.Request, answer: web.StreamResponse
) -> None:
    if target.says_leaving:
        answer.headers['Server-Leaving'] = '1'
    answer.headers.update(target._room.make_header())
