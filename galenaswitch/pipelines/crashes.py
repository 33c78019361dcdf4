"""Keeps requests that crash their targets away from them.

A request is known by a fingerprint for each stage, since a stage that answers
says nothing about the next one. Crashes and answers come from the attempts of
this process and, through the control process, from all other VMs.
"""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from galenaswitch.contracts.documents import Stage
from galenaswitch.errors import TargetBrokenError, TargetError
from galenaswitch.membership.lists import Members, Target
from galenaswitch.membership.ranking import pick_nodes
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines.requests import PipelineRequest, Progress, StageRun
from galenaswitch.quarantine.containment import CRASHES_TO_STOP_REPEATS
from galenaswitch.quarantine.detector import CrashDetector
from galenaswitch.quarantine.evidence import CRASHES_TO_QUARANTINE, Evidence
from galenaswitch.quarantine.fingerprints import Fingerprints
from galenaswitch.quarantine.messages import (
    CrashReport,
    ImplicatedPart,
    PartAnswered,
)
from galenaswitch.quarantine.records import (
    MAX_QUARANTINES,
    REQUEST_LIFETIME_SECONDS,
    Quarantine,
    make_refusal,
)
from galenaswitch.quarantine.screening import PROBATION_SECONDS
from galenaswitch.store.objects import ABSENT

News = CrashReport | PartAnswered


