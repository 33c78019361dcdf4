"""Figures of one run, as JSON and as a line of text."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

import numpy

from bench.load import Outcome
from bench.trace import Arrival, count_distinct

DEADLINE_SECONDS = 5
PERCENTILES = (50, 95, 99)
LIMIT_REASONS = frozenset(
    ('over-requests-per-second', 'over-tokens-per-second'),
)
RECOVERY_SECONDS = 5


def meets_deadline(outcome: Outcome) -> bool:
    """Tell whether the answer was complete within the deadline."""
    return outcome.complete and outcome.seconds <= DEADLINE_SECONDS


def share(outcomes: Sequence[Outcome]) -> float:
    """Return the share of requests that met the deadline, 1 for no requests."""
    if not outcomes:
        return 1
    return sum(map(meets_deadline, outcomes)) / len(outcomes)


def find_percentiles_ms(seconds: Sequence[float]) -> dict[str, float]:
    """Return percentiles in milliseconds of durations in seconds."""
    if not seconds:
        return {}
    found = numpy.percentile(seconds, PERCENTILES)
    return {
        f'p{rank}': round(float(seconds_at) * 1000, 1)
        for rank, seconds_at in zip(PERCENTILES, found, strict=True)
    }


def summarize_run(
    outcomes: Sequence[Outcome],
    trace: tuple[Arrival, ...],
    fault_at: float,
) -> dict[str, Any]:
    """Return the figures of a run as its callers see it.

    :param fault_at: time of the fault in seconds after the start; attainment
        after the fault covers requests from five seconds after it.
    """
    names = sorted({outcome.workspace for outcome in outcomes})
    admissible = [
        outcome for outcome in outcomes if outcome.reason not in LIMIT_REASONS
    ]
    after_fault = [
        outcome
        for outcome in outcomes
        if outcome.at > fault_at + RECOVERY_SECONDS
    ]
    token_gaps = [gap for outcome in outcomes for gap in outcome.token_gaps]
    distinct_reports, generating = count_distinct(trace)
    return {
        'offered': len(outcomes),
        'attainment': round(share(outcomes), 4),
        'attainment_admissible': round(share(admissible), 4),
        'attainment_after_fault': round(share(after_fault), 4),
        'workspaces': {
            name: round(
                share(
                    [
                        outcome
                        for outcome in outcomes
                        if outcome.workspace == name
                    ]
                ),
                4,
            )
            for name in names
        },
        'first_token_ms': find_percentiles_ms(
            [outcome.first for outcome in outcomes if outcome.first],
        ),
        'between_tokens_ms': find_percentiles_ms(token_gaps),
        'reasons': dict(
            Counter(outcome.reason for outcome in outcomes if outcome.reason),
        ),
        'reasons_by_workspace': {
            name: dict(
                Counter(
                    outcome.reason
                    for outcome in outcomes
                    if outcome.reason and outcome.workspace == name
                ),
            )
            for name in names
        },
        'ideal_hit_share': round(1 - distinct_reports / max(generating, 1), 4),
    }


def wasted_share(cost: dict[str, int]) -> float:
    """Return the share of cost units spent without producing an answer.

    >>> wasted_share({'useful.encode': 3, 'wasted.encode': 1})
    0.25
    """
    wasted = sum(
        units for name, units in cost.items() if name.startswith('wasted.')
    )
    return wasted / max(1, sum(cost.values()))


def render_run(name: str, figures: dict[str, Any]) -> str:
    """Return one line of text with the main figures of a run."""
    return (
        f'{name:<28} attainment {figures["attainment"]:.3f} '
        f'after fault {figures["attainment_after_fault"]:.3f} '
        f'worst workspace {min(figures["workspaces"].values()):.3f} '
        f'hit {figures["hit_share"]:.3f}/{figures["ideal_hit_share"]:.3f} '
        f'first p95 {figures["first_token_ms"].get("p95", 0):.0f} ms '
        f'cpu {figures["machine_cpu"]:.0f}% '
        f'wasted {wasted_share(figures["cost"]):.3f} '
        f'{figures["reasons"]}'
    )
