"""Messages that claim and settle idempotency keys."""

from enum import StrEnum
from typing import Any, NamedTuple


class ClaimState(StrEnum):
    """State in a reply to a claim or a settlement."""

    granted = 'granted'
    running = 'running'
    done = 'done'
    unknown = 'unknown'
    reused = 'reused'
    void = 'void'
    full = 'full'
    noted = 'noted'
    not_owner = 'not-owner'
    unavailable = 'unavailable'


class ClaimRequest(NamedTuple):
    """Request to claim an idempotency key for one attempt.

    :param workspace: workspace of the caller.
    :param key: idempotency key from the caller.
    :param body_hash: hash of the request, to detect a reused key.
    :param attempt: id of the one attempt that the claim allows.
    :param left: seconds after which the attempt has ended. It only decides
        whether another claim gets ``running`` or ``unknown``.
    :param force: whether to take the shard over although its listed owner
        is live.
    """

    workspace: str
    key: str
    body_hash: str
    attempt: str
    left: float
    force: bool = False


class ClaimReply(NamedTuple):
    """Reply to a claim or a settlement.

    :param state: result of the request.
    :param outcome: outcome of the first attempt if the state is ``done``.
    :param owner: machine that owns the shard if the state is ``not-owner``,
        empty when unknown.
    """

    state: ClaimState
    outcome: dict[str, Any] = {}  # noqa: RUF012
    owner: str = ''


class Settlement(StrEnum):
    """Result of an attempt, as its entry process reports it."""

    done = 'done'
    unknown = 'unknown'
    released = 'released'


class SettleRequest(NamedTuple):
    """Request to record how an attempt ended.

    :param workspace: workspace of the caller.
    :param key: idempotency key from the caller.
    :param body_hash: hash of the request.
    :param attempt: id of the attempt that ended.
    :param settlement: result of the attempt. An attempt that was never
        dispatched, or has certainly not run, is ``released``, so that
        another attempt can claim the key.
    :param outcome: output of the attempt if the settlement is ``done``.
    :param force: whether to take the shard over although its listed owner
        is live.
    :param wait: whether to reply ``done`` once the settlement is in the
        store, instead of ``noted`` at once.
    """

    workspace: str
    key: str
    body_hash: str
    attempt: str
    settlement: Settlement
    outcome: dict[str, Any] = {}  # noqa: RUF012
    force: bool = False
    wait: bool = True
