"""Short load reports: the lasting part once, then only what moves.

The lasting part of a report (target, incarnation, models, speeds) gets a
number; until it changes, ticks of a few bytes that name the number are sent
in place of whole reports.
"""

from collections.abc import Iterable

from xxhash import xxh32_intdigest

from galenaswitch.membership.messages import LoadReport, Loads, LoadTick

SPEED_DIGITS = 2
WHOLE_SECONDS = 10


def round_speed(tokens_per_second: float) -> float:
    """Return a speed to two digits, so that noise doesn't look like news.

    >>> round_speed(3471.5), round_speed(0)
    (3500.0, 0.0)
    """
    return float(f'{tokens_per_second:.{SPEED_DIGITS}g}')


def find_key(report: LoadReport) -> int:
    """Return the number of a report's lasting part.

    >>> idle = LoadReport('a', '1')
    >>> find_key(idle) == find_key(idle._replace(running=3))
    True
    >>> find_key(idle) == find_key(idle._replace(incarnation='2'))
    False
    """
    lasting = report._replace(running=0, waiting=0, pending_prompt_tokens=0)
    return xxh32_intdigest(repr(tuple(lasting)).encode())


def make_tick(report: LoadReport) -> LoadTick:
    """Return the moving part of a report."""
    return LoadTick(
        find_key(report),
        report.running,
        report.waiting,
        round(report.pending_prompt_tokens),
    )


class ReportSender:
    """Decides which reports of own targets are sent whole."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self._newest: dict[str, LoadReport] = {}
        self._whole_at: dict[int, float] = {}

    def shorten(self, reports: Iterable[LoadReport], now: float) -> Loads:
        """Return the reports, those that were lately sent whole as ticks.

        :param now: monotonic time in seconds.

        >>> sender = ReportSender()
        >>> report = LoadReport('a', '1', running=2)
        >>> len(sender.shorten([report], 0).reports)
        1
        >>> later = sender.shorten([report], 1)
        >>> len(later.reports), later.ticks[0].running
        (0, 2)
        """
        whole = []
        ticks = []
        self._newest = {report.target: report for report in reports}
        for report in self._newest.values():
            tick = make_tick(report)
            sent_at = self._whole_at.get(tick.key)
            if sent_at is None or now - sent_at >= WHOLE_SECONDS:
                self._whole_at[tick.key] = now
                whole.append(report)
            else:
                ticks.append(tick)
        self._whole_at = {
            key: at
            for key, at in self._whole_at.items()
            if now - at < WHOLE_SECONDS
        }
        return Loads(tuple(whole), tuple(ticks))

    def full_reports(self) -> Loads:
        """Return the newest reports whole, for a peer that is new."""
        return Loads(tuple(self._newest.values()))


class LoadReports:
    """Newest report of each target, put together from whole ones and ticks."""

    def __init__(self) -> None:
        """Start without reports."""
        self._keys: dict[str, int] = {}
        self._newest: dict[int, LoadReport] = {}
        self.unknown_ticks = 0

    def apply(self, loads: Loads) -> tuple[LoadReport, ...]:
        """Take reports and ticks; return the reports that they make whole.

        A tick whose lasting part is not known is counted and dropped: the
        whole report follows within :data:`WHOLE_SECONDS`.

        >>> reports = LoadReports()
        >>> report = LoadReport('a', '1')
        >>> _ = reports.apply(Loads((report,)))
        >>> tick = make_tick(report._replace(waiting=4))
        >>> reports.apply(Loads(ticks=(tick,)))[0].waiting
        4
        """
        for report in loads.reports:
            self._keep(report)
        known = [tick for tick in loads.ticks if tick.key in self._newest]
        self.unknown_ticks += len(loads.ticks) - len(known)
        return (*loads.reports, *(self._move(tick) for tick in known))

    def full_reports(self) -> Loads:
        """Return the newest reports whole, for a process that is new."""
        return Loads(tuple(self._newest.values()))

    def keep_only(self, targets: Iterable[str]) -> None:
        """Forget targets that no list shows any more."""
        for target in set(self._keys) - set(targets):
            self._newest.pop(self._keys.pop(target), None)

    def _keep(self, report: LoadReport) -> None:
        key = find_key(report)
        self._newest.pop(self._keys.get(report.target, key), None)
        self._keys[report.target] = key
        self._newest[key] = report

    def _move(self, tick: LoadTick) -> LoadReport:
        report = self._newest[tick.key]._replace(
            running=tick.running,
            waiting=tick.waiting,
            pending_prompt_tokens=tick.pending_prompt_tokens,
        )
        self._newest[tick.key] = report
        return report
