"""Journal of one shard of the key space: its records and their rules.

The rules are pure functions over immutable records. The shard owner applies
them to its copy of the records. A claim is granted only after the conditional
write of the journal is known to have taken effect.
"""

import json
from typing import Any, NamedTuple

from xxhash import xxh3_64_intdigest

from galenaswitch.claims.messages import (
    ClaimReply,
    ClaimRequest,
    ClaimState,
    Settlement,
    SettleRequest,
)

SHARDS = 16
RETENTION_SECONDS = 86_400
MAX_JOURNAL_BYTES = 900_000
MAX_OUTCOME_BYTES = 2048
MAX_VOIDED_ATTEMPTS = 8
CLAIMED = 'claimed'


class Record(NamedTuple):
    """Journal record of one idempotency key.

    :param attempt: id of the attempt that last claimed the key.
    :param body_hash: hash of the request of the attempt.
    :param state: ``claimed``, or the settlement of the attempt.
    :param until: wall-clock time in seconds after which the attempt has
        ended.
    :param outcome: output of the attempt if the state is ``done``.
    :param voided: ids of the attempts that were released last. A claim of
        such an attempt that arrives late is not granted.
    """

    attempt: str
    body_hash: str
    state: str
    until: float
    outcome: dict[str, Any] = {}  # noqa: RUF012
    voided: tuple[str, ...] = ()


class Journal(NamedTuple):
    """Journal of one shard, as its object in the store contains it.

    :param version: version of the object in the store.
    :param owner: name and incarnation of the shard owner, empty if there is
        none.
    :param records: records by ``workspace/key``.
    """

    version: int
    owner: str
    records: dict[str, Record]


def find_shard(workspace: str, key: str) -> int:
    """Return the number of the shard that contains an idempotency key.

    >>> 0 <= find_shard('lab', 'k') < SHARDS
    True
    """
    return xxh3_64_intdigest(join_key(workspace, key).encode()) % SHARDS


def join_key(workspace: str, key: str) -> str:
    """Return the name of an idempotency key in the journal."""
    return f'{workspace}/{key}'


def check_claim(
    record: Record | None,
    request: ClaimRequest,
    now: float,
) -> ClaimReply:
    """Return the reply to a claim.

    A reply ``granted`` may be sent only after the claim's record was written
    to the store.

    :param record: current record of the key, ``None`` if it has none.
    :param now: wall-clock time in seconds.

    >>> first = ClaimRequest('w', 'k', 'h', 'a', 10)
    >>> check_claim(None, first, 0).state.value
    'granted'
    >>> claimed = make_record(first, None, now=0)
    >>> check_claim(claimed, first._replace(attempt='b'), 5).state.value
    'running'
    >>> check_claim(claimed, first._replace(attempt='b'), 11).state.value
    'unknown'
    """
    if record is None:
        return ClaimReply(ClaimState.granted)
    if request.attempt in record.voided:
        return ClaimReply(ClaimState.void)
    if record.state == Settlement.released:
        return ClaimReply(ClaimState.granted)
    if record.body_hash != request.body_hash:
        return ClaimReply(ClaimState.reused)
    if record.state in _STATE_BY_SETTLEMENT:
        return ClaimReply(
            _STATE_BY_SETTLEMENT[Settlement(record.state)], record.outcome
        )
    if record.attempt == request.attempt:
        return ClaimReply(ClaimState.granted)
    running = now <= record.until
    return ClaimReply(ClaimState.running if running else ClaimState.unknown)


_STATE_BY_SETTLEMENT = {
    Settlement.done: ClaimState.done,
    Settlement.unknown: ClaimState.unknown,
}


def make_record(
    request: ClaimRequest,
    former: Record | None,
    now: float,
) -> Record:
    """Return the record of a granted claim.

    :param former: previous record of the key, ``None`` if it had none.
    :param now: wall-clock time of the shard owner in seconds.
    """
    return Record(
        request.attempt,
        request.body_hash,
        CLAIMED,
        now + request.left,
        voided=former.voided if former else (),
    )


def settle_record(
    record: Record | None,
    request: SettleRequest,
    now: float,
) -> Record | None:
    """Return the record of a key after the settlement of an attempt.

    A settlement ``done`` or ``unknown`` changes the record only if the
    attempt still has the key claimed. A release of an attempt without a
    record creates one, so that a claim of this attempt that arrives late is
    void.

    >>> request = SettleRequest('w', 'k', 'h', 'a', Settlement.released)
    >>> late = settle_record(None, request, 0)
    >>> check_claim(late, ClaimRequest('w', 'k', 'h', 'a', 9), 0).state.value
    'void'
    """
    if request.settlement is Settlement.released:
        return _release_record(record, request, now)
    holds_key = record and record.attempt == request.attempt
    if record is None or not holds_key or record.state != CLAIMED:
        return record
    return record._replace(
        state=request.settlement.value,
        outcome=limit_outcome_size(request.outcome),
    )


def _release_record(
    record: Record | None,
    request: SettleRequest,
    now: float,
) -> Record:
    """Void an attempt, and release the key if the attempt has claimed it."""
    if record is None:
        record = Record(
            request.attempt,
            request.body_hash,
            Settlement.released.value,
            now,
        )
    if request.attempt in record.voided:
        return record
    voided = (*record.voided, request.attempt)[-MAX_VOIDED_ATTEMPTS:]
    holds_key = record.attempt == request.attempt and record.state == CLAIMED
    state = Settlement.released.value if holds_key else record.state
    return record._replace(state=state, voided=voided)


def limit_outcome_size(outcome: dict[str, Any]) -> dict[str, Any]:
    """Return the outcome, or a marker if it is too large for the journal.

    >>> limit_outcome_size({'text': 'x' * 5000})
    {'too_large_to_keep': True}
    """
    if len(json.dumps(outcome)) > MAX_OUTCOME_BYTES:
        return {'too_large_to_keep': True}
    return outcome


def drop_expired(records: dict[str, Record], now: float) -> dict[str, Record]:
    """Return the records whose retention time has not passed."""
    oldest = now - RETENTION_SECONDS
    return {
        key: record for key, record in records.items() if record.until > oldest
    }


def encode_journal(owner: str, records: dict[str, Record]) -> dict[str, Any]:
    """Return the body of a journal's object in the store."""
    return {
        'owner': owner,
        'records': {key: list(record) for key, record in records.items()},
    }


def decode_journal(version: int, body: dict[str, Any]) -> Journal:
    """Parse the journal from the body of its object in the store."""
    records = {
        key: _decode_record(parts)
        for key, parts in body.get('records', {}).items()
    }
    return Journal(version, body.get('owner', ''), records)


def count_bytes(records: dict[str, Record]) -> int:
    """Return the size in bytes of the records as stored JSON."""
    return len(json.dumps(encode_journal('', records)))


def _decode_record(parts: list[Any]) -> Record:
    record = Record(*parts)
    return record._replace(voided=tuple(record.voided))
