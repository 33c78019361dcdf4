"""Model of configuration synchronization for model checking.

The model has one configuration item, a store and two machines. Its steps
follow :mod:`galenaswitch.configuration`: a catalog accepts newer versions, and
a relay pushes them. Before a new machine is ready, it reads the store or, in
an outage, syncs with its reachable peers.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

# Rules of the protocol that tests remove, to see that an invariant fails
# without them.
GUARDS = frozenset(
    ('keep_highest', 'ask_peers', 'ready_peers', 'deletion_is_version'),
)
MAX_VERSION = 3
NODES = (0, 1)
ABSENT = 0


class Node(NamedTuple):
    """State of one machine.

    :param version: version of the item in force, 0 if there is none.
    :param ready: whether the machine serves callers.
    :param seen: highest version in force since the machine started.
    """

    version: int = ABSENT
    ready: bool = False
    seen: int = ABSENT


class State(NamedTuple):
    """State of the model.

    :param store: version of the item in the store. The last version is a
        deletion.
    :param store_is_up: whether the store answers.
    :param nodes: states of the machines.
    :param pushes: undelivered pushes as ``(receiver, version)``.
    :param became_ready_outdated: whether a machine became ready with a lower
        version than a reachable ready peer.
    :param reverted: whether a machine changed to a lower version.
    """

    store: int = 1
    store_is_up: bool = True
    nodes: tuple[Node, ...] = (Node(), Node())
    pushes: frozenset[tuple[int, int]] = frozenset()
    became_ready_outdated: bool = False
    reverted: bool = False


Step = tuple[str, State]


def make_protocol(guards: frozenset[str] = GUARDS) -> Protocol:
    """Return the model with a subset of its guards.

    :param guards: guards that the model keeps, a subset of :data:`GUARDS`.
    """
    return Protocol(
        name='configuration',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda plain: [
            (label, tuple(state))
            for label, state in _list_steps(State(*plain), guards)
        ],
        invariants={
            'never_reverts': lambda state: not state['reverted'],
            'starts_current': lambda state: not state['became_ready_outdated'],
            'ready_has_learned': lambda state: all(
                Node(*node).seen or not Node(*node).ready
                for node in state['nodes']
            ),
        },
    )


def _list_steps(state: State, guards: frozenset[str]) -> Iterator[Step]:
    yield 'outage_toggles', state._replace(store_is_up=not state.store_is_up)
    if state.store_is_up and state.store < MAX_VERSION:
        yield 'operator_writes', state._replace(store=state.store + 1)
    for number in NODES:
        yield from _list_node_steps(state, number, guards)
    for push in state.pushes:
        rest = state._replace(pushes=state.pushes - {push})
        yield f'push_{push}', _accept(rest, *push, guards)
        yield f'lost_{push}', rest


def _list_node_steps(
    state: State,
    number: int,
    guards: frozenset[str],
) -> Iterator[Step]:
    """List the steps of one machine: restart, read the store, push, join."""
    node = state.nodes[number]
    yield f'restart_{number}', _replace_node(state, number, Node())
    if state.store_is_up:
        synced = _accept(state, number, state.store, guards)
        current = synced.nodes[number]._replace(ready=True)
        yield f'read_store_{number}', _replace_node(synced, number, current)
    if node.ready and node.version:
        push = (1 - number, node.version)
        pushed = state._replace(pushes=state.pushes | {push})
        yield f'relay_{number}', pushed
    if not (state.store_is_up or node.ready):
        yield from _list_join_steps(state, number, guards)


def _list_join_steps(
    state: State,
    number: int,
    guards: frozenset[str],
) -> Iterator[Step]:
    """List the steps by which a machine becomes ready in a store outage."""
    peer = state.nodes[1 - number]
    if 'ready_peers' in guards and not peer.ready:
        return
    synced = state
    if 'ask_peers' in guards:
        synced = _accept(state, number, peer.version, guards)
    joined = synced.nodes[number]._replace(ready=True)
    is_behind = peer.ready and joined.version < peer.version
    outdated = state.became_ready_outdated or is_behind
    yield (
        f'join_{number}',
        _replace_node(synced, number, joined)._replace(
            became_ready_outdated=outdated
        ),
    )


def _accept(
    state: State,
    number: int,
    version: int,
    guards: frozenset[str],
) -> State:
    """Apply a version at a machine. The last version deletes the item."""
    node = state.nodes[number]
    newer = version > node.version
    if 'keep_highest' in guards and not newer:
        return state
    held = version
    if version == MAX_VERSION and 'deletion_is_version' not in guards:
        held = ABSENT
    changed = node._replace(version=held, seen=max(node.seen, version))
    reverted = state.reverted or version < node.seen
    return _replace_node(state, number, changed)._replace(reverted=reverted)


def _replace_node(state: State, number: int, node: Node) -> State:
    """Return the state with one machine replaced."""
    nodes = tuple(
        node if index == number else held
        for index, held in enumerate(state.nodes)
    )
    return state._replace(nodes=nodes)
