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
UNSERVED_STAGE = {'name': 'lone', 'kind': 'encode', 'pool': 'nobody'}


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def limited_deployment(tmp_path_factory):
    """Run a deployment of one VM with one contract for each limit."""
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
        for pipeline in (
            *PIPELINES,
            {'name': 'lone', 'stages': [UNSERVED_STAGE]},
        ):
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
    """Send a raw body; return status, headers and JSON document."""
    headers = {'Authorization': f'Bearer {token}'}
    if key:
        headers['Idempotency-Key'] = key
    async with deployment.http.post(
        f'{deployment.urls["balancer"]}/v1/pipelines/{pipeline}',
        data=text.encode(),
        headers=headers,
    ) as response:
        return response.status, response.headers, await response.json()


def check(reply, reason):
    """Check that a reply is the refusal for ``reason``."""
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
async def test_request_is_refused_as_not_run(
    limited_deployment, pipeline, request_parts, reason
):
    check(await post(limited_deployment, pipeline, **request_parts), reason)


async def test_unknown_path_is_refused(limited_deployment):
    url = f'{limited_deployment.urls["balancer"]}/v1/elsewhere'
    async with limited_deployment.http.post(url) as response:
        document = await response.json()
        check(
            (response.status, response.headers, document), Reason.unknown_path
        )


@pytest.mark.parametrize(
    ('token', 'reason'),
    [
        ('rate-token', Reason.rate_limit),
        ('tokens-token', Reason.token_limit),
        ('cost-token', Reason.cost_limit),
    ],
)
async def test_second_request_exceeds_the_limit(
    limited_deployment, token, reason
):
    first, _, document = await post(limited_deployment, 'seats', token)
    assert first == 200, document
    check(await post(limited_deployment, 'seats', token), reason)


async def test_refused_request_is_in_no_ledger(limited_deployment):
    url = f'{limited_deployment.urls["bookings-1"]}/control/ledger'
    before = len(await limited_deployment.fetch(url))
    text = json.dumps({'fields': {'order': 'refused'}})
    reply = await post(limited_deployment, 'seats', 'rate-token', text)
    check(reply, Reason.rate_limit)
    assert len(await limited_deployment.fetch(url)) == before


async def test_workspace_uses_only_its_own_contract(limited_deployment):
    status, _, document = await post(limited_deployment, 'tour-note', LAB_TOKEN)
    assert (status, document['error']['type']) == (
        403,
        'pipeline-not-in-contract',
    )
