"""A stream goes on at a runner that started again with another version."""

import asyncio
import contextlib
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from case_kit import (  # noqa: E402
    FRONT,
    Message,
    Runner,
    Site,
    encode,
    make_configuration,
    make_headers,
    make_route,
    read_body,
    read_head,
    run_case,
)

# With TROUBLE=0 the same is played without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RUNNERS = 2
STREAMS = 24
EVENTS = 60
EVENT_SECONDS = 0.08
DOWN_SECONDS = 0.3
# Seconds from the new start of a runner to its next write to the store, which
# is due every heartbeat-ms (1.2 s).
REGISTER_SECONDS = 0.6
# A sound runner falls silent for so long and goes on.
SILENT_SECONDS = 1.6
# Seconds from the begin of that silence to the end of the other runner.
LEAD_SECONDS = 0.4


async def play(site: Site) -> bool:
    """Return whether streams hold events of two versions."""
    record = site.record
    record.add('case', trouble=TROUBLE)
    site.store.put(
        'config',
        'main',
        make_configuration(
            1,
            [
                make_route(
                    'notes',
                    'llm',
                    'streaming',
                    **{
                        'timeout-ms': 15000,
                        'target-latency-ms': 1900,
                        'target-itl-ms': 300,
                        'stream-resume': True,
                        'sticky-sessions': True,
                        'max-attempts': 3,
                    },
                )
            ],
            [
                {
                    'name': 'llm',
                    'engine': {
                        'slots': 64,
                        'kv-capacity-tokens': 232000,
                        'models': [{'name': 'm'}],
                    },
                }
            ],
        ),
    )
    silent_until = [0.0]
    open_writers: dict[int, set[asyncio.StreamWriter]] = {}

    def serve(number: int):  # noqa: ANN202
        async def handle(head: Message, reader, writer) -> bool:  # noqa: ANN001
            await read_body(reader, head)
            runner = site.runners[number]
            ident = head.find('x-attempt-id')
            if not ident:
                writer.write(encode('HTTP/1.1 200 OK', {}, b'{}'))
                return True
            after = int(head.find('last-event-id') or 0)
            version = runner.version
            record.add(
                'run',
                runner=runner.name,
                version=version,
                request=ident,
                after=after,
            )
            open_writers.setdefault(number, set()).add(writer)
            writer.write(
                (
                    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                    f'X-Attempt-Id: {ident}\r\n'
                    f'X-Server-Seal: {runner.name}.1\r\n'
                    'Transfer-Encoding: chunked\r\n\r\n'
                ).encode()
            )
            for event in range(after + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_SECONDS)
                if number == 1:
                    await asyncio.sleep(max(0, silent_until[0] - record.now))
                text = f'id: {event}\ndata: {version}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(text), text))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            return True

        return handle

    for number in range(RUNNERS):
        await site.add_runner('llm', 'north', serve(number), slots=64)
    await site.start_machines(['north'] * 2)
    versions: dict[str, set[str]] = {}
    runs: dict[str, Message] = {}

    async def take(number: int) -> None:
        machine = site.machines[number % 2]
        headers = make_headers(
            15000,
            X_Model='m',
            X_Token_Usage='500,180',
            X_Prompt_Prefix=f'5c1e{number:04x}:200,91bd{number:04x}:300',
        )
        ident = headers['X-Attempt-Id']
        record.add('send', request=ident, machine=machine.name)
        reader, writer = await asyncio.open_connection(machine.ip, FRONT)
        writer.write(encode('POST /notes/1 HTTP/1.1', headers, ident.encode()))
        runs[ident] = await read_head(reader)
        body = b''
        with contextlib.suppress(EOFError, OSError, ValueError):
            body = await read_body(reader, runs[ident])
        lines = body.decode().splitlines()
        versions[ident] = {
            line.partition(': ')[2] for line in lines if line.startswith('data')
        }
        record.add(
            'answer',
            request=ident,
            status=runs[ident].status,
            events=sum(1 for line in lines if line.startswith('id')),
            versions=','.join(sorted(versions[ident])),
        )
        writer.close()

    def crash(number: int) -> Runner:
        runner = site.runners[number]
        runner.stop()
        for writer in open_writers.pop(number, ()):
            writer.transport.abort()
        return runner

    async def start_again(number: int, version: str) -> None:
        runner = crash(number)
        record.add('runner-ends', runner=runner.name, version=runner.version)
        await asyncio.sleep(DOWN_SECONDS)
        runner.version = version
        runner.born = int(time.time() * 1000)
        record.add('runner-starts', runner=runner.name, version=version)
        await runner.start_again(REGISTER_SECONDS)

    await asyncio.sleep(3)
    asked = [asyncio.create_task(take(number)) for number in range(STREAMS)]
    await asyncio.sleep(1.5)
    silent_until[0] = record.now + SILENT_SECONDS
    record.add('runner-silent', runner=site.runners[1].name)
    if TROUBLE:
        await asyncio.sleep(LEAD_SECONDS)
        await start_again(0, '2.0')
    await asyncio.gather(*asked)
    mixed = [ident for ident, found in versions.items() if len(found) > 1]
    record.add('result', mixed=len(mixed), streams=len(versions))
    return len(mixed) > 2


run_case(play, Path(__file__).resolve().parent)
