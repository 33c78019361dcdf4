"""Where a stage runs: usable targets, waiting for capacity, choice."""

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

WAKE_SECONDS = 0.1
RELEASE_SECONDS = 0.005


class Dispatcher:
    """Finds the target for each attempt at a stage."""

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
        """Choose with ``chooser`` among the members' usable targets.

        :param shedding: whether requests wait for capacity.
        """
        self.shedding = shedding
        self.shares = FairShares()
        self._members = members
        self._loads = loads
        self._ejector = ejector
        self._chooser = chooser
        self._zone = zone
        self._queues: dict[str, FairQueue] = {}
        self._waking = False

    def candidates(self, stage: Stage, work: WorkEstimate) -> list[Target]:
        """Return the targets that may run a stage.

        They are those of the own zone, and engines of other zones that hold
        most of the prompt's prefix: crossing costs less than prefill.
        """
        able = [
            target
            for target in self._members.usable(stage.pool)
            if self._has_model(target, stage)
        ]
        names = self._ejector.select(
            [target.name for target in able],
            work.now,
        )
        kept = [target for target in able if target.name in names]
        return [
            target
            for target in kept
            if target.zone == self._zone
            or self._chooser.holds_prefix(target, work)
        ] or kept

    def widen(self, stage: Stage, now: float) -> list[Target]:
        """Return the targets of all zones that may run a stage."""
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
        """Return the best target not yet tried, ``None`` without any."""
        near = self.candidates(stage, work)
        left = [target for target in near if target.name not in tried]
        if not left:
            left = [
                target
                for target in self.widen(stage, work.now)
                if target.name not in tried
            ]
        return self._chooser.choose(left, work) if left else None

    def predict(self, target: Target, work: WorkEstimate) -> float:
        """Return the expected seconds of the work at a target."""
        return self._chooser.predict(target, work)

    async def wait_for_capacity(
        self,
        request: PipelineRequest,
        stage: Stage,
        progress: Progress,
        work: WorkEstimate,
        needed: Callable[[], float],
    ) -> None:
        """Wait until the stage's pool has room, as the contract says.

        :param work: what is known of the stage's size.
        :param needed: seconds that the rest of the request takes at least.
        :raises RefusedError: ``out-of-capacity`` when the wait is over.
        """
        queue = self._queue(stage)
        if not self.shedding:
            return
        if not len(queue) and self._has_room(request, stage, work):
            return
        if self._has_part(request, stage, work):
            return
        if request.contract.shortage is Shortage.shed:
            raise RefusedError(Reason.capacity, progress.run, stage.pool)
        ticket = queue.join(
            request.contract.workspace,
            request.prompt_tokens + request.max_tokens,
            request.contract.weight,
            lambda: (
                self._has_room(request, stage, work)
                or self._has_part(request, stage, work)
            ),
        )
        served = False
        try:
            refused = await self._wait_turn(
                request,
                queue,
                ticket,
                needed,
            )
            served = not refused
        finally:
            queue.leave(ticket, served=served)
        if refused:
            raise RefusedError(Reason.capacity, progress.run, stage.pool)

    def wake(self) -> None:
        """Let waiting requests look again."""
        if not self._waking:
            self._waking = True
            asyncio.get_running_loop().call_later(
                RELEASE_SECONDS,
                self._release,
            )

    def dump(self) -> dict[str, Any]:
        """Return the requests that wait and run, by pool."""
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

    async def _wait_turn(
        self,
        request: PipelineRequest,
        queue: FairQueue,
        ticket: Ticket,
        needed: Callable[[], float],
    ) -> bool:
        """Return whether the wait ended without a turn."""
        loop = asyncio.get_running_loop()
        end = min(
            loop.time() + request.contract.queue_ms / 1000,
            request.deadline,
        )
        queue.release()
        left = end - loop.time()
        while not await queue.wait(ticket, min(WAKE_SECONDS, left)):
            now = loop.time()
            left = end - now
            if left <= 0 or now + needed() > request.deadline:
                return True
            self.wake()
        return False

    def _release(self) -> None:
        self._waking = False
        for queue in self._queues.values():
            queue.release()

    def _has_part(
        self,
        request: PipelineRequest,
        stage: Stage,
        work: WorkEstimate,
    ) -> bool:
        """Tell whether the workspace may add to the pool in any case."""
        capacity = sum(
            target.capacity for target in self.widen(stage, work.now)
        )
        entries = max(1, len(self._members.machines()))
        room = capacity * OVERCOMMIT_FACTOR / entries
        return self.shares.has_share(stage.pool, request.contract, room)

    def _has_room(
        self,
        request: PipelineRequest,
        stage: Stage,
        work: WorkEstimate,
    ) -> bool:
        """Tell whether a target has room for one more request.

        Without any target there is nothing to wait for here.
        """
        now = asyncio.get_running_loop().time()
        work = work._replace(now=now)
        pool = self.candidates(stage, work)
        if request.contract.shortage is Shortage.other_zone:
            pool = self.widen(stage, now)
        return not pool or any(
            self._loads.get_load(target.name).has_capacity(target.capacity, now)
            for target in pool
        )
