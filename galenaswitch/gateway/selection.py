"""Choice of a target for each attempt of a request to a plain service."""

import asyncio
import time
from collections.abc import Sequence
from typing import NamedTuple

from galenaswitch.connections.errors import detach
from galenaswitch.connections.heads import AnswerHead
from galenaswitch.errors import TargetError
from galenaswitch.gateway.calls import CallerRequest
from galenaswitch.gateway.sending import Sender
from galenaswitch.membership.lists import Members, Target
from galenaswitch.pipelines.requests import Progress
from galenaswitch.quarantine.screening import Screening
from galenaswitch.refusals import Reason, RefusedError, find_timeout_reason
from galenaswitch.routing.choice import Chooser, WorkEstimate
from galenaswitch.routing.return_waits import TargetRecords, UntriedTargets
from galenaswitch.routing.returns import MAX_WAIT_SECONDS

# Seconds after which a request that found no room may be retried.
RETRY_AFTER_SECONDS = 0.5


class Answer(NamedTuple):
    """Complete answer of a target."""

    head: AnswerHead
    body: bytes


class PlainJob:
    """A request to a plain service and the state of its attempts.

    :ivar request: the caller's request.
    :ivar screening: screening of the request.
    :ivar progress: progress of all attempts.
    :ivar tried: names of the targets that were chosen.
    :ivar wait_left: seconds that it may still wait for targets to return.
    :ivar in_flight: monotonic times at which attempts in flight were sent, by
        the names of their targets.
    :ivar error: error of the attempt that failed last.
    :ivar failed: last answer with which a target itself failed.
    :ivar seats: ids of seats that no attempt uses yet, by target.
    """

    def __init__(self, request: CallerRequest, screening: Screening) -> None:
        """Build the state of a request without attempts."""
        self.request = request
        self.screening = screening
        self.progress = Progress()
        self.tried: set[str] = set()
        self.wait_left = MAX_WAIT_SECONDS
        self.in_flight: dict[str, float] = {}
        self.error: TargetError | None = None
        self.failed: Answer | None = None
        self.seats: dict[str, str] = {}

    @property
    def has_attempts_left(self) -> bool:
        """Whether the route allows one more attempt that may run."""
        return self.progress.sent < self.request.route.attempts

    def drop_frames(self) -> None:
        """Drop the frames of the last error, which refer to the body."""
        if self.error:
            detach(self.error)

    def refuse(
        self, reason: Reason, detail: str = '', wait: float = 0
    ) -> RefusedError:
        """Return the refusal of a request for which there is no target now.

        :param reason: reason, if no target may have run the request.
        :param wait: seconds after which the caller may retry.
        """
        if self.progress.sent:
            reason = Reason.stage_failed
        return RefusedError(reason, self.progress.run, detail, wait)


class TargetSelection:
    """Chooses among the targets that take a request now."""

    def __init__(
        self,
        zone: str,
        members: Members,
        sender: Sender,
        chooser: Chooser,
        records: TargetRecords,
    ) -> None:
        """Build a selection for a VM in ``zone``.

        :param chooser: picks one of the usable targets.
        :param records: know which targets fail or have ended.
        """
        self._zone = zone
        self._sender = sender
        self._chooser = chooser
        self._untried = UntriedTargets(members, records)

    async def choose(self, job: PlainJob, max_wait: float) -> Target:
        """Return a target that was not tried yet.

        :param max_wait: longest wait for a target in seconds.
        :raises RefusedError: when there is no target in time.
        """
        now = time.monotonic()
        if now >= job.request.deadline:
            run = job.progress.run
            raise RefusedError(find_timeout_reason(run), run)
        candidates, waited = await self._untried.find(
            job.request.service,
            job.tried,
            min(max_wait, job.wait_left, job.request.deadline - now),
        )
        job.wait_left -= waited
        max_wait = max(0, max_wait - waited)
        if not candidates:
            wait = self._sender.notices.find_pause(job.request.service)
            raise job.refuse(Reason.no_target, wait=wait)
        opened = await self._find_open(job, candidates, max_wait)
        warm = self._sender.turns.cold.prefer_warm(opened)
        chosen = self._choose_untried(job, warm, time.monotonic())
        if self._sender.turns.seats.is_brittle(chosen.pool):
            chosen = await self._find_seat(job, opened, chosen, max_wait)
            opened = (chosen,)
        if chosen.incarnation not in self._sender.turns.rates:
            return chosen
        return await self._find_turn(job, opened, chosen, max_wait)

    def release(self, job: PlainJob) -> None:
        """Free the seats of a job that no attempt has used."""
        while job.seats:
            _, ident = job.seats.popitem()
            self._sender.turns.seats.release(job.request.service, ident)

    async def _find_seat(
        self,
        job: PlainJob,
        candidates: Sequence[Target],
        chosen: Target,
        max_wait: float,
    ) -> Target:
        """Return a target that has room for the request.

        :raises RefusedError: when none of them has room in time.
        """
        others = (one for one in candidates if one is not chosen)
        left = job.request.deadline - time.monotonic()
        found = await self._sender.turns.seats.find_seat(
            (chosen, *others), max_wait, left
        )
        if found is None:
            detail = 'no target has room'
            raise job.refuse(Reason.capacity, detail, RETRY_AFTER_SECONDS)
        target, ident = found
        job.seats[target.name] = ident
        return target

    async def _find_open(
        self, job: PlainJob, candidates: Sequence[Target], max_wait: float
    ) -> Sequence[Target]:
        """Return the targets that aren't paused, after a wait if need be.

        :raises RefusedError: when all are paused for too long.
        """
        notices = self._sender.notices
        wait = await notices.wait_for_open(candidates, max_wait)
        if wait:
            raise job.refuse(Reason.capacity, 'all targets are paused', wait)
        return notices.select(candidates)

    def _choose_untried(
        self, job: PlainJob, candidates: Sequence[Target], now: float
    ) -> Target:
        is_repeat = bool(job.tried)
        work = WorkEstimate((), 0, 0, self._zone, now, is_repeat=is_repeat)
        return self._chooser.choose(candidates, work)

    async def _find_turn(
        self,
        job: PlainJob,
        candidates: Sequence[Target],
        chosen: Target,
        max_wait: float,
    ) -> Target:
        """Return a target that takes the request under its own limit.

        :raises RefusedError: when all targets have a limit, and none of them
            has a turn in time.
        """
        now = time.monotonic()
        rates = self._sender.turns.rates
        limited = [chosen]
        limited.extend(
            one
            for one in candidates
            if one.incarnation in rates and one is not chosen
        )
        unlimited = [one for one in candidates if one.incarnation not in rates]
        target, wait = await self._sender.turns.find_turn(
            job.request.service, limited, 0 if unlimited else max_wait
        )
        if target is None and unlimited:
            return self._choose_untried(job, unlimited, now)
        if target is None:
            detail = 'all targets are at their limits'
            raise job.refuse(Reason.capacity, detail, wait)
        await asyncio.sleep(wait)
        if self._sender.turns.cold.is_turn_over(target, now + wait):
            detail = 'the turn at a cold target has passed'
            raise job.refuse(Reason.capacity, detail, RETRY_AFTER_SECONDS)
        return target
