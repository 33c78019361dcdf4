"""Model of claims for model checking.

The model has two shard owners, two attempts with one idempotency key and a
store that loses answers and delays writes. Its steps have the names of
:mod:`galenaswitch.claims.owner`: ``take_over``, ``claim``, the conditional
write of the journal and ``settle`` with a release. Each guard can be removed
to check that an invariant fails without it.
"""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

# Rules of the protocol that tests remove, to see that an invariant fails
# without them.
GUARDS = frozenset(
    (
        'conditional_write',
        'grant_after_write',
        'read_at_take_over',
        'no_late_grant',
        'void_after_release',
    ),
)
MAX_VERSION = 5
NO_ATTEMPT = '-'
ATTEMPTS = ('A', 'B')
OWNERS = (0, 1)
CLAIMABLE_STATUSES = frozenset(('asked', 'told', 'released'))


class Write(NamedTuple):
    """Conditional write of the journal.

    :param base: version that the write replaces.
    :param record: attempt that the write records as claimant.
    :param voided: attempts that the write records as released.
    :param state: ``flying`` before the write reaches the store, then
        ``done`` or ``lost``.
    :param version: version of the journal after the write.
    """

    base: int
    record: str
    voided: frozenset[str] = frozenset()
    state: str = 'flying'
    version: int = 0


class OwnerView(NamedTuple):
    """Copy of the journal in the memory of a shard owner."""

    version: int
    record: str
    voided: frozenset[str] = frozenset()


class State(NamedTuple):
    """State of the model.

    :param version: version of the journal in the store.
    :param record: attempt that has claimed the key in the journal, ``-`` if
        there is none.
    :param voided: attempts that the journal records as released.
    :param views: copy of the journal at each owner.
    :param writes: undecided or unanswered write of each owner.
    :param stray: delayed write that its owner no longer waits for.
    :param status: status of each attempt: ``new``, ``asked``, ``granted``,
        ``sent``, ``told`` (the caller got the refusal ``not-run``), ``both``
        (the caller got the refusal and the attempt was sent) or
        ``released``.
    """

    version: int = 0
    record: str = NO_ATTEMPT
    voided: frozenset[str] = frozenset()
    views: tuple[OwnerView | None, ...] = (None, None)
    writes: tuple[Write | None, ...] = (None, None)
    stray: Write | None = None
    status: tuple[str, ...] = ('new', 'new')


Step = tuple[str, State]


def replace_part(parts: tuple, index: int, part: object) -> tuple:  # type: ignore[type-arg]
    """Return a tuple with the part at an index replaced."""
    return (*parts[:index], part, *parts[index + 1 :])


def make_protocol(guards: frozenset[str] = GUARDS) -> Protocol:
    """Return the model with a subset of its guards.

    :param guards: guards that the model keeps, a subset of :data:`GUARDS`.
    """
    return Protocol(
        name='claims',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda plain: [
            (label, tuple(state))
            for label, state in _list_steps(State(*plain), guards)
        ],
        invariants={
            'at_most_once': _runs_at_most_once,
            'truthful_refusal': _refuses_truthfully,
            'key_not_burnt': _frees_released_key,
        },
    )


def _runs_at_most_once(state: dict[str, Any]) -> bool:
    """Return whether at most one attempt was sent to a target."""
    ran = [status for status in state['status'] if status in {'sent', 'both'}]
    return len(ran) < 2


def _refuses_truthfully(state: dict[str, Any]) -> bool:
    """Return whether no attempt was both refused as not run and sent."""
    return 'both' not in state['status']


def _frees_released_key(state: dict[str, Any]) -> bool:
    """Return whether no released attempt still has the key claimed."""
    return not any(
        status == 'released' and state['record'] == attempt
        for attempt, status in zip(ATTEMPTS, state['status'], strict=True)
    )


def _list_steps(state: State, guards: frozenset[str]) -> Iterator[Step]:
    if state.version > MAX_VERSION:
        return
    for attempt, _ in enumerate(ATTEMPTS):
        yield from _list_entry_steps(state, attempt)
    for owner in OWNERS:
        for rule in _OWNER_RULES:
            yield from rule(state, owner, guards)
    if state.stray:
        applied, _ = _apply(state, state.stray, guards)
        yield 'stray_write_arrives', applied._replace(stray=None)


def _list_entry_steps(state: State, attempt: int) -> Iterator[Step]:
    """List the steps of an entry: claim, abandon, or dispatch if granted."""
    steps_by_status = {
        'new': (('ask', 'asked'),),
        'asked': (('give_up', 'told'),),
        'granted': (('dispatch', 'sent'),),
    }
    for label, status in steps_by_status.get(state.status[attempt], ()):
        changed = replace_part(state.status, attempt, status)
        yield f'{label}_{ATTEMPTS[attempt]}', state._replace(status=changed)


