"""Model of the copies that VMs keep of the store's objects, for model checking.

The store has two objects and a short history. One VM receives what followers
say of it, which may be at any revision: changes between two revisions, whole
listings and signs of life, in any order, repeated or lost. Its copy has to be
what the store was at the copy's revision, and its revision never goes back.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

# Rules of :mod:`galenaswitch.following.copies` that tests remove, to see that
# an invariant fails without them.
GUARDS = frozenset(
    ('skip_older_changes', 'ask_after_gap', 'skip_older_listing', 'digests'),
)
# Writes to the two objects, by the revision after each: the object's number and
# its content, 0 for a removal.
WRITES = ((0, 1), (1, 1), (0, 0), (0, 2), (1, 0))
MAX_REVISION = len(WRITES)
Content = tuple[int, int]


class State(NamedTuple):
    """State of the model.

    :param store: revision of the store.
    :param revision: revision that the VM's copy claims to reflect.
    :param content: the VM's copy of both objects.
    :param highest: highest revision that the copy had.
    """

    store: int = 0
    revision: int = 0
    content: Content = (0, 0)
    highest: int = 0


Step = tuple[str, State]


def find_content(revision: int) -> Content:
    """Return both objects of the store at a revision.

    >>> find_content(1), find_content(4)
    ((1, 0), (2, 1))
    """
    return _replay((0, 0), 0, revision)


def make_protocol(guards: frozenset[str] = GUARDS) -> Protocol:
    """Return the model with a subset of its guards.

    :param guards: guards that the model keeps, a subset of :data:`GUARDS`.
    """
    return Protocol(
        name='following',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda plain: [
            (label, tuple(state))
            for label, state in _list_steps(State(*plain), guards)
        ],
        invariants={
            'never_goes_back': lambda state: (
                state['revision'] == state['highest']
            ),
            'true_copy': lambda state: (
                tuple(state['content']) == find_content(state['revision'])
            ),
        },
    )


def _list_steps(state: State, guards: frozenset[str]) -> Iterator[Step]:
    if state.store < MAX_REVISION:
        yield 'write', state._replace(store=state.store + 1)
    for revision in range(state.store + 1):
        yield f'sign_{revision}', _receive_sign(state, revision, guards)
        yield f'listing_{revision}', _receive_listing(state, revision, guards)
        for base in range(revision):
            yield (
                f'changes_{base}_{revision}',
                _receive_changes(state, base, revision, guards),
            )


def _receive_sign(state: State, revision: int, guards: frozenset[str]) -> State:
    """Advance to the revision of a sign if the objects are the same."""
    if revision < state.revision:
        return state
    if 'digests' in guards and find_content(revision) != state.content:
        return state
    return _keep(state, revision, state.content)


def _receive_listing(
    state: State, revision: int, guards: frozenset[str]
) -> State:
    if 'skip_older_listing' in guards and revision < state.revision:
        return state
    return _keep(state, revision, find_content(revision))


def _receive_changes(
    state: State, base: int, revision: int, guards: frozenset[str]
) -> State:
    if 'skip_older_changes' in guards and revision <= state.revision:
        return state
    if 'ask_after_gap' in guards and base > state.revision:
        return state
    return _keep(state, revision, _replay(state.content, base, revision))


def _replay(content: Content, base: int, revision: int) -> Content:
    """Return both objects after the writes between two revisions."""
    objects = list(content)
    for number, written in WRITES[base:revision]:
        objects[number] = written
    return objects[0], objects[1]


def _keep(state: State, revision: int, content: Content) -> State:
    return state._replace(
        revision=revision,
        content=content,
        highest=max(state.highest, revision),
    )
