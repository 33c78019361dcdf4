"""One caller whose prompts have many short parts, one request after another."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import kit3  # noqa: E402

# Model runners and their memory in tokens, as on the sheet of vellayil-scan.
ENGINES, TOKENS = 5, 375_109
REQUESTS = 2000
# Parts of one token each in a prompt; their header has 14 KB, and the limit
# max-header-bytes allows 16,384 bytes. TROUBLE=0 has the four parts of the
# example in the pages.
PARTS, ORDINARY_PARTS = 1400, 4
SECONDS = 75


async def stream(runner: kit3.Runner, call: kit3.Call) -> bytes:
    """Run a request for a stream and answer it with one event."""
    ident = call.headers.get('x-attempt-id', '')
    runner.note_run(ident)
    event = f'id: 1\ndata: {ident}\n\n'.encode()
    headers = {**runner.seal(call), 'Content-Type': 'text/event-stream'}
    return kit3.make_answer(200, headers, event)


def make_prompt(number: int, count: int) -> bytes:
    """Return a request whose prompt shares no part with other requests."""
    ident = f'r{number}'
    parts = ','.join(f'{number * count + part:08x}:1' for part in range(count))
    fields = {
        'X-Model': 'm',
        'X-Token-Usage': f'{count},3',
        'X-Prompt-Prefix': parts,
    }
    return kit3.make_request(ident, '/chat/1', b'prompt', headers=fields)


async def call_in_turn(deployment: kit3.Deployment) -> int:
    """Send requests one after another, and return how many were served."""
    edge, record = deployment.edges[0], deployment.record
    count = PARTS if deployment.trouble else ORDINARY_PARTS
    served = 0
    for number in range(REQUESTS):
        reply = await kit3.send(edge.ip, make_prompt(number, count))
        served += reply.status == 200
        if number % 200 == 0 or reply.status != 200:
            memory = kit3.read_memory_mb(edge.process.pid)
            record.write(
                f'r{number} got {reply.status}, {memory:.0f} MB', show=True
            )
        if edge.ends:
            break
    return served


async def play(case: Path) -> int:
    """Play the case: one process, one caller, one request at a time."""
    deployment = kit3.Deployment(case, machines=1)
    try:
        for _ in range(ENGINES):
            engine = await deployment.add_runner('llm')
            engine.on_run = lambda call, engine=engine: stream(engine, call)
        routes = [kit3.make_route('chat', 'llm', 'streaming')]
        services = [kit3.make_engine_service('llm', TOKENS)]
        await deployment.start(kit3.make_configuration(routes, services))
        async with asyncio.timeout(SECONDS):
            served = await call_in_turn(deployment)
        await asyncio.sleep(1)
        edge = deployment.edges[0]
        deployment.record.write(
            f'{served} requests served; peak {edge.peak_mb:.0f} MB of '
            f'{edge.memory_mb}; ends: {edge.ends}',
            show=True,
        )
        return kit3.BROKEN if edge.ends else kit3.HELD
    finally:
        await deployment.stop()


if __name__ == '__main__':
    kit3.run_case(play, Path(__file__).resolve().parent)
