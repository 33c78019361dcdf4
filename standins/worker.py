"""Fake service target that answers each call with one JSON document.

The worker copies the fields that identify the attempt into its answer and
records every call that ran in a ledger. Injected faults make it slow, make
it reject calls, announce that it stops, or send wrong answers.
"""

import asyncio
import os
import random
import secrets
import sys
from collections import Counter
from typing import Any

import uvloop
from sanic import HTTPResponse, Request, Sanic
from sanic.response import json as answer_json

from standins.serving import serve_application

REFUSED_STATUS = 503
FAILED_STATUS = 500
ECHOED_FIELDS = ('request', 'stage', 'attempt', 'model', 'version')
app = Sanic('worker', configure_logging=False)


class Worker:
    """State, faults and call ledger of a fake service target."""

    def __init__(self, capacity: int, seconds: float) -> None:
        """Build a worker for ``capacity`` parallel calls.

        :param seconds: mean service time of a call.
        """
        self.incarnation = secrets.token_hex(4)
        self.capacity = capacity
        self.seconds = seconds
        self.slots = asyncio.Semaphore(capacity)
        self.busy = 0
        self.leaving = False
        self.faults: dict[str, Any] = {}
        self.ledger: list[dict[str, Any]] = []
        self.received: Counter[str] = Counter()

    def consume_fault(self, fault: str) -> bool:
        """Tell whether a counted fault applies now, and count it down."""
        left = self.faults.get(fault, 0)
        if left:
            self.faults[fault] = left - 1
        return bool(left)

    async def simulate_work(self) -> None:
        """Wait for a free slot, then sleep for the service time of a call."""
        slowdown = self.faults.get('slow', 1)
        jitter = random.uniform(0.8, 1.2)
        async with self.slots:
            await asyncio.sleep(self.seconds * slowdown * jitter)


def echo(call: dict[str, Any], **extra_fields: Any) -> dict[str, Any]:
    """Return an answer with the fields that identify the attempt."""
    return {**{name: call.get(name) for name in ECHOED_FIELDS}, **extra_fields}


def make_output(kind: str, call: dict[str, Any]) -> dict[str, Any]:
    """Return the fake output of a stage of this kind."""
    prompt = call['payload'].get('prompt', '')
    outputs: dict[str, dict[str, Any]] = {
        'encode': {'encoding': [len(prompt), sum(prompt.encode()) % 997]},
        'retrieve': {'passages': [f'passage {part}' for part in range(5)]},
        'rerank': {'passages': ['passage 1', 'passage 3']},
        'call': {'done': call['payload'].get('fields', {})},
    }
    return outputs[kind]


@app.post('/<kind>/<operation:path>')
async def run_operation(
    request: Request,
    kind: str,
    operation: str,
) -> HTTPResponse:
    """Handle a call that names an operation."""
    return await run(request, kind, operation)


@app.post('/<kind>')
async def run_stage(request: Request, kind: str) -> HTTPResponse:
    """Handle a call that names no operation."""
    return await run(request, kind, '')


async def run(request: Request, kind: str, operation: str) -> HTTPResponse:
    """Run or reject one call, with the injected faults applied."""
    worker: Worker = request.app.ctx.worker
    call = request.json
    if worker.leaving:
        return answer_json(
            echo(call, refused='leaving', ran=False),
            status=REFUSED_STATUS,
        )
    if worker.consume_fault('refuse'):
        return answer_json(
            echo(call, refused='busy', ran=False),
            status=REFUSED_STATUS,
        )
    if find_order_id(call) == worker.faults.get('deadly_order', '-'):
        os._exit(0)
    worker.busy += 1
    worker.ledger.append(
        echo(call, operation=operation, key=find_order_id(call))
    )
    try:
        await worker.simulate_work()
    finally:
        worker.busy -= 1
    if worker.consume_fault('fail'):
        return answer_json(echo(call), status=FAILED_STATUS)
    if worker.consume_fault('wrong_attempt'):
        call = {**call, 'attempt': 'another'}
    if worker.consume_fault('break'):
        request.transport.abort()
    return answer_json(echo(call, output=make_output(kind, call)))


def find_order_id(call: dict[str, Any]) -> str:
    """Return the order id in the fields of a call, empty if absent."""
    return str(call['payload'].get('fields', {}).get('order', ''))


@app.get('/load')
async def show_load(request: Request) -> HTTPResponse:
    """Handle a request for the load report."""
    worker: Worker = request.app.ctx.worker
    running = min(worker.busy, worker.capacity)
    return answer_json(
        {
            'load': {
                'incarnation': worker.incarnation,
                'running': running,
                'waiting': worker.busy - running,
                'leaving': worker.leaving,
            },
            'events': [],
        },
    )


@app.put('/control/faults')
async def set_faults(request: Request) -> HTTPResponse:
    """Handle a request that sets faults.

    With ``leaving`` set, the worker rejects new calls. It ends when it begins
    to run a call for the order ``deadly_order``.
    """
    worker: Worker = request.app.ctx.worker
    worker.faults.update(request.json)
    worker.leaving = bool(worker.faults.get('leaving'))
    return answer_json({})


@app.get('/control/ledger')
async def show_ledger(request: Request) -> HTTPResponse:
    """Handle a request for the ledger of all calls that ran."""
    return answer_json(request.app.ctx.worker.ledger)


async def serve(
    port: int,
    incarnation: str,
    capacity: int,
    seconds: float,
) -> None:
    """Run the worker on a loopback port until SIGTERM or SIGINT."""
    app.ctx.worker = Worker(capacity, seconds)
    app.ctx.worker.incarnation = incarnation
    await serve_application(app, '127.0.0.1', port)


if __name__ == '__main__':
    uvloop.run(
        serve(
            int(sys.argv[1]),
            sys.argv[2],
            int(sys.argv[3]),
            float(sys.argv[4]),
        ),
    )
