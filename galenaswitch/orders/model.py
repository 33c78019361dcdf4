"""Model of the reconciliation of engine models, for the model checker.

The model has two reconcilers, a lease and an engine with or without fencing.
A reconciler acquires the lease with a growing fencing token, sends the
desired state in load commands, and reads back which models are loaded. A
lease holder may pause between checking the lease and sending a command, so
commands of a former holder can arrive late.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

# Rules of the protocol that tests remove, to see that an invariant or the goal
# fails without them.
GUARDS = frozenset(('engine_checks', 'read_back', 'growing_number'))
MAX_FENCING_TOKEN = 3
HOLDERS = (0, 1)
NO_MODELS = 0


class State(NamedTuple):
    """State of the model.

    :param number: fencing token of the lease in the store.
    :param wanted: number of the desired model set, which operators change.
    :param holders: fencing token that each reconciler believes to hold, 0
        for none.
    :param orders: load commands in flight, as ``(fencing_token, models)``.
    :param fence: highest fencing token that the engine has seen.
    :param models: number of the model set that the engine has loaded.
    :param obeyed_old: whether the engine obeyed a command with a lower
        fencing token than it had seen before.
    """

    number: int = 0
    wanted: int = 1
    holders: tuple[int, ...] = (0, 0)
    orders: frozenset[tuple[int, int]] = frozenset()
    fence: int = 0
    models: int = NO_MODELS
    obeyed_old: bool = False


Step = tuple[str, State]


def make_protocol(guards: frozenset[str] = GUARDS) -> Protocol:
    """Return the model with the given guards.

    The goal of the model is that from every state the engine can still reach
    the desired models with no load command in flight.

    :param guards: names from :data:`GUARDS`. Without ``engine_checks`` the
        engine ignores fencing tokens. Without ``growing_number`` all holders
        get the same token. Without ``read_back`` a reconciler sends commands
        only while no models are loaded.
    """
    return Protocol(
        name='orders',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=lambda plain: [
            (label, tuple(state))
            for label, state in _list_steps(State(*plain), guards)
        ],
        invariants={
            'refuses_old_numbers': lambda state: not state['obeyed_old'],
            'one_holder_per_number': _has_distinct_tokens,
        },
        goal=lambda state: (
            state['models'] == state['wanted'] and not state['orders']
        ),
    )


def _has_distinct_tokens(state: dict[str, tuple[int, ...]]) -> bool:
    first, second = state['holders']
    return not first or first != second


def _list_steps(state: State, guards: frozenset[str]) -> Iterator[Step]:
    if state.wanted < 2:
        yield 'operator_changes', state._replace(wanted=2)
    for holder in HOLDERS:
        yield from _holder_steps(state, holder, guards)
    for order in state.orders:
        remaining = state._replace(orders=state.orders - {order})
        yield f'order_{order}', _apply_command(remaining, *order, guards)


def _holder_steps(
    state: State,
    holder: int,
    guards: frozenset[str],
) -> Iterator[Step]:
    if state.number < MAX_FENCING_TOKEN:
        number = state.number + 1
        if 'growing_number' not in guards:
            number = max(1, state.number)
        yield (
            f'acquire_{holder}',
            state._replace(
                number=number,
                holders=_replace_at(state.holders, holder, number),
            ),
        )
    held = state.holders[holder]
    actual_differs = state.models != state.wanted
    may_send = actual_differs if 'read_back' in guards else not state.models
    if held and may_send and len(state.orders) < 2:
        command = (held, state.wanted)
        yield (
            f'send_{holder}',
            state._replace(orders=state.orders | {command}),
        )


def _apply_command(
    state: State,
    fencing_token: int,
    models: int,
    guards: frozenset[str],
) -> State:
    if 'engine_checks' in guards and fencing_token < state.fence:
        return state
    return state._replace(
        fence=max(state.fence, fencing_token),
        models=models,
        obeyed_old=state.obeyed_old or fencing_token < state.fence,
    )


def _replace_at(
    numbers: tuple[int, ...], index: int, number: int
) -> tuple[int, ...]:
    return (*numbers[:index], number, *numbers[index + 1 :])