def _take_over(
    state: State,
    owner: int,
    guards: frozenset[str],
) -> Iterator[Step]:
    """The owner takes the shard over and copies the journal."""
    if state.views[owner] or state.writes[owner]:
        return
    version = state.version + 1
    view = OwnerView(version, state.record, state.voided)
    if 'read_at_take_over' not in guards:
        view = OwnerView(version, NO_ATTEMPT)
    yield (
        f'take_over_{owner}',
        state._replace(
            version=version,
            record=view.record,
            voided=view.voided,
            views=replace_part(state.views, owner, view),
        ),
    )


def _claim(state: State, owner: int, guards: frozenset[str]) -> Iterator[Step]:
    """The owner writes a claim for an attempt if the key is unclaimed."""
    view = state.views[owner]
    if view is None or state.writes[owner]:
        return
    for index, attempt in enumerate(ATTEMPTS):
        free = view.record == NO_ATTEMPT and attempt not in view.voided
        if not free or state.status[index] not in CLAIMABLE_STATUSES:
            continue
        write = Write(view.version, attempt, view.voided)
        claimed = state._replace(
            writes=replace_part(state.writes, owner, write)
        )
        if 'grant_after_write' not in guards:
            claimed = _grant(claimed, index, guards)
        yield f'claim_{attempt}_at_{owner}', claimed


def _write_arrives(
    state: State,
    owner: int,
    guards: frozenset[str],
) -> Iterator[Step]:
    """The write of an owner reaches the store and is applied or rejected."""
    write = state.writes[owner]
    if write is None or write.state != 'flying':
        return
    applied, done = _apply(state, write, guards)
    decided = write._replace(
        state='done' if done else 'lost',
        version=applied.version,
    )
    yield (
        f'write_of_{owner}',
        applied._replace(writes=replace_part(state.writes, owner, decided)),
    )


def _answer_arrives(
    state: State,
    owner: int,
    guards: frozenset[str],
) -> Iterator[Step]:
    """The answer to a write reaches its owner, which grants the claim.

    After a conflict the owner discards its copy of the journal instead.
    """
    write = state.writes[owner]
    if write is None or write.state == 'flying':
        return
    idle = state._replace(writes=replace_part(state.writes, owner, None))
    if write.state == 'lost':
        yield (
            f'conflict_at_{owner}',
            idle._replace(views=replace_part(state.views, owner, None)),
        )
        return
    view = OwnerView(write.version, write.record, write.voided)
    known = idle._replace(views=replace_part(state.views, owner, view))
    index = ATTEMPTS.index(write.record)
    yield f'answer_at_{owner}', _grant(known, index, guards)


def _lose_answer(
    state: State, owner: int, guards: frozenset[str]
) -> Iterator[Step]:
    """The answer to a write is lost, so its outcome is unknown.

    The write may have reached the store already or may do so later.
    """
    write = state.writes[owner]
    if write is None:
        return
    idle = state._replace(
        writes=replace_part(state.writes, owner, None),
        views=replace_part(state.views, owner, None),
    )
    if write.state == 'flying':
        if state.stray:
            return
        idle = idle._replace(stray=write)
    yield f'doubt_at_{owner}', idle


def _release(
    state: State,
    owner: int,
    guards: frozenset[str],
) -> Iterator[Step]:
    """The owner releases an attempt that its entry has abandoned."""
    view = state.views[owner]
    if view is None or state.writes[owner] or view.version != state.version:
        return
    for index, attempt in enumerate(ATTEMPTS):
        if state.status[index] != 'told':
            continue
        released = state._replace(
            status=replace_part(state.status, index, 'released'),
        )
        settled = OwnerView(
            state.version + 1,
            NO_ATTEMPT if view.record == attempt else view.record,
            view.voided,
        )
        if 'void_after_release' in guards:
            settled = settled._replace(voided=view.voided | {attempt})
        yield (
            f'release_{attempt}_at_{owner}',
            released._replace(
                version=settled.version,
                record=settled.record,
                voided=settled.voided,
                views=replace_part(state.views, owner, settled),
            ),
        )


def _grant(state: State, index: int, guards: frozenset[str]) -> State:
    """The grant reaches the entry, which may have abandoned the attempt."""
    status = state.status[index]
    if status == 'asked':
        return state._replace(
            status=replace_part(state.status, index, 'granted')
        )
    if status == 'told' and 'no_late_grant' not in guards:
        return state._replace(status=replace_part(state.status, index, 'both'))
    return state


def _apply(
    state: State,
    write: Write,
    guards: frozenset[str],
) -> tuple[State, bool]:
    """Apply a write to the store if its base is the current version."""
    if 'conditional_write' in guards and write.base != state.version:
        return state, False
    applied = state._replace(
        version=state.version + 1,
        record=write.record,
        voided=write.voided,
    )
    return applied, True


Rule = Callable[[State, int, frozenset[str]], Iterator[Step]]
_OWNER_RULES: tuple[Rule, ...] = (
    _take_over,
    _claim,
    _write_arrives,
    _answer_arrives,
    _lose_answer,
    _release,
)
