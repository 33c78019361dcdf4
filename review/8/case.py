"""A stopping machine takes a stream that lasts longer than its grace period."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

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
GRACE_SECONDS = 8.0
# Requests sent later than this after SIGTERM are owed a complete answer.
LATE_SECONDS = 3.0
# Seconds between two machines that get SIGTERM (sites: gap_s = 1.3, x = 1).
GAP_SECONDS = 1.3
# The class live-describe of the site: 91 events in the mean, 216 at most, of
# three tokens each; a step takes 5.55 ms and more.
EVENT_SECONDS = 0.022
SHORT_EVENTS = 20
LONG_EVENTS = 216


async def play(site: Site) -> bool:
    """Return whether a stream was cut that the rule protects."""
    record = site.record
    record.add('case', trouble=TROUBLE)
    site.store.put(
        'config',
        'main',
        make_configuration(
            1,
            [
                make_route(
                    'chat',
                    'llm',
                    'streaming',
                    **{
                        'timeout-ms': 20000,
                        'target-latency-ms': 1800,
                        'target-itl-ms': 300,
                        'max-attempts': 1,
                        'sticky-sessions': True,
                        'stream-resume': False,
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

    def serve(number: int):  # noqa: ANN202
        async def handle(head: Message, reader, writer) -> bool:  # noqa: ANN001
            await read_body(reader, head)
            name = site.runners[number].name
            ident = head.find('x-attempt-id')
            if not ident:
                writer.write(encode('HTTP/1.1 200 OK', {}, b'{}'))
                return True
            # Within the number of output tokens that the request allows.
            count = int(head.path.rpartition('/')[2])
            record.add('run', runner=name, request=ident, events=count)
            writer.write(
                (
                    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                    f'X-Attempt-Id: {ident}\r\nX-Server-Seal: {name}.1\r\n'
                    'Transfer-Encoding: chunked\r\n\r\n'
                ).encode()
            )
            for event in range(1, count + 1):
                await asyncio.sleep(EVENT_SECONDS)
                text = f'id: {event}\ndata: {ident}\n\n'.encode()
                writer.write(b'%x\r\n%b\r\n' % (len(text), text))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            record.add('run-complete', runner=name, request=ident)
            return True

        return handle

    for number in range(3):
        await site.add_runner('llm', 'kochi', serve(number), slots=64)
    # Six machines, of which two are stopped: a share of 0.33.
    await site.start_machines(['kochi'] * 3 + ['thrissur'] * 3, slack=58)
    first, second, third = site.machines[:3]
    zone = (first, second, third)
    rotation = {machine.name: True for machine in zone}

    async def probe(machine) -> None:  # noqa: ANN001
        """Ask a machine once a second as the platform does."""
        missed = 0
        while True:
            missed = 0 if await machine.is_ready() else missed + 1
            in_rotation = missed < 2
            if rotation[machine.name] != in_rotation:
                record.add('rotation', machine=machine.name, member=in_rotation)
            rotation[machine.name] = in_rotation
            await asyncio.sleep(1)

    probes = [asyncio.create_task(probe(one)) for one in zone]

    async def end(machine) -> None:  # noqa: ANN001
        """Send SIGKILL after the grace period, as the platform does."""
        try:
            await asyncio.wait_for(machine.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            machine.signal(signal.SIGKILL)
        record.add('ended', machine=machine.name)

    async def ask(events: int) -> tuple[float, Message | None, float]:
        headers = make_headers(
            20000,
            X_Model='m',
            X_Token_Usage='543,648',
            X_Prompt_Prefix='5c1e07a2:103,91bd3f06:440',
        )
        ident = headers['X-Attempt-Id']
        sent_at = record.now
        record.add('send', request=ident, machine=first.name)
        answer = None
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            answer = await call(
                f'{first.ip}:{FRONT}',
                f'POST /chat/{events} HTTP/1.1',
                headers,
                b'prompt',
                25,
            )
        record.add(
            'answer',
            request=ident,
            status=answer.status if answer else 0,
            complete=bool(answer and answer.complete),
        )
        return sent_at, answer, record.now

    await asyncio.sleep(3)
    warm = await asyncio.gather(*(ask(SHORT_EVENTS) for _ in range(10)))
    if any(not answer or answer.status != 200 for _, answer, _ in warm):
        raise RuntimeError('the machine does not serve in calm')
    # Keeps the stopping process up; it is complete in good time.
    running = asyncio.create_task(ask(LONG_EVENTS))
    await asyncio.sleep(0.3)
    stopped_at = record.now
    ends = []
    if TROUBLE:
        record.add('SIGTERM', machine=first.name)
        first.signal(signal.SIGTERM)
        ends.append(asyncio.create_task(end(first)))
        await asyncio.sleep(GAP_SECONDS)
        record.add('SIGTERM', machine=second.name)
        second.signal(signal.SIGTERM)
        ends.append(asyncio.create_task(end(second)))
    # Fewer than half in rotation: the platform uses all machines of the zone.
    while TROUBLE and sum(rotation.values()) * 2 >= len(rotation):
        await asyncio.sleep(0.02)
        if record.now - stopped_at > GRACE_SECONDS:
            raise RuntimeError('the machines stayed in rotation')
    await asyncio.sleep(max(0, stopped_at + LATE_SECONDS + 0.1 - record.now))
    asked = [asyncio.create_task(ask(SHORT_EVENTS)) for _ in range(3)]
    asked.extend(asyncio.create_task(ask(LONG_EVENTS)) for _ in range(3))
    answers = await asyncio.gather(*asked)
    _, kept, _ = await running
    await asyncio.gather(*ends)
    for one in probes:
        one.cancel()
    cut = [
        (sent_at, ended_at)
        for sent_at, answer, ended_at in answers
        if sent_at > stopped_at + LATE_SECONDS
        and answer
        and answer.status == 200
        and not answer.complete
    ]
    record.add(
        'result',
        cut=len(cut),
        kept=bool(kept and kept.complete),
        asked=len(answers),
        refused=sum(
            1 for _, answer, _ in answers if answer and answer.status == 503
        ),
    )
    return bool(cut)


run_case(play, Path(__file__).resolve().parent)
