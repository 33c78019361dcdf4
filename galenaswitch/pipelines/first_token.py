"""Timeout for the first token of a stream.

A stream that waits in an engine's queue is abandoned only if another target
is expected to answer much sooner, or if no target can finish in time.
"""

import asyncio
from collections.abc import Iterator

from galenaswitch.errors import TargetLateError
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.requests import StageRun
from galenaswitch.pipelines.streams import RECHECK_SECONDS, STALL_SECONDS
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.loads import LoadView

# The first timeout is this multiple of the predicted duration, plus the stall
# time.
FIRST_TOKEN_FACTOR = 3
NO_TARGETS: frozenset[str] = frozenset()


class FirstTokenTimeout:
    """Decides how long a stream waits for its first token."""

    def __init__(
        self,
        loads: LoadView,
        dispatcher: Dispatcher,
        budgets: Budgets,
    ) -> None:
        """Build the timeout from load reports and predicted durations."""
        self._budgets = budgets
        self._loads = loads
        self._dispatcher = dispatcher

    def check_feasible(
        self, job: StageRun, target: Target, tokens_made: int
    ) -> None:
        """Refuse an answer that a target can't generate before the deadline.

        :param tokens_made: tokens of the answer that exist already.
        :raises RefusedError: when the rest of the answer takes too long.
        """
        infeasible = self._find_slack(job, target, tokens_made) < 0
        if infeasible and self._dispatcher.shedding:
            raise RefusedError(Reason.deadline_unreachable, job.progress.run)

    def plan_waits(
        self,
        job: StageRun,
        target: Target,
        tokens_made: int,
        tried: frozenset[str] = NO_TARGETS,
    ) -> Iterator[float]:
        """Yield the timeouts of successive waits for the first token.

        Abandoning a target loses the stream's position in its queue. So the
        wait continues, unless the target is silent or another one is expected
        to be much sooner, and the retry budget allows it.

        :param tokens_made: tokens of the answer that exist already.
        :param tried: names of targets that get the stream no more.
        :raises RefusedError: when no target can finish before the deadline.
        :raises TargetLateError: when another target is the better choice.
        """
        slack = max(0, self._find_slack(job, target, tokens_made))
        yield min(slack, self._find_timeout(job, target))
        tried |= {target.name}
        while self._is_worth_waiting(job, target, tokens_made, tried):
            yield RECHECK_SECONDS
        raise TargetLateError(f'{target.name} is not the fastest target')

    def may_leave(self, job: StageRun, tried: frozenset[str]) -> bool:
        """Tell whether a stream that stalls goes on at another target.

        The retry budget is used for it.

        :param tried: names of targets that get the stream no more.
        """
        work = job.work._replace(now=asyncio.get_running_loop().time())
        if self._dispatcher.choose(job.stage, work, tried) is None:
            return False
        return self._budgets.retries(job.stage.pool).acquire()

    def is_alive(self, target: Target) -> bool:
        """Tell whether a target has reported its load recently."""
        now = asyncio.get_running_loop().time()
        return self._loads.get_load(target.name).is_fresh(now)

    def _find_slack(
        self, job: StageRun, target: Target, tokens_made: int
    ) -> float:
        """Return the seconds by which the first token can be delayed."""
        seconds_left = job.request.deadline - asyncio.get_running_loop().time()
        tokens = max(0, job.work.observed_answer_tokens - tokens_made)
        load = self._loads.get_load(target.name)
        return seconds_left - load.decode_seconds(tokens, target.capacity)

    def _find_timeout(self, job: StageRun, target: Target) -> float:
        work = job.work._replace(now=asyncio.get_running_loop().time())
        expected = self._dispatcher.predict(target, work)
        if not expected:
            return job.request.deadline - work.now
        return STALL_SECONDS + expected * FIRST_TOKEN_FACTOR

    def _is_worth_waiting(
        self,
        job: StageRun,
        target: Target,
        tokens_made: int,
        tried: frozenset[str],
    ) -> bool:
        work = job.work._replace(now=asyncio.get_running_loop().time())
        other = self._dispatcher.choose(job.stage, work, tried)
        if self._find_slack(job, target, tokens_made) <= 0:
            self.check_feasible(job, other or target, tokens_made)
        if other is None:
            return True
        if not self.is_alive(target):
            return not self.may_leave(job, tried)
        seconds_gained = self._dispatcher.predict(target, work)
        seconds_gained -= self._dispatcher.predict(other, work)
        if seconds_gained < STALL_SECONDS:
            return True
        return not self._budgets.retries(job.stage.pool).acquire()
