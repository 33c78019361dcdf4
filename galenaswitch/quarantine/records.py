"""Quarantined parts of requests, and their records in the platform's store.

Each quarantine has one record, so that machines that are cut off from their
peers, or start later, know of it. A trial lets one request with a quarantined
part pass. A VM claims it by a conditional write of the record, so that all VMs
together make no more trials than intended, also when two of them try at once.
Operators see the records in the store; deleting one ends its quarantine.
"""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

from galenaswitch.errors import (
    StoreConflictError,
    StoreError,
)
from galenaswitch.operations.logs import get_logger
from galenaswitch.quarantine.fingerprints import is_fingerprint
from galenaswitch.refusals import ExecutionState, Reason, RefusedError
from galenaswitch.store.cache import ObjectCache
from galenaswitch.store.objects import ABSENT
from galenaswitch.store.registry import WritableRegistry
from galenaswitch.store.versions import find_era

QUARANTINE_KIND = 'galena-quarantines'
# Seconds from the start of a quarantine, or from its last trial, to the next
# trial. After the last of them only an operator ends the quarantine.
TRIAL_INTERVALS_SECONDS = (5.0, 20.0, 80.0)
# Pause in seconds between two claims of a trial by one VM.
CLAIM_PAUSE_SECONDS = 1.0
# Value of Retry-After in seconds when no trial is due any more.
LONGEST_WAIT_SECONDS = 300.0
# Seconds after which a VM writes a missing record of a quarantine that another
# VM has found.
WRITE_PAUSE_SECONDS = 2.0
MAX_QUARANTINES = 1024
# Seconds after which the quarantine of a whole request ends, counted from its
# start or last trial. Such requests are many, and most never come again.
REQUEST_LIFETIME_SECONDS = 86400.0
# Longest list of crashed targets in a record.
MAX_LISTED_CRASHES = 8


class Quarantine(NamedTuple):
    """Quarantine of one prompt part, or of a request by its fingerprint.

    :param body: content of the record: the part, the targets that crashed, the
        VM that found it, and the number of trials.
    :param version: revision of the record, ``ABSENT`` while it isn't written.
    :param since: monotonic time at which this VM learned of the quarantine.
    :param checked_at: monotonic time from which the next trial, or the next
        write of a missing record, is counted.
    """

    body: dict[str, Any]
    version: int
    since: float
    checked_at: float

    @property
    def trials(self) -> int:
        """Number of trials that VMs have claimed."""
        return int(self.body['trials'])

    @property
    def crashes(self) -> tuple[str, ...]:
        """Incarnations of the targets whose crashes led to the quarantine."""
        return tuple(self.body['crashes'])

    @property
    def next_trial_at(self) -> float | None:
        """Monotonic time at which a trial is due, ``None`` if never."""
        if self.trials >= len(TRIAL_INTERVALS_SECONDS):
            return None
        return self.checked_at + TRIAL_INTERVALS_SECONDS[self.trials]

    def find_wait(self, now: float) -> float:
        """Return the seconds after which a caller may come back."""
        if self.next_trial_at is None:
            return LONGEST_WAIT_SECONDS
        return max(CLAIM_PAUSE_SECONDS, self.next_trial_at - now)


