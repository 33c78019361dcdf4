"""Check that machines without a path to the targets serve their callers.

Only first tries count, on machines that no other fault disturbs.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from galenaswitch.platform.soak.callers import OK
from galenaswitch.platform.soak.records import (
    InjectedFault,
    Records,
    SentRequest,
)
from galenaswitch.platform.soak.soundness import CONTACT_SECONDS

# Smallest share of first tries served at partitioned machines, relative to that
# at the others, and the numbers of failures up to which a smaller one is kept.
MIN_RELATIVE_SHARE = 2 / 3
ALLOWED_FAILURES, TRIES_PER_FAILURE = 10, 50
DISTURBANCES = frozenset(('kill', 'herd_kill', 'freeze', 'term'))
# Time after a disturbance until which a machine may not serve.
RESTART_SECONDS = 3.0


class ServedShare(NamedTuple):
    """Outcome of first tries at a set of machines.

    :param served: number of complete answers of targets.
    """

    served: int
    tries: int

    @property
    def failed(self) -> int:
        """Number of tries that were not served."""
        return self.tries - self.served

    def __str__(self) -> str:
        """Return the numbers in words."""
        return f'{self.served} of {self.tries}'


def check_partitions(records: Records) -> Iterator[str]:
    """Check that partitioned machines serve callers nearly like the others."""
    for since, until in _find_partition_times(records):
        cut_off, others = measure_partition(records, since, until)
        is_worse = (
            cut_off.served * others.tries
            < MIN_RELATIVE_SHARE * others.served * cut_off.tries
        )
        tries = cut_off.tries + others.tries
        allowed = ALLOWED_FAILURES + tries / TRIES_PER_FAILURE
        if is_worse and cut_off.failed > allowed:
            yield (
                f'{cut_off} first tries served at partitioned machines,'
                f' {others} at the others, from {since:.2f} to {until:.2f}'
            )


def measure_partition(
    records: Records, since: float, until: float
) -> tuple[ServedShare, ServedShare]:
    """Return the outcomes at partitioned machines and at the others.

    :param since: start of the time in which tries count, in seconds since the
        start of the soak.
    :param until: end of that time.
    """
    outcomes: dict[bool, list[bool]] = {True: [], False: []}
    for request in records.sent:
        if since <= request.sent_at < until and _counts(records, request):
            is_cut_off = bool(_find_partitions(records, request))
            is_served = request.complete and request.status == OK
            outcomes[is_cut_off].append(is_served)
    cut_off, others = outcomes[True], outcomes[False]
    return (
        ServedShare(sum(cut_off), len(cut_off)),
        ServedShare(sum(others), len(others)),
    )


def _counts(records: Records, request: SentRequest) -> bool:
    """Tell whether a request is a first try that has to be served."""
    if request.after or _was_disturbed(records, request):
        return False
    return all(
        request.sent_at >= fault.started_at + CONTACT_SECONDS
        for fault in _find_partitions(records, request)
    )


def _find_partition_times(records: Records) -> list[tuple[float, float]]:
    """Return the times in which partitions have to be made up for."""
    times: list[tuple[float, float]] = []
    for fault in sorted(_get_partitions(records), key=_get_start):
        since, until = times[-1] if times else (0, 0)
        if fault.started_at < until:
            times[-1] = (since, max(until, fault.ended_at))
        else:
            times.append((fault.started_at, fault.ended_at))
    return [(since + CONTACT_SECONDS, until) for since, until in times]


def _get_start(fault: InjectedFault) -> float:
    return fault.started_at


def _get_partitions(records: Records) -> Sequence[InjectedFault]:
    return [
        fault for fault in records.faults if fault.kind.startswith('partition')
    ]


def _find_partitions(
    records: Records, request: SentRequest
) -> list[InjectedFault]:
    return [
        fault
        for fault in _get_partitions(records)
        if fault.subject == request.machine
        and fault.started_at <= request.sent_at < fault.ended_at
    ]


def _was_disturbed(records: Records, request: SentRequest) -> bool:
    """Tell whether a machine was stopped or stood still near a request."""
    return any(
        fault.kind in DISTURBANCES
        and (fault.subject == request.machine or fault.kind == 'herd_kill')
        and fault.started_at <= request.ended_at
        and fault.ended_at + RESTART_SECONDS >= request.sent_at
        for fault in records.faults
    )
