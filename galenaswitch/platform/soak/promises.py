"""Checks of the invariants, called promises, on the records of a soak.

Each check yields one message for each violation of its invariant.
"""

import re
from collections import Counter
from collections.abc import Callable, Iterator

from galenaswitch.platform.soak.callers import (
    DEADLINE_SECONDS,
    OK,
    WORK_ITEM_COUNTS_FIELD,
)
from galenaswitch.platform.soak.reachability import check_partitions
from galenaswitch.platform.soak.records import (
    Arrival,
    InjectedFault,
    Records,
    SentRequest,
    WorkItemRun,
)
from galenaswitch.platform.soak.soundness import (
    NOT_RUN_STATUSES,
    check_cut_answers,
    check_overlaps,
    check_words,
)

# Kinds of requests that must run at most once.
NON_IDEMPOTENT_KINDS = frozenset(('once', 'chat'))
STREAM_KINDS = frozenset(('chat', 'notes'))
# Time by which the time left that a target receives may exceed the caller's
# timeout.
TIME_LEFT_MARGIN_SECONDS = 0.5
# A fault that ended this long before a request, or earlier, can't have
# interrupted the request.
FAULT_FREE_SECONDS = 3.0
# Smallest share of requests that succeed after the recovery from all faults.
MIN_SERVED_SHARE = 0.9
# Time after a machine passed a leaving notice on, from which it sends the
# target no further requests.
DRAIN_SECONDS = 2.0
# Time after a refusal with a pause from which the pause counts, and the most
# requests of a machine that may reach the target in it.
PAUSE_SLACK_SECONDS = 0.5
MAX_REQUESTS_IN_PAUSE = 2
# Faults of a machine after which it may have lost a notice or a pause.
MACHINE_FAULTS = frozenset(('kill', 'herd_kill', 'term', 'freeze'))
WORK_ITEM_COUNTS = tuple(map(int, WORK_ITEM_COUNTS_FIELD.split(',')))
_EVENT_PATTERN = re.compile(r'id: (\d+)\ndata: (\w+)(?:\.(\w+))?\n\n')


def check_all(records: Records, recovered_at: float) -> list[str]:
    """Return the violations of all invariants.

    :param recovered_at: seconds since the start of the soak by which all
        machines and targets have to be recovered from the faults.
    """
    violations = list(records.violations)
    for check in CHECKS:
        violations.extend(check(records))
    violations.extend(check_recovery(records, recovered_at))
    return violations


def check_single_runs(records: Records) -> Iterator[str]:
    """Check that each non-idempotent request runs at most once."""
    kinds = {
        ident: path.split('/')[1]
        for ident, path in records.paths_by_ident.items()
    }
    for ident, runs in Counter(run.ident for run in records.ran).items():
        if runs > 1 and kinds.get(ident) in NON_IDEMPOTENT_KINDS:
            yield f'{ident}: ran {runs} times'


def check_refusals(records: Records) -> Iterator[str]:
    """Check that refused non-idempotent requests have not run."""
    run_idents = {run.ident for run in records.ran}
    for request in records.sent:
        refused = request.status in NOT_RUN_STATUSES and not request.from_target
        if (
            refused
            and request.kind in NON_IDEMPOTENT_KINDS
            and request.ident in run_idents
        ):
            yield f'{request.ident}: answered {request.status} and ran'


def check_answers(records: Records) -> Iterator[str]:
    """Check that each success has a target's answer to that request."""
    for request in records.sent:
        if request.status == OK:
            yield from _check_success(request)


def _check_success(request: SentRequest) -> Iterator[str]:
    if not request.from_target:
        yield f'{request.ident}: a success that no target produced'
    elif request.kind in STREAM_KINDS:
        yield from _check_events(request)
    elif (
        request.complete
        and request.body != f'{request.ident} body-{request.ident}'
    ):
        yield f'{request.ident}: wrong bytes {request.body[:60]!r}'


