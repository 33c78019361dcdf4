"""Evidence about which request or prompt part ends the targets that run it.

A crash implicates the requests that its target was answering, with all their
parts, because each of these may be the harmful one: the shared parts of their
prompts, and the whole request by its fingerprint. A request that its target has
answered, or answers for a time already without a crash, isn't implicated, and
clears its parts of all earlier crashes. So a harmful part collects crashes,
while parts that sound requests use as well are cleared again and again.

Reports of one crash merge in any order and any number of times, since crashes
are keyed by the incarnation of the target.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from galenaswitch.quarantine.fingerprints import is_fingerprint
from galenaswitch.quarantine.messages import (
    CrashReport,
    EvidenceReply,
    ImplicatedPart,
    PartAnswered,
    limit_parts,
)

# Crashes without an answer in between after which a request is harmful, and a
# prompt part that was in different requests.
CRASHES_TO_QUARANTINE = 3
# The same for a prompt part on which answers began before one of its crashes,
# or whose crashes repeated requests account for. Such a part is probably sound.
CRASHES_TO_QUARANTINE_ANSWERED = 5
# Fewest different requests with a harmful prompt part.
MIN_DIFFERENT_REQUESTS = 2
# Crashes within this many seconds of each other count as one for a prompt part
# and for a request that was answered before, unless the request was sent after
# the first of them. Several targets that crash at one moment may have a cause
# in common, such as their host.
JOINT_CRASH_SECONDS = 0.1
# Time in which requests end that were under way when a quarantine began.
UNDERWAY_SECONDS = 2.0
RETENTION_SECONDS = 600.0
# Most crashes, and most implicated parts of all crashes together, that are kept
# and sent.
MAX_CRASHES = 1024
MAX_IMPLICATED_PARTS = 32768
# Crashes, whether there was no answer, position in the prompt, and id.
Rank = tuple[int, bool, int, str]
_NO_RANK: Rank = (0, False, 0, '')


class Moment(NamedTuple):
    """Time of a crash and of the last send of a part to its target.

    :param at: monotonic time in seconds.
    :param sent_at: monotonic time in seconds, infinite if the crash counts
        whatever other crashes there are.
    """

    at: float
    sent_at: float


class Crash:
    """Crash of one incarnation of a target.

    :ivar at: monotonic time in seconds.
    :ivar parts: implicated parts by id.
    :ivar sent_at: monotonic time of the last send of each part, by its id.
    """

    def __init__(self, at: float) -> None:
        """Build the record of a crash that implicates nothing."""
        self.at = at
        self.parts: dict[str, ImplicatedPart] = {}
        self.sent_at: dict[str, float] = {}

    def add(self, report: CrashReport, at: float) -> bool:
        """Add the parts of a report and return whether it had news.

        :param at: monotonic time of the crash by the report.
        """
        self.at = min(self.at, at)
        merged = dict(self.parts)
        for part in report.parts:
            known = merged.get(part.ident)
            merged[part.ident] = known.merge(part) if known else part
        is_news = False
        for part in limit_parts(merged.values()):
            known = self.parts.get(part.ident)
            is_news |= known is None or part.answered > known.answered
            self.parts[part.ident] = part
        for part in report.parts:
            if part.ident in self.parts:
                self.sent_at[part.ident] = max(
                    self.sent_at.get(part.ident, -math.inf), at - part.sent_age
                )
        return is_news

    def find_moment(self, part: str) -> Moment:
        """Return the moment of the crash for one of its parts.

        Copies of a request that has had no answer may have ended several
        targets at one moment, so each of these crashes counts.
        """
        if not is_fingerprint(part):
            return Moment(self.at, -math.inf)
        if not self.parts[part].answered:
            return Moment(self.at, math.inf)
        return Moment(self.at, self.sent_at[part])

    def report(self, incarnation: str, now: float) -> CrashReport:
        """Return the crash in the form that other VMs merge."""
        parts = tuple(
            part._replace(sent_age=self.at - self.sent_at[ident])
            for ident, part in self.parts.items()
        )
        return CrashReport(incarnation, parts, now - self.at)


class Evidence:
    """Crashes and answers that one VM knows of.

    >>> evidence = Evidence()
    >>> for number in range(3):
    ...     parts = [ImplicatedPart(f'p{number}', 0, False, 0.1)]
    ...     parts.append(ImplicatedPart('bad', 1, False, 0.1))
    ...     report = CrashReport(f'target/{number}', tuple(parts), 0)
    ...     _ = evidence.add_crash(report, now=number)
    >>> evidence.find_harmful({}, now=2)
    ('bad',)
    """

    def __init__(self) -> None:
        """Build evidence without crashes."""
        self._crashes: dict[str, Crash] = {}
        self._by_part: dict[str, dict[str, Crash]] = {}
        self._implicated_count = 0
        self._answered_at: dict[str, float] = {}

    def add_crash(self, report: CrashReport, now: float) -> bool:
        """Merge a report and return whether it had news.

        News is a new part, or that one was answered before the crash.

        :param now: monotonic time in seconds.
        """
        at = now - report.age
        crash = self._crashes.setdefault(report.incarnation, Crash(at))
        before = len(crash.parts)
        is_news = crash.add(report, at)
        self._implicated_count += len(crash.parts) - before
        for part in crash.parts:
            by_incarnation = self._by_part.setdefault(part, {})
            by_incarnation[report.incarnation] = crash
        self._drop_expired(now)
        return is_news

    def add_answer(self, part: str, at: float) -> bool:
        """Record that a part was cleared at a monotonic time.

        :returns: whether this cleared the part of a crash.
        """
        if not any(crash.at <= at for crash in self._find_crashes(part)):
            return False
        self._answered_at[part] = at
        return True

    def count_crashes(self, part: str) -> int:
        """Return the crashes of a part since it was last cleared."""
        return _count_moments(
            crash.find_moment(part) for crash in self._find_crashes(part)
        )

    def refutes(self, part: str, incarnations: Iterable[str]) -> bool:
        """Tell whether a part was cleared after all given crashes."""
        answered_at = self._answered_at.get(part, -math.inf)
        crashes = [self._crashes.get(name) for name in incarnations]
        return bool(crashes) and all(
            crash is not None and crash.at <= answered_at for crash in crashes
        )

    def find_last_crash(self, part: str) -> float | None:
        """Return the time of the last crash that implicates a part."""
        return max(
            (crash.at for crash in self._find_crashes(part)), default=None
        )

    def find_incarnations(self, part: str) -> tuple[str, ...]:
        """Return the incarnations whose crashes implicate a part."""
        crashes = list(self._find_crashes(part))
        return tuple(
            name
            for name, crash in self._by_part.get(part, {}).items()
            if crash in crashes
        )

    def find_harmful(
        self, quarantined: Mapping[str, float], now: float
    ) -> tuple[str, ...]:
        """Return further parts that are harmful.

        A crash that a quarantined prompt part explains doesn't count against
        the other parts that it implicates.

        :param quarantined: monotonic time at which the quarantine of each part
            began.
        :param now: monotonic time in seconds.
        """
        suspects = [
            part
            for part, crashes in self._by_part.items()
            if part not in quarantined and len(crashes) >= CRASHES_TO_QUARANTINE
        ]
        shared = [part for part in suspects if not is_fingerprint(part)]
        known = dict(quarantined)
        found: list[str] = []
        while worst := self._find_worst(shared, known):
            known[worst] = now
            found.append(worst)
            shared.remove(worst)
        explained = self._find_explained(known)
        # Requests that ran together in all their crashes can't be told apart.
        # A trial soon shows which of them are sound.
        found.extend(
            part
            for part in filter(is_fingerprint, suspects)
            if _count_moments(self._find_moments(part, explained))
            >= CRASHES_TO_QUARANTINE
        )
        return tuple(found)

    def export(self, now: float) -> EvidenceReply:
        """Return all evidence in the form that other VMs merge."""
        self._drop_expired(now)
        return EvidenceReply(
            tuple(
                crash.report(name, now) for name, crash in self._crashes.items()
            ),
            tuple(
                PartAnswered(part, now - at)
                for part, at in self._answered_at.items()
            ),
        )

    def _find_crashes(self, part: str) -> Iterator[Crash]:
        """Yield the crashes of a part since it was last cleared."""
        answered_at = self._answered_at.get(part, -math.inf)
        for crash in self._by_part.get(part, {}).values():
            if crash.at > answered_at:
                yield crash

    def _find_moments(
        self, part: str, explained: set[Crash]
    ) -> Iterator[Moment]:
        for crash in self._find_crashes(part):
            if crash not in explained:
                yield crash.find_moment(part)

    def _find_explained(self, quarantined: Mapping[str, float]) -> set[Crash]:
        """Return the crashes that quarantined prompt parts explain.

        Once the requests that were under way have ended, no request with the
        part reaches a target, so it can't be the cause.
        """
        return {
            crash
            for part, since in quarantined.items()
            if not is_fingerprint(part)
            for crash in self._by_part.get(part, {}).values()
            if crash.at <= since + UNDERWAY_SECONDS
        }

    def _find_worst(
        self, parts: Iterable[str], quarantined: Mapping[str, float]
    ) -> str:
        """Return the part with the most unexplained crashes, if too many.

        Of parts with equally many, one without any answer comes first, then the
        one that is deeper in its prompts, where fewer requests share it.
        """
        explained = self._find_explained(quarantined)
        ranked = (self._rank(part, explained) for part in parts)
        return max(filter(None, ranked), default=_NO_RANK)[-1]

    def _rank(self, ident: str, explained: set[Crash]) -> Rank | None:
        """Return the rank of a prompt part, ``None`` if it isn't harmful."""
        crashes = [
            crash
            for crash in self._by_part[ident].values()
            if crash not in explained
        ]
        answered_at = self._answered_at.get(ident, -math.inf)
        counted = [crash for crash in crashes if crash.at > answered_at]
        count = _count_moments(crash.find_moment(ident) for crash in counted)
        different = _count_moments(
            crash.find_moment(ident) for crash in self._find_different(counted)
        )
        answered = ident in self._answered_at or any(
            crash.parts[ident].answered for crash in crashes
        )
        if not _is_harmful(count, different, answered=answered):
            return None
        position = max(crash.parts[ident].position for crash in crashes)
        return count, not answered, position, ident

    def _find_different(self, crashes: Iterable[Crash]) -> Iterator[Crash]:
        """Yield the crashes without those of requests that came again.

        A request that was answered since a crash isn't its cause.
        """
        seen: set[str] = set()
        for crash in sorted(crashes, key=lambda one: one.at):
            requests = {
                ident
                for ident in filter(is_fingerprint, crash.parts)
                if crash.at > self._answered_at.get(ident, -math.inf)
            }
            if seen.isdisjoint(requests):
                yield crash
            seen |= requests

    def _drop_expired(self, now: float) -> None:
        for name, crash in list(self._crashes.items()):
            is_excess = (
                len(self._crashes) > MAX_CRASHES
                or self._implicated_count > MAX_IMPLICATED_PARTS
            )
            if is_excess or crash.at < now - RETENTION_SECONDS:
                self._drop(name)
        for part, at in list(self._answered_at.items()):
            if at < now - RETENTION_SECONDS:
                self._answered_at.pop(part)

    def _drop(self, incarnation: str) -> None:
        crash = self._crashes.pop(incarnation)
        self._implicated_count -= len(crash.parts)
        for part in crash.parts:
            self._by_part[part].pop(incarnation)
            if not self._by_part[part]:
                self._by_part.pop(part)


def _is_harmful(count: int, different: int, *, answered: bool) -> bool:
    """Tell whether a prompt part is harmful.

    A request that is sent again and again is judged by its fingerprint.

    :param count: crashes that implicate the part.
    :param different: crashes without those of requests that came again.
    """
    if different >= CRASHES_TO_QUARANTINE and not answered:
        return True
    return (
        count >= CRASHES_TO_QUARANTINE_ANSWERED
        and different >= MIN_DIFFERENT_REQUESTS
    )


def _count_moments(moments: Iterable[Moment]) -> int:
    """Return the number of crashes that have no cause in common.

    >>> _count_moments([Moment(5, 0), Moment(5.05, 0), Moment(7, 0)])
    2
    >>> _count_moments([Moment(5, 0), Moment(5.05, 5.01), Moment(7, 0)])
    3
    """
    count = 0
    last = -math.inf
    for moment in sorted(moments):
        if moment.at - last > JOINT_CRASH_SECONDS or moment.sent_at > last:
            count += 1
            last = moment.at
    return count
