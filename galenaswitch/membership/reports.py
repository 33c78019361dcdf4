"""Delta encoding of load reports.

A load report has stable fields (target, incarnation, models, token rates and
whether the target is leaving) and volatile fields (requests and pending
tokens). A full report is sent when a stable field changes and every
:data:`FULL_REPORT_INTERVAL_SECONDS`. Between full reports, load deltas of a
few bytes carry the volatile fields and a hash of the stable fields.
"""

from collections.abc import Iterable

from xxhash import xxh32_intdigest

from galenaswitch.membership.messages import LoadReport, Loads, LoadTick

RATE_DIGITS = 2
FULL_REPORT_INTERVAL_SECONDS = 10


def round_rate(tokens_per_second: float) -> float:
    """Round a token rate to :data:`RATE_DIGITS` significant digits.

    Without rounding, measurement noise in the rate would change the stable
    fields and cause a full report each time.

    >>> round_rate(3471.5), round_rate(0)
    (3500.0, 0.0)
    """
    return float(f'{tokens_per_second:.{RATE_DIGITS}g}')


def hash_stable_fields(report: LoadReport) -> int:
    """Return the hash of a load report's stable fields.

    >>> idle = LoadReport('a', '1')
    >>> busy = idle._replace(running=3)
    >>> hash_stable_fields(idle) == hash_stable_fields(busy)
    True
    >>> restarted = idle._replace(incarnation='2')
    >>> hash_stable_fields(idle) == hash_stable_fields(restarted)
    False
    """
    stable = report._replace(running=0, waiting=0, pending_prompt_tokens=0)
    return xxh32_intdigest(repr(tuple(stable)).encode())


def make_delta(report: LoadReport) -> LoadTick:
    """Return the load delta that carries a report's volatile fields."""
    return LoadTick(
        hash_stable_fields(report),
        report.running,
        report.waiting,
        round(report.pending_prompt_tokens),
    )


class LoadReportEncoder:
    """Encodes load reports as full reports or load deltas."""

    def __init__(self) -> None:
        """Build an encoder that sends each target's first report in full."""
        self._newest_reports: dict[str, LoadReport] = {}
        self._full_report_sent_at: dict[int, float] = {}

    def encode(self, reports: Iterable[LoadReport], now: float) -> Loads:
        """Encode load reports; recently sent full reports become deltas.

        :param now: monotonic time in seconds.

        >>> encoder = LoadReportEncoder()
        >>> report = LoadReport('a', '1', running=2)
        >>> len(encoder.encode([report], 0).reports)
        1
        >>> later = encoder.encode([report], 1)
        >>> len(later.reports), later.ticks[0].running
        (0, 2)
        """
        full = []
        deltas = []
        self._newest_reports = {report.target: report for report in reports}
        for report in self._newest_reports.values():
            delta = make_delta(report)
            sent_at = self._full_report_sent_at.get(delta.key)
            if sent_at is None or now - sent_at >= FULL_REPORT_INTERVAL_SECONDS:
                self._full_report_sent_at[delta.key] = now
                full.append(report)
            else:
                deltas.append(delta)
        self._full_report_sent_at = {
            key: sent_at
            for key, sent_at in self._full_report_sent_at.items()
            if now - sent_at < FULL_REPORT_INTERVAL_SECONDS
        }
        return Loads(tuple(full), tuple(deltas))

    def full_reports(self) -> Loads:
        """Return the last encoded reports in full, for a new peer."""
        return Loads(tuple(self._newest_reports.values()))


class LoadReports:
    """Newest load report of each target, decoded from reports and deltas.

    Each report is stored under the hash of its stable fields, because a load
    delta names only that hash.
    """

    def __init__(self) -> None:
        """Build an empty set of reports."""
        self._hash_by_target: dict[str, int] = {}
        self._reports_by_hash: dict[int, LoadReport] = {}
        self.unknown_ticks = 0

    def apply(self, loads: Loads) -> tuple[LoadReport, ...]:
        """Apply full reports and load deltas; return the updated reports.

        A delta with an unknown hash is counted and dropped. The target's next
        full report follows within :data:`FULL_REPORT_INTERVAL_SECONDS`.

        >>> reports = LoadReports()
        >>> report = LoadReport('a', '1')
        >>> _ = reports.apply(Loads((report,)))
        >>> delta = make_delta(report._replace(waiting=4))
        >>> reports.apply(Loads(ticks=(delta,)))[0].waiting
        4
        """
        for report in loads.reports:
            self._store_report(report)
        known = [
            delta for delta in loads.ticks if delta.key in self._reports_by_hash
        ]
        self.unknown_ticks += len(loads.ticks) - len(known)
        return (*loads.reports, *(self._apply_delta(delta) for delta in known))

    def full_reports(self) -> Loads:
        """Return the newest full report of each target, for a new process."""
        return Loads(tuple(self._reports_by_hash.values()))

    def keep_only(self, targets: Iterable[str]) -> None:
        """Remove the reports of all targets except the given ones."""
        for target in set(self._hash_by_target) - set(targets):
            self._reports_by_hash.pop(self._hash_by_target.pop(target), None)

    def _store_report(self, report: LoadReport) -> None:
        key = hash_stable_fields(report)
        self._reports_by_hash.pop(
            self._hash_by_target.get(report.target, key), None
        )
        self._hash_by_target[report.target] = key
        self._reports_by_hash[key] = report

    def _apply_delta(self, delta: LoadTick) -> LoadReport:
        report = self._reports_by_hash[delta.key]._replace(
            running=delta.running,
            waiting=delta.waiting,
            pending_prompt_tokens=delta.pending_prompt_tokens,
        )
        self._reports_by_hash[delta.key] = report
        return report
