"""Screening of one request: what targets get of it, and what comes of that.

The parts of a request are the shared parts of its prompt and, last, the whole
request by its fingerprint.
"""

import time
from collections.abc import Iterable

from xxhash import xxh3_64_hexdigest

from galenaswitch.membership.lists import Target
from galenaswitch.quarantine.containment import Containment
from galenaswitch.refusals import ExecutionState

# Most parts of one prompt that are tracked.
MAX_PARTS = 64
# Ids up to this length are used as they are, longer ones by their digest.
MAX_IDENT_LENGTH = 32
# Seconds behind the first event of a stream in which a crash of its target
# implicates it.
PROBATION_SECONDS = 3.0


class Screening:
    """Screening of one caller's attempt.

    :ivar fingerprint: id of the whole request.
    :ivar parts: ids of the request's parts.
    """

    def __init__(
        self,
        containment: Containment,
        ident: str,
        shared_parts: Iterable[str],
        content: Iterable[bytes],
    ) -> None:
        """Build the screening of a request that isn't admitted yet.

        :param ident: id of the caller's attempt.
        :param shared_parts: shared parts of its prompt.
        :param content: fields that are the same in each attempt.
        """
        self.fingerprint = containment.fingerprints.make(content)
        self.parts = (*identify_parts(shared_parts), self.fingerprint)
        self._containment = containment
        self._ident = ident
        self._trial = ''
        self._sent_at = 0.0
        self._began_at: float | None = None
        self._is_cleared = False

    async def admit(self) -> None:
        """Admit the request, possibly as the trial of a quarantined part.

        :raises RefusedError: when a part is quarantined.
        """
        self._trial = await self._containment.admit(self.parts)

    def start_send(self, run: ExecutionState) -> None:
        """Check that the request may be sent to a target now.

        :param run: whether a target may have run the request.
        :raises RefusedError: when a part was quarantined meanwhile.
        """
        self._containment.check(self.parts, self._trial, run)
        self._sent_at = time.monotonic()
        self._began_at = None
        self._is_cleared = False

    def may_repeat(self) -> bool:
        """Tell whether the request may be sent again if it may have run."""
        return self._containment.may_repeat(self.parts)

    def record_events(self) -> None:
        """Record events of a stream, which clear the parts after a time.

        The first event clears nothing: a harmful request may crash its target
        at any moment from then on.
        """
        now = time.monotonic()
        if self._began_at is None:
            self._began_at = now
            self._containment.record_answer(self.parts, has_begun=True)
        elif now - self._began_at >= PROBATION_SECONDS:
            self.record_answer()

    def record_answer(self) -> None:
        """Record that the request has not crashed its target.

        Its answer is complete, or its probation is over. This clears the parts.
        """
        if not self._is_cleared:
            self._is_cleared = True
            self._containment.record_answer(self.parts)

    async def record_broken(self, target: Target) -> None:
        """Implicate the parts if the target that broke has crashed.

        A request that no crash implicates yet isn't held up for that.
        """
        if self._is_cleared:
            return
        await self._containment.record_broken(
            target, self._ident, self.parts, self._sent_at, is_urgent=True
        )


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
