"""Keeps harmful requests away from targets.

A request, or a part of its prompt that other requests share, may end each
target that begins to answer it ("query of death"). Each request has as parts
the shared parts of its prompt and, last, the whole request by its fingerprint.
Every VM reports to all others which parts a crash implicates, and refuses
requests with a part that has been found harmful.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from galenaswitch.membership.lists import Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup, run_every
from galenaswitch.quarantine.answers import AnswerMemory
from galenaswitch.quarantine.detector import CrashDetector
from galenaswitch.quarantine.evidence import Evidence
from galenaswitch.quarantine.exchange import (
    EvidenceExchange,
    EvidenceSinks,
    Source,
)
from galenaswitch.quarantine.fingerprints import (
    Fingerprints,
    is_fingerprint,
)
from galenaswitch.quarantine.messages import (
    CrashReport,
    ImplicatedPart,
    PartAnswered,
)
from galenaswitch.quarantine.records import (
    QUARANTINE_KIND,
    Quarantine,
    QuarantineRecords,
    make_refusal,
)
from galenaswitch.refusals import ExecutionState
from galenaswitch.store.cache import ObjectCache
from galenaswitch.store.registry import Follower, WritableRegistry

# Longest wait of one watch for records. Records rarely change, and each watch
# call is billed.
WATCH_SECONDS = 10.0
# Seconds between two searches for records that the store lacks.
MAINTENANCE_SECONDS = 1.0
# Time within which the VMs that a crash concerns have reported it.
SETTLE_SECONDS = 0.2
# Crashes after which this VM sends a request with an implicated part only once.
CRASHES_TO_STOP_REPEATS = 2


class Containment:
    """Evidence and quarantines of one VM, shared with all others.

    :ivar fingerprints: makes the fingerprints of requests.
    :ivar follower: keeps the records in the store, which another part runs.
    """

    def __init__(
        self,
        store: WritableRegistry,
        mesh: Mesh,
        tasks: TaskGroup,
        metrics: Metrics,
        is_listening: Callable[[str], Awaitable[bool]],
        fingerprints: Fingerprints,
    ) -> None:
        """Build a containment without evidence.

        :param is_listening: tells whether a target at an address accepts
            connections.
        """
        self.fingerprints = fingerprints
        self._tasks = tasks
        self._metrics = metrics
        self._evidence = Evidence()
        self._detector = CrashDetector(tasks, is_listening, self._report_crash)
        self.exchange = EvidenceExchange(
            mesh,
            EvidenceSinks(
                self._add_crash,
                self._add_answer,
                lambda: self._evidence.export(time.monotonic()),
            ),
        )
        self._records = QuarantineRecords(store, mesh.node, _read_clock)
        self._answered = AnswerMemory()
        self._unremoved: dict[str, Quarantine] = {}
        self._judgement: asyncio.Task[None] | None = None
        self._has_own_report = False
        self.follower = Follower(
            store,
            QUARANTINE_KIND,
            self._apply_records,
            find_watch_seconds=lambda: WATCH_SECONDS,
        )

    def start(self) -> None:
        """Start the background task that keeps the store in line."""
        self._tasks.start_lasting(
            partial(
                run_every,
                MAINTENANCE_SECONDS,
                self.run_maintenance,
                'quarantine_failed',
            ),
        )

    async def run_maintenance(self) -> None:
        """Write records that are missing and remove those that have ended."""
        for part in self._records.find_expired():
            self._end_unanswered(part, 'expired')
        for part in self._records.find_unwritten():
            await self._records.write_missing(part)
        for part, ended in list(self._unremoved.items()):
            if await self._records.remove(part, ended):
                self._unremoved.pop(part, None)

    async def admit(self, parts: tuple[str, ...]) -> str:
        """Admit a request, possibly as the trial of a quarantined part.

        :param parts: parts of the request.
        :returns: the part whose trial the request is, empty for none.
        :raises RefusedError: when a part is quarantined.
        """
        quarantined = self._find_quarantined(parts)
        if not quarantined:
            return ''
        part = quarantined[0]
        if len(quarantined) == 1 and await self._records.claim_trial(part):
            get_logger().info('quarantine_trial', part=part)
            return part
        self.check(parts, '', ExecutionState.not_run)
        return ''

    def check(
        self, parts: tuple[str, ...], trial: str, run: ExecutionState
    ) -> None:
        """Check that a request may be sent to a target now.

        :param trial: part whose trial the request is, empty for none.
        :param run: whether a target may have run the request.
        :raises RefusedError: when another part is quarantined.
        """
        for part in self._find_quarantined(parts):
            if part != trial:
                wait = self._records.quarantines[part].find_wait(
                    time.monotonic()
                )
                raise make_refusal(part, run, wait)

    def may_repeat(self, parts: tuple[str, ...]) -> bool:
        """Tell whether a request that a target broke may be sent again."""
        return not self._find_quarantined(parts) and all(
            self._evidence.count_crashes(part) < CRASHES_TO_STOP_REPEATS
            for part in parts
        )

    def record_answer(
        self, parts: tuple[str, ...], *, has_begun: bool = False
    ) -> None:
        """Record that a request has not crashed its target.

        This clears its parts. An answer that has only begun clears nothing, but
        makes its parts less suspect: more crashes quarantine them.

        :param has_begun: whether the answer has only begun.
        """
        now = time.monotonic()
        for part in parts:
            if has_begun:
                self._answered.record_begin(part, now)
                continue
            self._answered.record(part, now)
            self._add_answer(PartAnswered(part, 0), None)

    async def record_broken(
        self,
        target: Target,
        ident: str,
        parts: tuple[str, ...],
        sent_at: float,
        *,
        is_urgent: bool = False,
    ) -> bool:
        """Implicate the parts of a request if its target has crashed.

        The request was not cleared before, see :class:`Screening`.

        :param ident: id of the caller's attempt.
        :param sent_at: monotonic time in seconds of the send to the target.
        :param is_urgent: whether to wait for the examination of the target only
            if an earlier crash implicates one of the parts.
        :returns: whether the target has crashed, as far as is known.
        """
        sent_age = time.monotonic() - sent_at
        implicated = tuple(
            ImplicatedPart(part, position, answered=False, sent_age=sent_age)
            for position, part in enumerate(parts)
        )
        examination = self._detector.examine(target, ident, implicated)
        if is_urgent and not any(map(self._evidence.count_crashes, parts)):
            self._tasks.start(examination)
            return False
        return await examination

    def dump(self) -> dict[str, Any]:
        """Return the quarantined parts with their records."""
        return {
            part: quarantine.body
            for part, quarantine in self._records.quarantines.items()
        }

    def _report_crash(self, report: CrashReport) -> None:
        self._metrics.count('target_crashed')
        self._add_crash(report, None)

    def _add_crash(self, report: CrashReport, source: Source) -> None:
        """Merge a report, and judge it with the reports of other VMs.

        :param source: link that the report came from, ``None`` for its own.
        """
        now = time.monotonic()
        marked = self._answered.mark(report, now)
        if not self._evidence.add_crash(marked, now):
            return
        self.exchange.spread(marked, source if marked == report else None)
        for part in report.parts:
            # The part may have been cleared here before the report arrived.
            answered_at = self._answered.find(part.ident)
            if answered_at is not None:
                answer = PartAnswered(part.ident, now - answered_at)
                self._add_answer(answer, None)
        self._has_own_report = self._has_own_report or source is None
        if self._judgement is None:
            self._judgement = self._tasks.start(self._judge())

    async def _judge(self) -> None:
        """Quarantine harmful parts once all VMs have reported a crash.

        By the reports of a few VMs alone, a sound part may seem to be in more
        crashes than the harmful one.
        """
        await asyncio.sleep(SETTLE_SECONDS)
        self._judgement = None
        writes = self._has_own_report
        self._has_own_report = False
        quarantined = {
            part: quarantine.since
            for part, quarantine in self._records.quarantines.items()
        }
        harmful = self._evidence.find_harmful(quarantined, time.monotonic())
        for part in harmful:
            self._begin(part, writes=writes)

    def _add_answer(self, answer: PartAnswered, source: Source) -> None:
        """Merge the time at which a part was cleared.

        This ends a quarantine whose crashes all came before.
        """
        part = answer.part
        at = time.monotonic() - answer.age
        quarantine = self._records.quarantines.get(part)
        last_crash_at = self._evidence.find_last_crash(part)
        is_news = self._evidence.add_answer(part, at)
        if quarantine and at >= (last_crash_at or quarantine.since):
            self._end(part, 'answered', removes=source is None)
            is_news = True
        if is_news:
            self.exchange.spread(answer, source)

    def _begin(self, part: str, *, writes: bool) -> None:
        replaced = self._records.find_replaced(part)
        if replaced:
            self._end_unanswered(replaced, 'replaced')
        crashes = self._evidence.find_incarnations(part)
        if not self._records.add(part, crashes):
            return
        self._record_beginning(part)
        if writes:
            self._tasks.start(self._records.write_missing(part))

    def _record_beginning(self, part: str) -> tuple[str, ...]:
        """Record that a quarantine has begun and return its crashes."""
        crashes = self._records.quarantines[part].crashes
        event = (
            'request_quarantined'
            if is_fingerprint(part)
            else 'part_quarantined'
        )
        get_logger().warning(event, part=part, crashes=crashes)
        self._metrics.count(event)
        return crashes

    def _end_unanswered(self, part: str, reason: str) -> None:
        """End a quarantine on all VMs though its part may be harmful."""
        self._evidence.add_answer(part, time.monotonic())
        self._end(part, reason, removes=True)

    def _end(self, part: str, reason: str, *, removes: bool) -> None:
        """End a quarantine on this VM.

        :param removes: whether this VM removes the record from the store.
        """
        ended = self._records.end(part)
        get_logger().warning('quarantine_ended', part=part, reason=reason)
        self._metrics.count('quarantine_ended')
        if ended and removes:
            self._unremoved[part] = ended
            self._tasks.start(self.run_maintenance())

    def _apply_records(self, cache: ObjectCache) -> None:
        """Apply the records in the store, which operators may have deleted."""
        begun, ended = self._records.apply(cache)
        for part in begun:
            crashes = self._record_beginning(part)
            if self._evidence.refutes(part, crashes):
                self._end(part, 'answered', removes=True)
        for part in ended:
            self._evidence.add_answer(part, time.monotonic())
            get_logger().warning(
                'quarantine_ended', part=part, reason='record removed'
            )
            self._metrics.count('quarantine_ended')

    def _find_quarantined(self, parts: tuple[str, ...]) -> list[str]:
        quarantines = self._records.quarantines
        if not quarantines:
            return []
        return [part for part in parts if part in quarantines]


def _read_clock() -> float:
    return time.monotonic()
