"""Counters and histograms, and the page that shows them."""

import aiohttp
import pytest

from galenaswitch.operations.exposition import serve_metrics
from galenaswitch.operations.metrics import open_metrics
from galenaswitch.operations.settings import MetricSettings


@pytest.fixture
async def page(free_port):
    """Metrics that are served, and the URL of their page."""
    metrics = open_metrics()
    await serve_metrics(metrics, MetricSettings('127.0.0.1', free_port))
    return metrics, f'http://127.0.0.1:{free_port}/metrics'


async def test_counts_and_times_stand_on_the_page(page):
    metrics, url = page
    metrics.count('hedged', 2)
    metrics.time('request', 30)
    async with aiohttp.ClientSession() as http, http.get(url) as answer:
        lines = (await answer.text()).splitlines()
    assert 'galena_events_total{event="hedged"} 2.0' in lines
    assert (
        'galena_duration_seconds_bucket{le="0.05",name="request"} 1.0' in lines
    )
    assert (
        'galena_duration_seconds_bucket{le="0.025",name="request"} 0.0' in lines
    )


async def test_other_paths_are_not_found(page):
    _, url = page
    async with aiohttp.ClientSession() as http, http.get(f'{url}x') as answer:
        assert answer.status == 404


def test_counts_are_kept_for_the_state_dump():
    metrics = open_metrics()
    metrics.count('shed')
    metrics.count('shed')
    assert metrics.dump() == {'shed': 2}


async def test_without_an_address_there_is_no_page():
    await serve_metrics(open_metrics(), MetricSettings())
