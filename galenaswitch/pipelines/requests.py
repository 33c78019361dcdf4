"""One caller's request and what is known of its run."""

from typing import Any, NamedTuple

from galenaswitch.contracts.documents import Contract, Pipeline, Stage
from galenaswitch.refusals import ExecutionState
from galenaswitch.routing.choice import WorkEstimate

CHARACTERS_PER_TOKEN = 4


class PipelineRequest(NamedTuple):
    """A request that passed its checks.

    :param ident: id of the request.
    :param contract: the contract version that it runs under to its end.
    :param contract_version: the store's version of that contract.
    :param pipeline: the pipeline as it was when the request began.
    :param prompt: the caller's input text.
    :param fields: the caller's fields for plain services.
    :param max_tokens: most tokens to generate.
    :param deadline: monotonic time in seconds.
    """

    ident: str
    contract: Contract
    contract_version: int
    pipeline: Pipeline
    prompt: str
    fields: dict[str, Any]
    max_tokens: int
    deadline: float

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens of the prompt.

        >>> count_tokens('a' * 9)
        3
        """
        return count_tokens(self.prompt)


def count_tokens(text: str) -> int:
    """Estimate the tokens of a text, rounding up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


class Progress:
    """What is known of a request's attempts so far."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.useful_cost = 0.0
        self.wasted_cost = 0.0
        self.attempts = 0
        self.tokens = 0
        self._sent = 0
        self._unknown = False
        self._bound = False

    @property
    def run(self) -> ExecutionState:
        """What a refusal may say now.

        >>> progress = Progress()
        >>> progress.run.value
        'not-run'
        >>> progress.record_sent(repeatable=True)
        >>> progress.run.value
        'partial'
        """
        if self._unknown or self._bound:
            return ExecutionState.unknown
        return ExecutionState.partial if self._sent else ExecutionState.not_run

    @property
    def sent(self) -> int:
        """Attempts that have run or may have run.

        >>> progress = Progress()
        >>> progress.record_sent(repeatable=True)
        >>> progress.record_not_run()
        >>> progress.sent, progress.attempts
        (0, 1)
        """
        return self._sent

    def record_sent(self, *, repeatable: bool) -> None:
        """Note, before an attempt, that its bytes may leave."""
        self.attempts += 1
        self._sent += 1
        self._unknown = not repeatable

    def record_not_run(self) -> None:
        """Note that the attempt did not run: unreachable or refused."""
        self._sent -= 1
        self._unknown = False

    def record_settled(self, *, repeatable: bool) -> None:
        """Note that an attempt succeeded.

        If the request fails later all the same, a call that may not be
        repeated has run, so the request must not be run again.
        """
        self._unknown = False
        self._bound = self._bound or not repeatable


class StageRun(NamedTuple):
    """A stage of one request that is to be run.

    :param request: the caller's request.
    :param stage: the stage of its pipeline.
    :param payload: the stage's input.
    :param work: what is known of its size.
    :param progress: what is known of the request's attempts.
    """

    request: PipelineRequest
    stage: Stage
    payload: dict[str, Any]
    work: WorkEstimate
    progress: Progress


def name_token_latencies(pool: str, workspace: str) -> tuple[str, str]:
    """Return the names of the averages of a token's time, nearest first.

    What a workspace's own streams take tells more of its next one than the
    pool's average, since engines serve priorities.

    >>> name_token_latencies('runners', 'lab')
    ('runners/token/lab', 'runners/token')
    """
    return (f'{pool}/token/{workspace}', f'{pool}/token')