class CrashGuard:
    """Crashes, answers and quarantined requests that one process knows of.

    Only one VM of the member list makes the trials of a request, so that all
    together make no more than one VM does.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        fingerprints: Fingerprints,
        tasks: TaskGroup,
        metrics: Metrics,
        is_listening: Callable[[str], Awaitable[bool]],
        send: Callable[[News], None],
    ) -> None:
        """Build a guard without evidence for VM ``node``.

        :param members: names the VMs of which one makes the trials.
        :param is_listening: tells whether a target at a URL accepts
            connections.
        :param send: sends news to the other VMs.
        """
        self._node = node
        self._members = members
        self._fingerprints = fingerprints
        self._metrics = metrics
        self._send = send
        self._evidence = Evidence()
        self._has_crashes = False
        self._quarantines: dict[str, Quarantine] = {}
        self._detector = CrashDetector(tasks, is_listening, self._report_crash)

    def admit(self, request: PipelineRequest, progress: Progress) -> None:
        """Admit a request, possibly as the trial of a quarantined one.

        :raises RefusedError: when the request is quarantined.
        """
        if not self._quarantines:
            return
        for stage in request.pipeline.stages:
            part = self._identify(request, stage)
            self._end_expired(part)
            if part in self._quarantines and not progress.trial:
                progress.trial = self._claim_trial(part)
            self._check(part, progress)

    def check_send(self, job: StageRun) -> None:
        """Check that a stage may be sent to a target now.

        :raises RefusedError: when the request was quarantined meanwhile.
        """
        if self._quarantines:
            part = self._identify(job.request, job.stage)
            self._check(part, job.progress)

    def may_repeat(self, job: StageRun) -> bool:
        """Tell whether a stage that a target broke may be sent again."""
        return self._count_crashes(job) < CRASHES_TO_STOP_REPEATS

    def is_suspect(self, job: StageRun) -> bool:
        """Tell whether a stage crashed a target and was not answered since."""
        return self._count_crashes(job) > 0

    def record_answer(self, job: StageRun) -> None:
        """Record that a stage has not crashed its target."""
        if self._has_crashes:
            part = self._identify(job.request, job.stage)
            answer = PartAnswered(part, 0)
            if self.add_answer(answer):
                self._send(answer)

    async def record_failure(
        self,
        job: StageRun,
        target: Target,
        error: TargetError,
        sent_at: float,
        answered_seconds: float = 0,
    ) -> None:
        """Implicate a stage if its target crashed before the end of probation.

        :param sent_at: monotonic time in seconds of the send to the target.
        :param answered_seconds: seconds since the first part of the answer.
        """
        if answered_seconds >= PROBATION_SECONDS:
            self.record_answer(job)
            return
        if not isinstance(error, TargetBrokenError):
            return
        part = ImplicatedPart(
            self._identify(job.request, job.stage),
            position=0,
            answered=False,
            sent_age=time.monotonic() - sent_at,
        )
        await self._detector.examine(target, job.request.ident, (part,))

    def add_crash(self, report: CrashReport) -> bool:
        """Merge a crash and return whether it was news."""
        now = time.monotonic()
        if not self._evidence.add_crash(report, now):
            return False
        self._has_crashes = True
        for part in report.parts:
            crashes = self._evidence.count_crashes(part.ident)
            if crashes >= CRASHES_TO_QUARANTINE:
                self._begin(part.ident, now)
        return True

    def add_answer(self, answer: PartAnswered) -> bool:
        """Merge an answer and return whether it was news."""
        at = time.monotonic() - answer.age
        quarantine = self._quarantines.get(answer.part)
        last_crash_at = self._evidence.find_last_crash(answer.part)
        is_news = self._evidence.add_answer(answer.part, at)
        if quarantine and at >= (last_crash_at or quarantine.since):
            self._end(answer.part, 'answered')
            is_news = True
        return is_news

    def dump(self) -> dict[str, Any]:
        """Return the quarantined requests by their fingerprints."""
        return {
            part: quarantine.body
            for part, quarantine in self._quarantines.items()
        }

    def _identify(self, request: PipelineRequest, stage: Stage) -> str:
        return self._fingerprints.make(
            (
                request.contract.workspace.encode(),
                request.pipeline.name.encode(),
                stage.name.encode(),
                request.prompt.encode(),
                orjson.dumps(request.fields, option=orjson.OPT_SORT_KEYS),
                str(request.max_tokens).encode(),
            )
        )

    def _count_crashes(self, job: StageRun) -> int:
        if not self._has_crashes:
            return 0
        part = self._identify(job.request, job.stage)
        return self._evidence.count_crashes(part)

    def _check(self, part: str, progress: Progress) -> None:
        quarantine = self._quarantines.get(part)
        if quarantine and part != progress.trial:
            wait = quarantine.find_wait(time.monotonic())
            raise make_refusal(part, progress.run, wait)

    def _claim_trial(self, part: str) -> str:
        """Return the part if the request may be its next trial, else ''."""
        quarantine = self._quarantines[part]
        due_at = quarantine.next_trial_at
        now = time.monotonic()
        if due_at is None or due_at > now or not self._makes_trials(part):
            return ''
        body = {**quarantine.body, 'trials': quarantine.trials + 1}
        self._quarantines[part] = quarantine._replace(body=body, checked_at=now)
        get_logger().info('quarantine_trial', part=part)
        return part

    def _makes_trials(self, part: str) -> bool:
        names = tuple(machine.name for machine in self._members.machines())
        return self._node in pick_nodes(f'trial/{part}', names, 1)

    def _report_crash(self, report: CrashReport) -> None:
        self._metrics.count('target_crashed')
        if self.add_crash(report):
            self._send(report)

    def _begin(self, part: str, now: float) -> None:
        if part in self._quarantines:
            return
        if len(self._quarantines) >= MAX_QUARANTINES:
            self._end(next(iter(self._quarantines)), 'replaced')
        crashes = self._evidence.find_incarnations(part)
        body = {'part': part, 'crashes': list(crashes), 'trials': 0}
        self._quarantines[part] = Quarantine(body, ABSENT, now, now)
        get_logger().warning('request_quarantined', part=part, crashes=crashes)
        self._metrics.count('request_quarantined')

    def _end(self, part: str, reason: str) -> None:
        self._quarantines.pop(part)
        get_logger().warning('quarantine_ended', part=part, reason=reason)
        self._metrics.count('quarantine_ended')

    def _end_expired(self, part: str) -> None:
        quarantine = self._quarantines.get(part)
        since = time.monotonic() - REQUEST_LIFETIME_SECONDS
        if quarantine and quarantine.checked_at < since:
            self._end(part, 'expired')
