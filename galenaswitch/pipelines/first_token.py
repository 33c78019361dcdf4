"""How long a stream's first token is waited for."""

import asyncio
from collections.abc import Iterator

from galenaswitch.errors import TargetLateError
from galenaswitch.membership.lists import Target
from galenaswitch.pipelines.budgets import Budgets
from galenaswitch.pipelines.dispatch import Dispatcher
from galenaswitch.pipelines.requests import StageRun
from galenaswitch.pipelines.streams import STALL_SECONDS
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.loads import LoadView

FIRST_TOKEN_FACTOR = 3
AGAIN_SECONDS = 0.25


class FirstTokenTimeout:
    """Decides whether a queued stream is given up for another target."""

    def __init__(
        self,
        loads: LoadView,
        dispatcher: Dispatcher,
        budgets: Budgets,
    ) -> None:
        """Judge by reported loads and by what ``dispatcher`` predicts."""
        self._budgets = budgets
        self._loads = loads
        self._dispatcher = dispatcher

    def check_feasible(self, job: StageRun, target: Target, made: int) -> None:
        """Refuse what a target can't generate in the time left.

        :param made: tokens of the answer that came before.
        :raises RefusedError: when the answer is known to be too long.
        """
        hopeless = self._find_slack(job, target, made) < 0
        if hopeless and self._dispatcher.shedding:
            raise RefusedError(Reason.hopeless, job.progress.run)

    def plan_waits(
        self,
        job: StageRun,
        target: Target,
        made: int,
    ) -> Iterator[float]:
        """Give the waits for the first token, until it isn't worth more.

        A busy engine that lives is waited for, since the place in its queue
        would be lost, unless another one is expected to be sooner by far
        and may still be tried.

        :param made: tokens of the answer that came before.
        :raises RefusedError: when no target can finish any more.
        :raises TargetLateError: when another one is worth more.
        """
        slack = max(0, self._find_slack(job, target, made))
        yield min(slack, self._expect(job, target))
        while self.is_alive(target):
            if not self._is_worth_waiting(job, target, made):
                raise TargetLateError(f'{target.name} is not the soonest')
            yield AGAIN_SECONDS

    def is_alive(self, target: Target) -> bool:
        """Tell whether a target has reported its load of late."""
        now = asyncio.get_running_loop().time()
        return self._loads.get_load(target.name).is_fresh(now)

    def _find_slack(self, job: StageRun, target: Target, made: int) -> float:
        """Return the seconds for which the first token can be late."""
        left = job.request.deadline - asyncio.get_running_loop().time()
        tokens = max(0, job.work.observed_answer_tokens - made)
        load = self._loads.get_load(target.name)
        return left - load.decode_seconds(tokens, target.capacity)

    def _expect(self, job: StageRun, target: Target) -> float:
        work = job.work._replace(now=asyncio.get_running_loop().time())
        expected = self._dispatcher.predict(target, work)
        if not expected:
            return job.request.deadline - work.now
        return STALL_SECONDS + expected * FIRST_TOKEN_FACTOR

    def _is_worth_waiting(
        self,
        job: StageRun,
        target: Target,
        made: int,
    ) -> bool:
        work = job.work._replace(now=asyncio.get_running_loop().time())
        other = self._dispatcher.choose(
            job.stage,
            work,
            frozenset((target.name,)),
        )
        if self._find_slack(job, target, made) <= 0:
            self.check_feasible(job, other or target, made)
        if other is None:
            return True
        gain = self._dispatcher.predict(target, work)
        gain -= self._dispatcher.predict(other, work)
        if gain < STALL_SECONDS:
            return True
        return not self._budgets.retries(job.stage.pool).acquire()
