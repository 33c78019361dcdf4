"""Evidence about which prompt part ends the targets that answer it.

A crash implicates the requests to which its target had sent nothing of the
answer, with all their shared prompt parts, because each of these may be the
harmful one. An answer that begins on a part clears it of all earlier crashes.
So a harmful part collects crashes, while parts that sound requests use as well
are cleared again and again.

Reports of one crash merge in any order and any number of times, since crashes
are keyed by the incarnation of the target.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice

from galenaswitch.quarantine.messages import (
    CrashReport,
    EvidenceReply,
    ImplicatedPart,
    PartAnswered,
)

# Crashes without an answer in between after which a part is harmful.
CRASHES_TO_QUARANTINE = 3
# The same for a part on which answers began before its first crash. Such a part
# is probably sound: its requests were hit by the crashes of others.
CRASHES_TO_QUARANTINE_ANSWERED = 5
# Crashes within this many seconds of each other count as one. Several targets
# that crash at one moment have a cause in common, such as their host.
JOINT_CRASH_SECONDS = 0.1
# Time in which requests end that were under way when a quarantine began.
UNDERWAY_SECONDS = 2.0
RETENTION_SECONDS = 600.0
# Most crashes, and most implicated parts of each, that are kept and sent.
MAX_CRASHES = 128
MAX_PARTS_PER_CRASH = 256
# Crashes, whether there was no answer, position in the prompt, and id.
Rank = tuple[int, bool, int, str]
_NO_RANK: Rank = (0, False, 0, '')


class Crash:
    """Crash of one incarnation of a target.

    :ivar at: monotonic time in seconds.
    :ivar parts: implicated parts by id.
    """

    def __init__(self, at: float) -> None:
        """Build the record of a crash that implicates nothing."""
        self.at = at
        self.parts: dict[str, ImplicatedPart] = {}

    def add(self, parts: Iterable[ImplicatedPart]) -> bool:
        """Add parts and return whether one of them was new."""
        before = len(self.parts)
        for part in islice(parts, MAX_PARTS_PER_CRASH - before):
            known = self.parts.setdefault(part.ident, part)
            self.parts[part.ident] = known._replace(
                position=max(known.position, part.position),
                answered=known.answered or part.answered,
            )
        return len(self.parts) > before


class Evidence:
    """Crashes and answers that one VM knows of.

    >>> evidence = Evidence()
    >>> for number in range(3):
    ...     parts = [ImplicatedPart(f'p{number}', 0, answered=False)]
    ...     parts.append(ImplicatedPart('bad', 1, answered=False))
    ...     report = CrashReport(f'target/{number}', tuple(parts), 0)
    ...     _ = evidence.add_crash(report, now=number)
    >>> evidence.find_harmful({}, now=2)
    ('bad',)
    """

    def __init__(self) -> None:
        """Build evidence without crashes."""
        self._crashes: dict[str, Crash] = {}
        self._answered_at: dict[str, float] = {}

    def add_crash(self, report: CrashReport, now: float) -> bool:
        """Merge a report and return whether it implicates a new part.

        :param now: monotonic time in seconds.
        """
        self._drop_expired(now)
        at = now - report.age
        crash = self._crashes.setdefault(report.incarnation, Crash(at))
        crash.at = min(crash.at, at)
        return crash.add(report.parts)

    def add_answer(self, part: str, at: float) -> bool:
        """Record that an answer on a part began at a monotonic time.

        :returns: whether this cleared the part of a crash.
        """
        if not any(crash.at <= at for crash in self._find_crashes(part)):
            return False
        self._answered_at[part] = at
        return True

    def count_crashes(self, part: str) -> int:
        """Return the crashes of a part since an answer last began on it."""
        return _count_moments(crash.at for crash in self._find_crashes(part))

    def refutes(self, part: str, incarnations: Iterable[str]) -> bool:
        """Tell whether an answer began on a part after all given crashes."""
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
            name for name, crash in self._crashes.items() if crash in crashes
        )

    def find_harmful(
        self, quarantined: Mapping[str, float], now: float
    ) -> tuple[str, ...]:
        """Return further parts that are harmful.

        A crash that a quarantined part explains doesn't count against the other
        parts that it implicates.

        :param quarantined: monotonic time at which the quarantine of each part
            began.
        :param now: monotonic time in seconds.
        """
        known = dict(quarantined)
        found: list[str] = []
        while worst := self._find_worst(known):
            known[worst] = now
            found.append(worst)
        return tuple(found)

    def export(self, now: float) -> EvidenceReply:
        """Return all evidence in the form that other VMs merge."""
        self._drop_expired(now)
        return EvidenceReply(
            tuple(
                CrashReport(name, tuple(crash.parts.values()), now - crash.at)
                for name, crash in self._crashes.items()
            ),
            tuple(
                PartAnswered(part, now - at)
                for part, at in self._answered_at.items()
            ),
        )

    def _find_crashes(self, part: str) -> Iterator[Crash]:
        """Yield the crashes of a part since an answer last began on it."""
        answered_at = self._answered_at.get(part, -math.inf)
        for crash in self._crashes.values():
            if part in crash.parts and crash.at > answered_at:
                yield crash

    def _find_worst(self, quarantined: Mapping[str, float]) -> str:
        """Return the part with the most unexplained crashes, if too many.

        Of parts with equally many, one without any answer comes first, then the
        one that is deeper in its prompts, where fewer requests share it.
        """
        crashes_by_part: dict[str, list[tuple[Crash, ImplicatedPart]]] = {}
        for crash in self._crashes.values():
            if _is_explained(crash, quarantined):
                continue
            for part in crash.parts.values():
                if part.ident not in quarantined:
                    pairs = crashes_by_part.setdefault(part.ident, [])
                    pairs.append((crash, part))
        ranked = (
            self._rank(ident, pairs) for ident, pairs in crashes_by_part.items()
        )
        return max(filter(None, ranked), default=_NO_RANK)[-1]

    def _rank(
        self, ident: str, pairs: list[tuple[Crash, ImplicatedPart]]
    ) -> Rank | None:
        """Return the rank of a part, ``None`` if it isn't harmful.

        :param pairs: crashes that implicate the part, with the part as
            reported.
        """
        answered_at = self._answered_at.get(ident, -math.inf)
        count = _count_moments(
            crash.at for crash, _ in pairs if crash.at > answered_at
        )
        answered = ident in self._answered_at or any(
            part.answered for _, part in pairs
        )
        if count < _find_threshold(answered=answered):
            return None
        position = max(part.position for _, part in pairs)
        return count, not answered, position, ident

    def _drop_expired(self, now: float) -> None:
        for name, crash in list(self._crashes.items()):
            is_oldest = len(self._crashes) > MAX_CRASHES
            if is_oldest or crash.at < now - RETENTION_SECONDS:
                self._crashes.pop(name)
        for part, at in list(self._answered_at.items()):
            if at < now - RETENTION_SECONDS:
                self._answered_at.pop(part)


def _is_explained(crash: Crash, quarantined: Mapping[str, float]) -> bool:
    """Tell whether a quarantined part explains a crash.

    Once the requests that were under way have ended, no request with the part
    reaches a target, so it can't be the cause.
    """
    return any(
        crash.at <= since + UNDERWAY_SECONDS
        for part, since in quarantined.items()
        if part in crash.parts
    )


def _find_threshold(*, answered: bool) -> int:
    return CRASHES_TO_QUARANTINE_ANSWERED if answered else CRASHES_TO_QUARANTINE


def _count_moments(times: Iterable[float]) -> int:
    """Return the number of times that are clearly apart.

    >>> _count_moments([5, 5.05, 7])
    2
    """
    count = 0
    last: float | None = None
    for at in sorted(times):
        if last is None or at - last > JOINT_CRASH_SECONDS:
            count += 1
            last = at
    return count
