"""Synthetic request traces with Poisson arrivals.

The same seed gives the same trace.
"""

import random
from typing import NamedTuple

REPORT_CHARACTERS = 8192
REPORT_COUNT = 12
ANSWER_TOKENS = 32
QUESTION_CHARACTERS = 64
ZIPF_EXPONENT = 0.8


class Workspace(NamedTuple):
    """Workspace that sends requests in a trace.

    :param share: share of the requests that come from the workspace.
    """

    name: str
    share: float

    @property
    def token(self) -> str:
        """API token of the workspace."""
        return f'{self.name}-token'


WORKSPACES = (
    Workspace('large-1', 0.4),
    Workspace('large-2', 0.3),
    Workspace('small-1', 0.1),
    Workspace('small-2', 0.1),
    Workspace('small-3', 0.1),
)
PIPELINE_SHARES = (('tour-note', 0.7), ('summary', 0.1), ('seats', 0.2))
GENERATING_SHARE = 0.8


class Arrival(NamedTuple):
    """One request of a trace.

    :param at: arrival time in seconds after the start.
    :param report: number of the report at the start of the prompt.
    :param question: number of the question, which makes the prompt unique.
    """

    at: float
    workspace: Workspace
    pipeline: str
    report: int
    question: int


def make_trace(
    seed: int,
    rate: float,
    seconds: float,
    workspaces: tuple[Workspace, ...] = WORKSPACES,
) -> tuple[Arrival, ...]:
    """Return the arrivals of an open-loop Poisson process.

    :param rate: requests per second of all workspaces together.

    >>> make_trace(1, 10, 5) == make_trace(1, 10, 5)
    True
    """
    rng = random.Random(seed)
    arrivals = []
    at = rng.expovariate(rate)
    while at < seconds:
        arrivals.append(_draw_arrival(rng, at, len(arrivals), workspaces))
        at += rng.expovariate(rate)
    return tuple(arrivals)


def _draw_arrival(
    rng: random.Random,
    at: float,
    number: int,
    workspaces: tuple[Workspace, ...],
) -> Arrival:
    shares = [workspace.share for workspace in workspaces]
    workspace = rng.choices(workspaces, shares)[0]
    names = [name for name, _ in PIPELINE_SHARES]
    pipeline = rng.choices(names, [share for _, share in PIPELINE_SHARES])[0]
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(REPORT_COUNT)]
    report = rng.choices(range(REPORT_COUNT), weights)[0]
    return Arrival(at, workspace, pipeline, report, number)


def make_prompt(arrival: Arrival) -> str:
    """Return a prompt of a long shared report and a short unique question."""
    name = f'{arrival.workspace.name} report {arrival.report}: '
    text = name * (REPORT_CHARACTERS // len(name) + 1)
    question = f'question {arrival.question} '.ljust(QUESTION_CHARACTERS, '?')
    return text[:REPORT_CHARACTERS] + question


def count_distinct(trace: tuple[Arrival, ...]) -> tuple[int, int]:
    """Count the distinct reports and the generating requests of a trace."""
    generating_arrivals = [
        arrival for arrival in trace if arrival.pipeline != 'seats'
    ]
    distinct_reports = {
        (arrival.workspace.name, arrival.report)
        for arrival in generating_arrivals
    }
    return len(distinct_reports), len(generating_arrivals)
