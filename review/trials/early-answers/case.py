"""Large bodies to runners that answer before they have read them."""

import asyncio
import contextlib
import os
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from case_kit import (  # noqa: E402
    FRONT,
    Message,
    Site,
    call,
    encode,
    make_configuration,
    make_headers,
    make_route,
    read_body,
    run_case,
)

# With TROUBLE=0 the same is played without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MEMORY_MB = 300
BODY = bytes(4_194_304)
CLIENTS = 30
# Seconds after its answer at which a runner reads the rest of a body.
READ_ON_SECONDS = 2.0
# A small window, so that a runner that doesn't read blocks the writer.
RECEIVE_BUFFER = 65_536
PLAY_SECONDS = 60.0
# The rule: two machines at least, three ends.
MOST_MACHINES, MOST_ENDS = 2, 3
# Runners that answer early, of four.
EARLY = int(os.environ.get('EARLY', '4'))


async def play(site: Site) -> bool:
    """Return whether both processes ended three times."""
    record = site.record
    record.add('case', trouble=TROUBLE)
    site.store.put(
        'config',
        'main',
        make_configuration(
            1,
            [make_route('upload', 'desk', 'idempotent')],
            [{'name': 'desk'}],
        ),
    )

    def serve(number: int):  # noqa: ANN202
        async def handle(head: Message, reader, writer) -> bool:  # noqa: ANN001
            name = site.runners[number].name
            ident = head.find('x-attempt-id')
            answer = encode(
                'HTTP/1.1 200 OK',
                {'X-Attempt-Id': ident, 'X-Server-Seal': f'{name}.1'},
                b'answer',
            )
            early = (
                TROUBLE
                and number < EARLY
                and int(head.find('content-length') or 0)
            )
            if early:
                writer.write(answer)
                await asyncio.sleep(READ_ON_SECONDS)
            await read_body(reader, head)
            if not early:
                writer.write(answer)
            return True

        return handle

    for number in range(4):
        await site.add_runner(
            'desk',
            'north',
            serve(number),
            slots=64,
            receive_buffer=RECEIVE_BUFFER,
        )
    await site.start_machines(['north'] * 2, memory=MEMORY_MB)
    ends: Counter[str] = Counter()
    counts: Counter[str] = Counter()
    peaks: dict[str, float] = {}

    async def upload(machine) -> None:  # noqa: ANN001
        while True:
            found = 'none'
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                answer = await call(
                    f'{machine.ip}:{FRONT}',
                    'POST /upload/1 HTTP/1.1',
                    make_headers(),
                    BODY,
                    6,
                )
                found = str(answer.status)
            counts[found] += 1
            await asyncio.sleep(0.05 if found == '200' else 0.3)

    async def watch(machine) -> None:  # noqa: ANN001
        """Kill a process above its limit as the platform does."""
        while True:
            found = machine.find_memory_mb()
            peaks[machine.name] = max(peaks.get(machine.name, 0), found)
            if found > MEMORY_MB:
                record.add('over-the-limit', machine=machine.name, mb=found)
                ends[machine.name] += 1
                await machine.stop()
                await machine.start()
                while not await machine.is_ready():
                    await asyncio.sleep(0.1)
                record.add('ready-again', machine=machine.name)
            await asyncio.sleep(0.02)

    def is_broken() -> bool:
        often = [name for name, count in ends.items() if count >= MOST_ENDS]
        return len(often) >= MOST_MACHINES

    asked = [
        asyncio.create_task(upload(machine))
        for machine in site.machines
        for _ in range(CLIENTS)
    ]
    asked.extend(asyncio.create_task(watch(one)) for one in site.machines)
    began = record.now
    while record.now - began < PLAY_SECONDS and not is_broken():
        await asyncio.sleep(0.2)
    for one in asked:
        one.cancel()
    record.add(
        'result',
        ends=dict(ends),
        peak_mb={name: round(found) for name, found in peaks.items()},
        limit_mb=MEMORY_MB,
        answers=dict(counts),
    )
    if not counts['200']:
        raise RuntimeError('the machines serve nothing')
    return is_broken()


run_case(play, Path(__file__).resolve().parent)