class QuarantineRecords:
    """Quarantines that one VM knows of, kept in line with the store."""

    def __init__(
        self,
        store: WritableRegistry,
        node: str,
        now: Callable[[], float],
    ) -> None:
        """Build records for VM ``node`` without a quarantine.

        :param now: returns the monotonic time in seconds.
        """
        self.quarantines: dict[str, Quarantine] = {}
        self._store = store
        self._node = node
        self._now = now
        self._ended_versions: dict[str, int] = {}

    def add(self, part: str, crashes: tuple[str, ...]) -> bool:
        """Add a quarantine that this VM has found; tell if it was new."""
        if part in self.quarantines or self._is_full():
            return False
        body = {
            'part': part,
            'crashes': list(crashes[-MAX_LISTED_CRASHES:]),
            'found_by': self._node,
            'trials': 0,
        }
        now = self._now()
        self.quarantines[part] = Quarantine(body, ABSENT, now, now)
        return True

    def find_replaced(self, part: str) -> str:
        """Return the quarantine that a new one replaces, empty for none.

        :param part: part of the new quarantine.
        """
        if part in self.quarantines or not self._is_full():
            return ''
        oldest = min(
            self._find_requests(),
            key=lambda pair: (pair[1].checked_at, pair[1].version),
            default=('', None),
        )
        return oldest[0]

    def find_expired(self) -> tuple[str, ...]:
        """Return the requests whose quarantine has lasted long enough."""
        since = self._now() - REQUEST_LIFETIME_SECONDS
        return tuple(
            part
            for part, quarantine in self._find_requests()
            if quarantine.checked_at < since
        )

    def end(self, part: str) -> Quarantine | None:
        """End a quarantine on this VM and return it, if there was one."""
        ended = self.quarantines.pop(part, None)
        if ended:
            self._ended_versions[part] = ended.version
        return ended

    def apply(self, cache: ObjectCache) -> tuple[list[str], list[str]]:
        """Apply the records in the store.

        This VM may have written a record that the cache doesn't show yet.

        :returns: the parts whose quarantine has begun and has ended.
        """
        stored = {
            name: (entry.version, entry.body)
            for name, entry in cache.objects.items()
            if _is_record(name, entry.body)
        }
        ended = []
        for part in set(self.quarantines) - set(cache.objects):
            version = self.quarantines[part].version
            if find_era(version) < find_era(cache.revision):
                self._expect_write(part)
            elif ABSENT < version <= cache.revision:
                self.end(part)
                ended.append(part)
        begun = [part for part in stored if part not in self.quarantines]
        return [
            part
            for part, (version, body) in stored.items()
            if self._apply_record(part, version, body) and part in begun
        ], ended

    async def write_missing(self, part: str) -> None:
        """Write the record of a quarantine unless the store has it."""
        quarantine = self.quarantines.get(part)
        if quarantine is None or quarantine.version != ABSENT:
            return
        self.quarantines[part] = quarantine._replace(checked_at=self._now())
        version = await self._write(part, quarantine.body, ABSENT)
        self._record_version(part, quarantine.body, version)
        if part not in self.quarantines:
            await self.remove(part, quarantine._replace(version=version))

    def find_unwritten(self) -> tuple[str, ...]:
        """Return the parts whose records are due to be written."""
        due = self._now() - WRITE_PAUSE_SECONDS
        return tuple(
            part
            for part, quarantine in self.quarantines.items()
            if quarantine.version == ABSENT and quarantine.checked_at < due
        )

    async def claim_trial(self, part: str) -> bool:
        """Claim the next trial of a part if it is due.

        :returns: whether this VM may let one request with the part pass.
        """
        quarantine = self.quarantines[part]
        due_at = quarantine.next_trial_at
        now = self._now()
        if due_at is None or due_at > now or quarantine.version == ABSENT:
            return False
        # Meanwhile no other request of this VM tries the same.
        self.quarantines[part] = quarantine._replace(
            checked_at=quarantine.checked_at + CLAIM_PAUSE_SECONDS
        )
        body = {**quarantine.body, 'trials': quarantine.trials + 1}
        version = await self._write(part, body, quarantine.version)
        self._record_version(part, body, version)
        return version != ABSENT

    async def remove(self, part: str, ended: Quarantine) -> bool:
        """Remove the record of a quarantine that has ended.

        :returns: whether the store no longer has this record.
        """
        if ended.version == ABSENT:
            return True
        try:
            await self._store.remove(QUARANTINE_KIND, part, ended.version)
        except StoreError as error:
            get_logger().info(
                'quarantine_unwritten', part=part, reason=str(error)
            )
            return isinstance(error, StoreConflictError)
        return True

    def _expect_write(self, part: str) -> None:
        """Note that a store that was restored lost the record of a part.

        The VMs write it again at different times; the first write succeeds.
        """
        quarantine = self.quarantines[part]
        if quarantine.version != ABSENT:
            self.quarantines[part] = quarantine._replace(
                version=ABSENT,
                checked_at=self._now() + random.uniform(0, WRITE_PAUSE_SECONDS),
            )

    async def _write(
        self, part: str, body: dict[str, Any], replaces: int
    ) -> int:
        """Write a record and return its revision, ``ABSENT`` on failure."""
        try:
            return await self._store.write(
                QUARANTINE_KIND, part, body, replaces
            )
        except StoreError as error:
            get_logger().info(
                'quarantine_unwritten', part=part, reason=str(error)
            )
            return ABSENT

    def _record_version(
        self, part: str, body: dict[str, Any], version: int
    ) -> None:
        """Record a write that took effect, unless a newer one is known."""
        quarantine = self.quarantines.get(part)
        if quarantine and version > quarantine.version:
            self.quarantines[part] = quarantine._replace(
                body=body, version=version, checked_at=self._now()
            )

    def _apply_record(
        self, part: str, version: int, body: dict[str, Any]
    ) -> bool:
        """Apply one record of the store and return whether it was newer."""
        if version <= self._ended_versions.get(part, ABSENT):
            return False
        now = self._now()
        known = self.quarantines.get(part)
        if known is None:
            if self._is_full():
                return False
            known = Quarantine(body, ABSENT, now, now)
        if version <= known.version:
            return False
        if known.trials > body['trials']:
            # A restored store has forgotten trials that VMs have made.
            body = {**body, 'trials': known.trials}
        self.quarantines[part] = known._replace(
            body=body, version=version, checked_at=now
        )
        return True

    def _find_requests(self) -> list[tuple[str, Quarantine]]:
        """Return the quarantines of whole requests."""
        return [
            pair for pair in self.quarantines.items() if is_fingerprint(pair[0])
        ]

    def _is_full(self) -> bool:
        return len(self.quarantines) >= MAX_QUARANTINES


def make_refusal(part: str, run: ExecutionState, wait: float) -> RefusedError:
    """Return the refusal of a request with a quarantined part.

    :param run: whether a target may have run the request.
    :param wait: seconds after which the caller may come back.
    """
    if run is not ExecutionState.not_run:
        return RefusedError(Reason.stage_failed, run, part)
    reason = (
        Reason.request_quarantined
        if is_fingerprint(part)
        else Reason.quarantined
    )
    return RefusedError(reason, run, part, wait)


def _is_record(name: str, body: Any) -> bool:
    """Tell whether an object is a record as this program writes it."""
    if not isinstance(body, dict):
        return False
    return (
        body.get('part') == name
        and _is_count(body.get('trials'))
        and isinstance(body.get('crashes'), list)
        and all(isinstance(name, str) for name in body['crashes'])
    )


def _is_count(field: Any) -> bool:
    return isinstance(field, int) and field >= 0
