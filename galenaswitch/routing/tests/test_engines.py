"""Placement of requests on engines under typical load patterns."""

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

LIMITS = EngineLimits(slots=4, kv_cache_tokens=100_000)
ZONES = ('north', 'south')
TARGETS = tuple(
    Target(f'e{number}', f'e{number}/1', ZONES[number % 2], 'llm', 'u')
    for number in range(4)
)


def make_request(
    ident, shared_part='s', own_tokens=500, shared_tokens=8000, **changes
):
    """Return a request whose prompt begins with a shared part."""
    parts = (
        PromptPart(shared_part, shared_tokens),
        PromptPart(ident, own_tokens),
    )
    fields = {'zone': 'north', 'result_bytes': {}, 'start_in': 1.0, **changes}
    return PlacementRequest(
        ident, parts, shared_tokens + own_tokens, 50, **fields
    )


@pytest.fixture
def placements():
    """Return the placements of a service before its first request."""
    return EnginePlacements(Ejector())


def place(placements, request, now=0.0, targets=TARGETS):
    """Place a request and return its placement, ``None`` without one."""
    return placements.place(request, targets, LIMITS, now)


def test_shared_prompt_beginning_is_prefilled_once(placements):
    first = place(placements, make_request('a'))
    placements.record_first_event('a', 0.2)
    second = place(placements, make_request('b'), now=1)
    assert second.target == first.target
    assert (first.new_tokens, second.new_tokens) == (8500, 500)


def test_burst_of_long_prompts_spreads_over_engines(placements):
    chosen = {
        place(
            placements,
            make_request(f'r{n}', shared_part=f's{n}', shared_tokens=20_000),
        ).target.name
        for n in range(4)
    }
    assert len(chosen) == 4


def test_popular_prompt_uses_more_engines_before_requests_are_late(placements):
    chosen = [
        place(
            placements, make_request(f'r{n}', own_tokens=12_000, start_in=0.6)
        ).target.name
        for n in range(4)
    ]
    assert len(set(chosen)) > 1


def test_request_is_placed_in_the_zone_of_its_stage_results(placements):
    results = {'south': 6_000_000}
    placement = place(
        placements, make_request('a', shared_tokens=100, result_bytes=results)
    )
    assert placement.target.zone == 'south'


def test_full_engines_get_no_placement(placements):
    for number in range(LIMITS.slots * len(TARGETS)):
        assert place(
            placements,
            make_request(f'r{number}', shared_tokens=10, own_tokens=10),
        )
    assert (
        place(placements, make_request('late', shared_tokens=10, own_tokens=10))
        is None
    )
    placements.record_end('r0')
    assert place(
        placements, make_request('late', shared_tokens=10, own_tokens=10)
    )


def test_memory_of_running_requests_is_not_overcommitted(placements):
    only = TARGETS[:1]
    assert place(placements, make_request('a', own_tokens=50_000), targets=only)
    assert (
        place(placements, make_request('b', own_tokens=50_000), targets=only)
        is None
    )


def test_engine_that_failed_a_request_is_avoided(placements):
    first = place(placements, make_request('a'))
    placements.record_end('a')
    second = place(placements, make_request('a', avoided=(first.target.name,)))
    assert second.target != first.target


def test_slow_engine_is_detected_by_late_first_events(placements):
    slow = TARGETS[0]
    for number in range(12):
        request = make_request(f'r{number}', shared_part=f's{number}')
        placement = place(placements, request, now=number, targets=(slow,))
        placements.record_first_event(
            f'r{number}', number + placement.first_event_seconds * 5
        )
        placements.record_end(f'r{number}')
    chosen = {
        place(
            placements, make_request(f'x{n}', shared_part=f't{n}'), now=20
        ).target.name
        for n in range(4)
    }
    assert slow.name not in chosen


def test_first_event_estimate_includes_pending_prefills(placements):
    only = TARGETS[:1]
    place(placements, make_request('a', own_tokens=32_000), targets=only)
    second = place(
        placements,
        make_request('b', shared_part='t', own_tokens=32_000),
        targets=only,
    )
    assert second.first_event_seconds > 64_000 / DEFAULT_PREFILL_RATE


def test_request_placed_again_counts_once(placements):
    first = place(placements, make_request('a'))
    place(placements, make_request('a', avoided=(first.target.name,)), now=0.1)
    state = placements.dump()
    assert sum(one['running'] for one in state.values()) == 1
    placements.record_end('a')
    assert not any(one['used_tokens'] for one in placements.dump().values())


def test_requests_ended_before_prefill_delay_no_others(placements):
    only = TARGETS[:1]
    alone = place(placements, make_request('x', shared_part='t'), targets=only)
    placements.record_end('x')
    for number in range(3):
        place(
            placements,
            make_request(f'r{number}', shared_part=f's{number}'),
            targets=only,
        )
        placements.record_end(f'r{number}')
    after = place(placements, make_request('y', shared_part='u'), targets=only)
    assert after.first_event_seconds == pytest.approx(alone.first_event_seconds)


def test_all_machines_assign_a_shared_beginning_to_the_same_engine():
    parts = (PromptPart('shared', 9), PromptPart('own', 1))
    other = (PromptPart('shared', 9), PromptPart('else', 1))
    assert assign_engine(parts, TARGETS) == assign_engine(other, TARGETS[::-1])
    assert assign_engine(parts, ()) is None
