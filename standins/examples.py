"""Example contracts and pipelines for tests, demo and bench.

The two example workspaces are a laboratory and tour guides.
"""

from typing import Any

from galenaswitch.contracts.documents import hash_token

LAB_TOKEN = 'lab-token'
GUIDES_TOKEN = 'guides-token'
GENERATE = {
    'name': 'generate',
    'kind': 'generate',
    'pool': 'runners',
    'model': 'scribe',
    'version': '1',
    'cost_per_token': 0.01,
}
PIPELINES: tuple[dict[str, Any], ...] = (
    {
        'name': 'summary',
        'stages': [
            {'name': 'encode', 'kind': 'encode', 'pool': 'encoders'},
            {'name': 'retrieve', 'kind': 'retrieve', 'pool': 'retrievers'},
            {'name': 'rerank', 'kind': 'rerank', 'pool': 'rerankers'},
            GENERATE,
        ],
    },
    {'name': 'tour-note', 'stages': [GENERATE]},
    {
        'name': 'rescan',
        'stages': [
            {
                'name': 'order',
                'kind': 'call',
                'pool': 'orders',
                'operation': 'rescans',
                'repeatable': False,
            },
        ],
    },
    {
        'name': 'seats',
        'stages': [
            {
                'name': 'lookup',
                'kind': 'call',
                'pool': 'bookings',
                'operation': 'seats',
            },
        ],
    },
)


def make_contract(workspace: str, token: str, **changes: Any) -> dict[str, Any]:
    """Return a contract that allows all example pipelines.

    :param changes: fields that replace or extend the default contract.
    """
    contract = {
        'workspace': workspace,
        'tokens': [hash_token(token)],
        'pipelines': [pipeline['name'] for pipeline in PIPELINES],
        'requests_per_second': 1000,
        'tokens_per_second': 1_000_000,
        'in_progress': 1000,
        'cost_per_day': 1e9,
        'deadline_ms': 5000,
    }
    return {**contract, **changes}
