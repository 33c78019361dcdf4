"""Metrics of a process: counters of events and histograms of durations."""

import bisect
import collections
import itertools
import math
from collections.abc import Mapping
from typing import Any, Protocol

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


class Distribution:
    """Durations of one name, counted by the buckets of a histogram.

    :ivar counts: durations in each bucket, the last one without a bound.
    :ivar total: sum of all durations in seconds.
    """

    def __init__(self) -> None:
        """Build a distribution of no durations."""
        self.counts = [0 for _ in (*BUCKET_BOUNDS_SECONDS, math.inf)]
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Add one duration."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds


class PrometheusMetrics(LocalMetrics):
    """Counters and histograms exported in the Prometheus text format."""

    def __init__(self) -> None:
        """Build empty metrics."""
        super().__init__()
        self._durations: collections.defaultdict[str, Distribution] = (
            collections.defaultdict(Distribution)
        )

    def time(self, name: str, milliseconds: float) -> None:
        """Count the event and add its duration to a histogram."""
        super().time(name, milliseconds)
        self._durations[name].observe(milliseconds / MILLISECONDS)

    def render(self) -> bytes:
        """Return all counters and histograms in the Prometheus text format.

        >>> metrics = PrometheusMetrics()
        >>> metrics.count('hedged')
        >>> b'galena_events_total{event="hedged"} 1.0' in metrics.render()
        True
        """
        return render_page(self.dump(), self._durations)


def render_page(
    counts: Mapping[str, int], durations: Mapping[str, Distribution]
) -> bytes:
    """Return metrics in the Prometheus text format.

    The library is imported at the first scrape, since most processes that
    start and stop again are never scraped.
    """
    from prometheus_client import (  # noqa: PLC0415
        CollectorRegistry,
        generate_latest,
    )
    from prometheus_client.core import (  # noqa: PLC0415
        CounterMetricFamily,
        HistogramMetricFamily,
    )

    events = CounterMetricFamily(
        'galena_events',
        'Events since the start of the process, by name.',
        labels=('event',),
    )
    for event, count in counts.items():
        events.add_metric((event,), count)
    histograms = HistogramMetricFamily(
        'galena_duration_seconds',
        'Durations of what ended, by name.',
        labels=('name',),
    )
    bounds = (*map(str, map(float, BUCKET_BOUNDS_SECONDS)), '+Inf')
    for name, found in sorted(durations.items()):
        sums = itertools.accumulate(found.counts)
        histograms.add_metric(
            (name,), list(zip(bounds, sums, strict=True)), found.total
        )
    registry = CollectorRegistry()
    registry.register(_Families(events, histograms))
    page: bytes = generate_latest(registry)
    return page


class _Families:
    """Collector of families that are already filled."""

    def __init__(self, *families: Any) -> None:
        self._families = families

    def collect(self) -> tuple[Any, ...]:
        """Return the families."""
        return self._families


def open_metrics() -> PrometheusMetrics:
    """Return new Prometheus metrics for a process."""
    return PrometheusMetrics()
