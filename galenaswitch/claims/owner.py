"""Owner of one shard of the idempotency keys, which grants claims.

The conditional write of the shard's journal is the fence. A takeover changes
the version of the journal, so that the write of a paused former owner fails
and this owner can't grant a claim. After a write that isn't known to have
taken effect, the owner discards its copy of the journal and reads it again.
One write contains all changes that wait for it.
"""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.claims.journal import (
    MAX_JOURNAL_BYTES,
    Journal,
    Record,
    check_claim,
    count_bytes,
    decode_journal,
    drop_expired,
    encode_journal,
    join_key,
    make_record,
    settle_record,
)
from galenaswitch.claims.messages import (
    ClaimReply,
    ClaimRequest,
    ClaimState,
    SettleRequest,
)
from galenaswitch.errors import StoreError
from galenaswitch.operations.logs import get_logger
from galenaswitch.store.client import StoreClient
from galenaswitch.store.objects import ABSENT, StoredObject
from galenaswitch.store.writes import Lost, Written, write_once

CLAIMS_KIND = 'claims'
WRITE_TIMEOUT_SECONDS = 2
UNAVAILABLE = ClaimReply(ClaimState.unavailable)
DONE = ClaimReply(ClaimState.done)
NOTED = ClaimReply(ClaimState.noted)
WRITES_PER_PRUNE = 256


class Change(NamedTuple):
    """Change of one record that waits for a write of the journal.

    :param key: name of the idempotency key in the journal.
    :param record: new record of the key.
    :param settled: receives the reply once the outcome of the write is
        known.
    """

    key: str
    record: Record
    settled: asyncio.Future[ClaimReply]


