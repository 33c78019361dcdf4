"""Checks of a target's answers to batches.

An answer to a batch doesn't name it, and a target may write an earlier answer
once more on a kept connection. An answer is matched to the batch if it names a
new result; after any other the batch's own may still come, so the connection
is closed.
"""

from collections import OrderedDict

from galenaswitch.connections.heads import AnswerHead
from galenaswitch.errors import InvalidInputError, TargetBusyError
from galenaswitch.gateway.calls import Wire, WorkItemResult
from galenaswitch.gateway.sending import Attempt
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.batch_queue import Batch

OK = 200
# Most results that are remembered. Answers are written again within seconds.
MAX_RESULTS = 8192


class BatchAnswers:
    """Answers of a service's targets to batches, and the results they named."""

    def __init__(self, wire: Wire) -> None:
        """Build the checks of a service without answers."""
        self._wire = wire
        self._named: OrderedDict[tuple[str, str], None] = OrderedDict()

    def read(
        self, attempt: Attempt, answer: AnswerHead, content: bytes, batch: Batch
    ) -> tuple[WorkItemResult, ...]:
        """Return the outcome of each work item of a batch.

        :param attempt: attempt whose connection is closed unless the answer is
            matched to the batch.
        :raises TargetBusyError: when the target states that it ran nothing.
        :raises InvalidInputError: when the answer isn't one to this batch.
        """
        is_matched = False
        try:
            outcomes = self._decode(answer, content)
            if len(outcomes) != len(batch.work_items):
                raise InvalidInputError('the answer has a wrong outcome count')
            is_matched = self._record_results(batch.target, outcomes)
        finally:
            if not is_matched:
                attempt.close()
        return outcomes

    def _decode(
        self, answer: AnswerHead, content: bytes
    ) -> tuple[WorkItemResult, ...]:
        if self._wire.is_not_run(answer):
            raise TargetBusyError(
                f'target did not run the batch: status {answer.status}'
            )
        if answer.status != OK:
            raise InvalidInputError(f'batch failed: status {answer.status}')
        return self._wire.read_batch(content)

    def _record_results(
        self, target: Target, outcomes: tuple[WorkItemResult, ...]
    ) -> bool:
        """Remember the results of an answer and tell whether there are any.

        :raises InvalidInputError: when an earlier answer named one of them.
        """
        named = [
            (target.incarnation, outcome.handle)
            for outcome in outcomes
            if outcome.handle
        ]
        if any(one in self._named for one in named):
            raise InvalidInputError('the answer is that to an earlier batch')
        self._named.update(dict.fromkeys(named))
        while len(self._named) > MAX_RESULTS:
            self._named.popitem(last=False)
        return bool(named)
