"""Memory of the last answers to requests of one VM."""

import math
from collections import OrderedDict
from typing import NamedTuple

from galenaswitch.quarantine.fingerprints import is_fingerprint
from galenaswitch.quarantine.messages import CrashReport

# Most prompt parts, and most requests, whose last answer a VM remembers.
MAX_ANSWERED = 8192
# Time in which an answer shows that a prompt part is probably sound.
RETENTION_SECONDS = 600.0


class AnswerTimes(NamedTuple):
    """Times of the answers to requests with one part, monotonic in seconds.

    :param began_since: begin of the first of the answers that followed each
        other within :data:`RETENTION_SECONDS`.
    :param began_at: begin of the last answer.
    :param cleared_at: when an answer last cleared the part.
    """

    began_since: float
    began_at: float
    cleared_at: float = -math.inf


class AnswerMemory:
    """Times of the last answers on prompt parts and to whole requests.

    Requests have a memory of their own, since nearly every one is new.
    """

    def __init__(self) -> None:
        """Build a memory without answers."""
        self._parts: OrderedDict[str, AnswerTimes] = OrderedDict()
        self._requests: OrderedDict[str, AnswerTimes] = OrderedDict()

    def record_begin(self, part: str, at: float) -> None:
        """Record that an answer began at a monotonic time in seconds."""
        memory = self._find_memory(part)
        known = memory.get(part)
        if known is None or at - known.began_at > RETENTION_SECONDS:
            known = AnswerTimes(at, at)
        memory[part] = known._replace(began_at=at)
        memory.move_to_end(part)
        while len(memory) > MAX_ANSWERED:
            memory.popitem(last=False)

    def record(self, part: str, at: float) -> None:
        """Record that an answer cleared a part at a monotonic time."""
        self.record_begin(part, at)
        memory = self._find_memory(part)
        memory[part] = memory[part]._replace(cleared_at=at)

    def find(self, part: str) -> float | None:
        """Return when a part was last cleared, ``None`` if unknown."""
        times = self._find_memory(part).get(part)
        if times is None or math.isinf(times.cleared_at):
            return None
        return times.cleared_at

    def mark(self, report: CrashReport, now: float) -> CrashReport:
        """Return a report that names the parts that were answered before.

        :param now: monotonic time in seconds.
        """
        crashed_at = now - report.age
        return report._replace(
            parts=tuple(
                part._replace(
                    answered=part.answered
                    or self._has_answer(part.ident, crashed_at)
                )
                for part in report.parts
            )
        )

    def _has_answer(self, part: str, crashed_at: float) -> bool:
        """Tell whether an answer began in the last time before a crash."""
        times = self._find_memory(part).get(part)
        if times is None or times.began_since >= crashed_at:
            return False
        return crashed_at - times.began_at < RETENTION_SECONDS

    def _find_memory(self, part: str) -> OrderedDict[str, AnswerTimes]:
        return self._requests if is_fingerprint(part) else self._parts