class ShardOwner:
    """Owner of one shard, which it takes over at the first request."""

    def __init__(
        self,
        name: str,
        owner: str,
        store: StoreClient,
        is_live: Callable[[str], bool],
    ) -> None:
        """Create the owner of the shard whose journal is ``name``.

        :param owner: name and incarnation of this control process.
        :param is_live: returns whether the machine of another owner is
            listed and reachable.
        """
        self._name = name
        self._owner = owner
        self._store = store
        self._is_live = is_live
        self._journal: Journal | None = None
        self._open_lock = asyncio.Lock()
        self._pending: list[Change] = []
        self._writer_task: asyncio.Task[None] | None = None
        self._journal_bytes = 0
        self._write_count = 0

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Answer a claim, with ``granted`` only after its write took effect.

        A repeated claim of the same attempt waits for the same write.
        """
        refused = await self._ensure_owned(force=request.force)
        if refused:
            return refused
        key = join_key(request.workspace, request.key)
        record = self._find_newest_record(key)
        reply = check_claim(record, request, time.time())
        if reply.state is not ClaimState.granted:
            return reply
        claimed = make_record(request, record, time.time())
        waiting = self._find_pending_change(key, claimed)
        if waiting:
            decided = await asyncio.shield(waiting.settled)
            return reply if decided is DONE else decided
        if record and record.attempt == request.attempt:
            return reply
        if self._journal_bytes > MAX_JOURNAL_BYTES:
            return ClaimReply(ClaimState.full)
        decided = await asyncio.shield(self._submit_change(key, claimed))
        return reply if decided is DONE else decided

    async def settle(self, request: SettleRequest) -> ClaimReply:
        """Record how an attempt ended.

        Later requests to this owner see the settlement at once. The reply
        is ``noted`` at once or, if the request waits, ``done`` after the
        settlement is in the store.
        """
        refused = await self._ensure_owned(force=request.force)
        if refused:
            return refused
        key = join_key(request.workspace, request.key)
        record = self._find_newest_record(key)
        settled = settle_record(record, request, time.time())
        if settled is None:
            return DONE
        waiting = self._find_pending_change(key, settled)
        if waiting is None and settled == record:
            return DONE
        written = (
            waiting.settled if waiting else self._submit_change(key, settled)
        )
        if not request.wait:
            return NOTED
        return await asyncio.shield(written)

    async def release(self) -> None:
        """Release the shard after the last pending write.

        The journal is written without an owner, so that the next owner can
        take it over at once.
        """
        while self._writer_task:
            await asyncio.wait([self._writer_task])
        journal = self._journal
        if journal is None:
            return
        self._journal = None
        body = encode_journal('', journal.records)
        replacement = StoredObject(
            CLAIMS_KIND, self._name, journal.version, body
        )
        await write_once(self._store, replacement, WRITE_TIMEOUT_SECONDS)

    def dump(self) -> dict[str, int]:
        """Return the size and the state of the shard for operators."""
        journal = self._journal
        return {
            'records': len(journal.records) if journal else 0,
            'bytes': self._journal_bytes,
            'writes': self._write_count,
            'owned': int(journal is not None),
        }

    async def _ensure_owned(self, *, force: bool) -> ClaimReply | None:
        """Take the shard over unless it is owned already.

        :returns: ``None`` if this process owns the shard, else the reply
            that refuses the request.
        """
        if self._journal:
            return None
        async with self._open_lock:
            if self._journal:
                return None
            try:
                return await self._take_over(force=force)
            except StoreError as error:
                get_logger().warning('slice_unreadable', reason=str(error))
                return UNAVAILABLE

    async def _take_over(self, *, force: bool) -> ClaimReply | None:
        """Read the journal and write it with this process as owner.

        Without ``force`` a shard with another live owner is not taken over.
        """
        stored = await self._store.read(CLAIMS_KIND, self._name)
        journal = Journal(ABSENT, '', {})
        if stored:
            journal = decode_journal(stored.version, stored.body)
        listed_owner = journal.owner.partition('/')[0]
        is_ours = listed_owner in {'', self._owner.partition('/')[0]}
        if not (is_ours or force) and self._is_live(listed_owner):
            return ClaimReply(ClaimState.not_owner, owner=listed_owner)
        records = drop_expired(journal.records, time.time())
        body = encode_journal(self._owner, records)
        replacement = StoredObject(
            CLAIMS_KIND, self._name, journal.version, body
        )
        outcome = await write_once(
            self._store, replacement, WRITE_TIMEOUT_SECONDS
        )
        if not isinstance(outcome, Written):
            return UNAVAILABLE
        self._journal = Journal(outcome.version, self._owner, records)
        self._journal_bytes = count_bytes(records)
        get_logger().info(
            'slice_taken',
            slice=self._name,
            former=journal.owner,
            version=outcome.version,
        )
        return None

    def _find_newest_record(self, key: str) -> Record | None:
        """Return the record of a key, including pending changes.

        A pending claim counts, so that no second attempt is granted the key
        before the write of the first claim is decided.
        """
        for change in reversed(self._pending):
            if change.key == key:
                waiting: Record = change.record
                return waiting
        if self._journal is None:
            return None
        held: Record | None = self._journal.records.get(key)
        return held

    def _find_pending_change(self, key: str, record: Record) -> Change | None:
        """Return a pending change that writes the same record."""
        for change in self._pending:
            if change.key == key and _is_equivalent(change.record, record):
                return change
        return None

    def _submit_change(
        self, key: str, record: Record
    ) -> asyncio.Future[ClaimReply]:
        """Add a record to the next write of the journal.

        :returns: future whose result is ``DONE`` once the record is in the
            store.
        """
        settled: asyncio.Future[ClaimReply]
        settled = asyncio.get_running_loop().create_future()
        self._pending.append(Change(key, record, settled))
        if self._writer_task is None:
            self._writer_task = asyncio.create_task(self._write_pending())
        return settled

    async def _write_pending(self) -> None:
        """Write the journal until no change is pending.

        Changes that arrive during a write share the next one.
        """
        try:
            while self._pending:
                await self._write_batch(tuple(self._pending))
        finally:
            self._writer_task = None

    async def _write_batch(self, batch: tuple[Change, ...]) -> None:
        """Write the journal with a batch of changes.

        Unless the write took effect, the owner discards its copy of the
        journal and refuses all pending changes.
        """
        journal = self._journal
        if journal is None:
            self._resolve_changes(batch, UNAVAILABLE)
            return
        records = dict(journal.records)
        records.update((change.key, change.record) for change in batch)
        self._write_count += 1
        if self._write_count % WRITES_PER_PRUNE == 0:
            records = drop_expired(records, time.time())
            self._journal_bytes = count_bytes(records)
        body = encode_journal(self._owner, records)
        replacement = StoredObject(
            CLAIMS_KIND, self._name, journal.version, body
        )
        outcome = await write_once(
            self._store, replacement, WRITE_TIMEOUT_SECONDS
        )
        if isinstance(outcome, Written):
            self._journal = Journal(outcome.version, self._owner, records)
            # The length of the text form, including the names of fields,
            # approximates the stored size until the next exact count.
            self._journal_bytes += sum(len(str(change)) for change in batch)
            self._resolve_changes(batch, DONE)
            return
        get_logger().warning(
            'slice_lost',
            slice=self._name,
            outcome=type(outcome).__name__,
        )
        self._journal = None
        lost = isinstance(outcome, Lost)
        reply = ClaimReply(ClaimState.not_owner) if lost else UNAVAILABLE
        self._resolve_changes(tuple(self._pending), reply)

    def _resolve_changes(
        self,
        batch: tuple[Change, ...],
        reply: ClaimReply,
    ) -> None:
        """Remove changes from the pending ones and set their reply."""
        done = {id(change) for change in batch}
        self._pending = [
            change for change in self._pending if id(change) not in done
        ]
        for change in batch:
            if not change.settled.done():
                change.settled.set_result(reply)


def _is_equivalent(one: Record, other: Record) -> bool:
    """Return whether two records differ at most in their end time."""
    return one._replace(until=0) == other._replace(until=0)
