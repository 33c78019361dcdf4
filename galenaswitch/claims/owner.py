"""Owner of slices: grants claims, many per write, fenced by the store.

The journal's conditional update is the fence: whoever took the slice over
has moved its version, so a paused former owner's write fails and it can't
grant anything. Any write that isn't known to have taken effect makes the
owner forget the slice and read it again.
"""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from galenaswitch.claims.journal import (
    MAX_JOURNAL_BYTES,
    Journal,
    Record,
    count_bytes,
    decode_journal,
    drop_old,
    encode_journal,
    join_key,
    judge_claim,
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
from galenaswitch.store.client import ABSENT, StoreClient, StoredObject
from galenaswitch.store.writes import Lost, Written, write_once

CLAIMS = 'claims'
WRITE_SECONDS = 2
UNAVAILABLE = ClaimReply(ClaimState.unavailable)
DONE = ClaimReply(ClaimState.done)
NOTED = ClaimReply(ClaimState.noted)
PRUNE_EVERY = 256


class Change(NamedTuple):
    """A change of one record that waits for a write.

    :param settled: gets the reply once the write is decided.
    """

    key: str
    record: Record
    settled: asyncio.Future[ClaimReply]


class ShardOwner:
    """One slice, owned or about to be taken over."""

    def __init__(
        self,
        name: str,
        owner: str,
        store: StoreClient,
        is_live: Callable[[str], bool],
    ) -> None:
        """Own the journal ``name`` as ``owner``.

        :param owner: name and incarnation of this control.
        :param is_live: tells whether another owner is still listed.
        """
        self._name = name
        self._owner = owner
        self._store = store
        self._is_live = is_live
        self._journal: Journal | None = None
        self._opening = asyncio.Lock()
        self._pending: list[Change] = []
        self._writing: asyncio.Task[None] | None = None
        self._bytes = 0
        self._writes = 0

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Answer a claim; ``granted`` only after its write took effect."""
        refused = await self._open(force=request.force)
        if refused:
            return refused
        key = join_key(request.workspace, request.key)
        record = self._newest(key)
        verdict = judge_claim(record, request, time.time())
        if verdict.state is not ClaimState.granted:
            return verdict
        claimed = make_record(request, record, time.time())
        waiting = self._waiting(key, claimed)
        if waiting:
            decided = await asyncio.shield(waiting.settled)
            return verdict if decided is DONE else decided
        if record and record.attempt == request.attempt:
            return verdict
        if self._bytes > MAX_JOURNAL_BYTES:
            return ClaimReply(ClaimState.full)
        decided = await asyncio.shield(self._submit(key, claimed))
        return verdict if decided is DONE else decided

    async def settle(self, request: SettleRequest) -> ClaimReply:
        """Note how an attempt ended.

        Other questions see it at once. The reply is ``noted`` at once, or
        ``done`` when it is known to be in the store, as the request says.
        """
        refused = await self._open(force=request.force)
        if refused:
            return refused
        key = join_key(request.workspace, request.key)
        record = self._newest(key)
        settled = settle_record(record, request, time.time())
        if settled is None:
            return DONE
        waiting = self._waiting(key, settled)
        if waiting is None and settled == record:
            return DONE
        written = waiting.settled if waiting else self._submit(key, settled)
        if not request.wait:
            return NOTED
        return await asyncio.shield(written)

    async def release(self) -> None:
        """Give the slice up after the last waiting write."""
        while self._writing:
            await asyncio.wait([self._writing])
        journal = self._journal
        if journal is None:
            return
        self._journal = None
        body = encode_journal('', journal.records)
        wanted = StoredObject(CLAIMS, self._name, journal.version, body)
        await write_once(self._store, wanted, WRITE_SECONDS)

    def dump(self) -> dict[str, int]:
        """Return the slice's size for operators."""
        journal = self._journal
        return {
            'records': len(journal.records) if journal else 0,
            'bytes': self._bytes,
            'writes': self._writes,
            'owned': int(journal is not None),
        }

    async def _open(self, *, force: bool) -> ClaimReply | None:
        """Own the slice, or return why not."""
        if self._journal:
            return None
        async with self._opening:
            if self._journal:
                return None
            try:
                return await self._take_over(force=force)
            except StoreError as error:
                get_logger().warning('slice_unreadable', reason=str(error))
                return UNAVAILABLE

    async def _take_over(self, *, force: bool) -> ClaimReply | None:
        found = await self._store.read(CLAIMS, self._name)
        journal = Journal(ABSENT, '', {})
        if found:
            journal = decode_journal(found.version, found.body)
        other = journal.owner.partition('/')[0]
        mine = other in {'', self._owner.partition('/')[0]}
        if not (mine or force) and self._is_live(other):
            return ClaimReply(ClaimState.not_owner, owner=other)
        records = drop_old(journal.records, time.time())
        body = encode_journal(self._owner, records)
        wanted = StoredObject(CLAIMS, self._name, journal.version, body)
        outcome = await write_once(self._store, wanted, WRITE_SECONDS)
        if not isinstance(outcome, Written):
            return UNAVAILABLE
        self._journal = Journal(outcome.version, self._owner, records)
        self._bytes = count_bytes(records)
        get_logger().info(
            'slice_taken',
            slice=self._name,
            former=journal.owner,
            version=outcome.version,
        )
        return None

    def _newest(self, key: str) -> Record | None:
        """Return the record of a key, with changes that wait for a write.

        A waiting claim counts, so that no second claim is granted beside it;
        if its write fails, both are answered ``unavailable``.
        """
        for change in reversed(self._pending):
            if change.key == key:
                waiting: Record = change.record
                return waiting
        if self._journal is None:
            return None
        held: Record | None = self._journal.records.get(key)
        return held

    def _waiting(self, key: str, record: Record) -> Change | None:
        """Return a waiting change that makes the same record."""
        for change in self._pending:
            if change.key == key and _is_same(change.record, record):
                return change
        return None

    def _submit(self, key: str, record: Record) -> asyncio.Future[ClaimReply]:
        """Write a record; the result is ``DONE`` once it is in the store."""
        settled: asyncio.Future[ClaimReply]
        settled = asyncio.get_running_loop().create_future()
        self._pending.append(Change(key, record, settled))
        if self._writing is None:
            self._writing = asyncio.create_task(self._write_all())
        return settled

    async def _write_all(self) -> None:
        """Write until nothing waits: what comes meanwhile goes together."""
        try:
            while self._pending:
                await self._write_batch(tuple(self._pending))
        finally:
            self._writing = None

    async def _write_batch(self, batch: tuple[Change, ...]) -> None:
        journal = self._journal
        if journal is None:
            self._finish(batch, UNAVAILABLE)
            return
        records = dict(journal.records)
        records.update((change.key, change.record) for change in batch)
        self._writes += 1
        if self._writes % PRUNE_EVERY == 0:
            records = drop_old(records, time.time())
            self._bytes = count_bytes(records)
        body = encode_journal(self._owner, records)
        wanted = StoredObject(CLAIMS, self._name, journal.version, body)
        outcome = await write_once(self._store, wanted, WRITE_SECONDS)
        if isinstance(outcome, Written):
            self._journal = Journal(outcome.version, self._owner, records)
            self._bytes += sum(len(str(change)) for change in batch)
            self._finish(batch, DONE)
            return
        get_logger().warning(
            'slice_lost',
            slice=self._name,
            outcome=type(outcome).__name__,
        )
        self._journal = None
        lost = isinstance(outcome, Lost)
        reply = ClaimReply(ClaimState.not_owner) if lost else UNAVAILABLE
        self._finish(tuple(self._pending), reply)

    def _finish(self, batch: tuple[Change, ...], reply: ClaimReply) -> None:
        done = {id(change) for change in batch}
        self._pending = [
            change for change in self._pending if id(change) not in done
        ]
        for change in batch:
            if not change.settled.done():
                change.settled.set_result(reply)


def _is_same(one: Record, other: Record) -> bool:
    return one._replace(until=0) == other._replace(until=0)
