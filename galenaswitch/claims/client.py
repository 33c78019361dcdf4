"""Client of an entry process for claims of idempotency keys.

The client sends each claim and each settlement to the control process on the
same VM, which forwards it to the owner of the key's shard. An attempt is
dispatched only after its claim was granted.
"""

import asyncio
import contextlib
import json
import secrets
from hashlib import sha256
from typing import Any, NamedTuple

from galenaswitch.claims.messages import (
    ClaimReply,
    ClaimRequest,
    ClaimState,
    Settlement,
    SettleRequest,
)
from galenaswitch.errors import PeerError
from galenaswitch.membership.control_client import ControlClient
from galenaswitch.operations.logs import get_logger
from galenaswitch.operations.process import TaskGroup
from galenaswitch.pipelines.requests import PipelineRequest
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

CLAIM_TIMEOUT_SECONDS = 4
SETTLE_TIMEOUT_SECONDS = 3
SETTLE_WAIT_SECONDS = 0.2
SETTLE_RETRY_SECONDS = 0.5
MAX_SETTLE_ATTEMPTS = 240
ATTEMPT_ID_BYTES = 8


class Claim(NamedTuple):
    """A claim of an idempotency key, which allows one attempt once granted.

    :param workspace: workspace of the caller.
    :param key: idempotency key from the caller.
    :param body_hash: hash of the request, to detect a reused key.
    :param attempt: id of the attempt.
    """

    workspace: str
    key: str
    body_hash: str
    attempt: str


class FirstOutcome(NamedTuple):
    """Stored outcome of the first attempt with an idempotency key."""

    output: dict[str, Any]


REFUSALS = {
    ClaimState.running: (Reason.key_running, ExecutionState.unknown),
    ClaimState.unknown: (Reason.key_unknown, ExecutionState.unknown),
    ClaimState.reused: (Reason.key_reused, ExecutionState.not_run),
    ClaimState.full: (Reason.claims_full, ExecutionState.not_run),
}


class Claims:
    """Claims and settles idempotency keys for one entry process."""

    def __init__(self, control: ControlClient, tasks: TaskGroup) -> None:
        """Create a client that sends its requests through ``control``.

        :param tasks: runs settlements, which outlive the caller's request.
        """
        self._control = control
        self._tasks = tasks
        self.unsettled = 0

    async def claim(
        self,
        request: PipelineRequest,
        key: str,
    ) -> Claim | FirstOutcome:
        """Claim a key for one attempt of a request.

        :returns: the granted claim, or the stored outcome of the first
            attempt with this key.
        :raises RefusedError: when the claim is not granted. This request
            has not run then; ``run`` of the error describes the first
            attempt with the key.
        """
        loop = asyncio.get_running_loop()
        seconds_left = request.deadline - loop.time()
        claim = Claim(
            request.contract.workspace,
            key,
            hash_request(request),
            secrets.token_hex(ATTEMPT_ID_BYTES),
        )
        claim_request = ClaimRequest(*claim, left=seconds_left + 1)
        reply = await self._request_claim(
            claim, claim_request, min(seconds_left, CLAIM_TIMEOUT_SECONDS)
        )
        if reply.state is ClaimState.granted:
            return claim
        if reply.state is ClaimState.done:
            return FirstOutcome(reply.outcome)
        refusal = REFUSALS.get(reply.state)
        if refusal:
            raise RefusedError(*refusal)
        self.settle(claim, Settlement.released)
        raise RefusedError(Reason.claims_unreachable)

    def settle(
        self,
        claim: Claim,
        settlement: Settlement,
        outcome: dict[str, Any] | None = None,
    ) -> asyncio.Event:
        """Report the end of an attempt to the shard owner in a task.

        The task retries until the settlement is in the store.

        :returns: event that is set after the first report to the owner, so
            that a retry by the caller usually finds the outcome.
        """
        request = SettleRequest(*claim, settlement, outcome or {})
        reported = asyncio.Event()
        self._tasks.start(self._settle_until_stored(request, reported))
        return reported

    async def _request_claim(
        self,
        claim: Claim,
        claim_request: ClaimRequest,
        seconds: float,
    ) -> ClaimReply:
        """Send a claim once; the attempt is never made without a reply.

        A cancelled claim may still be granted, so its key is released.
        """
        try:
            reply = await self._control.request(claim_request, max(seconds, 0))
        except PeerError as error:
            get_logger().warning('claim_unanswered', reason=str(error))
            return ClaimReply(ClaimState.unavailable)
        except asyncio.CancelledError:
            self.settle(claim, Settlement.released)
            raise
        if isinstance(reply, ClaimReply):
            return reply
        return ClaimReply(ClaimState.unavailable)

    async def _settle_until_stored(
        self,
        request: SettleRequest,
        reported: asyncio.Event,
    ) -> None:
        """Report a settlement, first without waiting for the store."""
        self.unsettled += 1
        try:
            await self._send_settlement(request._replace(wait=False))
            reported.set()
            for _ in range(MAX_SETTLE_ATTEMPTS):
                if await self._send_settlement(request):
                    return
                await asyncio.sleep(SETTLE_RETRY_SECONDS)
        finally:
            self.unsettled -= 1
        get_logger().error('claim_not_settled', key=request.key)

    async def _send_settlement(self, request: SettleRequest) -> bool:
        """Send a settlement once and return whether it is in the store."""
        try:
            reply = await self._control.request(request, SETTLE_TIMEOUT_SECONDS)
        except PeerError as error:
            get_logger().info('settle_failed', reason=str(error))
            return False
        return getattr(reply, 'state', None) is ClaimState.done


async def wait_until_reported(reported: asyncio.Event) -> None:
    """Wait briefly for the first report of an outcome to the shard owner."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SETTLE_WAIT_SECONDS):
            await reported.wait()


def hash_request(request: PipelineRequest) -> str:
    """Return a hash of the pipeline, prompt and fields of a request.

    Two requests with the same hash may share an idempotency key.
    """
    parts = (request.pipeline.name, request.prompt, request.fields)
    text = json.dumps(parts, sort_keys=True)
    return sha256(text.encode()).hexdigest()