def _check_events(request: SentRequest) -> Iterator[str]:
    events = _EVENT_PATTERN.findall(request.body)
    numbers = [int(event[0]) - request.after for event in events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f'{request.ident}: event numbers {numbers}'
    if any(event[1] != request.ident for event in events):
        yield f'{request.ident}: events of another request'


def check_stream_ends(records: Records) -> Iterator[str]:
    """Check that each stream that ends as complete has all its events."""
    for request in records.sent:
        if (
            request.status != OK
            or request.kind not in STREAM_KINDS
            or not request.complete
        ):
            continue
        path = records.paths_by_ident[request.ident].partition('?')[0]
        event_count = int(path.rpartition('/')[2]) - request.after
        if len(_EVENT_PATTERN.findall(request.body)) != event_count:
            yield (
                f'{request.ident}: ended as complete before event {event_count}'
            )


def check_versions(records: Records) -> Iterator[str]:
    """Check that the events of each stream are of one software version.

    A stream has the events of all attempts at it.
    """
    versions: dict[str, set[str]] = {}
    for request in records.sent:
        if request.kind in STREAM_KINDS and request.status == OK:
            stream = versions.setdefault(request.origin or request.ident, set())
            stream.update(
                version
                for _, _, version in _EVENT_PATTERN.findall(request.body)
            )
    for ident, found in versions.items():
        if len(found) > 1:
            yield f'{ident}: joined from versions {sorted(found)}'


def check_runs(records: Records) -> Iterator[str]:
    """Check that targets receive requests unchanged, with a valid time left."""
    for run in records.ran:
        if records.paths_by_ident.get(run.ident) != run.path:
            yield f'{run.ident}: ran as {run.path}'
        if run.body != f'body-{run.ident}':
            yield f'{run.ident}: ran with body {run.body[:60]!r}'
        if run.workspace != 'lab' or run.key_leaked:
            yield f'{run.ident}: ran for workspace {run.workspace!r}'
        if not 0 < run.left <= DEADLINE_SECONDS + TIME_LEFT_MARGIN_SECONDS:
            yield f'{run.ident}: was given {run.left} s'


def check_inputs(records: Records) -> Iterator[str]:
    """Check that work items and engines read all inputs of their request."""
    for work_item in records.work_item_runs:
        if work_item.inputs != _find_expected_inputs(work_item):
            yield (
                f'{work_item.ident}: stage {work_item.stage} read inputs'
                f' {work_item.inputs}'
            )
        wrong_key = (
            work_item.stage == 0 and work_item.key != f'piece-{work_item.ident}'
        )
        if work_item.ident not in records.paths_by_ident or wrong_key:
            yield f'{work_item.ident}: a work item with key {work_item.key!r}'


def _find_expected_inputs(
    work_item: WorkItemRun,
) -> tuple[tuple[str, int, int], ...]:
    """Return the inputs that a work item or an engine (stage -1) must read."""
    if work_item.stage == 0:
        return ()
    input_stage = 0 if work_item.stage == 1 else len(WORK_ITEM_COUNTS) - 1
    return tuple(
        (work_item.ident, input_stage, number)
        for number in range(WORK_ITEM_COUNTS[input_stage])
    )


def check_planned_work(records: Records) -> Iterator[str]:
    """Check that planned maintenance interrupts no request that has started.

    A request near another fault is not checked.
    """
    run_idents = {run.ident for run in records.ran}
    for request in records.sent:
        is_cut = request.ident in run_idents and not request.complete
        if not is_cut or request.ended_at - request.sent_at >= DEADLINE_SECONDS:
            continue
        nearby = [
            fault
            for fault in records.faults
            if fault.started_at <= request.ended_at
            and fault.ended_at >= request.sent_at - FAULT_FREE_SECONDS
        ]
        planned_on_machine = [
            fault for fault in nearby if _is_planned_on_machine(fault, request)
        ]
        if planned_on_machine and all(fault.planned for fault in nearby):
            yield f'{request.ident}: cut by {planned_on_machine[0].kind}'


def check_leaving(records: Records) -> Iterator[str]:
    """Check that machines send nothing to targets whose notice they passed on.

    The time counts until a caller sent the request. A restart or a freeze of
    the machine since the notice excuses it.
    """
    sent_by_ident = {request.ident: request for request in records.sent}
    passed: dict[tuple[int, str], float] = {}
    for request in records.sent:
        key = (request.machine, request.leaving)
        passed[key] = min(passed.get(key, request.ended_at), request.ended_at)
    for run in records.ran:
        sent = sent_by_ident.get(run.ident)
        notice_at = sent and passed.get((sent.machine, run.target))
        if sent is None or notice_at is None:
            continue
        if sent.sent_at > notice_at + DRAIN_SECONDS and not _was_disturbed(
            records, sent.machine, notice_at, run.started_at
        ):
            yield f'{run.ident}: reached {run.target}, which had left'


def check_pauses(records: Records) -> Iterator[str]:
    """Check that machines keep the pauses that targets asked them for."""
    machines = {request.ident: request.machine for request in records.sent}
    arrivals: dict[tuple[int, str], list[Arrival]] = {}
    for arrival in records.arrivals:
        sender = machines.get(arrival.ident)
        if sender is not None:
            key = (sender, arrival.target)
            arrivals.setdefault(key, []).append(arrival)
    for (machine, target), reached in arrivals.items():
        for refusal in filter(_asks_for_pause, reached):
            since = refusal.at + PAUSE_SLACK_SECONDS
            end = refusal.at + refusal.pause
            count = sum(since < other.at < end for other in reached)
            if count > MAX_REQUESTS_IN_PAUSE and not _was_disturbed(
                records, machine, refusal.at, end
            ):
                yield f'{target}: {count} requests of {machine} in a pause'


def _asks_for_pause(arrival: Arrival) -> bool:
    return arrival.pause > PAUSE_SLACK_SECONDS


def _was_disturbed(
    records: Records, machine: int, since: float, until: float
) -> bool:
    """Tell whether a fault hit a machine between two times."""
    return any(
        fault.kind in MACHINE_FAULTS
        and (fault.subject == machine or fault.kind == 'herd_kill')
        and fault.started_at <= until
        and fault.ended_at >= since
        for fault in records.faults
    )


def _is_planned_on_machine(fault: InjectedFault, request: SentRequest) -> bool:
    return fault.planned and fault.subject == request.machine


def check_recovery(records: Records, recovered_at: float) -> Iterator[str]:
    """Check that nearly all requests succeed after the recovery."""
    after_recovery = [
        request for request in records.sent if request.sent_at >= recovered_at
    ]
    served = sum(
        request.complete and request.status == OK for request in after_recovery
    )
    if not after_recovery or served < MIN_SERVED_SHARE * len(after_recovery):
        yield f'only {served} of {len(after_recovery)} served after all faults'


CHECKS: tuple[Callable[[Records], Iterator[str]], ...] = (
    check_single_runs,
    check_refusals,
    check_answers,
    check_stream_ends,
    check_versions,
    check_runs,
    check_inputs,
    check_planned_work,
    check_leaving,
    check_pauses,
    check_cut_answers,
    check_words,
    check_overlaps,
    check_partitions,
)
