"""Timeout for the first token of a stream.

A stream that waits in an engine's queue gets a successor only if another
target is expected to answer much sooner. It is refused if no target can finish
in time.
"""

import asyncio
from collections.abc import Iterator
from itertools import repeat
from typing import Protocol

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


class Leaving(Protocol):
    """Lets a stream that waits for its first token go on elsewhere."""

    @property
    def in_progress(self) -> bool:
        """Whether another target is being tried."""

    def find_tried(self) -> frozenset[str]:
        """Return the names of targets that get the stream no more."""

    def begin(self) -> bool:
        """Try another target; tell whether it has the stream now."""


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
        leaving: Leaving | None = None,
    ) -> Iterator[float]:
        """Yield the timeouts of successive waits for the first token.

        Abandoning a target loses the stream's position in its queue. So the
        wait continues. While the target is silent or another one is expected
        to be much sooner, the other one is tried beside it.

        :param tokens_made: tokens of the answer that exist already.
        :param leaving: tries other targets, ``None`` if there may be none.
        :raises RefusedError: when no target can finish before the deadline.
        """
        slack = max(0, self._find_slack(job, target, tokens_made))
        yield min(slack, self._find_timeout(job, target))
        for pause in repeat(RECHECK_SECONDS):
            if leaving is None:
                self._find_better(job, target, tokens_made, frozenset())
            elif not leaving.in_progress:
                tried = leaving.find_tried()
                if self._find_better(job, target, tokens_made, tried):
                    leaving.begin()
            yield pause

    def find_other(
        self, job: StageRun, tried: frozenset[str], tokens_made: int
    ) -> Target | None:
        """Return an untried target that can finish a stream in time, if any.

        :param tried: names of targets that get the stream no more.
        :param tokens_made: tokens of the answer that exist already.
        """
        work = job.work._replace(now=asyncio.get_running_loop().time())
        other = self._dispatcher.choose(job.stage, work, tried)
        if other is None or not self._dispatcher.shedding:
            return other
        slack = self._find_slack(job, other, tokens_made)
        return other if slack >= 0 else None

    def acquire_retry(self, job: StageRun) -> bool:
        """Use the retry budget for a stream; tell whether it allowed it."""
        return self._budgets.retries(job.stage.pool).acquire()

    def has_retry(self, job: StageRun) -> bool:
        """Tell whether the retry budget has a retry left."""
        return self._budgets.retries(job.stage.pool).can_acquire()

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

    def _find_better(
        self,
        job: StageRun,
        target: Target,
        tokens_made: int,
        tried: frozenset[str],
    ) -> Target | None:
        """Return a target that is a better choice, if any.

        :raises RefusedError: when no target can finish before the deadline.
        """
        work = job.work._replace(now=asyncio.get_running_loop().time())
        other = self._dispatcher.choose(job.stage, work, tried | {target.name})
        if self._find_slack(job, target, tokens_made) <= 0:
            self.check_feasible(job, other or target, tokens_made)
        if other is None or not self.is_alive(target):
            return other
        seconds_gained = self._dispatcher.predict(target, work)
        seconds_gained -= self._dispatcher.predict(other, work)
        return other if seconds_gained >= STALL_SECONDS else None
