"""Journal of one slice of the key space: records and the rules for them.

The rules are pure functions over immutable records; the owner applies them
to its copy and makes a change count only when the journal's conditional
write is known to have taken effect.
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
MAX_VOIDED = 8
CLAIMED = 'claimed'


class Record(NamedTuple):
    """What the journal holds of one key.

    :param attempt: the attempt that holds the key.
    :param body_hash: hash of its request.
    :param state: ``claimed``, or how the attempt ended.
    :param until: wall-clock second after which the attempt has ended.
    :param outcome: the output when ``done``.
    :param voided: latest attempts that were released; a claim of one of
        them, still on its way, gets nothing.
    """

    attempt: str
    body_hash: str
    state: str
    until: float
    outcome: dict[str, Any] = {}  # noqa: RUF012
    voided: tuple[str, ...] = ()


class Journal(NamedTuple):
    """One slice as its object in the store holds it.

    :param version: the object's version.
    :param owner: name and incarnation of the owner, empty for none.
    :param records: record by ``workspace/key``.
    """

    version: int
    owner: str
    records: dict[str, Record]


def find_shard(workspace: str, key: str) -> int:
    """Return the slice that a key belongs to.

    >>> 0 <= find_shard('lab', 'k') < SHARDS
    True
    """
    return xxh3_64_intdigest(join_key(workspace, key).encode()) % SHARDS


def join_key(workspace: str, key: str) -> str:
    """Return the name of a key in the journal."""
    return f'{workspace}/{key}'


def judge_claim(
    record: Record | None,
    request: ClaimRequest,
    now: float,
) -> ClaimReply:
    """Tell what a claim gets; ``granted`` is subject to the write.

    :param record: what the journal holds of the key.
    :param now: wall-clock second.

    >>> first = ClaimRequest('w', 'k', 'h', 'a', 10)
    >>> judge_claim(None, first, 0).state.value
    'granted'
    >>> held = make_record(first, None, now=0)
    >>> judge_claim(held, first._replace(attempt='b'), 5).state.value
    'running'
    >>> judge_claim(held, first._replace(attempt='b'), 11).state.value
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
    if record.state in _ENDED:
        return ClaimReply(_ENDED[Settlement(record.state)], record.outcome)
    if record.attempt == request.attempt:
        return ClaimReply(ClaimState.granted)
    running = now <= record.until
    return ClaimReply(ClaimState.running if running else ClaimState.unknown)


_ENDED = {
    Settlement.done: ClaimState.done,
    Settlement.unknown: ClaimState.unknown,
}


def make_record(
    request: ClaimRequest,
    former: Record | None,
    now: float,
) -> Record:
    """Return the record of a granted claim.

    :param former: what the journal held of the key before.
    :param now: the owner's wall-clock second.
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
    """Return the record after an attempt has ended.

    An attempt that isn't the holder changes nothing. A release of an unknown
    attempt leaves a record, so that its claim, still on its way, is void.

    >>> request = SettleRequest('w', 'k', 'h', 'a', Settlement.released)
    >>> late = settle_record(None, request, 0)
    >>> judge_claim(late, ClaimRequest('w', 'k', 'h', 'a', 9), 0).state.value
    'void'
    """
    if request.settlement is Settlement.released:
        return _release_record(record, request, now)
    holds = record and record.attempt == request.attempt
    if record is None or not holds or record.state != CLAIMED:
        return record
    return record._replace(
        state=request.settlement.value,
        outcome=bound_outcome(request.outcome),
    )


def _release_record(
    record: Record | None,
    request: SettleRequest,
    now: float,
) -> Record:
    """Name the attempt as void and, if it holds the key, free the key."""
    if record is None:
        record = Record(
            request.attempt,
            request.body_hash,
            Settlement.released.value,
            now,
        )
    if request.attempt in record.voided:
        return record
    voided = (*record.voided, request.attempt)[-MAX_VOIDED:]
    holds = record.attempt == request.attempt and record.state == CLAIMED
    state = Settlement.released.value if holds else record.state
    return record._replace(state=state, voided=voided)


def bound_outcome(outcome: dict[str, Any]) -> dict[str, Any]:
    """Return an outcome that is small enough to be kept.

    >>> bound_outcome({'text': 'x' * 5000})
    {'too_large_to_keep': True}
    """
    if len(json.dumps(outcome)) > MAX_OUTCOME_BYTES:
        return {'too_large_to_keep': True}
    return outcome


def drop_old(records: dict[str, Record], now: float) -> dict[str, Record]:
    """Return the records younger than the retention time."""
    oldest = now - RETENTION_SECONDS
    return {
        key: record for key, record in records.items() if record.until > oldest
    }


def encode_journal(owner: str, records: dict[str, Record]) -> dict[str, Any]:
    """Return the body of the journal's object."""
    return {
        'owner': owner,
        'records': {key: list(record) for key, record in records.items()},
    }


def decode_journal(version: int, body: dict[str, Any]) -> Journal:
    """Return the journal in an object's body."""
    records = {
        key: _read_record(parts)
        for key, parts in body.get('records', {}).items()
    }
    return Journal(version, body.get('owner', ''), records)


def count_bytes(records: dict[str, Record]) -> int:
    """Return the size of the records in the store."""
    return len(json.dumps(encode_journal('', records)))


def _read_record(parts: list[Any]) -> Record:
    record = Record(*parts)
    return record._replace(voided=tuple(record.voided))
