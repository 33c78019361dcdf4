"""Checks of the promises on what callers and targets saw."""

import re
from collections import Counter
from collections.abc import Callable, Iterator

from galenaswitch.platform.soak.callers import (
    DEADLINE_SECONDS,
    OK,
    STAGE_PIECES,
)
from galenaswitch.platform.soak.records import Made, Records, Sent, Trouble

# Kinds of requests that run once at most.
ONCE = frozenset(('once', 'chat'))
STREAMS = frozenset(('chat', 'notes'))
# Statuses that say that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
# Seconds by which a target may be given more time than the caller waits.
LEFT_SLACK_SECONDS = 0.5
# Seconds for which a machine has to be calm before its answers are judged.
CALM_SECONDS = 3.0
# Share of requests that are served once all troubles are over.
SERVED_PART = 0.9
COUNTS = tuple(map(int, STAGE_PIECES.split(',')))
_EVENT = re.compile(r'id: (\d+)\ndata: (\w+)\n\n')


def check_all(records: Records, calm_from: float) -> list[str]:
    """Return what was broken, empty when every promise was kept.

    :param calm_from: seconds since the start at which all has recovered.
    """
    broken = list(records.notes)
    for check in CHECKS:
        broken.extend(check(records))
    broken.extend(check_service(records, calm_from))
    return broken


def check_once(records: Records) -> Iterator[str]:
    """What may not be repeated runs once at most."""
    kinds = {ident: path.split('/')[1] for ident, path in records.asked.items()}
    for ident, runs in Counter(one.ident for one in records.ran).items():
        if runs > 1 and kinds.get(ident) in ONCE:
            yield f'{ident}: ran {runs} times'


def check_refusals(records: Records) -> Iterator[str]:
    """A refusal that says that a request has not run is true."""
    ran = {one.ident for one in records.ran}
    for one in records.sent:
        refused = one.status in NOT_RUN and not one.sealed
        if refused and one.kind in ONCE and one.ident in ran:
            yield f'{one.ident}: answered {one.status} and ran'


def check_answers(records: Records) -> Iterator[str]:
    """A success is a target's whole answer to that request."""
    for one in records.sent:
        if one.status == OK:
            yield from _check_success(one)


def _check_success(one: Sent) -> Iterator[str]:
    if not one.sealed:
        yield f'{one.ident}: a success that no target made'
    elif one.kind in STREAMS:
        yield from _check_events(one)
    elif one.whole and one.body != f'{one.ident} body-{one.ident}':
        yield f'{one.ident}: wrong bytes {one.body[:60]!r}'


def _check_events(one: Sent) -> Iterator[str]:
    events = _EVENT.findall(one.body)
    numbers = [int(number) for number, _ in events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f'{one.ident}: events {numbers}'
    if any(ident != one.ident for _, ident in events):
        yield f'{one.ident}: events of another request'


def check_ends(records: Records) -> Iterator[str]:
    """A stream that looks complete has all its events."""
    for one in records.sent:
        if one.status != OK or one.kind not in STREAMS or not one.whole:
            continue
        path = records.asked[one.ident].partition('?')[0]
        wanted = int(path.rpartition('/')[2])
        if len(_EVENT.findall(one.body)) != wanted:
            yield f'{one.ident}: ended as complete before event {wanted}'


def check_runs(records: Records) -> Iterator[str]:
    """Targets run what callers asked for, unchanged, in the time left."""
    for one in records.ran:
        if records.asked.get(one.ident) != one.path:
            yield f'{one.ident}: ran as {one.path}'
        if one.body != f'body-{one.ident}':
            yield f'{one.ident}: ran with body {one.body[:60]!r}'
        if one.workspace != 'lab' or one.key_leaked:
            yield f'{one.ident}: ran for workspace {one.workspace!r}'
        if not 0 < one.left <= DEADLINE_SECONDS + LEFT_SLACK_SECONDS:
            yield f'{one.ident}: was given {one.left} s'


def check_pieces(records: Records) -> Iterator[str]:
    """Pieces and streams read all inputs of their own request, once."""
    for one in records.made:
        if one.inputs != _find_inputs(one):
            yield f'{one.ident}: stage {one.stage} with inputs {one.inputs}'
        wrong_key = one.stage == 0 and one.key != f'piece-{one.ident}'
        if one.ident not in records.asked or wrong_key:
            yield f'{one.ident}: a piece with key {one.key!r}'


def _find_inputs(one: Made) -> tuple[tuple[str, int, int], ...]:
    """Return the inputs of a piece, or of an engine (stage -1)."""
    if one.stage == 0:
        return ()
    before = 0 if one.stage == 1 else len(COUNTS) - 1
    return tuple(
        (one.ident, before, number) for number in range(COUNTS[before])
    )


def check_planned(records: Records) -> Iterator[str]:
    """Planned work cuts no request that a target has begun."""
    ran = {one.ident for one in records.ran}
    for one in records.sent:
        lost = one.ident in ran and not one.whole
        if not lost or one.ended_at - one.sent_at >= DEADLINE_SECONDS:
            continue
        near = [
            trouble
            for trouble in records.troubles
            if trouble.begun <= one.ended_at
            and trouble.ended >= one.sent_at - CALM_SECONDS
        ]
        own = [trouble for trouble in near if _is_own(trouble, one)]
        if own and all(trouble.planned for trouble in near):
            yield f'{one.ident}: cut by {own[0].kind}'


def _is_own(trouble: Trouble, one: Sent) -> bool:
    return trouble.planned and trouble.subject == one.machine


def check_service(records: Records, calm_from: float) -> Iterator[str]:
    """Once all troubles are over nearly all requests are served."""
    late = [one for one in records.sent if one.sent_at >= calm_from]
    served = sum(one.whole and one.status == OK for one in late)
    if not late or served < SERVED_PART * len(late):
        yield f'only {served} of {len(late)} served after all troubles'


CHECKS: tuple[Callable[[Records], Iterator[str]], ...] = (
    check_once,
    check_refusals,
    check_answers,
    check_ends,
    check_runs,
    check_pieces,
    check_planned,
)
