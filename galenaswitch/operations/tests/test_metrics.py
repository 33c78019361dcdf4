"""Tests of counters, histograms and the HTTP endpoint of metrics."""

import aiohttp
import pytest

from galenaswitch.operations.exposition import serve_metrics
from galenaswitch.operations.metrics import open_metrics
from galenaswitch.operations.settings import MetricSettings


@pytest.fixture
async def endpoint(free_port):
    """Metrics served over HTTP, and the URL of their endpoint."""
    metrics = open_metrics()
    await serve_metrics(metrics, MetricSettings('127.0.0.1', free_port))
    return metrics, f'http://127.0.0.1:{free_port}/metrics'


async def test_endpoint_exports_counters_and_histograms(endpoint):
    metrics, url = endpoint
    metrics.count('hedged', 2)
    metrics.time('request', 30)
    async with aiohttp.ClientSession() as http, http.get(url) as response:
        lines = (await response.text()).splitlines()
    assert 'galena_events_total{event="hedged"} 2.0' in lines
    assert (
        'galena_duration_seconds_bucket{le="0.05",name="request"} 1.0' in lines
    )
    assert (
        'galena_duration_seconds_bucket{le="0.025",name="request"} 0.0' in lines
    )


async def test_other_paths_are_not_found(endpoint):
    _, url = endpoint
    async with aiohttp.ClientSession() as http, http.get(f'{url}x') as response:
        assert response.status == 404


def test_state_dump_contains_counters():
    metrics = open_metrics()
    metrics.count('shed')
    metrics.count('shed')
    assert metrics.dump() == {'shed': 2}


async def test_endpoint_is_disabled_without_an_address():
    await serve_metrics(open_metrics(), MetricSettings())
