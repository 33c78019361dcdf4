"""Choice of model engine under the load patterns that it answers."""

import pytest

from galenaswitch.gateway.calls import PromptPart
from galenaswitch.gateway.routes import EngineLimits
from galenaswitch.membership.lists import Target
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.engines import (
    DEFAULT_PREFILL_RATE,
    EnginePlacements,
    PlacementRequest,
    assign_engine,
)

LIMITS = EngineLimits(slots=4, memory_tokens=100_000)
ZONES = ('north', 'south')
TARGETS = tuple(
    Target(f'e{number}', f'e{number}/1', ZONES[number % 2], 'llm', 'u')
    for number in range(4)
)


def ask(ident, subject='s', own=500, shared=8000, **changes):
    """Return a request whose prompt begins with a shared part."""
    parts = (PromptPart(subject, shared), PromptPart(ident, own))
    fields = {'zone': 'north', 'result_bytes': {}, 'start_in': 1.0, **changes}
    return PlacementRequest(ident, parts, shared + own, 50, **fields)


@pytest.fixture
def placements():
    """Places on four idle engines."""
    return EnginePlacements(Ejector())


def place(placements, wanted, now=0.0, targets=TARGETS):
    """Place a request and return where and how it was placed."""
    return placements.place(wanted, targets, LIMITS, now)


def test_shared_beginning_is_read_once(placements):
    first = place(placements, ask('a'))
    placements.record_first_event('a', 0.2)
    second = place(placements, ask('b'), now=1)
    assert second.target == first.target
    assert (first.new_tokens, second.new_tokens) == (8500, 500)


def test_burst_of_long_prompts_spreads_over_engines(placements):
    chosen = {
        place(
            placements, ask(f'r{n}', subject=f's{n}', shared=20_000)
        ).target.name
        for n in range(4)
    }
    assert len(chosen) == 4


def test_hot_subject_moves_on_before_it_makes_requests_late(placements):
    chosen = [
        place(placements, ask(f'r{n}', own=12_000, start_in=0.6)).target.name
        for n in range(4)
    ]
    assert len(set(chosen)) > 1


def test_results_of_stages_draw_a_request_to_their_zone(placements):
    results = {'south': 6_000_000}
    placement = place(placements, ask('a', shared=100, result_bytes=results))
    assert placement.target.zone == 'south'


def test_full_engines_give_no_place(placements):
    for number in range(LIMITS.slots * len(TARGETS)):
        assert place(placements, ask(f'r{number}', shared=10, own=10))
    assert place(placements, ask('late', shared=10, own=10)) is None
    placements.record_end('r0')
    assert place(placements, ask('late', shared=10, own=10))


def test_memory_of_running_requests_is_not_overbooked(placements):
    only = TARGETS[:1]
    assert place(placements, ask('a', own=50_000), targets=only)
    assert place(placements, ask('b', own=50_000), targets=only) is None


def test_engine_that_failed_a_request_is_avoided(placements):
    first = place(placements, ask('a'))
    placements.record_end('a')
    again = place(placements, ask('a', avoided=(first.target.name,)))
    assert again.target != first.target


def test_slow_engine_is_seen_by_its_first_events(placements):
    slow = TARGETS[0]
    for number in range(12):
        wanted = ask(f'r{number}', subject=f's{number}')
        placement = place(placements, wanted, now=number, targets=(slow,))
        placements.record_first_event(
            f'r{number}', number + placement.first_event_seconds * 5
        )
        placements.record_end(f'r{number}')
    chosen = {
        place(placements, ask(f'x{n}', subject=f't{n}'), now=20).target.name
        for n in range(4)
    }
    assert slow.name not in chosen


def test_expected_time_counts_prompts_not_yet_read(placements):
    only = TARGETS[:1]
    place(placements, ask('a', own=32_000), targets=only)
    second = place(placements, ask('b', subject='t', own=32_000), targets=only)
    assert second.first_event_seconds > 64_000 / DEFAULT_PREFILL_RATE


def test_request_placed_again_counts_once(placements):
    first = place(placements, ask('a'))
    place(placements, ask('a', avoided=(first.target.name,)), now=0.1)
    state = placements.dump()
    assert sum(one['running'] for one in state.values()) == 1
    placements.record_end('a')
    assert not any(one['used_tokens'] for one in placements.dump().values())


def test_prompts_that_ended_unread_delay_nobody(placements):
    only = TARGETS[:1]
    alone = place(placements, ask('x', subject='t'), targets=only)
    placements.record_end('x')
    for number in range(3):
        place(placements, ask(f'r{number}', subject=f's{number}'), targets=only)
        placements.record_end(f'r{number}')
    after = place(placements, ask('y', subject='u'), targets=only)
    assert after.first_event_seconds == pytest.approx(alone.first_event_seconds)


def test_all_machines_assign_a_beginning_to_the_same_engine():
    parts = (PromptPart('shared', 9), PromptPart('own', 1))
    other = (PromptPart('shared', 9), PromptPart('else', 1))
    assert assign_engine(parts, TARGETS) == assign_engine(other, TARGETS[::-1])
    assert assign_engine(parts, ()) is None
