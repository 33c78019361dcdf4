import asyncio
import json
import signal
from hashlib import sha256
from itertools import cycle

import aiohttp
import pytest

from standins.examples import LAB_TOKEN
from standins.plans import EnginePlan, Plan, WorkerPlan

PROMPT = 'Section of skin, margins clear. ' * 40
PLAN = Plan(
    zones=('north',),
    entries_per_zone=1,
    engines=(EnginePlan('north'), EnginePlan('north')),
)


async def read_events(deployment, tokens=40, on_token=None):
    """Stream a tour note and return its events as (name, fields) pairs."""
    events = []
    name = ''
    async with deployment.http.post(
        f'{deployment.urls["balancer"]}/v1/pipelines/tour-note',
        json={'prompt': PROMPT, 'max_tokens': tokens, 'stream': True},
        headers={'Authorization': f'Bearer {LAB_TOKEN}'},
    ) as answer:
        try:
            async for line in answer.content:
                text = line.decode().strip()
                if text.startswith('event: '):
                    name = text.removeprefix('event: ')
                if text.startswith('data: '):
                    fields = json.loads(text.removeprefix('data: '))
                    events.append((name, fields))
                    if on_token:
                        await on_token(len(events))
        except (OSError, aiohttp.ClientError):
            events.append(('broken', {}))
    return events


def check_complete(events, tokens):
    """Check the order, the count and the digest of a complete stream."""
    *before, (last, done) = events
    assert last == 'done', events[-3:]
    assert [fields['index'] for _, fields in before] == list(range(tokens))
    text = ''.join(fields['text'] for _, fields in before)
    assert done['count'] == tokens
    assert done['digest'] == sha256(text.encode()).hexdigest()


async def find_busy_engine(deployment):
    """Return the name of an engine that works on a request."""
    for name in deployment.targets:
        counts = await deployment.fetch(
            f'{deployment.urls[name]}/control/counts',
        )
        done = counts.get('finished', 0) + counts.get('cancelled', 0)
        if counts.get('started', 0) > done:
            return name
    raise LookupError


async def test_duplicate_tokens_reach_the_caller_once(deploy):
    deployment = await deploy(PLAN)
    for name in deployment.targets:
        await deployment.set_faults(name, double=True)
    check_complete(await read_events(deployment), 40)
    dropped_tokens = 0
    for node in deployment.nodes:
        _, state = await deployment.admin('GET', f'/v1/dump/{node}/entry')
        dropped_tokens += state['counters'].get('tokens_doubled', 0)
    assert dropped_tokens == 40


async def test_stream_of_a_killed_engine_resumes_on_another(deploy):
    deployment = await deploy(PLAN)

    async def kill(count):
        if count == 10:
            await deployment.kill(await find_busy_engine(deployment))

    check_complete(await read_events(deployment, on_token=kill), 40)


async def test_stream_of_a_frozen_engine_resumes_on_another(deploy):
    deployment = await deploy(PLAN)

    async def freeze(count):
        if count == 10:
            name = await find_busy_engine(deployment)
            deployment.send_signal(name, signal.SIGSTOP)

    check_complete(await read_events(deployment, on_token=freeze), 40)


async def test_failed_stream_never_ends_like_a_complete_one(deploy):
    deployment = await deploy(PLAN)
    for name in deployment.targets:
        await deployment.set_faults(name, die_at=5)
    events = await read_events(deployment)
    names = [name for name, _ in events]
    assert 'done' not in names
    assert names[-2:] == ['error', 'broken']
    assert events[-2][1]['error']['run'] == 'partial'


