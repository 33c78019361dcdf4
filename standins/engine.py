"""Fake model engine with continuous batching and a prefix cache.

Up to ``slots`` requests run at one time, and each decoding step generates one
token for each of them. The engine prefills one prompt at a time. The prefix
cache holds a limited number of blocks and evicts the least recently used one.
Load reports and cache events become visible after a lag.
"""

import asyncio
import json
import random
import sys
import time
from collections import Counter, OrderedDict, deque
from hashlib import sha256
from typing import Any, NamedTuple

import uvloop
from sanic import HTTPResponse, Request, Sanic
from sanic.response import json as answer_json

from standins.serving import serve_application
from standins.worker import REFUSED_STATUS, echo

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
MAX_CACHE_EVENTS = 2000
CONFLICT_STATUS = 409
app = Sanic('engine', configure_logging=False)


class EngineParameters(NamedTuple):
    """Size and speed of a fake engine.

    :param slots: largest number of requests in a batch.
    :param step_seconds: duration of one decoding step.
    :param prefill_rate: prompt tokens prefilled per second.
    :param cache_blocks: capacity of the prefix cache in blocks.
    """

    slots: int = 8
    step_seconds: float = 0.02
    prefill_rate: float = 8000
    cache_blocks: int = 2000


class Engine:
    """Slots, prefix cache, load and faults of a fake engine.

    :ivar fence: highest fencing token received.
    :ivar sequence: number of the last cache event.
    :ivar waiting: requests that wait for a slot, highest priority first.
    """

    def __init__(self, shape: EngineParameters, models: list[str]) -> None:
        """Build an engine with the given parameters and ``models`` loaded."""
        self.shape = shape
        self.models = models
        self.incarnation = ''
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: deque[dict[str, Any]] = deque(maxlen=MAX_CACHE_EVENTS)
        self.sequence = 0
        self.faults: dict[str, Any] = {}
        self.counts: Counter[str] = Counter()
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self.running = 0
        self.waiting: list[tuple[float, int, asyncio.Event]] = []
        self.arrivals = 0
        self.pending_prompt_tokens = 0.0
        self.prefill_lock = asyncio.Lock()
        self.decode_step = asyncio.Condition()
        self.load_reports: deque[tuple[float, dict[str, Any]]] = deque()

    @property
    def leaving(self) -> bool:
        """Whether the engine rejects new requests because it will stop."""
        return bool(self.faults.get('leaving'))

    def slow(self) -> float:
        """Return the factor by which a fault slows the engine."""
        return float(self.faults.get('slow', 1))

    async def acquire_slot(self, priority: float) -> None:
        """Wait for a free slot; requests of higher priority go first."""
        self.arrivals += 1
        if self.running < self.shape.slots:
            self.running += 1
            return
        slot_granted = asyncio.Event()
        waiter = (-priority, self.arrivals, slot_granted)
        self.waiting.append(waiter)
        self.waiting.sort(key=lambda entry: entry[:2])
        try:
            await slot_granted.wait()
        except asyncio.CancelledError:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
            else:
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Release a slot to the next waiting request."""
        if self.waiting:
            self.waiting.pop(0)[2].set()
            return
        self.running -= 1

    async def prefill(self, blocks: list[int], tokens: float) -> None:
        """Prefill the tokens of a prompt that are not cached."""
        expected = max(
            0, tokens - self.count_cached_blocks(blocks) * BLOCK_TOKENS
        )
        self.pending_prompt_tokens += expected
        try:
            async with self.prefill_lock:
                cached_blocks = self.count_cached_blocks(blocks)
                self.counts['blocks_hit'] += cached_blocks
                self.counts['blocks_asked'] += len(blocks)
                left = max(0, tokens - cached_blocks * BLOCK_TOKENS)
                seconds = left / self.shape.prefill_rate * self.slow()
                await asyncio.sleep(seconds)
                self.cache_prefix_blocks(blocks)
        finally:
            self.pending_prompt_tokens -= expected

    def count_cached_blocks(self, blocks: list[int]) -> int:
        """Return the number of leading blocks that are cached."""
        cached_blocks = 0
        for block in blocks:
            if block not in self.cache:
                break
            cached_blocks += 1
        return cached_blocks

    def cache_prefix_blocks(self, blocks: list[int]) -> None:
        """Add prefix blocks to the cache and publish a cache event."""
        removed = []
        added = [block for block in blocks if block not in self.cache]
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.shape.cache_blocks:
            removed.append(self.cache.popitem(last=False)[0])
        if added or removed:
            self.publish_cache_event(added, removed)

    def publish_cache_event(self, added: list[int], removed: list[int]) -> None:
        """Publish a cache event; a fault loses a share of the events."""
        self.sequence += 1
        if random.random() < self.faults.get('gap_share', 0):
            return
        self.events.append(
            {
                'sequence': self.sequence,
                'added': added,
                'removed': removed,
                'at': time.monotonic(),
            },
        )

    async def run_decode_steps(self) -> None:
        """Run decoding steps until the task is cancelled."""
        while True:
            await asyncio.sleep(self.shape.step_seconds * self.slow())
            async with self.decode_step:
                self.decode_step.notify_all()

    def report_load(self) -> dict[str, Any]:
        """Record the current load; return the newest report before the lag."""
        now = time.monotonic()
        rate = self.shape.slots / self.shape.step_seconds
        self.load_reports.append(
            (
                now,
                {
                    'incarnation': self.incarnation,
                    'running': self.running,
                    'waiting': len(self.waiting),
                    'pending_prompt_tokens': self.pending_prompt_tokens,
                    'prompt_tokens_per_second': (
                        self.shape.prefill_rate / self.slow()
                    ),
                    'tokens_per_second': rate / self.slow(),
                    'leaving': self.leaving,
                    'models': self.models,
                },
            ),
        )
        lag = self.faults.get('load_lag', 0.2)
        while (
            len(self.load_reports) > 1 and self.load_reports[1][0] <= now - lag
        ):
            self.load_reports.popleft()
        return self.load_reports[0][1]


def make_token(call: dict[str, Any], index: int) -> str:
    """Return the token at an index.

    The model, its version, the prompt and the index determine the token.
    """
    text = f'{call["model"]}{call["version"]}{call["payload"]["prompt"]}'
    seed = sha256(text.encode()).hexdigest()
    word = seed[index % 60 : index % 60 + 4]
    ending = '.\n' if index % 16 == 15 else ' '
    return f'{word}{ending}'


def matches_sent_tokens(call: dict[str, Any]) -> bool:
    """Tell whether this engine generates the tokens that were already sent.

    A call that resumes a stream holds the digest of the tokens so far.
    """
    first_index = call['payload'].get('from', 0)
    digest = sha256()
    for index in range(first_index):
        digest.update(make_token(call, index).encode())
    return bool(digest.hexdigest() == call['payload'].get('digest'))


@app.post('/generate')
async def generate(request: Request) -> HTTPResponse | None:
    """Handle a call that generates tokens: stream or reject it."""
    engine: Engine = request.app.ctx.engine
    call = request.json
    if engine.leaving:
        return answer_json(
            echo(call, refused='leaving', ran=False),
            status=REFUSED_STATUS,
        )
    if f'{call["model"]}@{call["version"]}' not in engine.models:
        return answer_json(
            echo(call, refused='model', ran=False),
            status=REFUSED_STATUS,
        )
    if not matches_sent_tokens(call):
        return answer_json(echo(call), status=CONFLICT_STATUS)
    await stream_tokens(engine, request, call)
    return None


async def stream_tokens(
    engine: Engine,
    request: Request,
    call: dict[str, Any],
) -> None:
    """Wait for a slot, prefill the prompt, send one token each step."""
    payload = call['payload']
    prompt_tokens = len(payload['prompt']) / CHARACTERS_PER_TOKEN
    token_count = payload['max_tokens']
    first_index = payload.get('from', 0)
    engine.counts['started'] += 1
    finished = False
    await engine.acquire_slot(call['priority'])
    try:
        await engine.prefill(payload['blocks'], prompt_tokens)
        response = await request.respond(content_type='application/x-ndjson')
        for index in range(first_index, token_count):
            async with engine.decode_step:
                await engine.decode_step.wait()
            await response.send(make_token_line(engine, call, index))
            if index >= engine.faults.get('die_at', token_count):
                request.transport.abort()
        await response.send(json.dumps(echo(call, count=token_count)) + '\n')
        await response.eof()
        finished = True
    finally:
        engine.release_slot()
        engine.counts['finished' if finished else 'cancelled'] += 1


def make_token_line(engine: Engine, call: dict[str, Any], index: int) -> str:
    """Return the JSON line of one token; a fault sends it twice.

    With the ``stamp`` fault, the token text is the send time of the token.
    """
    token = make_token(call, index)
    if engine.faults.get('stamp'):
        token = f'{time.monotonic():.6f} '
    line = json.dumps(echo(call, index=index, text=token)) + '\n'
    return line * 2 if engine.faults.get('double') else line


@app.get('/load')
async def show_load(request: Request) -> HTTPResponse:
    """Handle a request for the load report and new cache events."""
    engine: Engine = request.app.ctx.engine
    since = int(request.args.get('since', '0'))
    visible_before = time.monotonic() - engine.faults.get('event_lag', 0.3)
    events = [
        event
        for event in engine.events
        if event['sequence'] > since and event['at'] <= visible_before
    ]
    return answer_json({'load': engine.report_load(), 'events': events})


@app.post('/orders')
async def receive_order(request: Request) -> HTTPResponse:
    """Handle an order to load models.

    An engine that checks fencing tokens rejects an order with an old one.
    """
    engine: Engine = request.app.ctx.engine
    order = request.json
    if request.app.ctx.checks and order['fence'] < engine.fence:
        return answer_json({'fence': engine.fence}, status=CONFLICT_STATUS)
    engine.fence = max(engine.fence, order['fence'])
    engine.orders.append(order)
    await asyncio.sleep(engine.faults.get('load_seconds', 0.05))
    engine.models = list(order['models'])
    return answer_json({'models': engine.models})


@app.get('/orders')
async def show_models(request: Request) -> HTTPResponse:
    """Handle a request for the loaded models and the received orders."""
    engine: Engine = request.app.ctx.engine
    return answer_json(
        {
            'models': engine.models,
            'fence': engine.fence,
            'orders': engine.orders,
        },
    )


@app.put('/control/faults')
async def set_faults(request: Request) -> HTTPResponse:
    """Handle a request that sets faults."""
    engine: Engine = request.app.ctx.engine
    engine.faults.update(request.json)
    return answer_json({})


@app.get('/control/counts')
async def show_counts(request: Request) -> HTTPResponse:
    """Handle a request for the counters."""
    return answer_json(request.app.ctx.engine.counts)


async def serve(port: int, incarnation: str, setup: dict[str, Any]) -> None:
    """Run the engine on a loopback port until SIGTERM or SIGINT."""
    engine = Engine(EngineParameters(**setup.get('shape', {})), setup['models'])
    engine.incarnation = incarnation
    app.ctx.engine = engine
    app.ctx.checks = setup.get('checks', True)
    decoding_task = asyncio.create_task(engine.run_decode_steps())
    await serve_application(app, '127.0.0.1', port)
    decoding_task.cancel()


if __name__ == '__main__':
    uvloop.run(
        serve(int(sys.argv[1]), sys.argv[2], json.loads(sys.argv[3])),
    )
