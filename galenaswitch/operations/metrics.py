"""Metrics: counters and histograms of durations."""

import collections
from typing import Protocol

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)

MILLISECONDS = 1000
# Bounds in seconds of the histograms: from one call inside a zone to the
# longest deadlines of callers.
BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2,
    5,
    10,
    20,
)


class Metrics(Protocol):
    """What the rest of the system needs of metrics."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, milliseconds: float) -> None:
        """Record one duration."""

    def dump(self) -> dict[str, int]:
        """Return all counters since the start of the process."""


class LocalMetrics:
    """Counters kept in the process only."""

    def __init__(self) -> None:
        """Start with no counts."""
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += amount

    def time(self, name: str, milliseconds: float) -> None:
        """Count the event; durations are not kept locally."""
        self._counts[name] += 1

    def dump(self) -> dict[str, int]:
        """Return all counters."""
        return dict(sorted(self._counts.items()))


class PrometheusMetrics(LocalMetrics):
    """Counters and histograms in the text format of Prometheus."""

    def __init__(self) -> None:
        """Start with a registry of its own."""
        super().__init__()
        self._registry = CollectorRegistry()
        self._events = Counter(
            'galena_events',
            'Events since the start of the process, by name.',
            ('event',),
            registry=self._registry,
        )
        self._durations = Histogram(
            'galena_duration_seconds',
            'Durations of what ended, by name.',
            ('name',),
            buckets=BUCKETS_SECONDS,
            registry=self._registry,
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        super().count(name, amount)
        self._events.labels(name).inc(amount)

    def time(self, name: str, milliseconds: float) -> None:
        """Add a duration to a histogram."""
        super().time(name, milliseconds)
        self._durations.labels(name).observe(milliseconds / MILLISECONDS)

    def render(self) -> bytes:
        """Return all counters and histograms as text.

        >>> metrics = PrometheusMetrics()
        >>> metrics.count('hedged')
        >>> b'galena_events_total{event="hedged"} 1.0' in metrics.render()
        True
        """
        page: bytes = generate_latest(self._registry)
        return page


def open_metrics() -> PrometheusMetrics:
    """Return the metrics of a process."""
    return PrometheusMetrics()
