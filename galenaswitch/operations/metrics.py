"""Metrics of a process: counters of events and histograms of durations."""

import collections
from typing import Protocol

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)

MILLISECONDS = 1000
# Upper bounds of the histogram buckets in seconds. They range from one call
# within a zone to the longest deadlines of callers.
BUCKET_BOUNDS_SECONDS = (
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
    """Interface through which components record metrics."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to an event counter."""

    def time(self, name: str, milliseconds: float) -> None:
        """Add one duration to a histogram."""

    def dump(self) -> dict[str, int]:
        """Return the counts of all events since the start of the process."""


class LocalMetrics:
    """Counters that are kept in memory and not exported."""

    def __init__(self) -> None:
        """Build an empty set of counters."""
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to an event counter."""
        self._counts[name] += amount

    def time(self, name: str, milliseconds: float) -> None:
        """Count the event and discard its duration."""
        self._counts[name] += 1

    def dump(self) -> dict[str, int]:
        """Return the counts of all events, sorted by event name."""
        return dict(sorted(self._counts.items()))


class PrometheusMetrics(LocalMetrics):
    """Counters and histograms exported in the Prometheus text format."""

    def __init__(self) -> None:
        """Build the metrics in a new Prometheus registry."""
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
            buckets=BUCKET_BOUNDS_SECONDS,
            registry=self._registry,
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to an event counter."""
        super().count(name, amount)
        self._events.labels(name).inc(amount)

    def time(self, name: str, milliseconds: float) -> None:
        """Count the event and add its duration to a histogram."""
        super().time(name, milliseconds)
        self._durations.labels(name).observe(milliseconds / MILLISECONDS)

    def render(self) -> bytes:
        """Return all counters and histograms in the Prometheus text format.

        >>> metrics = PrometheusMetrics()
        >>> metrics.count('hedged')
        >>> b'galena_events_total{event="hedged"} 1.0' in metrics.render()
        True
        """
        page: bytes = generate_latest(self._registry)
        return page


def open_metrics() -> PrometheusMetrics:
    """Return new Prometheus metrics for a process."""
    return PrometheusMetrics()
