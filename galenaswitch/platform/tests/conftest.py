"""Documents and settings as the platform writes them."""

import pytest

SETTINGS = """
node-name=edge-north-1
role=edge
zone=north
ip=127.0.0.1
listen.front=127.0.0.1:8625
listen.ready=127.0.0.1:8621
listen.control=127.0.0.1:8628
port-range=7740,7755
seeds=127.0.0.1:8628,127.0.0.2:8628
limits.memory-mb=300
heartbeat-ms=1200
bounds.drain-ms=2000
bounds.retry-budget-ratio=0.2
bounds.budget-slack=58
platform.address=127.0.0.1:8624
something.new=ignored
"""


@pytest.fixture
def settings_text():
    """Text of a settings file."""
    return SETTINGS


@pytest.fixture
def configuration():
    """Document of a configuration with a stage."""
    return {
        'version': 7,
        'routes': [
            {
                'name': 'r-1',
                'host': 'A.example',
                'path-prefix': '/x/',
                'kind': 'streaming',
                'timeout-ms': 6000,
                'target-latency-ms': 1900,
                'priority': 0,
                'service': 'llm',
                'max-attempts': 2,
                'stages': [
                    {'service': 'scan', 'after': [], 'bytes': 8000},
                    {'service': 'scan', 'after': [0], 'bytes': 10},
                ],
                'stream-resume': True,
                'target-itl-ms': 300,
            },
            {
                'name': 'r-2',
                'host': 'b.example',
                'path-prefix': '/y/',
                'kind': 'non_idempotent',
                'timeout-ms': 2000,
                'target-latency-ms': 300,
                'priority': 2,
                'max-attempts': 1,
                'traffic-split': [
                    {'service': 'llm', 'weight': 90},
                    {'service': 'scan', 'weight': 10},
                ],
                'allow-anonymous': True,
            },
        ],
        'services': [
            {
                'name': 'llm',
                'max-connections': 370,
                'engine': {'slots': 64, 'kv-capacity-tokens': 375109},
            },
            {
                'name': 'scan',
                'max-connections': 100,
                'pieces': {
                    'slots': 1,
                    'queue': 2,
                    'batch': 4,
                    'call-overhead-ms': 200.0,
                    'item-time-ms': 42.0,
                    'headroom-mb': 9.0,
                    'handle-s': 4.0,
                },
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [
            {'name': 'lab', 'api-keys': ['k1', 'k2'], 'priority': 1},
        ],
    }


@pytest.fixture
def entry():
    """Document of a target."""
    return {
        'service': 'llm',
        'address': '127.0.0.1:8080',
        'zone': 'north',
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'cold-left-ms': 0,
        'sequence': 4,
        'born': 1791653281198,
    }
