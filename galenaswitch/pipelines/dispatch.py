"""Chooses targets for stages and queues requests while pools are full.

Targets in the entry's own zone come first. A request waits in the fair queue
of its pool until a target has free capacity or until the request is within
its workspace's fair share.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from galenaswitch.contracts.documents import Shortage, Stage
from galenaswitch.membership.lists import Members, Target
from galenaswitch.pipelines.queues import FairQueue, Ticket
from galenaswitch.pipelines.requests import PipelineRequest, Progress
from galenaswitch.pipelines.shares import FairShares
from galenaswitch.refusals import Reason, RefusedError
from galenaswitch.routing.choice import Chooser, WorkEstimate
from galenaswitch.routing.ejection import Ejector
from galenaswitch.routing.loads import OVERCOMMIT_FACTOR, LoadView

RECHECK_SECONDS = 0.1
RELEASE_DELAY_SECONDS = 0.005


class Dispatcher:
    """Finds a target for each attempt at a stage."""

    def __init__(
        self,
        members: Members,
        loads: LoadView,
        ejector: Ejector,
        chooser: Chooser,
        zone: str,
        *,
        shedding: bool = True,
    ) -> None:
        """Build a dispatcher for an entry process of ``zone``.

        :param chooser: selects one of the usable targets in ``members``.
        :param shedding: whether requests wait for capacity and are refused
            when they can't finish in time.
        """
        self.shedding = shedding
        self.shares = FairShares()
        self._members = members
        self._loads = loads
        self._ejector = ejector
        self._chooser = chooser
        self._zone = zone
        self._queues: dict[str, FairQueue] = {}
        self._release_scheduled = False

    def find_candidates(self, stage: Stage, work: WorkEstimate) -> list[Target]:
        """Return the preferred targets for a stage.

        They are the targets in the entry's zone and engines in other zones
        that hold most of the prompt's prefix, because crossing zones costs
        less than prefill. If there are none, targets of all zones are
        returned.
        """
        serving = [
            target
            for target in self._members.usable(stage.pool)
            if self._has_model(target, stage)
        ]
        names = self._ejector.select(
            [target.name for target in serving],
            work.now,
        )
        not_ejected = [target for target in serving if target.name in names]
        return [
            target
            for target in not_ejected
            if target.zone == self._zone
            or self._chooser.holds_prefix(target, work)
        ] or not_ejected

    def find_all_zone_candidates(
        self, stage: Stage, now: float
    ) -> list[Target]:
        """Return the targets of all zones that can run a stage."""
        return [
            target
            for target in self._members.usable(stage.pool)
            if not self._ejector.is_ejected(target.name, now)
            and self._has_model(target, stage)
        ]

    def choose(
        self,
        stage: Stage,
        work: WorkEstimate,
        tried: frozenset[str],
    ) -> Target | None:
        """Return the best untried target, or ``None`` if none is left."""
        candidates = self.find_candidates(stage, work)
        untried = [target for target in candidates if target.name not in tried]
        if not untried:
            untried = [
                target
                for target in self.find_all_zone_candidates(stage, work.now)
                if target.name not in tried
            ]
        return self._chooser.choose(untried, work) if untried else None

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Return the expected seconds until a target starts to answer.

        0 means that there is no estimate.
        """
        return self._chooser.predict(target, work)

    async def wait_for_capacity(
        self,
        request: PipelineRequest,
        stage: Stage,
        progress: Progress,
        work: WorkEstimate,
        estimate_seconds: Callable[[], float],
    ) -> None:
        """Wait until the stage's pool has free capacity.

        The contract says how long a request waits or whether it is refused.

        :param work: estimated work of the stage.
        :param estimate_seconds: estimates the seconds that the remaining
            stages of the request take.
        :raises RefusedError: ``out-of-capacity`` when the wait times out.
        """
        queue = self._queue(stage)
        if not self.shedding:
            return
        if not len(queue) and self._has_capacity(request, stage, work):
            return
        if self._has_share(request, stage, work):
            return
        if request.contract.shortage is Shortage.shed:
            raise RefusedError(Reason.capacity, progress.run, stage.pool)
        ticket = queue.join(
            request.contract.workspace,
            request.prompt_tokens + request.max_tokens,
            request.contract.weight,
            lambda: (
                self._has_capacity(request, stage, work)
                or self._has_share(request, stage, work)
            ),
        )
        served = False
        try:
            refused = await self._wait_times_out(
                request,
                queue,
                ticket,
                estimate_seconds,
            )
            served = not refused
        finally:
            queue.leave(ticket, served=served)
        if refused:
            raise RefusedError(Reason.capacity, progress.run, stage.pool)

    def wake(self) -> None:
        """Schedule a check whether queued requests can be released."""
        if not self._release_scheduled:
            self._release_scheduled = True
            asyncio.get_running_loop().call_later(
                RELEASE_DELAY_SECONDS,
                self._release_next,
            )

    def dump(self) -> dict[str, Any]:
        """Return the numbers of queued and running requests by pool."""
        return {
            'waiting': {
                pool: len(queue) for pool, queue in self._queues.items()
            },
            'running': self.shares.dump(),
        }

    def _has_model(self, target: Target, stage: Stage) -> bool:
        model = f'{stage.model}@{stage.version}'
        return not stage.model or model in self._members.models_of(target)

    def _queue(self, stage: Stage) -> FairQueue:
        return self._queues.setdefault(stage.pool, FairQueue())

    async def _wait_times_out(
        self,
        request: PipelineRequest,
        queue: FairQueue,
        ticket: Ticket,
        estimate_seconds: Callable[[], float],
    ) -> bool:
        """Wait for the release of a request; tell if the wait timed out.

        The wait also ends when the remaining stages no longer fit into the
        time before the deadline.
        """
        loop = asyncio.get_running_loop()
        wait_deadline = min(
            loop.time() + request.contract.queue_ms / 1000,
            request.deadline,
        )
        queue.release()
        seconds_left = wait_deadline - loop.time()
        while not await queue.wait(ticket, min(RECHECK_SECONDS, seconds_left)):
            now = loop.time()
            seconds_left = wait_deadline - now
            if seconds_left <= 0 or now + estimate_seconds() > request.deadline:
                return True
            self.wake()
        return False

    def _release_next(self) -> None:
        self._release_scheduled = False
        for queue in self._queues.values():
            queue.release()

    def _has_share(
        self,
        request: PipelineRequest,
        stage: Stage,
        work: WorkEstimate,
    ) -> bool:
        """Tell whether the request is within its workspace's fair share.

        The pool's capacity is divided equally between all entry processes.
        """
        capacity = sum(
            target.capacity
            for target in self.find_all_zone_candidates(stage, work.now)
        )
        entries = max(1, len(self._members.machines()))
        capacity_per_entry = capacity * OVERCOMMIT_FACTOR / entries
        return self.shares.has_share(
            stage.pool, request.contract, capacity_per_entry
        )

    def _has_capacity(
        self,
        request: PipelineRequest,
        stage: Stage,
        work: WorkEstimate,
    ) -> bool:
        """Tell whether a target has free capacity for one more request.

        The result is also true when the pool has no targets, because waiting
        would not help.
        """
        now = asyncio.get_running_loop().time()
        work = work._replace(now=now)
        pool = self.find_candidates(stage, work)
        if request.contract.shortage is Shortage.other_zone:
            pool = self.find_all_zone_candidates(stage, now)
        return not pool or any(
            self._loads.get_load(target.name).has_capacity(target.capacity, now)
            for target in pool
        )
