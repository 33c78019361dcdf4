"""Memory of the last answers to requests of one VM."""

from collections import OrderedDict

from galenaswitch.quarantine.fingerprints import is_fingerprint
from galenaswitch.quarantine.messages import CrashReport

# Most prompt parts, and most requests, whose last answer a VM remembers.
MAX_ANSWERED = 8192
# Time in which an answer shows that a prompt part is probably sound.
RETENTION_SECONDS = 600.0


class AnswerMemory:
    """Times of the last answers on prompt parts and to whole requests.

    Requests have a memory of their own, since nearly every one is new.
    """

    def __init__(self) -> None:
        """Build a memory without answers."""
        self._parts: OrderedDict[str, float] = OrderedDict()
        self._requests: OrderedDict[str, float] = OrderedDict()

    def record(self, part: str, at: float) -> None:
        """Record an answer at a monotonic time in seconds."""
        memory = self._find_memory(part)
        memory[part] = at
        memory.move_to_end(part)
        while len(memory) > MAX_ANSWERED:
            memory.popitem(last=False)

    def find(self, part: str) -> float | None:
        """Return the time of the last answer, ``None`` if unknown."""
        return self._find_memory(part).get(part)

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
        at = self.find(part)
        return at is not None and 0 < crashed_at - at < RETENTION_SECONDS

    def _find_memory(self, part: str) -> OrderedDict[str, float]:
        return self._requests if is_fingerprint(part) else self._parts
