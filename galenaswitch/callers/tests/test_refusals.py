import json

import pytest
import pytest_asyncio

from galenaswitch.refusals import REFUSAL_RESPONSES, Reason
from standins.examples import LAB_TOKEN, PIPELINES, make_contract
from standins.launcher import Deployment
from standins.plans import Plan, WorkerPlan

pytestmark = pytest.mark.asyncio(loop_scope='module')
LIMITS = {
    'rate': {'requests_per_second': 0.01, 'shortage': 'shed'},
    'tokens': {'tokens_per_second': 0.01, 'shortage': 'shed'},
    'progress': {'in_progress': 1, 'shortage': 'shed'},
    'cost': {'cost_per_day': 0.5},
}
LONE = {'name': 'lone', 'kind': 'encode', 'pool': 'nobody'}


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def refusing(tmp_path_factory):
    """A deployment of one machine with a contract for each limit."""
    plan = Plan(
        zones=('north',),
        entries_per_zone=1,
        engines=(),
        workers=(
            WorkerPlan('north', 'bookings', seconds=0.2),
            WorkerPlan('north', 'orders'),
        ),
    )
    folder = tmp_path_factory.mktemp('refusing')
    async with Deployment(plan, folder) as deployment:
        for pipeline in (*PIPELINES, {'name': 'lone', 'stages': [LONE]}):
            await deployment.create('pipelines', pipeline)
        allowed = ['seats', 'rescan', 'lone', 'summary']
        lab = make_contract('lab', LAB_TOKEN, pipelines=allowed)
        await deployment.create('contracts', lab)
        for name, limit in LIMITS.items():
            contract = make_contract(name, f'{name}-token', **limit)
            await deployment.create('contracts', contract)
        await deployment.wait_ready()
        yield deployment


async def post(deployment, pipeline, token=LAB_TOKEN, text='{}', key=''):
    """Send a raw body; return status, headers and document."""
    headers = {'Authorization': f'Bearer {token}'}
    if key:
        headers['Idempotency-Key'] = key
    async with deployment.http.post(
        f'{deployment.urls["balancer"]}/v1/pipelines/{pipeline}',
        data=text.encode(),
        headers=headers,
    ) as answer:
        return answer.status, answer.headers, await answer.json()


def check(reply, reason):
    """Check a refusal against the table of refusals."""
    status, headers, document = reply
    error = document['error']
    assert (error['type'], error['run']) == (reason.value, 'not-run')
    assert status == REFUSAL_RESPONSES[reason].status
    retry = REFUSAL_RESPONSES[reason].retry_after_seconds
    assert headers.get('Retry-After', '0') == str(retry)


@pytest.mark.parametrize(
    ('pipeline', 'request_parts', 'reason'),
    [
        ('seats', {'token': 'nobody'}, Reason.unauthorized),
        ('tour-note', {}, Reason.forbidden),
        ('seats', {'text': '{'}, Reason.invalid_body),
        ('seats', {'text': '[]'}, Reason.invalid_body),
        ('seats', {'text': '{"prompt": 3}'}, Reason.invalid_body),
        ('seats', {'text': '{"surprise": 3}'}, Reason.invalid_body),
        ('seats', {'text': '{"max_tokens": 0}'}, Reason.invalid_body),
        ('seats', {'text': '{"deadline_ms": 0}'}, Reason.deadline_past),
        ('seats', {'text': '{"deadline_ms": -5}'}, Reason.deadline_past),
        ('seats', {'text': 'x' * 1_100_000}, Reason.body_too_large),
        ('rescan', {'key': 'k' * 200}, Reason.key_required),
        ('lone', {}, Reason.no_target),
    ],
)
async def test_refused_as_not_run(refusing, pipeline, request_parts, reason):
    check(await post(refusing, pipeline, **request_parts), reason)


async def test_unknown_path(refusing):
    url = f'{refusing.urls["balancer"]}/v1/elsewhere'
    async with refusing.http.post(url) as answer:
        found = await answer.json()
        check((answer.status, answer.headers, found), Reason.unknown_path)


@pytest.mark.parametrize(
    ('token', 'reason'),
    [
        ('rate-token', Reason.rate_limit),
        ('tokens-token', Reason.token_limit),
        ('cost-token', Reason.cost_limit),
    ],
)
async def test_second_request_is_over_the_limit(refusing, token, reason):
    first, _, document = await post(refusing, 'seats', token)
    assert first == 200, document
    check(await post(refusing, 'seats', token), reason)


async def test_not_run_requests_are_in_no_ledger(refusing):
    url = f'{refusing.urls["bookings-1"]}/control/ledger'
    before = len(await refusing.fetch(url))
    text = json.dumps({'fields': {'order': 'refused'}})
    reply = await post(refusing, 'seats', 'rate-token', text)
    check(reply, Reason.rate_limit)
    assert len(await refusing.fetch(url)) == before


async def test_workspace_uses_only_its_own_contract(refusing):
    status, _, document = await post(refusing, 'tour-note', LAB_TOKEN)
    assert (status, document['error']['type']) == (
        403,
        'pipeline-not-in-contract',
    )
