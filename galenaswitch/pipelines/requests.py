"""A caller's pipeline request and the progress of its attempts."""

from typing import Any, NamedTuple

from galenaswitch.contracts.documents import Contract, Pipeline, Stage
from galenaswitch.errors import TargetBrokenError, TargetError
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from galenaswitch.routing.choice import WorkEstimate

CHARACTERS_PER_TOKEN = 4
# Targets that one request may break before it counts as what breaks them.
MAX_BROKEN_TARGETS = 3


class PipelineRequest(NamedTuple):
    """A pipeline request that passed its checks.

    :param ident: id of the request.
    :param contract: contract of the request; later versions don't affect it.
    :param contract_version: version of the contract in the store.
    :param pipeline: pipeline at the time when the request started.
    :param prompt: input text of the caller.
    :param fields: fields of the caller for plain services.
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
        """Estimated number of tokens in the prompt.

        >>> estimate_tokens('a' * 9)
        3
        """
        return estimate_tokens(self.prompt)


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens in a text, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


class Progress:
    """Attempts, costs and tokens of one request so far.

    :ivar trial: fingerprint whose trial the request is, empty for none.
    """

    def __init__(self) -> None:
        """Build the progress of a request without attempts."""
        self.useful_cost = 0.0
        self.wasted_cost = 0.0
        self.attempts = 0
        self.tokens = 0
        self.trial = ''
        self._sent = 0
        self._broken = 0
        self._outcome_unknown = False
        self._nonrepeatable_ran = False

    @property
    def run(self) -> ExecutionState:
        """Execution state of the request that a refusal reports.

        >>> progress = Progress()
        >>> progress.run.value
        'not-run'
        >>> progress.record_sent(repeatable=True)
        >>> progress.run.value
        'partial'
        """
        if self._outcome_unknown or self._nonrepeatable_ran:
            return ExecutionState.unknown
        return ExecutionState.partial if self._sent else ExecutionState.not_run

    @property
    def sent(self) -> int:
        """Number of attempts that have run or may have run.

        >>> progress = Progress()
        >>> progress.record_sent(repeatable=True)
        >>> progress.record_not_run()
        >>> progress.sent, progress.attempts
        (0, 1)
        """
        return self._sent

    @property
    def is_harmless(self) -> bool:
        """Whether the request may be sent to one more target."""
        return self._broken < MAX_BROKEN_TARGETS

    def record_sent(self, *, repeatable: bool) -> None:
        """Record that an attempt is about to be sent and may run."""
        self.attempts += 1
        self._sent += 1
        self._outcome_unknown = not repeatable

    def record_failure(self, error: TargetError) -> None:
        """Record that an attempt failed, perhaps by what the request holds."""
        self._broken += isinstance(error, TargetBrokenError)

    def record_tokens(self, count: int) -> None:
        """Record the tokens that an attempt made.

        A request that an engine has begun to answer is harmless.
        """
        self.tokens += count
        if count:
            self._broken = 0

    def check_harmless(self) -> None:
        """Check that the request may be sent to one more target.

        :raises RefusedError: when it broke too many targets.
        """
        if not self.is_harmless:
            raise RefusedError(
                Reason.stage_failed,
                self.run,
                'the request broke its targets',
            )

    def record_not_run(self) -> None:
        """Record that the last attempt did not run.

        Its target was unreachable or refused it.
        """
        self._sent -= 1
        self._outcome_unknown = False

    def record_success(self, *, repeatable: bool) -> None:
        """Record that an attempt succeeded.

        Once a call that isn't repeatable has run, the outcome of the request
        stays unknown even if a later stage fails. So the caller can't run
        the request again.
        """
        self._outcome_unknown = False
        self._nonrepeatable_ran = self._nonrepeatable_ran or not repeatable


class StageRun(NamedTuple):
    """A stage of one request with the data that its attempts need.

    :param request: the caller's request.
    :param stage: stage of the request's pipeline.
    :param payload: input of the stage.
    :param work: estimated work of the stage.
    :param progress: progress of the request.
    """

    request: PipelineRequest
    stage: Stage
    payload: dict[str, Any]
    work: WorkEstimate
    progress: Progress


def name_token_latencies(pool: str, workspace: str) -> tuple[str, str]:
    """Return the names of latency averages per token, most specific first.

    The average of a workspace's own streams predicts its next stream better
    than the pool's average, because engines serve requests by priority.

    >>> name_token_latencies('runners', 'lab')
    ('runners/token/lab', 'runners/token')
    """
    return (f'{pool}/token/{workspace}', f'{pool}/token')
