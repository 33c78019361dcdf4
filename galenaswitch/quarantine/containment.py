"""Keeps requests with a harmful prompt part away from targets.

A prompt part may end each target that begins to answer it ("query of death").
Every VM reports to all others which parts a crash implicates, and refuses
requests with a part that has been found harmful.
"""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

from xxhash import xxh3_64_hexdigest

from galenaswitch.membership.lists import Target
from galenaswitch.membership.mesh import Mesh
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.metrics import Metrics
from galenaswitch.operations.process import TaskGroup, run_every
from galenaswitch.quarantine.detector import CrashDetector
from galenaswitch.quarantine.evidence import RETENTION_SECONDS, Evidence
from galenaswitch.quarantine.exchange import (
    EvidenceExchange,
    EvidenceSinks,
    Source,
)
from galenaswitch.quarantine.messages import (
    CrashReport,
    EvidenceReply,
    ImplicatedPart,
    PartAnswered,
)
from galenaswitch.quarantine.records import (
    QUARANTINE_KIND,
    Quarantine,
    QuarantineRecords,
)
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
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
# Most parts of one prompt that are tracked, and most parts whose last answer a
# VM remembers.
MAX_PARTS = 64
MAX_ANSWERED_PARTS = 8192
# Ids up to this length are used as they are, longer ones by their digest.
MAX_IDENT_LENGTH = 32


class Containment:
    """Evidence and quarantines of one VM, shared with all others."""

    def __init__(
        self,
        store: WritableRegistry,
        mesh: Mesh,
        tasks: TaskGroup,
        metrics: Metrics,
        is_listening: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Build a containment without evidence.

        :param is_listening: tells whether a target at an address accepts
            connections.
        """
        self._tasks = tasks
        self._metrics = metrics
        self._evidence = Evidence()
        self._detector = CrashDetector(tasks, is_listening, self._report_crash)
        self.exchange = EvidenceExchange(
            mesh,
            EvidenceSinks(
                self._add_crash, self._add_answer, self._export_evidence
            ),
        )
        self._records = QuarantineRecords(store, mesh.node, _read_clock)
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._unremoved: dict[str, Quarantine] = {}
        self._judgement: asyncio.Task[None] | None = None
        self._has_own_report = False
        self._follower = Follower(
            store,
            QUARANTINE_KIND,
            self._apply_records,
            find_watch_seconds=lambda: WATCH_SECONDS,
        )

    def start(self) -> None:
        """Start the background tasks that keep in line with the store."""
        self._tasks.start_lasting(self._follower.follow)
        self._tasks.start_lasting(self._follower.run_expiry)
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
        for part in self._records.find_unwritten():
            await self._records.write_missing(part)
        for part, ended in list(self._unremoved.items()):
            if await self._records.remove(part, ended):
                self._unremoved.pop(part, None)

    async def admit(self, parts: tuple[str, ...]) -> str:
        """Admit a request, possibly as the trial of a quarantined part.

        :param parts: shared parts of its prompt.
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
                raise self._refuse(part, run)

    def may_repeat(self, parts: tuple[str, ...]) -> bool:
        """Tell whether a request that a target broke may be sent again."""
        return not self._find_quarantined(parts) and all(
            self._evidence.count_crashes(part) < CRASHES_TO_STOP_REPEATS
            for part in identify_parts(parts)
        )

    def record_answer(self, parts: tuple[str, ...]) -> None:
        """Record that an answer has begun, which clears its parts."""
        now = time.monotonic()
        for part in identify_parts(parts):
            self._answered[part] = now
            self._answered.move_to_end(part)
            self._add_answer(PartAnswered(part, 0), None)
        while len(self._answered) > MAX_ANSWERED_PARTS:
            self._answered.popitem(last=False)

    async def record_broken(
        self, target: Target, ident: str, parts: tuple[str, ...]
    ) -> None:
        """Implicate the parts of a request if its target has crashed.

        The target had sent nothing of the answer.

        :param ident: id of the caller's attempt.
        """
        since = time.monotonic() - RETENTION_SECONDS
        implicated = tuple(
            ImplicatedPart(
                part, position, self._answered.get(part, since) > since
            )
            for position, part in enumerate(identify_parts(parts))
        )
        await self._detector.examine(target, ident, implicated)

    def dump(self) -> dict[str, Any]:
        """Return the quarantined parts with their records."""
        return {
            part: quarantine.body
            for part, quarantine in self._records.quarantines.items()
        }

    def _export_evidence(self) -> EvidenceReply:
        return self._evidence.export(time.monotonic())

    def _report_crash(self, report: CrashReport) -> None:
        self._metrics.count('target_crashed')
        self._add_crash(report, None)

    def _add_crash(self, report: CrashReport, source: Source) -> None:
        """Merge a report, and judge it with the reports of other VMs.

        :param source: link that the report came from, ``None`` for its own.
        """
        now = time.monotonic()
        if not self._evidence.add_crash(report, now):
            return
        self.exchange.spread(report, source)
        for part in report.parts:
            # An answer may have begun here before the report arrived.
            answered_at = self._answered.get(part.ident)
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
        """Merge the time of an answer and end a quarantine that it refutes."""
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
        crashes = self._evidence.find_incarnations(part)
        if not self._records.add(part, crashes):
            return
        get_logger().warning('part_quarantined', part=part, crashes=crashes)
        self._metrics.count('part_quarantined')
        if writes:
            self._tasks.start(self._records.write_missing(part))

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
            crashes = self._records.quarantines[part].crashes
            get_logger().warning('part_quarantined', part=part, crashes=crashes)
            self._metrics.count('part_quarantined')
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
        return [part for part in identify_parts(parts) if part in quarantines]

    def _refuse(self, part: str, run: ExecutionState) -> RefusedError:
        if run is not ExecutionState.not_run:
            return RefusedError(Reason.stage_failed, run, part)
        wait = self._records.quarantines[part].find_wait(time.monotonic())
        return RefusedError(Reason.quarantined, run, part, wait)


def _read_clock() -> float:
    return time.monotonic()


def identify_parts(parts: Iterable[str]) -> tuple[str, ...]:
    """Return the ids under which the parts of a prompt are tracked.

    Callers choose the ids, so an id that isn't short and alphanumeric is
    replaced by its digest before it names an object in the store.

    >>> identify_parts(['5c1e07a2', '../x'])
    ('5c1e07a2', '-ade92630f33b0870')
    """
    return tuple(
        part
        if part.isalnum() and part.isascii() and len(part) <= MAX_IDENT_LENGTH
        else f'-{xxh3_64_hexdigest(part.encode())}'
        for part in list(parts)[:MAX_PARTS]
    )
