"""Checks that no answer of a sound target ends early."""

from collections.abc import Iterator, Sequence

from galenaswitch.platform.soak.callers import DEADLINE_SECONDS, OK
from galenaswitch.platform.soak.machines import GRACE_SECONDS
from galenaswitch.platform.soak.records import (
    InjectedFault,
    Records,
    RunSpan,
    SentRequest,
)

# Statuses of refusals, which state that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A fault that ended this long before a request, or earlier, can't have
# interrupted the request.
FAULT_FREE_SECONDS = 3.0
# Time that a request needs besides the silences of its targets.
WORK_SECONDS = 2.0
# Time by which an answer at its deadline may seem to end earlier.
TIMING_SECONDS = 0.1
# Share of the grace period of a stop in which answers have to end.
ANSWER_SHARE = 5 / 6
# Time after the begin of a stop in which a request may be taken that is cut at
# its end.
EARLY_STOP_SECONDS = 3.0
# Time within which a machine that ends may close a connection on which a
# request has just been sent.
CLOSE_SECONDS = 0.5
# Longest time for which two engines may work on one request.
OVERLAP_SECONDS = 0.4
STAGE_SERVICE = 'scan'
MACHINE_FAULTS = frozenset(('kill', 'freeze'))
# Time after a partition began by which its machines have another path.
CONTACT_SECONDS = 3.0
TARGET_FAULTS = frozenset(('runner', 'runner_link', 'crash'))


def check_cut_answers(records: Records) -> Iterator[str]:
    """Check that a request whose targets are sound ends with its answer.

    It may end with a refusal if no target but those of its stages ran it.
    Silences, changes of the configuration, reloads, stops, and disturbances of
    the store are no reason to end it.
    """
    spans = _group_spans(records)
    for request in records.sent:
        runs = spans.get(request.ident, [])
        if not runs or _is_answered(request, runs):
            continue
        if _is_excused(records, request, runs):
            continue
        endings = ', '.join(
            f'{run.service} {run.ending} (silence {run.silent_seconds})'
            for run in runs
        )
        yield f'{_describe(request)}; {endings}'


def check_words(records: Records) -> Iterator[str]:
    """Check that a request that reached no target gets an answer of some kind.

    A machine that ends may close a connection just as a request comes in.
    """
    spans = _group_spans(records)
    for request in records.sent:
        seconds = request.ended_at - request.sent_at
        stopped = _find_stops(records, request)
        if (
            request.status
            or request.ident in spans
            or (stopped and seconds < CLOSE_SECONDS)
            or _was_disturbed(records, request, ())
        ):
            continue
        yield _describe(request)


def check_overlaps(records: Records) -> Iterator[str]:
    """Check that two engines don't work on one request for long."""
    for ident, spans in _group_spans(records).items():
        runs = sorted(
            (run for run in spans if run.service == 'llm'),
            key=lambda run: run.started_at,
        )
        for first, second in zip(runs, runs[1:], strict=False):
            seconds = min(first.ended_at, second.ended_at) - second.started_at
            if seconds > OVERLAP_SECONDS and not _find_faults(
                records, first.started_at, second.ended_at
            ):
                yield f'{ident}: two engines worked on it for {seconds:.2f} s'


def _group_spans(records: Records) -> dict[str, list[RunSpan]]:
    spans: dict[str, list[RunSpan]] = {}
    for span in records.spans:
        for ident in set(span.idents):
            spans.setdefault(ident, []).append(span)
    return spans


def _describe(request: SentRequest) -> str:
    return (
        f'{request.ident}: {request.kind} at machine {request.machine}'
        f' got {request.status} and {len(request.body)} bytes from'
        f' {request.sent_at:.2f} to {request.ended_at:.2f}'
    )


def _is_answered(request: SentRequest, spans: Sequence[RunSpan]) -> bool:
    if not request.complete:
        return False
    if request.status in NOT_RUN_STATUSES and not request.from_target:
        return all(span.service == STAGE_SERVICE for span in spans)
    return request.status == OK or request.from_target


def _is_excused(
    records: Records, request: SentRequest, spans: Sequence[RunSpan]
) -> bool:
    return (
        _needs_more_time(request, spans)
        or _was_stopped_late(records, request)
        or _was_disturbed(records, request, spans)
    )


def _needs_more_time(request: SentRequest, spans: Sequence[RunSpan]) -> bool:
    """Tell whether silences left a request too little time by its deadline."""
    seconds = request.ended_at - request.sent_at
    if seconds < DEADLINE_SECONDS - TIMING_SECONDS:
        return False
    # A stream may be handed over to an engine that is silent as well, and each
    # of the two stages may wait for a target that is silent in another batch.
    stages = [
        span.silent_seconds for span in spans if span.service == STAGE_SERVICE
    ]
    others = [
        span.silent_seconds for span in spans if span.service != STAGE_SERVICE
    ]
    needed = sum(others) + 4 * max(stages, default=0)
    return needed + WORK_SECONDS > DEADLINE_SECONDS


def _find_stops(records: Records, request: SentRequest) -> list[InjectedFault]:
    return [
        fault
        for fault in records.faults
        if fault.kind == 'term'
        and fault.subject == request.machine
        and fault.started_at <= request.ended_at
        and fault.ended_at + FAULT_FREE_SECONDS >= request.sent_at
    ]


def _was_stopped_late(records: Records, request: SentRequest) -> bool:
    """Tell whether a request was cut as the grace period of a stop ended.

    One that was sent long after the begin of the stop had to be refused.
    """
    return any(
        request.ended_at > fault.started_at + ANSWER_SHARE * GRACE_SECONDS
        and request.sent_at <= fault.started_at + EARLY_STOP_SECONDS
        for fault in _find_stops(records, request)
    )


def _was_disturbed(
    records: Records, request: SentRequest, spans: Sequence[RunSpan]
) -> bool:
    """Tell whether a fault hit the machine or a target of a request."""
    targets = {int(span.target.split('-')[1]) for span in spans}
    for fault in _find_faults(records, request.sent_at, request.ended_at):
        kind = fault.kind.split()[0]
        if kind in MACHINE_FAULTS and fault.subject == request.machine:
            return True
        if kind in TARGET_FAULTS and fault.subject in targets:
            return True
        if kind == 'herd_kill' or _lost_its_path(records, fault, request):
            return True
    return False


def _lost_its_path(
    records: Records, fault: InjectedFault, request: SentRequest
) -> bool:
    """Tell whether a machine had lost its path to a request's targets.

    After a time it has to reach them through another machine, unless a fault
    hits any machine.
    """
    if not fault.kind.startswith('partition'):
        return False
    if fault.subject != request.machine or fault.ended_at < request.sent_at:
        return False
    near = _find_faults(records, request.sent_at, request.ended_at)
    return request.sent_at < fault.started_at + CONTACT_SECONDS or any(
        other.kind in MACHINE_FAULTS for other in near
    )


def _find_faults(
    records: Records, since: float, until: float
) -> list[InjectedFault]:
    """Return the faults, without planned work, that may bear on a time."""
    return [
        fault
        for fault in records.faults
        if not fault.planned
        and fault.started_at <= until
        and fault.ended_at + FAULT_FREE_SECONDS >= since
    ]