async def test_caller_disconnect_cancels_the_engine_request(deploy):
    deployment = await deploy(PLAN)
    reading = asyncio.create_task(read_events(deployment, tokens=200))
    async with asyncio.timeout(10):
        while True:
            try:
                busy = await find_busy_engine(deployment)
                break
            except LookupError:
                await asyncio.sleep(0.01)
        reading.cancel()
        url = f'{deployment.urls[busy]}/control/counts'
        while not (await deployment.fetch(url)).get('cancelled'):
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('fault', ['wrong_attempt', 'fail', 'break'])
async def test_bad_answer_of_a_repeatable_stage_is_retried(
    deploy,
    call,
    fault,
):
    workers = (WorkerPlan('north', 'bookings'),) * 2
    deployment = await deploy(PLAN._replace(workers=workers))
    await deployment.set_faults('bookings-1', **{fault: 1})
    for _ in range(8):
        status, found = await call(
            deployment,
            'seats',
            fields={'tour': 'noon'},
        )
        assert (status, found['output']) == (200, {'done': {'tour': 'noon'}})


# Guards against a request that comes again at any VM and crashes three targets
# each time.
async def test_request_that_comes_again_at_any_vm_spares_the_targets(
    deploy, call
):
    workers = (WorkerPlan('north', 'bookings'),) * 8
    plan = PLAN._replace(entries_per_zone=2, engines=(), workers=workers)
    deployment = await deploy(plan)
    for name in deployment.targets:
        await deployment.set_faults(name, deadly_order='poison')
    urls = [node.url for node in deployment.nodes.values()]
    refusals = []
    for number in range(7):
        status, found = await call(
            deployment,
            'seats',
            url=urls[number % len(urls)],
            fields={'order': 'poison'},
        )
        assert status in {502, 503}
        refusals.append((found['error']['type'], found['error']['run']))
        await asyncio.sleep(0.2)
    crashed = [
        name
        for name in deployment.targets
        if deployment.processes[name].poll() is not None
    ]
    assert 3 <= len(crashed) <= 6
    assert refusals[-2:] == [('request-quarantined', 'not-run')] * 2
    for url in urls:
        status, _ = await call(
            deployment, 'seats', url=url, fields={'order': 'sound'}
        )
        assert status == 200


# Guards against a claim that says a quarantined request may have run, and
# against a VM that doesn't know of the crashes that another one saw.
async def test_claim_of_a_quarantined_request_is_released(deploy, call):
    workers = (WorkerPlan('north', 'orders'),) * 5
    plan = PLAN._replace(entries_per_zone=2, engines=(), workers=workers)
    deployment = await deploy(plan)
    for name in deployment.targets:
        await deployment.set_faults(name, deadly_order='poison')
    urls = cycle([node.url for node in deployment.nodes.values()])
    outcomes = []
    for key in ('key-1', 'key-2', 'key-3', 'key-4', 'key-4', 'key-1'):
        _, found = await call(
            deployment,
            'rescan',
            key,
            url=next(urls),
            fields={'order': 'poison'},
        )
        outcomes.append((found['error']['type'], found['error']['run']))
        await asyncio.sleep(0.2)
    assert outcomes == [
        *[('stage-failed', 'unknown')] * 3,
        *[('request-quarantined', 'not-run')] * 2,
        ('outcome-unknown', 'unknown'),
    ]


# Guards against an entry process that forgets at a restart which requests
# crash targets.
async def test_restarted_entry_keeps_a_quarantine(deploy, call):
    workers = (WorkerPlan('north', 'orders'),) * 5
    deployment = await deploy(PLAN._replace(engines=(), workers=workers))
    for name in deployment.targets:
        await deployment.set_faults(name, deadly_order='poison')
    fields = {'order': 'poison'}
    for _ in range(3):
        await call(deployment, 'rescan', fields=fields)
        await asyncio.sleep(0.2)
    (node,) = deployment.nodes.values()
    entry = f'entry-{node.name}'
    await deployment.kill(entry)
    deployment.run(entry, deployment.commands[entry])
    await deployment.wait_ready()
    _, found = await call(deployment, 'rescan', url=node.url, fields=fields)
    assert found['error']['type'] == 'request-quarantined'
