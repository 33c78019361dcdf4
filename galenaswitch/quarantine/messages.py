"""Messages between VMs about crashes of targets and prompt parts.

Times in messages are ages in seconds, never clock times.
"""

from collections.abc import Iterable
from typing import NamedTuple

from galenaswitch.quarantine.fingerprints import is_fingerprint

# Most whole requests and most prompt parts that one crash implicates. Prompt
# parts of some requests don't push out other requests.
MAX_REQUESTS_PER_CRASH = 512
MAX_PARTS_PER_CRASH = 256


class ImplicatedPart(NamedTuple):
    """Prompt part of a request that its target was answering as it crashed.

    The whole request is its last part, identified by its fingerprint.

    :param position: number of parts before it in the prompt.
    :param answered: whether a VM has seen an answer begin on the part in the
        last minutes before the crash.
    :param sent_age: seconds between the last send of such a request to the
        target and the crash.
    """

    ident: str
    position: int
    answered: bool
    sent_age: float = 0.0

    def merge(self, other: 'ImplicatedPart') -> 'ImplicatedPart':
        """Return the part as implicated by two requests of one crash."""
        return ImplicatedPart(
            self.ident,
            max(self.position, other.position),
            self.answered or other.answered,
            min(self.sent_age, other.sent_age),
        )


class CrashReport(NamedTuple):
    """Notifies VMs of the parts that one crash implicates, as one VM saw it.

    :param incarnation: incarnation of the target that crashed.
    :param age: seconds since the crash.
    """

    incarnation: str
    parts: tuple[ImplicatedPart, ...]
    age: float


class PartAnswered(NamedTuple):
    """Notifies VMs that a request with an implicated part crashed no target.

    :param age: seconds since this was known.
    """

    part: str
    age: float


class EvidenceQuery(NamedTuple):
    """Query for the evidence that another VM has."""


class EvidenceReply(NamedTuple):
    """Reply with all evidence of a VM."""

    crashes: tuple[CrashReport, ...]
    answers: tuple[PartAnswered, ...]


def limit_parts(parts: Iterable[ImplicatedPart]) -> tuple[ImplicatedPart, ...]:
    """Return the parts of one crash that are kept, whole requests first.

    >>> parts = [ImplicatedPart(f'p{one}', 0, False) for one in range(900)]
    >>> parts.append(ImplicatedPart('request-a', 1, False))
    >>> kept = limit_parts(parts)
    >>> kept[0].ident, len(kept)
    ('request-a', 257)
    """
    requests: list[ImplicatedPart] = []
    shared: list[ImplicatedPart] = []
    for part in parts:
        group = requests if is_fingerprint(part.ident) else shared
        group.append(part)
    return (
        *requests[:MAX_REQUESTS_PER_CRASH],
        *shared[:MAX_PARTS_PER_CRASH],
    )
